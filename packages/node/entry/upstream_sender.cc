#include "node/entry/upstream_sender.h"

#include <optional>
#include <utility>

namespace ebonykeel {
namespace {

// Added to the upstream's deadline to get the timeout of the HTTP call.
constexpr Duration kCallMargin = Milliseconds(100);
// An attempt that is cancelled unanswered counts as slow beyond this many times
// the typical latency.
constexpr int kOverdueFactor = 3;

VersionAnswer
VersionAnswerOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      return VersionAnswer::kSuccess;
    case AttemptOutcome::kFailure:
    case AttemptOutcome::kBroken:
      return VersionAnswer::kFailure;
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kWrongInstance:
    case AttemptOutcome::kNotSent:
      return VersionAnswer::kNotRun;
  }
  return VersionAnswer::kNotRun;
}

} // namespace

UpstreamSender::UpstreamSender(UvLoop& aLoop,
                               Http1Client& aClient,
                               const TrafficProtocol& aProtocol,
                               RoutingState& aRouting,
                               ForwardEnvironment& aEnvironment,
                               ForwardStats& aStats,
                               LineLog& aLog,
                               UpstreamSenderOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_routing(aRouting)
  , m_environment(aEnvironment)
  , m_load(aEnvironment.m_load)
  , m_latencies(aEnvironment.m_latencies)
  , m_stats(aStats)
  , m_log(aLog)
  , m_options(aOptions)
  , m_lateAttemptTimer(aLoop, [this]() { CancelExpiredAttempts(); })
{
}

UpstreamAttemptPtr
UpstreamSender::Send(UpstreamAttempt aAttempt,
                     const Http1Request& aRequest,
                     Duration aDeadline)
{
  auto attempt = std::make_shared<UpstreamAttempt>(std::move(aAttempt));
  const Replica& replica = *attempt->m_replica;
  attempt->m_typicalLatency = m_latencies.Typical(*attempt->m_route);
  attempt->m_sentAt = m_loop.Now();
  m_load.OnSent(replica, attempt->m_sentAt, attempt->m_work);
  if (m_versions != nullptr) {
    m_versions->OnSent(replica, attempt->m_attempt == 0);
  }
  Http1Request request = m_protocol.MakeUpstreamRequest(
    aRequest, replica, attempt->m_caller, aDeadline);
  Http1Call call{ .m_address = replica.m_address,
                  .m_bytes = SerializeRequest(request),
                  .m_isHead = request.m_method == "HEAD",
                  // The run cancels the attempt before this timeout.
                  .m_timeout = aDeadline + kCallMargin,
                  .m_excludedConnections = attempt->m_excludedConnections,
                  // Answers to requests without an identifier cannot be told
                  // apart.
                  .m_mayReuseConnection = !attempt->m_attemptId.empty() };
  if (!attempt->m_route->m_idempotent) {
    call.m_maxIdleTime = m_options.m_maxIdleForNonIdempotent;
  }
  call.m_matchAnswer = [protocol = &m_protocol, id = attempt->m_attemptId](
                         const Http1Response& aResponse) {
    return protocol->MatchAnswer(aResponse, id);
  };
  attempt->m_httpCall =
    m_client.Send(std::move(call), [this, attempt](Http1Result aResult) {
      OnResult(attempt, std::move(aResult));
    });
  return attempt;
}

void
UpstreamSender::Cancel(const UpstreamAttemptPtr& aAttempt)
{
  if (aAttempt->m_httpCall == 0) {
    return;
  }
  m_client.Cancel(std::exchange(aAttempt->m_httpCall, 0));
  TimePoint now = m_loop.Now();
  bool overdue =
    now - aAttempt->m_sentAt > aAttempt->m_typicalLatency * kOverdueFactor;
  if (overdue) {
    m_load.OnAttemptCancelledLate(*aAttempt->m_replica,
                                  aAttempt->m_sentAt,
                                  aAttempt->m_typicalLatency,
                                  now);
  } else {
    m_load.OnAttemptCancelled(*aAttempt->m_replica, aAttempt->m_sentAt, now);
  }
  m_environment.m_waiters.OnCapacity(aAttempt->m_replica->m_service, now);
  m_stats.OnAttemptEnded("any", "dropped");
  ReportToVersions(*aAttempt, VersionAnswer::kCancelled);
}

void
UpstreamSender::ReportToVersions(const UpstreamAttempt& aAttempt,
                                 VersionAnswer aAnswer)
{
  if (m_versions == nullptr) {
    return;
  }
  TimePoint now = m_loop.Now();
  m_versions->OnEnded(*aAttempt.m_replica,
                      aAttempt.m_route->m_name,
                      aAnswer,
                      now - aAttempt.m_sentAt,
                      m_load.IsCold(*aAttempt.m_replica, now),
                      now);
}

void
UpstreamSender::CancelLater(const UpstreamAttemptPtr& aAttempt)
{
  m_lateAttempts.push_back(
    { m_loop.Now() + m_options.m_lateAnswerTimeout, aAttempt });
  if (!m_lateAttemptTimer.IsSet()) {
    m_lateAttemptTimer.Set(m_lateAttempts.front().m_cancelAt);
  }
}

void
UpstreamSender::OnResult(const UpstreamAttemptPtr& aAttempt,
                         Http1Result aResult)
{
  UpstreamAnswer answer;
  switch (aResult.m_outcome) {
    case Http1Outcome::kAnswered:
      answer = m_protocol.ReadUpstreamAnswer(std::move(aResult.m_response));
      break;
    case Http1Outcome::kNotSent:
      answer.m_outcome = AttemptOutcome::kNotSent;
      break;
    case Http1Outcome::kBroken:
      answer.m_outcome = AttemptOutcome::kBroken;
      break;
  }
  aAttempt->m_httpCall = 0;
  aAttempt->m_connection = aResult.m_connection;
  RecordOutcome(*aAttempt, answer.m_outcome, aResult.m_problem);
  ReportToVersions(*aAttempt, VersionAnswerOf(answer.m_outcome));
  TimePoint now = m_loop.Now();
  m_routing.ApplyNotices(*aAttempt->m_replica, answer.m_notices, now);
  m_environment.m_waiters.OnCapacity(aAttempt->m_replica->m_service, now);
  if (auto observer = aAttempt->m_observer.lock()) {
    observer->OnAttemptEnded(aAttempt->m_subRequest,
                             aAttempt->m_attempt,
                             std::move(answer),
                             aResult.m_problem);
  }
}

void
UpstreamSender::RecordOutcome(const UpstreamAttempt& aAttempt,
                              AttemptOutcome aOutcome,
                              std::string_view aProblem)
{
  TimePoint now = m_loop.Now();
  const Replica& replica = *aAttempt.m_replica;
  m_stats.OnAttemptEnded("any", AttemptOutcomeName(aOutcome));
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      if (std::optional<WorkSample> sample = m_load.OnAnswered(
            replica, aAttempt.m_sentAt, aAttempt.m_typicalLatency, now)) {
        m_environment.m_work.Add(*aAttempt.m_route,
                                 aAttempt.m_caller.m_workspace,
                                 sample->m_expected,
                                 sample->m_seen,
                                 now);
      }
      m_latencies.Add(*aAttempt.m_route, now - aAttempt.m_sentAt);
      break;
    case AttemptOutcome::kFailure:
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kBroken:
      m_load.OnFailed(replica, aAttempt.m_sentAt, now);
      break;
    case AttemptOutcome::kWrongInstance:
    case AttemptOutcome::kNotSent:
      m_load.OnUnreachable(replica, aAttempt.m_sentAt, now);
      m_client.CloseIdle(replica.m_address);
      m_log.Write(Event::kReplicaUnreachable,
                  { { "replica", replica.m_id },
                    { "service", replica.m_service },
                    { "outcome", std::string(AttemptOutcomeName(aOutcome)) },
                    { "problem", std::string(aProblem) } });
      break;
  }
}

void
UpstreamSender::CancelExpiredAttempts()
{
  TimePoint now = m_loop.Now();
  while (!m_lateAttempts.empty() &&
         (m_lateAttempts.front().m_cancelAt <= now ||
          m_lateAttempts.front().m_upstreamAttempt->m_httpCall == 0)) {
    Cancel(m_lateAttempts.front().m_upstreamAttempt);
    m_lateAttempts.pop_front();
  }
  if (!m_lateAttempts.empty()) {
    m_lateAttemptTimer.Set(m_lateAttempts.front().m_cancelAt);
  }
}

} // namespace ebonykeel
