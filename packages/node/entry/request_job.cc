#include "node/entry/request_job.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/forward/record_merge.h"
#include "core/traffic/caller_access.h"

namespace ebonykeel {
namespace {

constexpr size_t kRecordBytes = 16;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;
constexpr int kTimeoutStatus = 504;
// Statuses that state to the caller that its request was not executed. An
// upstream's answer that is passed on makes no such statement, so it must not
// reach the caller with one of them.
constexpr std::array kNotExecutedStatuses = { 408, 421, 429, 503 };

// The outcomes of attempts that no upstream has run.
constexpr std::array kNotRunOutcomes = { AttemptOutcome::kNotExecuted,
                                         AttemptOutcome::kWrongInstance,
                                         AttemptOutcome::kNotSent };

std::string
FormatMs(Duration aDuration)
{
  return absl::StrCat(ToMilliseconds(aDuration));
}

} // namespace

CallerIdentity
IdentityOf(const TrafficConfig& aConfig, const Workspace* aWorkspace)
{
  return { .m_usesWorkspaces = aConfig.m_usesWorkspaces,
           .m_workspace = aWorkspace == nullptr ? "" : aWorkspace->m_name };
}

RequestJob::RequestJob(RequestJobContext& aContext,
                       std::shared_ptr<Http1Exchange> aExchange,
                       CallerRequest aCaller,
                       std::shared_ptr<const RouteTable> aRoutes,
                       const Route& aRoute,
                       const Workspace* aWorkspace,
                       std::vector<std::string> aServices)
  : m_context(aContext)
  , m_exchange(std::move(aExchange))
  , m_caller(std::move(aCaller))
  , m_routes(std::move(aRoutes))
  , m_route(aRoute)
  , m_identity(IdentityOf(*m_routes->Config(), aWorkspace))
  , m_remaining(m_caller.m_remaining.value_or(aRoute.m_timeout))
  , m_timer(aContext.m_loop, [this]() { OnTimer(); })
  , m_run(ForwardRequest{ .m_route = &m_route,
                          .m_services = std::move(aServices),
                          .m_receivedAt = m_exchange->ReceivedAt(),
                          .m_remaining = m_remaining,
                          .m_elapsed = ElapsedBeforeRead(),
                          .m_priority = EffectivePriority(m_route, aWorkspace),
                          .m_workspace = m_identity.m_workspace,
                          .m_usesWorkspaces = m_identity.m_usesWorkspaces },
          aContext.m_environment,
          *this)
{
}

void
RequestJob::Start(std::optional<TimePoint> aEndBy)
{
  m_exchange->OnCallerDisconnect([this]() { OnCallerGone(); });
  if (aEndBy) {
    m_run.EndBy(*aEndBy);
  }
  m_run.Start(m_context.m_loop.Now());
  RearmTimer();
}

void
RequestJob::EndBy(TimePoint aEnd)
{
  m_run.EndBy(aEnd);
  RearmTimer();
}

bool
RequestJob::MayHaveRun() const
{
  return std::ranges::any_of(m_attempts, [](const AttemptRecord& aRecord) {
    return !aRecord.m_outcome ||
           std::ranges::find(kNotRunOutcomes, *aRecord.m_outcome) ==
             kNotRunOutcomes.end();
  });
}

void
RequestJob::Refuse(std::string_view aStatus, const Http1Response& aAnswer)
{
  std::shared_ptr<RequestJob> self = shared_from_this();
  m_run.Abandon();
  m_context.m_stats.OnRequestEnded(
    m_route.m_name, aStatus, m_context.m_loop.Now() - m_exchange->ReceivedAt());
  m_exchange->Answer(aAnswer);
  Release();
}

void
RequestJob::OnAttemptEnded(uint32_t aSubRequest,
                           uint32_t aAttempt,
                           UpstreamAnswer aAnswer,
                           std::string_view aProblem)
{
  std::shared_ptr<RequestJob> self = shared_from_this();
  AttemptRecord& record = FindAttempt(aSubRequest, aAttempt);
  TimePoint now = m_context.m_loop.Now();
  record.m_took = now - record.m_upstreamAttempt->m_sentAt;
  record.m_outcome = aAnswer.m_outcome;
  record.m_problem = aProblem;
  if (aAnswer.m_outcome == AttemptOutcome::kSuccess && !AddSignature(aAnswer)) {
    aAnswer.m_outcome = AttemptOutcome::kBroken;
  }
  AttemptOutcome outcome = aAnswer.m_outcome;
  record.m_answer = std::move(aAnswer);
  m_run.OnOutcome(aSubRequest, aAttempt, outcome, now);
  RearmTimer();
}

void
RequestJob::Send(uint32_t aSubRequest,
                 uint32_t aAttempt,
                 const ReplicaPtr& aReplica,
                 AttemptReason aReason,
                 Duration aDeadline)
{
  UpstreamAttempt attempt{ .m_observer = weak_from_this(),
                           .m_subRequest = aSubRequest,
                           .m_attempt = aAttempt,
                           .m_replica = aReplica,
                           .m_routes = m_routes,
                           .m_route = &m_route,
                           .m_work =
                             m_run.ExpectedWorkOf(aSubRequest, aAttempt),
                           .m_attemptId = m_caller.m_attemptId,
                           .m_caller = m_identity };
  if (aAttempt > 0) {
    attempt.m_excludedConnections = UsedConnections(aSubRequest);
  }
  m_attempts.push_back(
    { .m_subRequest = aSubRequest,
      .m_attempt = aAttempt,
      .m_reason = aReason,
      .m_upstreamAttempt = m_context.m_sender.Send(
        std::move(attempt), m_exchange->Request(), aDeadline) });
}

void
RequestJob::Cancel(uint32_t aSubRequest, uint32_t aAttempt)
{
  AttemptRecord& record = FindAttempt(aSubRequest, aAttempt);
  if (record.m_outcome) {
    return;
  }
  // Attempts of a request whose deadline passed or whose caller disconnected
  // are cancelled at once.
  if (m_callerGone || m_context.m_loop.Now() >= Deadline()) {
    m_context.m_sender.Cancel(record.m_upstreamAttempt);
  } else {
    m_context.m_sender.CancelLater(record.m_upstreamAttempt);
  }
}

void
RequestJob::RequestTimer()
{
  RearmTimer();
}

void
RequestJob::Finish(const ForwardResult& aResult)
{
  TimePoint now = m_context.m_loop.Now();
  LogEnd(aResult, now);
  m_context.m_stats.OnRequestEnded(m_route.m_name,
                                   ForwardStatusName(aResult.m_status),
                                   now - m_exchange->ReceivedAt());
  Http1Response response = MakeAnswer(aResult);
  for (AttemptRecord& record : m_attempts) {
    if (!record.m_outcome) {
      Cancel(record.m_subRequest, record.m_attempt);
    }
  }
  m_exchange->Answer(response);
  Release();
}

TimePoint
RequestJob::Deadline() const
{
  return m_exchange->ReceivedAt() + std::min(m_remaining, m_route.m_timeout);
}

Duration
RequestJob::ElapsedBeforeRead()
{
  if (!m_caller.m_remaining) {
    return {};
  }
  CallerDeadlines& deadlines = m_context.m_deadlines;
  deadlines.Add(m_route.m_name, *m_caller.m_remaining);
  return deadlines.ElapsedTime(m_route.m_name, *m_caller.m_remaining);
}

RequestJob::AttemptRecord&
RequestJob::FindAttempt(uint32_t aSubRequest, uint32_t aAttempt)
{
  return *std::ranges::find_if(m_attempts, [&](const AttemptRecord& aRecord) {
    return aRecord.m_subRequest == aSubRequest && aRecord.m_attempt == aAttempt;
  });
}

std::vector<uint64_t>
RequestJob::UsedConnections(uint32_t aSubRequest) const
{
  std::vector<uint64_t> connections;
  for (const AttemptRecord& record : m_attempts) {
    if (record.m_subRequest == aSubRequest &&
        record.m_upstreamAttempt->m_connection != 0) {
      connections.push_back(record.m_upstreamAttempt->m_connection);
    }
  }
  return connections;
}

bool
RequestJob::AddSignature(const UpstreamAnswer& aAnswer)
{
  return m_signatures.insert(aAnswer.m_signature).second;
}

Http1Response
RequestJob::MakeAnswer(const ForwardResult& aResult)
{
  const TrafficProtocol& protocol = m_context.m_protocol;
  switch (aResult.m_status) {
    case ForwardStatus::kWhole:
    case ForwardStatus::kPartial:
      if (m_route.m_target == RouteTarget::kShards) {
        return MakeGatheredAnswer(aResult);
      }
      return MakeForwardedAnswer(aResult);
    case ForwardStatus::kUpstreamFailure:
      return MakeForwardedAnswer(aResult);
    case ForwardStatus::kRefused:
      return protocol.MakeOwnAnswer(
        kUnavailableStatus, aResult.m_reason, aResult.m_retryAfter);
    case ForwardStatus::kFailed:
      return protocol.MakeOwnAnswer(
        kBadGatewayStatus, aResult.m_reason, std::nullopt);
    case ForwardStatus::kTimedOut:
      return protocol.MakeOwnAnswer(
        kTimeoutStatus, aResult.m_reason, std::nullopt);
  }
  return protocol.MakeOwnAnswer(
    kBadGatewayStatus, aResult.m_reason, std::nullopt);
}

Http1Response
RequestJob::MakeForwardedAnswer(const ForwardResult& aResult)
{
  const ChosenAnswer& chosen = aResult.m_answers.front();
  UpstreamAnswer answer =
    std::move(FindAttempt(chosen.m_subRequest, chosen.m_attempt).m_answer);
  bool statesNotExecuted =
    std::ranges::find(kNotExecutedStatuses, answer.m_response.m_status) !=
    kNotExecutedStatuses.end();
  if (statesNotExecuted) {
    return m_context.m_protocol.MakeOwnAnswer(
      kBadGatewayStatus, "upstream-failure", std::nullopt);
  }
  return m_context.m_protocol.MakeForwardedAnswer(std::move(answer));
}

Http1Response
RequestJob::MakeGatheredAnswer(const ForwardResult& aResult)
{
  std::vector<std::string_view> signatures;
  std::vector<std::string_view> bodies;
  for (const ChosenAnswer& chosen : aResult.m_answers) {
    const AttemptRecord& part =
      FindAttempt(chosen.m_subRequest, chosen.m_attempt);
    signatures.push_back(part.m_answer.m_signature);
    bodies.push_back(part.m_answer.m_response.m_body);
  }
  TopRecordsMerger merger(kRecordBytes, m_route.m_topRecords);
  return m_context.m_protocol.MakeGatheredAnswer(
    signatures, aResult.m_missing, merger.Merge(bodies));
}

void
RequestJob::OnTimer()
{
  std::shared_ptr<RequestJob> self = shared_from_this();
  m_run.OnTimer(m_context.m_loop.Now());
  RearmTimer();
}

void
RequestJob::OnCallerGone()
{
  std::shared_ptr<RequestJob> self = shared_from_this();
  m_callerGone = true;
  m_run.Abandon();
  TimePoint now = m_context.m_loop.Now();
  m_context.m_stats.OnRequestEnded(
    m_route.m_name, "abandoned", now - m_exchange->ReceivedAt());
  m_context.m_log.Write(
    Event::kForwardAbandoned,
    { { "request", m_caller.m_attemptId },
      { "route", m_route.m_name },
      { "took_ms", FormatMs(now - m_exchange->ReceivedAt()) },
      { "sends", DescribeAttempts(now) } });
  Release();
}

void
RequestJob::RearmTimer()
{
  m_timer.Set(m_run.NextTimer());
}

void
RequestJob::Release()
{
  m_timer.Set(std::nullopt);
  m_context.m_observer.OnJobEnded(*this);
}

std::string
RequestJob::DescribeAttempts(TimePoint aNow) const
{
  std::string text;
  for (const AttemptRecord& record : m_attempts) {
    Duration took = record.m_outcome
                      ? record.m_took
                      : aNow - record.m_upstreamAttempt->m_sentAt;
    std::string_view outcome =
      record.m_outcome ? AttemptOutcomeName(*record.m_outcome) : "open";
    absl::StrAppend(&text,
                    text.empty() ? "" : ",",
                    record.m_subRequest,
                    ":",
                    record.m_upstreamAttempt->m_replica->m_id,
                    ":",
                    std::string(AttemptReasonName(record.m_reason)),
                    ":",
                    std::string(outcome),
                    record.m_problem.empty() ? "" : "/",
                    std::string(record.m_problem),
                    ":",
                    ToMilliseconds(record.m_upstreamAttempt->m_sentAt -
                                   m_exchange->ReceivedAt()),
                    ":",
                    ToMilliseconds(took));
  }
  return text;
}

void
RequestJob::LogEnd(const ForwardResult& aResult, TimePoint aNow) const
{
  m_context.m_log.Write(
    Event::kForwardEnded,
    { { "request", m_caller.m_attemptId },
      { "route", m_route.m_name },
      { "version", absl::StrCat(m_routes->Config()->m_version) },
      { "status", std::string(ForwardStatusName(aResult.m_status)) },
      { "outcome",
        aResult.m_status == ForwardStatus::kRefused ? "not-run" : "sent" },
      { "reason", std::string(aResult.m_reason) },
      { "missing", absl::StrCat(aResult.m_missing) },
      { "remaining_ms", FormatMs(m_remaining) },
      { "took_ms", FormatMs(aNow - m_exchange->ReceivedAt()) },
      { "replicas_age_ms", FormatMs(m_context.m_replicaFeedAge.FeedAge()) },
      { "sends", DescribeAttempts(aNow) } });
}

} // namespace ebonykeel
