#include "node/entry/forward_service.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "core/forward/record_merge.h"

namespace ebonykeel {
namespace {

constexpr size_t kRecordBytes = 16;
constexpr int kNotFoundStatus = 404;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;
constexpr int kTimeoutStatus = 504;
// Added to the upstream's deadline to get the timeout of the HTTP call.
constexpr Duration kCallMargin = Milliseconds(100);
// An attempt that is cancelled unanswered counts as slow beyond this many times
// the typical latency.
constexpr int kOverdueFactor = 3;
// Statuses that state to the caller that its request was not executed. An
// upstream's answer that is passed on makes no such statement, so it must not
// reach the caller with one of them.
constexpr std::array kNotExecutedStatuses = { 408, 421, 429, 503 };

} // namespace

// The forwarding of one caller's request.
class ForwardService::RequestJob final
  : public ForwardPort
  , public std::enable_shared_from_this<ForwardService::RequestJob>
{
public:
  RequestJob(ForwardService& aService,
             std::shared_ptr<Http1Exchange> aExchange,
             CallerRequest aCaller,
             std::shared_ptr<const RouteTable> aRoutes,
             const Route& aRoute)
    : m_service(aService)
    , m_exchange(std::move(aExchange))
    , m_caller(std::move(aCaller))
    , m_routes(std::move(aRoutes))
    , m_route(aRoute)
    , m_remaining(m_caller.m_remaining.value_or(aRoute.m_timeout))
    , m_timer(aService.m_loop, [this]() { OnTimer(); })
  {
  }

  void Start()
  {
    m_self = shared_from_this();
    m_service.m_jobs.insert(this);
    m_exchange->OnCallerDisconnect([this]() { OnCallerGone(); });
    m_run.emplace(
      ForwardRequest{ .m_route = &m_route,
                      .m_services = m_service.ChooseServices(m_route),
                      .m_receivedAt = m_exchange->ReceivedAt(),
                      .m_remaining = m_remaining,
                      .m_elapsed = ElapsedBeforeRead() },
      m_service.m_environment,
      *this);
    if (m_service.m_stopBy) {
      m_run->EndBy(*m_service.m_stopBy);
    }
    m_run->Start(m_service.m_loop.Now());
    RearmTimer();
  }

  void EndBy(TimePoint aEnd)
  {
    m_run->EndBy(aEnd);
    RearmTimer();
  }

  void OnOutcome(uint32_t aSubRequest,
                 uint32_t aAttempt,
                 UpstreamAnswer aAnswer,
                 std::string_view aProblem)
  {
    std::shared_ptr<RequestJob> self = shared_from_this();
    AttemptRecord& record = FindAttempt(aSubRequest, aAttempt);
    TimePoint now = m_service.m_loop.Now();
    record.m_took = now - record.m_upstreamAttempt->m_sentAt;
    record.m_outcome = aAnswer.m_outcome;
    record.m_problem = aProblem;
    if (aAnswer.m_outcome == AttemptOutcome::kSuccess &&
        !AddSignature(aAnswer)) {
      aAnswer.m_outcome = AttemptOutcome::kBroken;
    }
    AttemptOutcome outcome = aAnswer.m_outcome;
    record.m_answer = std::move(aAnswer);
    m_run->OnOutcome(aSubRequest, aAttempt, outcome, now);
    RearmTimer();
  }

  void Send(uint32_t aSubRequest,
            uint32_t aAttempt,
            const ReplicaPtr& aReplica,
            AttemptReason aReason,
            Duration aDeadline) override
  {
    TimePoint now = m_service.m_loop.Now();
    auto attempt = std::make_shared<UpstreamAttempt>(UpstreamAttempt{
      .m_job = weak_from_this(),
      .m_subRequest = aSubRequest,
      .m_attempt = aAttempt,
      .m_replica = aReplica,
      .m_typicalLatency = m_service.m_latencies.Typical(m_route),
      .m_sentAt = now,
      .m_routes = m_routes,
      .m_route = &m_route });
    m_attempts.push_back({ .m_subRequest = aSubRequest,
                           .m_attempt = aAttempt,
                           .m_reason = aReason });
    m_attempts.back().m_upstreamAttempt = attempt;
    m_service.m_load.OnSent(*aReplica, now);
    Http1Request request = m_service.m_protocol.MakeUpstreamRequest(
      m_exchange->Request(), *aReplica, aDeadline);
    Http1Call call{ .m_address = aReplica->m_address,
                    .m_bytes = SerializeRequest(request),
                    .m_isHead = request.m_method == "HEAD",
                    // The run cancels the attempt before this timeout.
                    .m_timeout = aDeadline + kCallMargin };
    if (!m_route.m_idempotent) {
      call.m_maxIdleTime = m_service.m_options.m_maxIdleForNonIdempotent;
    }
    if (aAttempt > 0) {
      call.m_excludedConnections = UsedConnections(aSubRequest);
    }
    // Answers to requests without an identifier cannot be told apart.
    call.m_mayReuseConnection = !m_caller.m_attemptId.empty();
    call.m_matchAnswer =
      [protocol = &m_service.m_protocol,
       id = m_caller.m_attemptId](const Http1Response& aResponse) {
        return protocol->MatchAnswer(aResponse, id);
      };
    attempt->m_httpCall = m_service.m_client.Send(
      std::move(call), [service = &m_service, attempt](Http1Result aResult) {
        service->OnResult(attempt, std::move(aResult));
      });
  }

  void Cancel(uint32_t aSubRequest, uint32_t aAttempt) override
  {
    AttemptRecord& record = FindAttempt(aSubRequest, aAttempt);
    if (record.m_outcome) {
      return;
    }
    // Attempts of a request whose deadline passed or whose caller disconnected
    // are cancelled at once.
    if (m_callerGone || m_service.m_loop.Now() >= Deadline()) {
      m_service.CancelAttempt(record.m_upstreamAttempt);
    } else {
      m_service.CancelAttemptLater(record.m_upstreamAttempt);
    }
  }

  void Finish(const ForwardResult& aResult) override
  {
    TimePoint now = m_service.m_loop.Now();
    LogEnd(aResult, now);
    m_service.m_stats.OnRequestEnded(m_route.m_name,
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

private:
  // The job's record of one attempt.
  struct AttemptRecord
  {
    uint32_t m_subRequest = 0;
    uint32_t m_attempt = 0;
    AttemptReason m_reason = AttemptReason::kFirst;
    AttemptPtr m_upstreamAttempt;
    std::optional<AttemptOutcome> m_outcome;
    std::string_view m_problem;
    Duration m_took{};
    UpstreamAnswer m_answer;
  };

  [[nodiscard]] TimePoint Deadline() const
  {
    return m_exchange->ReceivedAt() + std::min(m_remaining, m_route.m_timeout);
  }

  // Records the caller's remaining time and returns the estimate of the time
  // that it had used before its request was read.
  [[nodiscard]] Duration ElapsedBeforeRead()
  {
    if (!m_caller.m_remaining) {
      return {};
    }
    CallerDeadlines& deadlines = m_service.m_deadlines;
    deadlines.Add(m_route.m_name, *m_caller.m_remaining);
    return deadlines.ElapsedTime(m_route.m_name, *m_caller.m_remaining);
  }

  AttemptRecord& FindAttempt(uint32_t aSubRequest, uint32_t aAttempt)
  {
    return *std::ranges::find_if(m_attempts, [&](const AttemptRecord& aRecord) {
      return aRecord.m_subRequest == aSubRequest &&
             aRecord.m_attempt == aAttempt;
    });
  }

  // Returns the connections that carried earlier attempts of a sub-request. All
  // attempts have the caller's identifier, by which upstreams mark their
  // answers.
  [[nodiscard]] std::vector<uint64_t> UsedConnections(
    uint32_t aSubRequest) const
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

  // Adds the signature of a part; returns false if the request already has it,
  // since each part counts once.
  bool AddSignature(const UpstreamAnswer& aAnswer)
  {
    return m_signatures.insert(aAnswer.m_signature).second;
  }

  Http1Response MakeAnswer(const ForwardResult& aResult)
  {
    const TrafficProtocol& protocol = m_service.m_protocol;
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

  Http1Response MakeForwardedAnswer(const ForwardResult& aResult)
  {
    const ChosenAnswer& chosen = aResult.m_answers.front();
    UpstreamAnswer answer =
      std::move(FindAttempt(chosen.m_subRequest, chosen.m_attempt).m_answer);
    bool statesNotExecuted =
      std::ranges::find(kNotExecutedStatuses, answer.m_response.m_status) !=
      kNotExecutedStatuses.end();
    if (statesNotExecuted) {
      return m_service.m_protocol.MakeOwnAnswer(
        kBadGatewayStatus, "upstream-failure", std::nullopt);
    }
    return m_service.m_protocol.MakeForwardedAnswer(std::move(answer));
  }

  Http1Response MakeGatheredAnswer(const ForwardResult& aResult)
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
    return m_service.m_protocol.MakeGatheredAnswer(
      signatures, aResult.m_missing, merger.Merge(bodies));
  }

  void OnTimer()
  {
    std::shared_ptr<RequestJob> self = shared_from_this();
    m_run->OnTimer(m_service.m_loop.Now());
    RearmTimer();
  }

  void OnCallerGone()
  {
    std::shared_ptr<RequestJob> self = shared_from_this();
    m_callerGone = true;
    m_run->Abandon();
    TimePoint now = m_service.m_loop.Now();
    m_service.m_stats.OnRequestEnded(
      m_route.m_name, "abandoned", now - m_exchange->ReceivedAt());
    m_service.m_log.Write(
      Event::kForwardAbandoned,
      { { "request", m_caller.m_attemptId },
        { "route", m_route.m_name },
        { "took_ms", FormatMs(now - m_exchange->ReceivedAt()) },
        { "sends", DescribeAttempts(now) } });
    Release();
  }

  void RearmTimer() { m_timer.Set(m_run->NextTimer()); }

  void Release()
  {
    m_timer.Set(std::nullopt);
    m_service.m_jobs.erase(this);
    m_self = nullptr;
  }

  static std::string FormatMs(Duration aDuration)
  {
    return absl::StrCat(ToMilliseconds(aDuration));
  }

  std::string DescribeAttempts(TimePoint aNow) const
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

  void LogEnd(const ForwardResult& aResult, TimePoint aNow)
  {
    m_service.m_log.Write(
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
        { "replicas_age_ms", FormatMs(m_service.m_replicaFeedAge.FeedAge()) },
        { "sends", DescribeAttempts(aNow) } });
  }

  ForwardService& m_service;
  std::shared_ptr<Http1Exchange> m_exchange;
  CallerRequest m_caller;
  std::shared_ptr<const RouteTable> m_routes;
  const Route& m_route;
  Duration m_remaining;
  UvTimer m_timer;
  std::optional<ForwardRun> m_run;
  std::vector<AttemptRecord> m_attempts;
  std::set<std::string> m_signatures;
  bool m_callerGone = false;
  // Keeps the job alive while it runs.
  std::shared_ptr<RequestJob> m_self;
};

ForwardService::ForwardService(UvLoop& aLoop,
                               Http1Client& aClient,
                               const TrafficProtocol& aProtocol,
                               RoutingState& aRouting,
                               const ReplicaFeedAge& aReplicaFeedAge,
                               ReplicaLoad& aLoad,
                               ExtraBudget& aBudget,
                               LineLog& aLog,
                               ForwardServiceOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_routing(aRouting)
  , m_replicaFeedAge(aReplicaFeedAge)
  , m_load(aLoad)
  , m_log(aLog)
  , m_options(aOptions)
  , m_environment{ .m_catalogue = aRouting.Catalogue(),
                   .m_load = aLoad,
                   .m_latencies = m_latencies,
                   .m_budget = aBudget,
                   .m_options = aOptions.m_run }
  , m_startQueue(aLoop.Now(), {})
  , m_startTimer(aLoop, [this]() { ServeWaiting(); })
  , m_lateAttemptTimer(aLoop, [this]() { CancelExpiredAttempts(); })
{
}

ForwardService::~ForwardService() = default;

void
ForwardService::OnRequest(std::shared_ptr<Http1Exchange> aExchange)
{
  if (m_started || !WaitForStart(aExchange)) {
    Serve(std::move(aExchange));
  }
}

void
ForwardService::OnStarted()
{
  if (!std::exchange(m_started, true)) {
    ServeWaiting();
  }
}

void
ForwardService::StopBy(TimePoint aEnd)
{
  m_stopBy = aEnd;
  for (RequestJob* job : m_jobs) {
    job->EndBy(aEnd);
  }
}

bool
ForwardService::WaitForStart(const std::shared_ptr<Http1Exchange>& aExchange)
{
  uint64_t id = m_nextWaitingId++;
  if (!m_startQueue.Add(id, m_loop.Now())) {
    return false;
  }
  m_waiting[id] = aExchange;
  aExchange->OnCallerDisconnect([this, id]() {
    m_startQueue.Remove(id);
    m_waiting.erase(id);
  });
  m_startTimer.Set(m_startQueue.NextTimer());
  return true;
}

void
ForwardService::ServeWaiting()
{
  std::vector<uint64_t> ids = m_startQueue.TakeAll();
  if (!ids.empty()) {
    m_log.Write(Event::kForwardStarted,
                { { "waiting", absl::StrCat(ids.size()) },
                  { "started", m_started ? "1" : "0" } });
  }
  for (uint64_t id : ids) {
    auto waiting = m_waiting.extract(id);
    if (!waiting.empty()) {
      Serve(std::move(waiting.mapped()));
    }
  }
}

void
ForwardService::Serve(std::shared_ptr<Http1Exchange> aExchange)
{
  CallerRequest caller = m_protocol.ReadCallerRequest(aExchange->Request());
  std::shared_ptr<const RouteTable> routes = m_routing.Routes();
  const Route* route =
    routes == nullptr
      ? nullptr
      : routes->Find(caller.m_host, PathOf(aExchange->Request().m_target));
  if (route == nullptr) {
    RejectWithoutRoute(*aExchange, caller);
    return;
  }
  auto job = std::make_shared<RequestJob>(
    *this, std::move(aExchange), std::move(caller), std::move(routes), *route);
  job->Start();
}

void
ForwardService::RejectWithoutRoute(Http1Exchange& aExchange,
                                   const CallerRequest& aCaller)
{
  const std::shared_ptr<const RouteTable>& routes = m_routing.Routes();
  // A stale feed may lack a route that another instance has.
  bool uncertain =
    routes == nullptr || m_replicaFeedAge.FeedAge() > m_options.m_staleFeedAge;
  int status = uncertain ? kUnavailableStatus : kNotFoundStatus;
  m_log.Write(
    Event::kForwardNoRoute,
    { { "request", aCaller.m_attemptId },
      { "host", aCaller.m_host },
      { "path", std::string(PathOf(aExchange.Request().m_target)) },
      { "version",
        routes == nullptr ? "none"
                          : absl::StrCat(routes->Config()->m_version) },
      { "status", absl::StrCat(status) } });
  if (uncertain) {
    aExchange.Answer(m_protocol.MakeOwnAnswer(
      status, "configuration-unknown", m_options.m_startRetryAfter));
  } else {
    aExchange.Answer(
      m_protocol.MakeOwnAnswer(status, "no-route", std::nullopt));
  }
}

std::vector<std::string>
ForwardService::ChooseServices(const Route& aRoute)
{
  if (aRoute.m_target == RouteTarget::kSplit) {
    return { m_splits[aRoute.m_name].Next(aRoute.m_split).m_service };
  }
  return aRoute.m_services;
}

void
ForwardService::OnResult(const AttemptPtr& aAttempt, Http1Result aResult)
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
  m_routing.ApplyNotices(*aAttempt->m_replica, answer.m_notices, m_loop.Now());
  if (std::shared_ptr<RequestJob> job = aAttempt->m_job.lock()) {
    job->OnOutcome(aAttempt->m_subRequest,
                   aAttempt->m_attempt,
                   std::move(answer),
                   aResult.m_problem);
  }
}

void
ForwardService::RecordOutcome(const UpstreamAttempt& aAttempt,
                              AttemptOutcome aOutcome,
                              std::string_view aProblem)
{
  TimePoint now = m_loop.Now();
  const Replica& replica = *aAttempt.m_replica;
  m_stats.OnAttemptEnded("any", AttemptOutcomeName(aOutcome));
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      m_load.OnAnswered(
        replica, aAttempt.m_sentAt, aAttempt.m_typicalLatency, now);
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
ForwardService::CancelAttempt(const AttemptPtr& aAttempt)
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
    m_load.OnAttemptCancelled(*aAttempt->m_replica, aAttempt->m_sentAt);
  }
  m_stats.OnAttemptEnded("any", "dropped");
}

void
ForwardService::CancelAttemptLater(const AttemptPtr& aAttempt)
{
  m_lateAttempts.push_back(
    { m_loop.Now() + m_options.m_lateAnswerTimeout, aAttempt });
  if (!m_lateAttemptTimer.IsSet()) {
    m_lateAttemptTimer.Set(m_lateAttempts.front().m_cancelAt);
  }
}

void
ForwardService::CancelExpiredAttempts()
{
  TimePoint now = m_loop.Now();
  while (!m_lateAttempts.empty() &&
         (m_lateAttempts.front().m_cancelAt <= now ||
          m_lateAttempts.front().m_upstreamAttempt->m_httpCall == 0)) {
    CancelAttempt(m_lateAttempts.front().m_upstreamAttempt);
    m_lateAttempts.pop_front();
  }
  if (!m_lateAttempts.empty()) {
    m_lateAttemptTimer.Set(m_lateAttempts.front().m_cancelAt);
  }
}

} // namespace ebonykeel
