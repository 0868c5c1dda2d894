#include "node/entry/forward_service.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr int kUnauthorizedStatus = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kUnavailableStatus = 503;

// The longest wait for a token of a quota: a granter in any data centre answers
// within it.
constexpr Duration kMaxQuotaWait = Milliseconds(20);
// The wait is at most the route's target latency divided by this.
constexpr int kQuotaWaitsPerTarget = 5;

} // namespace

ForwardService::ForwardService(UvLoop& aLoop,
                               Http1Client& aClient,
                               const TrafficProtocol& aProtocol,
                               RoutingState& aRouting,
                               const ReplicaFeedAge& aReplicaFeedAge,
                               ReplicaLoad& aLoad,
                               ExtraBudget& aBudget,
                               QuotaService* aQuota,
                               LineLog& aLog,
                               ForwardServiceOptions aOptions)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_routing(aRouting)
  , m_replicaFeedAge(aReplicaFeedAge)
  , m_quota(aQuota)
  , m_log(aLog)
  , m_options(aOptions)
  , m_environment{ .m_catalogue = aRouting.Catalogue(),
                   .m_load = aLoad,
                   .m_latencies = m_latencies,
                   .m_budget = aBudget,
                   .m_options = aOptions.m_run }
  , m_sender(aLoop,
             aClient,
             aProtocol,
             aRouting,
             m_environment,
             m_stats,
             aLog,
             aOptions.m_sender)
  , m_jobContext{ .m_loop = aLoop,
                  .m_protocol = aProtocol,
                  .m_sender = m_sender,
                  .m_environment = m_environment,
                  .m_deadlines = m_deadlines,
                  .m_replicaFeedAge = aReplicaFeedAge,
                  .m_stats = m_stats,
                  .m_log = aLog,
                  .m_observer = *this }
  , m_startQueue(aLoop.Now(), {})
  , m_startTimer(aLoop, [this]() { ServeWaiting(); })
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
ForwardService::SetVersionChooser(VersionChooser* aVersions)
{
  m_environment.m_versions = aVersions;
  m_sender.SetVersionChooser(aVersions);
}

void
ForwardService::OnConfigurationChanged()
{
  const std::shared_ptr<const RouteTable>& routes = m_routing.Routes();
  // The answer to one request may start or end others.
  std::vector<std::shared_ptr<RequestJob>> notRun;
  for (const auto& [key, job] : m_jobs) {
    if (!job->MayHaveRun()) {
      notRun.push_back(job);
    }
  }
  for (const std::shared_ptr<RequestJob>& job : notRun) {
    const CallerRequest& caller = job->Caller();
    const Route* found =
      routes->Find(caller.m_host, PathOf(job->Request().m_target));
    // A request whose route is gone is still served by its old route.
    const Route& route = found == nullptr ? job->ChosenRoute() : *found;
    CallerAccess access = CheckAccess(*routes, route, caller.m_key);
    if (access.m_refusal) {
      job->Refuse("no-access",
                  MakeAccessRefusal(caller, route, *access.m_refusal));
    } else {
      job->SetCaller(IdentityOf(*routes->Config(), access.m_workspace));
    }
  }
}

void
ForwardService::StopBy(TimePoint aEnd)
{
  m_stopBy = aEnd;
  for (const auto& [key, job] : m_jobs) {
    job->EndBy(aEnd);
  }
}

RouteAnswer
ForwardService::ExplainRoute(const RouteQuestion& aQuestion)
{
  QuotaView unknownQuotas;
  RouteContext context{ .m_routes = m_routing.Routes(),
                        .m_isStarting = !m_started,
                        .m_mayLackConfiguration = MayLackConfiguration(),
                        .m_startRetryAfter = m_options.m_startRetryAfter,
                        .m_environment = m_environment,
                        .m_splits = m_splits,
                        .m_quotas =
                          m_quota == nullptr ? unknownQuotas : *m_quota,
                        .m_endBy = m_stopBy };
  return ebonykeel::ExplainRoute(aQuestion, context, m_loop.Now());
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
ForwardService::Serve(std::shared_ptr<Http1Exchange> aExchange,
                      std::optional<Admission> aAdmission)
{
  CallerRequest caller = m_protocol.ReadCallerRequest(aExchange->Request());
  std::shared_ptr<const RouteTable> routes = m_routing.Routes();
  const Route* route =
    routes == nullptr
      ? nullptr
      : routes->Find(caller.m_host, PathOf(aExchange->Request().m_target));
  CallerAccess access;
  if (route != nullptr) {
    access = CheckAccess(*routes, *route, caller.m_key);
  }
  // The configuration may have changed while the request waited.
  if (aAdmission && (access.m_workspace == nullptr ||
                     access.m_workspace->m_name != aAdmission->m_workspace)) {
    GiveBack(*std::exchange(aAdmission, std::nullopt));
  }
  if (route == nullptr) {
    RejectWithoutRoute(*aExchange, caller);
    return;
  }
  if (access.m_refusal) {
    aExchange->Answer(MakeAccessRefusal(caller, *route, *access.m_refusal));
    return;
  }
  if (m_quota != nullptr && access.m_workspace != nullptr && !aAdmission) {
    aAdmission = AskQuota(aExchange, caller, *route, *access.m_workspace);
    if (!aAdmission) {
      return;
    }
  }
  std::vector<std::string> services = ChooseServices(*route);
  auto job = std::make_shared<RequestJob>(m_jobContext,
                                          std::move(aExchange),
                                          std::move(caller),
                                          std::move(routes),
                                          *route,
                                          access.m_workspace,
                                          std::move(services));
  m_jobs.emplace(job.get(), job);
  if (aAdmission) {
    m_admissions.emplace(job.get(), std::move(*aAdmission));
  }
  job->Start(m_stopBy);
}

std::optional<ForwardService::Admission>
ForwardService::AskQuota(const std::shared_ptr<Http1Exchange>& aExchange,
                         const CallerRequest& aCaller,
                         const Route& aRoute,
                         const Workspace& aWorkspace)
{
  const std::string& workspace = aWorkspace.m_name;
  Duration maxWait =
    std::min(kMaxQuotaWait, aRoute.m_targetLatency / kQuotaWaitsPerTarget);
  QuotaAdmission admission = m_quota->Admit(
    aWorkspace,
    maxWait,
    [this, exchange = aExchange, workspace](const QuotaDecision& aDecision) {
      OnQuotaDecision(exchange, workspace, aDecision);
    });
  if (!admission.m_decision) {
    aExchange->OnCallerDisconnect(
      [this, id = admission.m_id]() { m_quota->Cancel(id); });
    return std::nullopt;
  }
  if (admission.m_decision->m_outcome == QuotaOutcome::kRefused) {
    RefuseByQuota(
      *aExchange, aCaller, aRoute.m_name, admission.m_decision->m_retryAfter);
    return std::nullopt;
  }
  return Admission{ workspace, *admission.m_decision };
}

void
ForwardService::OnQuotaDecision(std::shared_ptr<Http1Exchange> aExchange,
                                const std::string& aWorkspace,
                                const QuotaDecision& aDecision)
{
  aExchange->OnCallerDisconnect({});
  if (aDecision.m_outcome == QuotaOutcome::kAdmitted) {
    Serve(std::move(aExchange), Admission{ aWorkspace, aDecision });
    return;
  }
  CallerRequest caller = m_protocol.ReadCallerRequest(aExchange->Request());
  const Route* route = m_routing.Routes()->Find(
    caller.m_host, PathOf(aExchange->Request().m_target));
  RefuseByQuota(*aExchange,
                caller,
                route == nullptr ? "" : route->m_name,
                aDecision.m_retryAfter);
}

void
ForwardService::RefuseByQuota(Http1Exchange& aExchange,
                              const CallerRequest& aCaller,
                              std::string_view aRoute,
                              Duration aRetryAfter)
{
  Duration took = m_loop.Now() - aExchange.ReceivedAt();
  std::string route(aRoute);
  m_stats.OnRequestEnded(route, "over-quota", took);
  m_log.Write(
    Event::kForwardEnded,
    { { "request", aCaller.m_attemptId },
      { "route", route },
      { "version", absl::StrCat(m_routing.Routes()->Config()->m_version) },
      { "status", "refused" },
      { "outcome", "not-run" },
      { "reason", "over-quota" },
      { "took_ms", absl::StrCat(ToMilliseconds(took)) },
      { "sends", "" } });
  // Rounded up, so that the caller does not return before the token comes.
  aExchange.Answer(m_protocol.MakeOwnAnswer(
    kTooManyRequestsStatus,
    "over-quota",
    std::chrono::ceil<std::chrono::milliseconds>(aRetryAfter)));
}

void
ForwardService::GiveBack(const Admission& aAdmission)
{
  m_quota->GiveBack(aAdmission.m_workspace, aAdmission.m_decision);
}

void
ForwardService::RejectWithoutRoute(Http1Exchange& aExchange,
                                   const CallerRequest& aCaller)
{
  const std::shared_ptr<const RouteTable>& routes = m_routing.Routes();
  bool uncertain = MayLackConfiguration();
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

Http1Response
ForwardService::MakeAccessRefusal(const CallerRequest& aCaller,
                                  const Route& aRoute,
                                  AccessRefusal aReason)
{
  bool uncertain = MayLackConfiguration();
  int status = uncertain ? kUnavailableStatus : kUnauthorizedStatus;
  std::string_view reason =
    uncertain ? "configuration-unknown" : AccessRefusalName(aReason);
  m_stats.OnAccessRefused(reason);
  m_log.Write(
    Event::kAccessRefused,
    { { "request", aCaller.m_attemptId },
      { "route", aRoute.m_name },
      { "version", absl::StrCat(m_routing.Routes()->Config()->m_version) },
      { "reason", std::string(AccessRefusalName(aReason)) },
      { "status", absl::StrCat(status) } });
  return m_protocol.MakeOwnAnswer(
    status,
    reason,
    uncertain ? std::optional(m_options.m_startRetryAfter) : std::nullopt);
}

bool
ForwardService::MayLackConfiguration() const
{
  // A stale feed may lack a route or a key that another instance has.
  return m_routing.Routes() == nullptr ||
         m_replicaFeedAge.FeedAge() > m_options.m_staleFeedAge;
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
ForwardService::OnJobEnded(const RequestJob& aJob)
{
  auto admission = m_admissions.extract(&aJob);
  bool mayHaveRun = aJob.MayHaveRun();
  m_jobs.erase(&aJob);
  if (!admission.empty() && !mayHaveRun) {
    GiveBack(admission.mapped());
  }
}

} // namespace ebonykeel
