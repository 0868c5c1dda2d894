#include "node/entry/entry_node.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/fleet/store_readers.h"
#include "core/forward/coverage.h"

namespace ebonykeel {
namespace {

// Between two looks at duties, budgets and the log.
constexpr Duration kTick = Milliseconds(100);
// The same while the instance is not ready: it starts.
constexpr Duration kStartTick = Milliseconds(10);
// The age that is assumed of a copy that does not exist.
constexpr Duration kNoCopy = Seconds(3600);
// A jump of the clocks beyond this means that the machine was suspended.
constexpr Duration kLeastSuspension = Milliseconds(300);
// Instances that are dead for so long are taken out of the store's list.
constexpr Duration kUnregisterAfter = Seconds(60);
// Instances elsewhere that were lost for longer are not named to callers.
constexpr Duration kLostFor = Milliseconds(5500);
// Some callers keep the directory's answer for so many of its lifetimes.
constexpr int kKeptLifetimes = 3;
// The end of a stop leaves this much of the grace for the process's own end.
constexpr Duration kGraceMargin = Milliseconds(400);

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

constexpr double kThousand = 1000;

uint32_t
CapacityOf(const ForwardSettings& aSettings)
{
  return static_cast<uint32_t>(aSettings.m_processors * kThousand);
}

FleetServiceOptions
FleetOptionsFrom(const ForwardSettings& aSettings)
{
  // Later lives get greater numbers as far as the time of day is right; an
  // instance that hears of a greater one of its own raises it further.
  auto seconds = static_cast<uint64_t>(std::time(nullptr));
  constexpr uint64_t kPerSecond = 1000;
  return { .m_self = { .m_host = aSettings.m_host,
                       .m_incarnation = seconds * kPerSecond,
                       .m_dataCentre = aSettings.m_dataCentre,
                       .m_capacity = CapacityOf(aSettings) },
           .m_seeds = aSettings.m_seeds,
           .m_port = aSettings.m_listen.m_peerPort };
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

// Answers what is not a caller's request: directory, readiness and metrics.
class EntryNode::QuestionHandler final : public Http1Handler
{
public:
  explicit QuestionHandler(EntryNode& aNode)
    : m_node(aNode)
  {
  }

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override
  {
    const Http1Request& request = aExchange->Request();
    if (std::optional<DirectoryQuestion> question =
          m_node.m_traffic.ReadDirectory(request)) {
      aExchange->Answer(m_node.AnswerDirectory(*question));
    } else if (m_node.m_traffic.IsReadinessCheck(request)) {
      aExchange->Answer(m_node.AnswerReadiness());
    } else if (PathOf(request.m_target) == "/metrics") {
      aExchange->Answer(
        { .m_status = kOkStatus,
          .m_headers = { { "Content-Type", "text/plain; version=0.0.4" } },
          .m_body = m_node.RenderMetrics() });
    } else {
      aExchange->Answer({ .m_status = kNotFoundStatus });
    }
  }

private:
  EntryNode& m_node;
};

EntryNode::EntryNode(UvLoop& aLoop,
                     ForwardSettings aSettings,
                     const TrafficProtocol& aTraffic,
                     const StoreProtocol& aStore,
                     LineLog& aLog)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_traffic(aTraffic)
  , m_log(aLog)
  , m_startedAt(aLoop.Now())
  , m_suspended(aLoop.Suspended())
  , m_searcherClient(aLoop, {})
  , m_controlClient(aLoop, {})
  , m_load({ .m_dataCentre = m_settings.m_dataCentre,
             .m_forecastStalls = m_settings.m_foreseeStalls })
  , m_budget({ .m_share = m_settings.m_extraShare,
               .m_burst = static_cast<double>(m_settings.m_extraBurst),
               .m_window = m_settings.m_extraWindow })
  , m_state(aStore, m_load, aLog)
  , m_reader(aLoop,
             m_controlClient,
             aStore,
             m_feeds,
             aLog,
             { .m_store = m_settings.m_store },
             *this)
  , m_fleet(aLoop,
            m_controlClient,
            m_feeds,
            aLog,
            FleetOptionsFrom(m_settings),
            *this)
  , m_forward(aLoop,
              m_searcherClient,
              aTraffic,
              m_state,
              *this,
              m_load,
              m_budget,
              aLog,
              ForwardOptionsFrom(m_settings))
  , m_callers(aLoop, m_forward, {})
  , m_questions(std::make_unique<QuestionHandler>(*this))
  , m_directory(aLoop, *m_questions, {})
  , m_readiness(aLoop, *m_questions, {})
  , m_metrics(aLoop, *m_questions, {})
  , m_tick(aLoop, [this]() { Tick(); })
{
}

EntryNode::~EntryNode() = default;

std::string
EntryNode::Start()
{
  const ForwardListenSettings& listen = m_settings.m_listen;
  std::string problem = m_fleet.Start();
  auto listenOn = [&](Http1Server& aServer, const Address& aAddress) {
    if (problem.empty()) {
      problem = aServer.Listen(aAddress);
    }
  };
  listenOn(m_callers, listen.m_callers);
  listenOn(m_directory, listen.m_directory);
  listenOn(m_readiness, listen.m_readiness);
  if (listen.m_metricsPort != 0) {
    listenOn(m_metrics, { m_settings.m_host, listen.m_metricsPort });
  }
  if (!problem.empty()) {
    return problem;
  }
  m_log.Write(Event::kNodeStarted,
              { { "id", m_settings.m_id.Text() },
                { "data_centre", m_settings.m_dataCentre.Text() },
                { "public", FormatAddress(listen.m_callers) },
                { "admin", FormatAddress(listen.m_directory) },
                { "peer", absl::StrCat(listen.m_peerPort) } });
  Tick();
  return {};
}

void
EntryNode::Reload(const ForwardSettings& aSettings)
{
  m_settings.m_seeds = aSettings.m_seeds;
  m_settings.m_directoryAnswerTtl = aSettings.m_directoryAnswerTtl;
  m_settings.m_instancesPerCaller = aSettings.m_instancesPerCaller;
  m_settings.m_stopTimeout = aSettings.m_stopTimeout;
  m_fleet.AddSeeds(m_settings.m_seeds);
}

void
EntryNode::Stop(std::function<void()> aDone)
{
  if (m_stoppingSince) {
    return;
  }
  m_stoppingSince = m_loop.Now();
  m_stopped = std::move(aDone);
  m_log.Write(Event::kNodeStopping, { { "id", m_settings.m_id.Text() } });
  m_reader.SetOnDuty(false);
  UpdateSelf();
  m_callers.BeginShutdown(false);
}

void
EntryNode::OnObject(FeedKind aKind, const FeedObject& aObject)
{
  m_state.OnObject(aKind, aObject, m_loop.Now());
}

void
EntryNode::OnRead(FeedKind aKind, bool aChanged)
{
  if (aChanged) {
    if (aKind == FeedKind::kConfiguration) {
      ApplyLimits();
    }
    m_searchers = m_state.GatheredSearchers();
    UpdateSelf();
    m_fleet.Announce();
  }
}

void
EntryNode::OnStoreReachable(bool aReachable)
{
  m_storeReachable = aReachable;
  UpdateSelf();
  UpdateDuty();
}

void
EntryNode::OnFleetChanged()
{
  UpdateDuty();
}

void
EntryNode::OnMerged(FeedKind aKind, const FeedObject& aObject)
{
  m_state.OnObject(aKind, aObject, m_loop.Now());
}

void
EntryNode::OnMergeDone()
{
  ApplyLimits();
  m_searchers = m_state.GatheredSearchers();
  UpdateSelf();
}

Duration
EntryNode::ReplicasAge() const
{
  const ObjectFeed& feed = m_feeds[static_cast<size_t>(FeedKind::kReplicas)];
  return feed.Age(m_loop.Now()).value_or(kNoCopy);
}

void
EntryNode::Tick()
{
  m_log.SetTime(m_loop.Now() - m_startedAt);
  CheckSuspension();
  UpdateDuty();
  KeepInstanceList();
  UpdateReach();
  UpdateBudget();
  if (m_stoppingSince) {
    ContinueStop();
  }
  m_log.Flush();
  m_tick.Set(m_loop.Now() + (IsReady() ? kTick : kStartTick));
}

void
EntryNode::UpdateSelf()
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
EntryNode::UpdateDuty()
{
  if (m_stoppingSince) {
    return;
  }
  std::vector<FleetRecord> living = m_fleet.View().LiveMembers();
  std::vector<std::string> readers = ChooseReaders(living);
  bool chosen = std::ranges::find(readers, m_settings.m_host) != readers.end();
  m_reader.SetOnDuty(MayRead() && chosen);
}

void
EntryNode::UpdateReach()
{
  bool before = m_reach.IsImpaired();
  bool hearsOthers = m_fleet.View().HasLiveRemoteInstance();
  m_reach.Update(ReachesSearchers(), hearsOthers, m_loop.Now());
  if (m_reach.IsImpaired() == before) {
    return;
  }
  m_log.Write(Event::kReachChanged,
              { { "impaired", m_reach.IsImpaired() ? "1" : "0" },
                { "hears_others", hearsOthers ? "1" : "0" } });
  m_fleet.SetCapacity(m_reach.IsImpaired() ? 0 : CapacityOf(m_settings));
}

void
EntryNode::UpdateBudget()
{
  // An instance that is cut off keeps the part that it had.
  if (!m_fleet.InContact()) {
    return;
  }
  std::set<std::string> named = InstancesForAllCallers(
    m_fleet.View().LiveMembers(), m_searchers, DirectoryOptions());
  bool takesCallers = named.contains(m_settings.m_host);
  m_budget.SetBurstFraction(
    takesCallers ? 1.0 / static_cast<double>(named.size()) : 0);
}

CallerDirectoryOptions
EntryNode::DirectoryOptions() const
{
  return { .m_instancesPerCaller =
             static_cast<size_t>(m_settings.m_instancesPerCaller) };
}

void
EntryNode::ApplyLimits()
{
  const std::shared_ptr<const RouteTable>& routes = m_state.Routes();
  if (routes == nullptr) {
    return;
  }
  const CallerLimits& limits = routes->Config()->m_limits;
  m_callers.SetOptions({ .m_limits = { .m_headerBytes = limits.m_headerBytes,
                                       .m_bodyBytes = limits.m_bodyBytes },
                         .m_headerTimeout = limits.m_headerTimeout,
                         .m_idleTimeout = limits.m_idleTimeout });
}

void
EntryNode::CheckSuspension()
{
  Duration suspended = m_loop.Suspended();
  if (suspended - m_suspended > kLeastSuspension) {
    m_log.Write(
      Event::kSuspended,
      { { "ms", absl::StrCat(ToMilliseconds(suspended - m_suspended)) } });
    // The steady clock did not count that time, the copies are older by it.
    for (ObjectFeed& feed : m_feeds) {
      feed.AddAge(suspended - m_suspended);
    }
  }
  m_suspended = suspended;
}

void
EntryNode::KeepInstanceList()
{
  bool onDuty = m_reader.OnDuty();
  bool lonely = !m_fleet.InContact() && MayRead();
  if (!m_listRead && (onDuty || lonely)) {
    m_listRead = true;
    m_reader.ListInstances([this](std::vector<std::string> aHosts) {
      m_fleet.AddSeeds(aHosts);
      m_listed = std::move(aHosts);
      if (std::ranges::find(m_listed, m_settings.m_host) == m_listed.end()) {
        m_reader.Register(m_settings.m_host, m_settings.m_dataCentre);
      }
    });
  }
  if (!onDuty) {
    return;
  }
  for (const std::string& host :
       m_fleet.View().DeadFor(kUnregisterAfter, m_loop.Now())) {
    if (std::erase(m_listed, host) > 0) {
      m_reader.Unregister(host);
    }
  }
}

void
EntryNode::ContinueStop()
{
  Duration since = m_loop.Now() - *m_stoppingSince;
  Duration kept = m_settings.m_directoryAnswerTtl * kKeptLifetimes;
  bool callersKnow = since >= kept;
  if (callersKnow) {
    m_callers.StopListening();
    m_callers.BeginShutdown(true);
  }
  bool idle = m_callers.InFlight() == 0 && m_callers.Connections() == 0;
  bool over = since >= m_settings.m_stopTimeout - kGraceMargin;
  if ((callersKnow && idle) || over) {
    m_log.Write(Event::kNodeStopped,
                { { "id", m_settings.m_id.Text() },
                  { "in_flight", absl::StrCat(m_callers.InFlight()) } });
    m_log.Flush();
    std::exchange(m_stopped, []() {})();
  }
}

bool
EntryNode::ReachesSearchers() const
{
  const std::shared_ptr<const RouteTable>& routes = m_state.Routes();
  TimePoint now = m_loop.Now();
  if (routes == nullptr || !m_load.AnyUnreachable(now)) {
    return true;
  }
  return std::ranges::all_of(
    routes->Config()->m_routes, [&](const Route& aRoute) {
      Coverage coverage(
        aRoute.m_services, m_state.Catalogue(), m_load, {}, now);
      return aRoute.m_target != RouteTarget::kShards ||
             coverage.HasAvailable(RequiredSubRequests(
               aRoute.m_minShare, aRoute.m_services.size()));
    });
}

std::vector<FleetRecord>
EntryNode::CallerCandidates() const
{
  const FleetView& view = m_fleet.View();
  if (m_reach.IsImpaired() && !view.HasLiveRemoteInstance()) {
    // Callers may reach what this instance does not.
    std::vector<FleetRecord> lost =
      view.RecentlyLostRemote(kLostFor, m_loop.Now());
    for (FleetRecord& record : lost) {
      record.m_state = FleetState::kAlive;
    }
    if (!lost.empty()) {
      return lost;
    }
  }
  return view.LiveMembers();
}

bool
EntryNode::MayRead() const
{
  return MayStartReading(m_loop.Now() - m_startedAt,
                         m_fleet.InContact(),
                         m_settings.m_host,
                         m_settings.m_firstStart);
}

bool
EntryNode::IsReady() const
{
  const ObjectFeed& replicas =
    m_feeds[static_cast<size_t>(FeedKind::kReplicas)];
  return !m_stoppingSince && m_state.Routes() != nullptr &&
         replicas.CompleteRevision() > 0;
}

Http1Response
EntryNode::AnswerDirectory(const DirectoryQuestion& aQuestion)
{
  std::vector<FleetRecord> candidates = CallerCandidates();
  std::vector<Address> addresses;
  std::ranges::transform(
    ChooseInstancesForCaller(
      candidates, aQuestion.m_dataCentre, m_searchers, DirectoryOptions()),
    std::back_inserter(addresses),
    [&](const std::string& aHost) {
      return Address{ aHost, m_settings.m_listen.m_callers.m_port };
    });
  if (addresses.empty()) {
    return m_traffic.Own(kUnavailableStatus, "no-instance", kTick);
  }
  return m_traffic.DirectoryAnswer(addresses, m_settings.m_directoryAnswerTtl);
}

Http1Response
EntryNode::AnswerReadiness() const
{
  return { .m_status = IsReady() ? kOkStatus : kUnavailableStatus };
}

std::string
EntryNode::RenderMetrics() const
{
  std::string text = m_forward.Stats().Render();
  auto gauge = [&text](std::string_view aName, auto aValue) {
    absl::StrAppend(&text,
                    "# TYPE ",
                    std::string(aName),
                    " gauge\n",
                    std::string(aName),
                    " ",
                    aValue,
                    "\n");
  };
  gauge("ebonykeel_in_flight_requests", m_callers.InFlight());
  gauge("ebonykeel_caller_connections", m_callers.Connections());
  gauge("ebonykeel_searcher_connections_opened",
        m_searcherClient.ConnectionsOpened());
  gauge("ebonykeel_store_calls", m_reader.Calls());
  gauge("ebonykeel_store_on_duty", m_reader.OnDuty() ? 1 : 0);
  gauge("ebonykeel_replicas", m_state.Catalogue().Count());
  gauge("ebonykeel_replicas_age_seconds",
        ToMillisecondsF(ReplicasAge()) / 1000);
  gauge("ebonykeel_stall_interval_seconds",
        ToMillisecondsF(m_load.StallInterval()) / 1000);
  gauge("ebonykeel_configuration_version",
        m_state.Routes() == nullptr ? 0
                                    : m_state.Routes()->Config()->m_version);
  gauge("ebonykeel_instances", m_fleet.View().LiveMembers().size());
  gauge("ebonykeel_log_lines_dropped", m_log.Dropped());
  return text;
}

} // namespace ebonykeel
