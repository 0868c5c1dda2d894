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
// What a call to a searcher may last beyond the searcher's deadline.
constexpr Duration kCallMargin = Milliseconds(100);
// An unanswered sending speaks against its searcher once it took this many
// times the usual latency.
constexpr int kSlowFactor = 3;
// Statuses that promise that a request did not run: a searcher's answer that
// does not say so itself must not reach the caller with one of them.
constexpr std::array kPromiseStatuses = { 408, 421, 429, 503 };

} // namespace

// One caller's request.
class ForwardService::Job final
  : public ForwardPort
  , public std::enable_shared_from_this<ForwardService::Job>
{
public:
  Job(ForwardService& aService,
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
    m_exchange->OnCallerDisconnect([this]() { OnGone(); });
    m_run.emplace(ForwardRequest{ .m_route = &m_route,
                                  .m_services = m_service.ServicesOf(m_route),
                                  .m_receivedAt = m_exchange->ReceivedAt(),
                                  .m_remaining = m_remaining,
                                  .m_elapsed = SpentBefore() },
                  m_service.m_environment,
                  *this);
    m_run->Start(m_service.m_loop.Now());
    Arm();
  }

  void OnOutcome(uint32_t aLeg,
                 uint32_t aAttempt,
                 SearcherAnswer aAnswer,
                 std::string_view aProblem)
  {
    std::shared_ptr<Job> self = shared_from_this();
    Try& sending = TryOf(aLeg, aAttempt);
    TimePoint now = m_service.m_loop.Now();
    sending.m_took = now - sending.m_sending->m_sentAt;
    sending.m_outcome = aAnswer.m_outcome;
    sending.m_problem = aProblem;
    if (aAnswer.m_outcome == AttemptOutcome::kSuccess && !IsNewPart(aAnswer)) {
      aAnswer.m_outcome = AttemptOutcome::kBroken;
    }
    AttemptOutcome outcome = aAnswer.m_outcome;
    sending.m_answer = std::move(aAnswer);
    m_run->OnOutcome(aLeg, aAttempt, outcome, now);
    Arm();
  }

  void Send(uint32_t aLeg,
            uint32_t aAttempt,
            const ReplicaPtr& aReplica,
            AttemptReason aReason,
            Duration aDeadline) override
  {
    TimePoint now = m_service.m_loop.Now();
    auto sending = std::make_shared<Sending>(
      Sending{ .m_job = weak_from_this(),
               .m_leg = aLeg,
               .m_attempt = aAttempt,
               .m_replica = aReplica,
               .m_typical = m_service.m_latencies.Typical(m_route),
               .m_sentAt = now,
               .m_routes = m_routes,
               .m_route = &m_route });
    m_tries.push_back(
      { .m_leg = aLeg, .m_attempt = aAttempt, .m_reason = aReason });
    m_tries.back().m_sending = sending;
    m_service.m_load.OnSent(*aReplica, now);
    Http1Request request = m_service.m_protocol.ForSearcher(
      m_exchange->Request(), *aReplica, aDeadline);
    Http1Call call{ .m_address = aReplica->m_address,
                    .m_bytes = SerializeRequest(request),
                    .m_isHead = request.m_method == "HEAD",
                    // The run ends the wait; this bound only comes after it.
                    .m_timeout = aDeadline + kCallMargin };
    if (!m_route.m_idempotent) {
      call.m_maxIdleTime = m_service.m_options.m_mostIdleForOnce;
    }
    call.m_acceptsResponse =
      [protocol = &m_service.m_protocol,
       id = m_caller.m_attemptId](const Http1Response& aResponse) {
        return protocol->Belongs(aResponse, id);
      };
    sending->m_call = m_service.m_client.Send(
      std::move(call), [service = &m_service, sending](Http1Result aResult) {
        service->OnResult(sending, std::move(aResult));
      });
  }

  void Cancel(uint32_t aLeg, uint32_t aAttempt) override
  {
    Try& sending = TryOf(aLeg, aAttempt);
    if (sending.m_outcome) {
      return;
    }
    // A request that ran out of time or whose caller left is stopped at once.
    if (m_gone || m_service.m_loop.Now() >= Deadline()) {
      m_service.Drop(sending.m_sending);
    } else {
      m_service.DropLater(sending.m_sending);
    }
  }

  void Finish(const ForwardResult& aResult) override
  {
    TimePoint now = m_service.m_loop.Now();
    LogEnd(aResult, now);
    m_service.m_stats.OnEnded(m_route.m_name,
                              ForwardStatusName(aResult.m_status),
                              now - m_exchange->ReceivedAt());
    Http1Response response = Compose(aResult);
    for (Try& sending : m_tries) {
      if (!sending.m_outcome) {
        Cancel(sending.m_leg, sending.m_attempt);
      }
    }
    m_exchange->Answer(response);
    Release();
  }

private:
  // One sending, as the job remembers it.
  struct Try
  {
    uint32_t m_leg = 0;
    uint32_t m_attempt = 0;
    AttemptReason m_reason = AttemptReason::kFirst;
    SendingPtr m_sending;
    std::optional<AttemptOutcome> m_outcome;
    std::string_view m_problem;
    Duration m_took{};
    SearcherAnswer m_answer;
  };

  [[nodiscard]] TimePoint Deadline() const
  {
    return m_exchange->ReceivedAt() + std::min(m_remaining, m_route.m_timeout);
  }

  // Returns what the caller had waited before its request was read.
  [[nodiscard]] Duration SpentBefore()
  {
    if (!m_caller.m_remaining) {
      return {};
    }
    CallerDeadlines& deadlines = m_service.m_deadlines;
    deadlines.Add(m_route.m_name, *m_caller.m_remaining);
    return deadlines.ElapsedTime(m_route.m_name, *m_caller.m_remaining);
  }

  Try& TryOf(uint32_t aLeg, uint32_t aAttempt)
  {
    return *std::ranges::find_if(m_tries, [&](const Try& aTry) {
      return aTry.m_leg == aLeg && aTry.m_attempt == aAttempt;
    });
  }

  // Returns whether the signature has not been seen in this request: a part
  // counts once.
  bool IsNewPart(const SearcherAnswer& aAnswer)
  {
    return m_signatures.insert(aAnswer.m_signature).second;
  }

  Http1Response Compose(const ForwardResult& aResult)
  {
    const TrafficProtocol& protocol = m_service.m_protocol;
    switch (aResult.m_status) {
      case ForwardStatus::kWhole:
      case ForwardStatus::kPartial:
        if (m_route.m_target == RouteTarget::kShards) {
          return ComposeGathered(aResult);
        }
        return ComposePassedOn(aResult);
      case ForwardStatus::kUpstreamFailure:
        return ComposePassedOn(aResult);
      case ForwardStatus::kRefused:
        return protocol.Own(
          kUnavailableStatus, aResult.m_reason, aResult.m_retryAfter);
      case ForwardStatus::kFailed:
        return protocol.Own(kBadGatewayStatus, aResult.m_reason, std::nullopt);
      case ForwardStatus::kTimedOut:
        return protocol.Own(kTimeoutStatus, aResult.m_reason, std::nullopt);
    }
    return protocol.Own(kBadGatewayStatus, aResult.m_reason, std::nullopt);
  }

  Http1Response ComposePassedOn(const ForwardResult& aResult)
  {
    const ChosenAnswer& chosen = aResult.m_answers.front();
    SearcherAnswer answer =
      std::move(TryOf(chosen.m_subRequest, chosen.m_attempt).m_answer);
    bool promises =
      std::ranges::find(kPromiseStatuses, answer.m_response.m_status) !=
      kPromiseStatuses.end();
    if (promises) {
      return m_service.m_protocol.Own(
        kBadGatewayStatus, "upstream-failure", std::nullopt);
    }
    return m_service.m_protocol.PassOn(std::move(answer));
  }

  Http1Response ComposeGathered(const ForwardResult& aResult)
  {
    std::vector<std::string_view> signatures;
    std::vector<std::string_view> bodies;
    for (const ChosenAnswer& chosen : aResult.m_answers) {
      const Try& part = TryOf(chosen.m_subRequest, chosen.m_attempt);
      signatures.push_back(part.m_answer.m_signature);
      bodies.push_back(part.m_answer.m_response.m_body);
    }
    TopRecordsMerger merger(kRecordBytes, m_route.m_topRecords);
    return m_service.m_protocol.Gathered(
      signatures, aResult.m_missing, merger.Merge(bodies));
  }

  void OnTimer()
  {
    std::shared_ptr<Job> self = shared_from_this();
    m_run->OnTimer(m_service.m_loop.Now());
    Arm();
  }

  void OnGone()
  {
    std::shared_ptr<Job> self = shared_from_this();
    m_gone = true;
    m_run->Abandon();
    TimePoint now = m_service.m_loop.Now();
    m_service.m_stats.OnEnded(
      m_route.m_name, "abandoned", now - m_exchange->ReceivedAt());
    m_service.m_log.Write(
      Event::kForwardAbandoned,
      { { "request", m_caller.m_attemptId },
        { "route", m_route.m_name },
        { "took_ms", FormatMs(now - m_exchange->ReceivedAt()) },
        { "sends", DescribeTries(now) } });
    Release();
  }

  void Arm() { m_timer.Set(m_run->NextTimer()); }

  void Release()
  {
    m_timer.Set(std::nullopt);
    m_self = nullptr;
  }

  static std::string FormatMs(Duration aSpan)
  {
    return absl::StrCat(ToMilliseconds(aSpan));
  }

  std::string DescribeTries(TimePoint aNow) const
  {
    std::string text;
    for (const Try& sending : m_tries) {
      Duration took =
        sending.m_outcome ? sending.m_took : aNow - sending.m_sending->m_sentAt;
      std::string_view outcome =
        sending.m_outcome ? AttemptOutcomeName(*sending.m_outcome) : "open";
      absl::StrAppend(
        &text,
        text.empty() ? "" : ",",
        sending.m_leg,
        ":",
        sending.m_sending->m_replica->m_id,
        ":",
        std::string(AttemptReasonName(sending.m_reason)),
        ":",
        std::string(outcome),
        sending.m_problem.empty() ? "" : "/",
        std::string(sending.m_problem),
        ":",
        ToMilliseconds(sending.m_sending->m_sentAt - m_exchange->ReceivedAt()),
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
        { "replicas_age_ms", FormatMs(m_service.m_viewAge.ReplicasAge()) },
        { "sends", DescribeTries(aNow) } });
  }

  ForwardService& m_service;
  std::shared_ptr<Http1Exchange> m_exchange;
  CallerRequest m_caller;
  std::shared_ptr<const RouteTable> m_routes;
  const Route& m_route;
  Duration m_remaining;
  UvTimer m_timer;
  std::optional<ForwardRun> m_run;
  std::vector<Try> m_tries;
  std::set<std::string> m_signatures;
  bool m_gone = false;
  // Keeps the job while it runs.
  std::shared_ptr<Job> m_self;
};

ForwardService::ForwardService(UvLoop& aLoop,
                               Http1Client& aClient,
                               const TrafficProtocol& aProtocol,
                               const TrafficState& aState,
                               const ViewAge& aViewAge,
                               ReplicaLoad& aLoad,
                               ExtraBudget& aBudget,
                               LineLog& aLog,
                               ForwardServiceOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_state(aState)
  , m_viewAge(aViewAge)
  , m_load(aLoad)
  , m_log(aLog)
  , m_options(aOptions)
  , m_environment{ .m_catalogue = aState.Catalogue(),
                   .m_load = aLoad,
                   .m_latencies = m_latencies,
                   .m_budget = aBudget,
                   .m_options = aOptions.m_run }
  , m_startQueue(aLoop.Now(), {})
  , m_startTimer(aLoop, [this]() { EndWaiting(); })
  , m_lateTimer(aLoop, [this]() { SweepLate(); })
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
    EndWaiting();
  }
}

bool
ForwardService::WaitForStart(const std::shared_ptr<Http1Exchange>& aExchange)
{
  uint64_t id = m_nextWaiting++;
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
ForwardService::EndWaiting()
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
  CallerRequest caller = m_protocol.ReadCaller(aExchange->Request());
  std::shared_ptr<const RouteTable> routes = m_state.Routes();
  const Route* route =
    routes == nullptr
      ? nullptr
      : routes->Find(caller.m_host, PathOf(aExchange->Request().m_target));
  if (route == nullptr) {
    RejectWithoutRoute(*aExchange, caller);
    return;
  }
  auto job = std::make_shared<Job>(
    *this, std::move(aExchange), std::move(caller), std::move(routes), *route);
  job->Start();
}

void
ForwardService::RejectWithoutRoute(Http1Exchange& aExchange,
                                   const CallerRequest& aCaller)
{
  const std::shared_ptr<const RouteTable>& routes = m_state.Routes();
  // An old copy may lack the route: somebody else may know it.
  bool unsure =
    routes == nullptr || m_viewAge.ReplicasAge() > m_options.m_oldView;
  int status = unsure ? kUnavailableStatus : kNotFoundStatus;
  m_log.Write(
    Event::kForwardNoRoute,
    { { "request", aCaller.m_attemptId },
      { "host", aCaller.m_host },
      { "path", std::string(PathOf(aExchange.Request().m_target)) },
      { "version",
        routes == nullptr ? "none"
                          : absl::StrCat(routes->Config()->m_version) },
      { "status", absl::StrCat(status) } });
  if (unsure) {
    aExchange.Answer(m_protocol.Own(
      status, "configuration-unknown", m_options.m_startRetryAfter));
  } else {
    aExchange.Answer(m_protocol.Own(status, "no-route", std::nullopt));
  }
}

std::vector<std::string>
ForwardService::ServicesOf(const Route& aRoute)
{
  if (aRoute.m_target == RouteTarget::kSplit) {
    return { m_splits[aRoute.m_name].Next(aRoute.m_split).m_service };
  }
  return aRoute.m_services;
}

void
ForwardService::OnResult(const SendingPtr& aSending, Http1Result aResult)
{
  SearcherAnswer answer;
  switch (aResult.m_outcome) {
    case Http1Outcome::kAnswered:
      answer = m_protocol.ReadSearcher(std::move(aResult.m_response));
      break;
    case Http1Outcome::kNotSent:
      answer.m_outcome = AttemptOutcome::kNotSent;
      break;
    case Http1Outcome::kBroken:
      answer.m_outcome = AttemptOutcome::kBroken;
      break;
  }
  aSending->m_call = 0;
  Account(*aSending, answer.m_outcome, aResult.m_problem);
  if (std::shared_ptr<Job> job = aSending->m_job.lock()) {
    job->OnOutcome(aSending->m_leg,
                   aSending->m_attempt,
                   std::move(answer),
                   aResult.m_problem);
  }
}

void
ForwardService::Account(const Sending& aSending,
                        AttemptOutcome aOutcome,
                        std::string_view aWhy)
{
  TimePoint now = m_loop.Now();
  const Replica& replica = *aSending.m_replica;
  m_stats.OnSending("any", AttemptOutcomeName(aOutcome));
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      m_load.OnAnswered(replica, aSending.m_sentAt, aSending.m_typical, now);
      m_latencies.Add(*aSending.m_route, now - aSending.m_sentAt);
      break;
    case AttemptOutcome::kFailure:
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kBroken:
      m_load.OnFailed(replica, aSending.m_sentAt, now);
      break;
    case AttemptOutcome::kWrongInstance:
    case AttemptOutcome::kNotSent:
      m_load.OnUnreachable(replica, aSending.m_sentAt, now);
      m_client.CloseIdle(replica.m_address);
      m_log.Write(Event::kReplicaUnreachable,
                  { { "replica", replica.m_id },
                    { "service", replica.m_service },
                    { "outcome", std::string(AttemptOutcomeName(aOutcome)) },
                    { "problem", std::string(aWhy) } });
      break;
  }
}

void
ForwardService::Drop(const SendingPtr& aSending)
{
  if (aSending->m_call == 0) {
    return;
  }
  m_client.Cancel(std::exchange(aSending->m_call, 0));
  TimePoint now = m_loop.Now();
  bool slow = now - aSending->m_sentAt > aSending->m_typical * kSlowFactor;
  if (slow) {
    m_load.OnAttemptCancelledLate(
      *aSending->m_replica, aSending->m_sentAt, aSending->m_typical, now);
  } else {
    m_load.OnAttemptCancelled(*aSending->m_replica, aSending->m_sentAt);
  }
  m_stats.OnSending("any", "dropped");
}

void
ForwardService::DropLater(const SendingPtr& aSending)
{
  m_late.push_back({ m_loop.Now() + m_options.m_lateAnswerWait, aSending });
  if (!m_lateTimer.IsSet()) {
    m_lateTimer.Set(m_late.front().m_until);
  }
}

void
ForwardService::SweepLate()
{
  TimePoint now = m_loop.Now();
  while (!m_late.empty() && (m_late.front().m_until <= now ||
                             m_late.front().m_sending->m_call == 0)) {
    Drop(m_late.front().m_sending);
    m_late.pop_front();
  }
  if (!m_late.empty()) {
    m_lateTimer.Set(m_late.front().m_until);
  }
}

} // namespace ebonykeel
