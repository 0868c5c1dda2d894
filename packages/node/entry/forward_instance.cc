#include "node/entry/forward_instance.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/base/stable_hash.h"
#include "core/fleet/store_readers.h"
#include "core/forward/service_coverage.h"

namespace ebonykeel {
namespace {

// The interval between updates of the reader role, the budget and the log.
constexpr Duration kTickInterval = Milliseconds(100);
// The same interval while the instance starts and is not ready yet.
constexpr Duration kStartingTickInterval = Milliseconds(10);
// The assumed age of a feed that was never complete.
constexpr Duration kMissingFeedAge = Seconds(3600);
// How long an instance must be dead before it is removed from the store's list.
constexpr Duration kUnregisterDelay = Seconds(60);
// If the feeds are older, the store counts as away for roll-outs.
constexpr Duration kMaxRolloutFeedAge = Seconds(4);
// The part of the stop timeout that is reserved for the exit of the process.
constexpr Duration kExitMargin = Milliseconds(400);
// The part of the stop timeout before that, in which the last answers reach
// their callers.
constexpr Duration kLastAnswersMargin = Milliseconds(300);

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

constexpr double kCapacityPerProcessor = 1000;

uint32_t
CapacityOf(const ForwardSettings& aSettings)
{
  return static_cast<uint32_t>(aSettings.m_processors * kCapacityPerProcessor);
}

FleetServiceOptions
FleetOptionsFrom(const ForwardSettings& aSettings)
{
  // Later runs get greater incarnations as long as the wall clock is right; an
  // instance that receives a greater incarnation of its own raises it further.
  auto seconds = static_cast<uint64_t>(std::time(nullptr));
  constexpr uint64_t kIncarnationsPerSecond = 1000;
  return { .m_self = { .m_host = aSettings.m_host,
                       .m_incarnation = seconds * kIncarnationsPerSecond,
                       .m_dataCentre = aSettings.m_dataCentre,
                       .m_capacity = CapacityOf(aSettings) },
           .m_seeds = aSettings.m_seeds,
           .m_port = aSettings.m_listen.m_peerPort };
}

DirectoryOptions
DirectoryOptionsFrom(const ForwardSettings& aSettings)
{
  return { .m_answerTtl = aSettings.m_directoryAnswerTtl,
           .m_instancesPerCaller =
             static_cast<size_t>(aSettings.m_instancesPerCaller),
           .m_callerPort = aSettings.m_listen.m_callers.m_port,
           .m_retryAfter = kTickInterval };
}

ForwardServiceOptions
ForwardOptionsFrom(const ForwardSettings& aSettings)
{
  ForwardServiceOptions options;
  options.m_run.m_hedging = aSettings.m_hedging;
  options.m_run.m_earlyAnswers = aSettings.m_earlyAnswers;
  return options;
}

} // namespace

// Answers directory queries, readiness checks and requests for metrics.
class ForwardInstance::AuxiliaryHandler final : public Http1Handler
{
public:
  explicit AuxiliaryHandler(ForwardInstance& aInstance)
    : m_instance(aInstance)
  {
  }

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override
  {
    const Http1Request& request = aExchange->Request();
    if (std::optional<DirectoryQuery> query =
          m_instance.m_traffic.ReadDirectoryQuery(request)) {
      aExchange->Answer(m_instance.m_directory.Answer(*query));
    } else if (m_instance.m_traffic.IsReadinessCheck(request)) {
      aExchange->Answer(m_instance.AnswerReadiness());
    } else if (PathOf(request.m_target) == "/metrics") {
      aExchange->Answer(
        { .m_status = kOkStatus,
          .m_headers = { { "Content-Type", "text/plain; version=0.0.4" } },
          .m_body = m_instance.RenderMetrics() });
    } else {
      aExchange->Answer({ .m_status = kNotFoundStatus });
    }
  }

private:
  ForwardInstance& m_instance;
};

ForwardInstance::ForwardInstance(UvLoop& aLoop,
                                 ForwardSettings aSettings,
                                 const TrafficProtocol& aTraffic,
                                 const StoreProtocol& aStore,
                                 LineLog& aLog)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_traffic(aTraffic)
  , m_log(aLog)
  , m_startedAt(aLoop.Now())
  , m_feeds(MakeStoreFeeds())
  , m_feedUpkeep(aLoop, m_feeds, aLog)
  , m_upstreamClient(aLoop, {})
  , m_controlClient(aLoop, {})
  , m_load({ .m_dataCentre = m_settings.m_dataCentre,
             .m_forecastStalls = m_settings.m_foreseeStalls,
             .m_placeByWork = m_settings.m_placement == PlacementPolicy::kWork,
             .m_pushback = { .m_seed = StableHash(m_settings.m_host) } })
  , m_budget({ .m_share = m_settings.m_extraShare,
               .m_burst = static_cast<double>(m_settings.m_extraBurst),
               .m_window = m_settings.m_extraWindow },
             m_settings.m_host)
  , m_routing(aStore, m_load, aLog)
  , m_reader(aLoop,
             m_controlClient,
             aStore,
             m_feeds,
             aLog,
             { .m_store = m_settings.m_store,
               .m_readRollouts = m_settings.m_rollout.has_value() },
             *this)
  , m_fleet(aLoop,
            m_controlClient,
            m_feeds,
            aLog,
            FleetOptionsFrom(m_settings),
            *this)
  , m_instanceList(aLoop,
                   m_controlClient,
                   aStore,
                   { .m_host = m_settings.m_host,
                     .m_dataCentre = m_settings.m_dataCentre,
                     .m_store = m_settings.m_store },
                   [this](const std::vector<std::string>& aHosts) {
                     m_fleet.AddSeeds(aHosts);
                   })
  , m_directory(aLoop,
                aTraffic,
                m_fleet.View(),
                m_reachability,
                DirectoryOptionsFrom(m_settings))
  , m_quota(QuotaService::Make(aLoop, *this, aLog, m_settings))
  , m_rollouts(
      m_settings.m_rollout
        ? std::make_unique<RolloutService>(
            aLoop,
            m_controlClient,
            aStore,
            m_routing,
            m_fleet,
            aLog,
            RolloutOptionsFrom(m_settings, m_fleet.View().Self().m_incarnation))
        : nullptr)
  , m_forward(aLoop,
              m_upstreamClient,
              aTraffic,
              m_routing,
              *this,
              m_load,
              m_budget,
              m_quota ? &*m_quota : nullptr,
              aLog,
              ForwardOptionsFrom(m_settings))
  , m_callerServer(aLoop, m_forward, {})
  , m_auxiliaryHandler(std::make_unique<AuxiliaryHandler>(*this))
  , m_metricsHandler(aLoop,
                     m_forward,
                     { .m_id = m_settings.m_id.Text(),
                       .m_dataCentre = m_settings.m_dataCentre },
                     *m_auxiliaryHandler)
  , m_directoryServer(aLoop, *m_auxiliaryHandler, {})
  , m_readinessServer(aLoop, *m_auxiliaryHandler, {})
  , m_metricsServer(aLoop, m_metricsHandler, {})
  , m_tickTimer(aLoop, [this]() { OnTick(); })
{
  if (m_rollouts != nullptr) {
    m_forward.SetVersionChooser(&m_rollouts->Chooser());
  }
}

ForwardInstance::~ForwardInstance() = default;

std::string
ForwardInstance::Start()
{
  const ForwardListenSettings& listen = m_settings.m_listen;
  std::string problem = m_fleet.Start();
  auto listenOn = [&](Http1Server& aServer, const Address& aAddress) {
    if (problem.empty()) {
      problem = aServer.Listen(aAddress);
    }
  };
  listenOn(m_callerServer, listen.m_callers);
  listenOn(m_directoryServer, listen.m_directory);
  listenOn(m_readinessServer, listen.m_readiness);
  if (listen.m_metricsPort != 0) {
    listenOn(m_metricsServer, { m_settings.m_host, listen.m_metricsPort });
  }
  if (!problem.empty()) {
    return problem;
  }
  m_log.Write(Event::kInstanceStarted,
              { { "id", m_settings.m_id.Text() },
                { "data_centre", m_settings.m_dataCentre.Text() },
                { "public", FormatAddress(listen.m_callers) },
                { "admin", FormatAddress(listen.m_directory) },
                { "peer", absl::StrCat(listen.m_peerPort) } });
  OnTick();
  return {};
}

void
ForwardInstance::Reload(const ForwardSettings& aSettings)
{
  m_settings.m_seeds = aSettings.m_seeds;
  m_settings.m_directoryAnswerTtl = aSettings.m_directoryAnswerTtl;
  m_settings.m_instancesPerCaller = aSettings.m_instancesPerCaller;
  m_directory.SetOptions(DirectoryOptionsFrom(m_settings));
  m_settings.m_stopTimeout = aSettings.m_stopTimeout;
  m_fleet.AddSeeds(m_settings.m_seeds);
}

void
ForwardInstance::Stop(std::function<void()> aDone)
{
  if (m_stoppingSince) {
    return;
  }
  m_stoppingSince = m_loop.Now();
  m_onStopped = std::move(aDone);
  m_log.Write(Event::kInstanceStopping, { { "id", m_settings.m_id.Text() } });
  m_reader.SetActive(false);
  UpdateSelf();
  m_callerServer.BeginShutdown(false);
  m_forward.StopBy(*m_stoppingSince + m_settings.m_stopTimeout - kExitMargin -
                   kLastAnswersMargin);
}

void
ForwardInstance::OnObjectChanged(FeedKind aKind, const FeedObject& aObject)
{
  ApplyObject(aKind, aObject);
}

void
ForwardInstance::OnFeedRead(FeedKind aKind, bool aChanged)
{
  CheckEras();
  if (aChanged) {
    if (aKind == FeedKind::kConfiguration) {
      ApplyLimits();
    }
    m_directory.SetUpstreamCounts(m_routing.CountGatheredUpstreams());
    UpdateSelf();
    m_fleet.AnnounceFeeds();
  }
}

void
ForwardInstance::OnStoreReachabilityChanged(bool aReachable)
{
  m_storeReachable = aReachable;
  UpdateSelf();
  UpdateReaderRole();
}

void
ForwardInstance::OnFleetChanged()
{
  UpdateReaderRole();
  UpdateQuota();
}

void
ForwardInstance::OnObjectMerged(FeedKind aKind, const FeedObject& aObject)
{
  ApplyObject(aKind, aObject);
}

void
ForwardInstance::OnMergeCompleted()
{
  CheckEras();
  ApplyLimits();
  m_directory.SetUpstreamCounts(m_routing.CountGatheredUpstreams());
  UpdateSelf();
}

void
ForwardInstance::OnPeerPayload(const FleetRecord& aSender,
                               PeerTopic aTopic,
                               std::string_view aPayload)
{
  switch (aTopic) {
    case PeerTopic::kQuota:
      if (m_quota) {
        m_quota->OnPeerPayload(aSender, aPayload);
      }
      break;
    case PeerTopic::kRollout:
      if (m_rollouts != nullptr) {
        m_rollouts->OnPayload(aSender.m_host, aPayload);
      }
      break;
    case PeerTopic::kNone:
      break;
  }
}

void
ForwardInstance::SendQuotaMessage(const std::string& aHost, std::string aBytes)
{
  m_fleet.SendPayload(aHost, PeerTopic::kQuota, std::move(aBytes));
}

Duration
ForwardInstance::FeedAge() const
{
  const ObjectFeed& feed = m_feeds[static_cast<size_t>(FeedKind::kReplicas)];
  return feed.Age(m_loop.Now()).value_or(kMissingFeedAge);
}

void
ForwardInstance::OnTick()
{
  if (m_feedUpkeep.CheckSuspension() && m_rollouts != nullptr) {
    m_rollouts->OnSuspended();
  }
  ReleaseRetained();
  UpdateReaderRole();
  MaintainInstanceList();
  UpdateReachability();
  UpdateBudget();
  UpdateQuota();
  m_routing.LogResumed(m_loop.Now());
  if (m_rollouts != nullptr) {
    m_rollouts->OnTimer(m_storeReachable && FeedAge() < kMaxRolloutFeedAge);
  }
  if (m_stoppingSince) {
    ContinueStop();
  }
  m_log.Flush();
  m_tickTimer.Set(m_loop.Now() +
                  (IsReady() ? kTickInterval : kStartingTickInterval));
}

void
ForwardInstance::ApplyObject(FeedKind aKind, const FeedObject& aObject)
{
  if (m_rollouts != nullptr && aKind == FeedKind::kRollouts) {
    m_rollouts->ApplyObject(aObject);
  }
  std::shared_ptr<const RouteTable> previous = m_routing.Routes();
  m_routing.ApplyObject(aKind, aObject, m_loop.Now());
  if (m_routing.Routes() != previous) {
    if (m_quota) {
      m_quota->SetConfiguration(m_routing.Routes()->Config());
    }
    m_forward.OnConfigurationChanged();
  }
}

void
ForwardInstance::CheckEras()
{
  if (m_feedUpkeep.CheckEras()) {
    m_instanceList.OnEraEntered();
  }
}

void
ForwardInstance::ReleaseRetained()
{
  bool isReleased = m_feedUpkeep.ReleaseRetained(
    [this](FeedKind aKind, const FeedObject& aObject) {
      ApplyObject(aKind, aObject);
    });
  if (isReleased) {
    m_directory.SetUpstreamCounts(m_routing.CountGatheredUpstreams());
  }
}

void
ForwardInstance::UpdateSelf()
{
  FleetState state =
    m_stoppingSince ? FleetState::kLeaving : FleetState::kAlive;
  bool ready = IsReady();
  if (ready) {
    m_forward.OnStarted();
  }
  m_fleet.SetSelf(state, ready, m_storeReachable);
}

void
ForwardInstance::UpdateReaderRole()
{
  if (m_stoppingSince) {
    return;
  }
  std::vector<std::string> readers = ChooseReaders(m_fleet.FollowedMembers());
  bool chosen = std::ranges::find(readers, m_settings.m_host) != readers.end();
  m_reader.SetActive(MayReadStore() && chosen);
}

void
ForwardInstance::UpdateReachability()
{
  bool wasImpaired = m_reachability.IsImpaired();
  bool hasRemoteContact = m_fleet.View().HasLiveRemoteInstance();
  m_reachability.Update(
    ReachesEnoughUpstreams(), hasRemoteContact, m_loop.Now());
  if (m_reachability.IsImpaired() == wasImpaired) {
    return;
  }
  m_log.Write(Event::kReachabilityChanged,
              { { "impaired", m_reachability.IsImpaired() ? "1" : "0" },
                { "hears_others", hasRemoteContact ? "1" : "0" } });
  m_fleet.SetCapacity(m_reachability.IsImpaired() ? 0 : CapacityOf(m_settings));
}

void
ForwardInstance::UpdateBudget()
{
  // An instance without contact to others keeps its part of the budget.
  if (!m_fleet.InContact()) {
    return;
  }
  m_budget.SetParticipants(m_directory.OfferedHosts(), m_loop.Now());
}

void
ForwardInstance::UpdateQuota()
{
  if (!m_quota) {
    return;
  }
  m_hadContact = m_hadContact || m_fleet.InContact();
  bool knowsOthers =
    std::ranges::any_of(m_settings.m_seeds, [&](const std::string& aSeed) {
      return aSeed != m_settings.m_host;
    });
  m_quota->SetFleet({ .m_liveInstances = m_fleet.View().LiveMembers(),
                      .m_namedHosts = m_directory.OfferedHosts(),
                      .m_mayBeIncomplete = knowsOthers && !m_hadContact,
                      .m_isInContact = m_fleet.InContact() });
}

void
ForwardInstance::ApplyLimits()
{
  const std::shared_ptr<const RouteTable>& routes = m_routing.Routes();
  if (routes == nullptr) {
    return;
  }
  const CallerLimits& limits = routes->Config()->m_limits;
  m_callerServer.SetOptions(
    { .m_limits = { .m_headerBytes = limits.m_headerBytes,
                    .m_bodyBytes = limits.m_bodyBytes },
      .m_headerTimeout = limits.m_headerTimeout,
      .m_idleTimeout = limits.m_idleTimeout });
}

void
ForwardInstance::MaintainInstanceList()
{
  InstanceList::Duty duty = InstanceList::Duty::kNone;
  if (m_reader.IsActive()) {
    duty = InstanceList::Duty::kReader;
  } else if (!m_fleet.InContact() && MayReadStore()) {
    duty = InstanceList::Duty::kIsolated;
  }
  m_instanceList.OnTick(duty,
                        m_fleet.View().DeadFor(kUnregisterDelay, m_loop.Now()));
}

void
ForwardInstance::ContinueStop()
{
  Duration elapsed = m_loop.Now() - *m_stoppingSince;
  bool cachesExpired = elapsed >= m_directory.MaxCacheTime();
  if (cachesExpired) {
    m_callerServer.StopListening();
    m_callerServer.BeginShutdown(true);
  }
  bool idle =
    m_callerServer.InFlight() == 0 && m_callerServer.Connections() == 0;
  bool timedOut = elapsed >= m_settings.m_stopTimeout - kExitMargin;
  if ((cachesExpired && idle) || timedOut) {
    m_log.Write(Event::kInstanceStopped,
                { { "id", m_settings.m_id.Text() },
                  { "in_flight", absl::StrCat(m_callerServer.InFlight()) } });
    m_log.Flush();
    std::exchange(m_onStopped, []() {})();
  }
}

bool
ForwardInstance::ReachesEnoughUpstreams() const
{
  const std::shared_ptr<const RouteTable>& routes = m_routing.Routes();
  TimePoint now = m_loop.Now();
  if (routes == nullptr || !m_load.AnyUnreachable(now)) {
    return true;
  }
  return std::ranges::all_of(
    routes->Config()->m_routes, [&](const Route& aRoute) {
      ServiceCoverage coverage(
        aRoute.m_services, m_routing.Catalogue(), m_load, {}, now);
      return aRoute.m_target != RouteTarget::kShards ||
             coverage.HasReachable(RequiredSubRequests(
               aRoute.m_minShare, aRoute.m_services.size()));
    });
}

bool
ForwardInstance::MayReadStore() const
{
  return MayStartReading(m_loop.Now() - m_startedAt,
                         m_fleet.InContact(),
                         m_settings.m_host,
                         m_settings.m_firstStart);
}

bool
ForwardInstance::IsReady() const
{
  const ObjectFeed& replicas =
    m_feeds[static_cast<size_t>(FeedKind::kReplicas)];
  return !m_stoppingSince && m_routing.Routes() != nullptr &&
         replicas.WasComplete();
}

Http1Response
ForwardInstance::AnswerReadiness() const
{
  return { .m_status = IsReady() ? kOkStatus : kUnavailableStatus };
}

} // namespace ebonykeel
