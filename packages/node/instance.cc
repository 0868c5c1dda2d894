#include "node/instance.h"

#include <utility>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "node/api/api_error.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

// How long a stop waits beyond the lifetime of routing answers, so that the
// membership update reaches all instances.
constexpr Duration kDisseminationMargin = Milliseconds(1500);
// How often a stop checks for work in flight.
constexpr Duration kIdlePollInterval = Milliseconds(20);

MembershipServiceOptions
MembershipOptions(const InstanceSettings& aSettings)
{
  MembershipServiceOptions options;
  options.m_membership.m_heartbeat = aSettings.m_timers.m_heartbeatInterval;
  options.m_membership.m_lease = aSettings.m_timers.m_leaseDuration;
  options.m_membership.m_margin = aSettings.m_timers.m_leaseMargin;
  options.m_pingTimeout = aSettings.m_timers.m_peerTimeout;
  options.m_aloneListInterval = aSettings.m_timers.m_instanceListInterval;
  return options;
}

ConfigurationServiceOptions
ConfigurationOptions(const InstanceSettings& aSettings)
{
  ConfigurationServiceOptions options;
  options.m_tracker.m_storeTimeout = aSettings.m_timers.m_storeTimeout;
  options.m_tracker.m_storeWatchTimeout =
    aSettings.m_timers.m_storeWatchTimeout;
  options.m_tracker.m_readInterval =
    aSettings.m_timers.m_configurationReadInterval;
  options.m_fetchTimeout = aSettings.m_timers.m_peerTimeout;
  return options;
}

// A share of zero disables hedging.
std::unique_ptr<HedgePolicy>
MakeHedgePolicy(double aShare)
{
  if (aShare <= 0) {
    return std::make_unique<NoHedging>();
  }
  return std::make_unique<QuantileHedging>(
    QuantileHedgingOptions{ .m_budgetShare = aShare });
}

Endpoint
ToEndpoint(const Address& aAddress)
{
  return { aAddress.m_host, aAddress.m_port };
}

HttpResponse
NotReady()
{
  return ErrorResponse({ .m_status = 503,
                         .m_code = "starting",
                         .m_message = "this instance is starting" });
}

} // namespace

DeferredPeer::DeferredPeer()
  : m_pair(kj::newPromiseAndFulfiller<wire::Peer::Client>())
  , m_client(kj::mv(m_pair.promise))
{
}

void
DeferredPeer::Set(wire::Peer::Client aPeer)
{
  m_pair.fulfiller->fulfill(kj::mv(aPeer));
}

class Instance::DeferredHandler final : public HttpHandler
{
public:
  void Set(HttpHandler& aHandler) { m_handler = &aHandler; }

  kj::Promise<HttpResponse> Handle(HttpRequest aRequest) override
  {
    if (m_handler == nullptr) {
      return NotReady();
    }
    return m_handler->Handle(std::move(aRequest));
  }

private:
  HttpHandler* m_handler = nullptr;
};

struct Instance::Components
{
  Components(Loop& aLoop,
             const InstanceSettings& aSettings,
             const std::string& aAdminToken,
             const InstanceRecord& aSelf,
             absl::BitGen& aRandom)
    : m_client(aLoop,
               { .m_maxBodyBytes = aSettings.m_limits.m_maxUpstreamAnswerBytes,
                 .m_idleTimeout = aSettings.m_timers.m_idleConnectionTimeout })
    , m_store(
        m_client,
        { .m_store = ToEndpoint(aSettings.m_platform.m_store),
          .m_instanceList = ToEndpoint(aSettings.m_platform.m_instanceList),
          .m_timeout = aSettings.m_timers.m_storeTimeout })
    , m_links(aLoop)
    , m_membership(aLoop,
                   m_links,
                   m_store,
                   MembershipOptions(aSettings),
                   aSelf,
                   aRandom)
    , m_ownership(aLoop,
                  m_links,
                  m_membership,
                  { .m_acquireTimeout = aSettings.m_timers.m_peerTimeout })
    , m_upstreams(aLoop, m_client, m_ownership, {})
    , m_configuration(aLoop,
                      m_links,
                      m_store,
                      m_membership,
                      ConfigurationOptions(aSettings),
                      aRandom)
    , m_selector({ .m_ownDataCentre = aSettings.m_dataCentre }, aRandom)
    , m_hedges(MakeHedgePolicy(aSettings.m_limits.m_maxHedgeShare))
    , m_queries(aLoop,
                m_links,
                m_ownership,
                m_upstreams,
                m_snapshots,
                m_selector,
                *m_hedges,
                absl::Uniform<BootId>(aRandom, 1, UINT64_MAX))
    , m_filings(aLoop,
                m_links,
                m_store,
                m_ownership,
                m_upstreams,
                m_snapshots,
                m_selector,
                aSelf.m_id,
                aRandom)
    , m_admission(aLoop,
                  { .m_maxQueueLength = aSettings.m_limits.m_maxQueries })
    , m_burnRecorder({}, aLoop.Clock().Now())
    , m_status({ m_membership,
                 m_ownership,
                 m_configuration,
                 m_upstreams,
                 m_queries,
                 m_filings,
                 m_store,
                 m_admission,
                 m_latency })
    , m_publicApi(aLoop,
                  m_membership,
                  m_snapshots,
                  m_queries,
                  m_filings,
                  m_admission,
                  m_burnRecorder,
                  m_status,
                  m_latency,
                  aRandom)
    , m_burnReports(aLoop, m_links, m_membership, m_burnRecorder)
    , m_adminApi(m_configuration,
                 m_membership,
                 m_status,
                 m_burnReports,
                 aAdminToken,
                 aRandom)
  {
  }

  H2oHttpClient m_client;
  HttpObjectStore m_store;
  PeerLinks m_links;
  MembershipService m_membership;
  OwnershipService m_ownership;
  UpstreamService m_upstreams;
  ConfigurationService m_configuration;
  SnapshotTracker m_snapshots;
  AdaptiveSelector m_selector;
  std::unique_ptr<HedgePolicy> m_hedges;
  QueryService m_queries;
  FilingService m_filings;
  AdmissionService m_admission;
  BurnRecorder m_burnRecorder;
  LatencySummary m_latency;
  StatusPage m_status;
  PublicApi m_publicApi;
  BurnReportService m_burnReports;
  AdminApi m_adminApi;
};

Instance::Instance(Loop& aLoop,
                   InstanceSettings aSettings,
                   std::string aAdminToken)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_adminToken(std::move(aAdminToken))
  , m_publicHandler(std::make_unique<DeferredHandler>())
  , m_adminHandler(std::make_unique<DeferredHandler>())
{
}

Instance::~Instance() noexcept = default;

absl::Status
Instance::Start()
{
  absl::Status status = Listen();
  if (!status.ok()) {
    return status;
  }
  std::string host = m_settings.m_listen.m_advertiseHost;
  auto advertise = [&host](const Address& aListen, uint16_t aPort) {
    return absl::StrCat(host.empty() ? aListen.m_host : host, ":", aPort);
  };
  // The record announces the ports that `Listen` has bound.
  InstanceRecord self{
    .m_id = m_settings.m_id,
    .m_incarnation = static_cast<BootId>(absl::ToUnixNanos(absl::Now())),
    .m_publicAddress =
      advertise(m_settings.m_listen.m_public, m_ports.m_public),
    .m_adminAddress = advertise(m_settings.m_listen.m_admin, m_ports.m_admin),
    .m_peerAddress = advertise(m_settings.m_listen.m_peer, m_ports.m_peer),
    .m_dataCentre = m_settings.m_dataCentre,
    .m_region = m_settings.m_region
  };
  m_components = std::make_unique<Components>(
    m_loop, m_settings, m_adminToken, std::move(self), m_random);
  m_peerHandler.Set(kj::heap<PeerService>(m_loop,
                                          m_components->m_membership,
                                          m_components->m_ownership,
                                          m_components->m_configuration,
                                          m_components->m_upstreams,
                                          m_components->m_burnReports));
  m_publicHandler->Set(m_components->m_publicApi);
  m_adminHandler->Set(m_components->m_adminApi);
  m_components->m_ownership.Start(*this);
  m_components->m_configuration.Start(*this);
  m_components->m_membership.Start(*this);
  LogEvent(Event::kInstanceStarted,
           { { "id", m_settings.m_id.Text() },
             { "data_centre", m_settings.m_dataCentre.Text() },
             { "public", absl::StrCat(m_ports.m_public) },
             { "admin", absl::StrCat(m_ports.m_admin) },
             { "peer", absl::StrCat(m_ports.m_peer) } });
  return absl::OkStatus();
}

kj::Promise<void>
Instance::Stop()
{
  LogEvent(Event::kInstanceStopping, { { "id", m_settings.m_id.Text() } });
  m_components->m_membership.SetState(InstanceState::kLeaving);
  m_components->m_ownership.HandOverAll();
  TimePoint bound = m_loop.Clock().Now() + kAnswerLifetime +
                    kDisseminationMargin + m_settings.m_timers.m_drainTimeout;
  return m_loop.Clock()
    .After(kAnswerLifetime + kDisseminationMargin)
    .then([this, bound]() {
      m_components->m_publicApi.RefuseNewWork();
      m_publicServer->BeginShutdown();
      return WaitUntilIdle(bound);
    })
    .then([this]() {
      m_components->m_membership.SetState(InstanceState::kDead);
      // Leaves time to send the last pings.
      return m_loop.Clock().After(kIdlePollInterval);
    })
    .then([this]() {
      LogEvent(Event::kInstanceStopped,
               { { "id", m_settings.m_id.Text() },
                 { "in_flight",
                   absl::StrCat(m_components->m_publicApi.InFlight()) } });
    });
}

void
Instance::OnMembershipChanged()
{
  m_components->m_configuration.OnMembershipChanged();
  m_components->m_ownership.Update(m_configurationWithEarlierShards);
}

void
Instance::OnNewerGeneration(const InstanceId& aPeer, Generation aGeneration)
{
  m_components->m_configuration.OnPeerGeneration(aPeer, aGeneration);
}

void
Instance::OnOwnershipChanged()
{
  m_components->m_upstreams.OnOwnershipChanged();
}

void
Instance::OnConfigurationInForce(const ConfigurationPtr& aConfiguration)
{
  m_components->m_snapshots.OnConfiguration(aConfiguration);
  m_components->m_selector.OnConfiguration(aConfiguration);
  m_components->m_burnRecorder.SetTargets(*aConfiguration);
  m_configurationWithEarlierShards =
    m_components->m_snapshots.WithEarlierShards();
  m_components->m_ownership.Update(m_configurationWithEarlierShards);
  m_components->m_upstreams.OnConfiguration(m_configurationWithEarlierShards);
}

absl::Status
Instance::Listen()
{
  HttpServerOptions options{ .m_maxBodyBytes =
                               m_settings.m_limits.m_maxRequestBytes };
  auto publicServer =
    HttpServer::Listen(m_loop,
                       ToEndpoint(m_settings.m_listen.m_public),
                       options,
                       *m_publicHandler);
  if (!publicServer.ok()) {
    return publicServer.status();
  }
  m_publicServer = *std::move(publicServer);
  // A publication carries many service files.
  options.m_maxBodyBytes = size_t{ 16 } << 20;
  auto adminServer = HttpServer::Listen(
    m_loop, ToEndpoint(m_settings.m_listen.m_admin), options, *m_adminHandler);
  if (!adminServer.ok()) {
    return adminServer.status();
  }
  m_adminServer = *std::move(adminServer);
  m_ports.m_public = m_publicServer->Port();
  m_ports.m_admin = m_adminServer->Port();
  KJ_IF_MAYBE (exception, kj::runCatchingExceptions([this]() {
                 m_peerServer = std::make_unique<PeerServer>(
                   m_loop,
                   m_peerHandler.Client(),
                   m_settings.m_listen.m_peer.m_host,
                   m_settings.m_listen.m_peer.m_port);
               })) {
    return absl::UnavailableError(exception->getDescription().cStr());
  }
  m_ports.m_peer = m_peerServer->Port();
  return absl::OkStatus();
}

kj::Promise<void>
Instance::WaitUntilIdle(TimePoint aBound)
{
  bool idle = m_components->m_publicApi.InFlight() == 0 &&
              m_components->m_filings.Active() == 0 &&
              m_components->m_upstreams.InFlight() == 0;
  if (idle || m_loop.Clock().Now() >= aBound) {
    return kj::READY_NOW;
  }
  return m_loop.Clock().After(kIdlePollInterval).then([this, aBound]() {
    return WaitUntilIdle(aBound);
  });
}

} // namespace ebonykeel
