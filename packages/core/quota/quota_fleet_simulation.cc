#include "core/quota/quota_fleet_simulation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace ebonykeel {
namespace {

constexpr Duration kStep = Milliseconds(1);
constexpr Duration kTickInterval = Milliseconds(100);
// How long instances take to notice that another one is gone or is there. The
// real fleet's times are within these for most faults; the bound must not
// depend on them.
constexpr Duration kMinLossDelay = Milliseconds(600);
constexpr Duration kMaxLossDelay = Milliseconds(6000);
constexpr Duration kMinFindDelay = Milliseconds(5);
constexpr Duration kMaxFindDelay = Milliseconds(700);
constexpr Duration kMinLatency = Duration(200'000);
constexpr Duration kMaxLatency = Milliseconds(3);
constexpr Duration kMaxWait = Milliseconds(20);
constexpr Duration kMaxTimeUntilRefusedLater = Milliseconds(200);
constexpr double kCallersGone = 0.01;

// The headers of UDP and IP and the fields of the datagram that every message
// has, and an entry of a request or grant. From encoded messages.
constexpr uint64_t kBytesPerMessage = 130;
constexpr uint64_t kBytesPerEntry = 15;

uint64_t
EstimateBytes(const QuotaMessage& aMessage)
{
  size_t entries = 0;
  if (const auto* request = std::get_if<QuotaRequest>(&aMessage)) {
    entries = request->m_entries.size();
  } else if (const auto* grant = std::get_if<QuotaGrant>(&aMessage)) {
    entries = grant->m_entries.size();
  }
  return kBytesPerMessage + kBytesPerEntry * entries;
}

} // namespace

QuotaFleetSimulation::QuotaFleetSimulation(QuotaSimulationOptions aOptions,
                                           uint64_t aSeed)
  : m_options(std::move(aOptions))
  , m_random(aSeed)
  , m_configuration(m_options.m_workspaces)
{
  for (size_t i = 0; i < m_options.m_dataCentres; ++i) {
    m_options.m_settings.m_dataCentres.emplace_back("dc" + std::to_string(i));
  }
  size_t count = m_options.m_dataCentres * m_options.m_instancesPerDataCentre;
  m_instances.resize(count);
  for (size_t i = 0; i < count; ++i) {
    Instance& instance = m_instances[i];
    size_t dataCentre = i / m_options.m_instancesPerDataCentre;
    instance.m_record = {
      .m_host = "10.0." + std::to_string(dataCentre) + "." + std::to_string(i),
      .m_dataCentre = m_options.m_settings.m_dataCentres[dataCentre],
      .m_ready = true,
    };
    instance.m_clockRate = 1 + m_options.m_clockDrift * (2 * Random() - 1);
    instance.m_clockOffset = RandomSpan(Seconds(0), Seconds(500));
    instance.m_weight = 1 + (m_options.m_unevenness - 1) * Random();
    instance.m_takesCallers =
      i % m_options.m_instancesPerDataCentre < m_options.m_namedPerDataCentre;
    instance.m_startsAt = m_now + RandomSpan(Seconds(0), Milliseconds(300));
    m_indexes[instance.m_record.m_host] = i;
  }
  RecordLimits();
}

void
QuotaFleetSimulation::SetDemand(const std::string& aWorkspace, double aRate)
{
  m_demand[aWorkspace] = aRate;
}

void
QuotaFleetSimulation::MoveCallersTo(size_t aInstance)
{
  constexpr double kNearlyAll = 1000;
  for (Instance& instance : m_instances) {
    instance.m_weight = 1;
  }
  m_instances[aInstance].m_weight = kNearlyAll;
}

void
QuotaFleetSimulation::SetSide(size_t aInstance, int aSide)
{
  m_instances[aInstance].m_side = aSide;
}

void
QuotaFleetSimulation::SetSideOfDataCentre(size_t aDataCentre, int aSide)
{
  for (size_t i = 0; i < m_options.m_instancesPerDataCentre; ++i) {
    SetSide(aDataCentre * m_options.m_instancesPerDataCentre + i, aSide);
  }
}

void
QuotaFleetSimulation::HealPartitions()
{
  for (Instance& instance : m_instances) {
    instance.m_side = 0;
  }
}

void
QuotaFleetSimulation::Freeze(size_t aInstance, Duration aFor)
{
  m_instances[aInstance].m_frozenUntil = m_now + aFor;
}

void
QuotaFleetSimulation::Restart(size_t aInstance, Duration aDownFor)
{
  Instance& instance = m_instances[aInstance];
  instance.m_process.reset();
  instance.m_backlog.clear();
  instance.m_frozenUntil = {};
  instance.m_startsAt = m_now + aDownFor;
  std::erase_if(m_pending, [&](const auto& aEntry) {
    return aEntry.second.m_instance == aInstance;
  });
}

void
QuotaFleetSimulation::Configure(std::vector<Workspace> aWorkspaces,
                                Duration aMaxDelay)
{
  m_configuration = std::move(aWorkspaces);
  ++m_configurationVersion;
  for (Instance& instance : m_instances) {
    instance.m_configuresAt = m_now + RandomSpan(Seconds(0), aMaxDelay);
  }
}

void
QuotaFleetSimulation::Run(Duration aFor)
{
  for (TimePoint end = m_now + aFor; m_now < end; m_now += kStep) {
    while (!m_deliveries.empty() && m_deliveries.top().m_at <= m_now) {
      Delivery delivery = m_deliveries.top();
      m_deliveries.pop();
      Deliver(delivery);
    }
    for (size_t i = 0; i < m_instances.size(); ++i) {
      Instance& instance = m_instances[i];
      if (instance.m_process == nullptr && m_now >= instance.m_startsAt) {
        StartProcess(i);
      }
      if (instance.m_process == nullptr || IsFrozen(instance)) {
        continue;
      }
      bool messagesFirst = Random() < 0.5;
      if (!instance.m_backlog.empty() && messagesFirst) {
        for (auto& [from, message] : std::exchange(instance.m_backlog, {})) {
          instance.m_process->OnMessage(
            m_instances[from].m_record, message, LocalNow(i));
        }
      }
      std::optional<TimePoint> timer = instance.m_process->NextTimer();
      if (timer && *timer <= LocalNow(i)) {
        instance.m_process->OnTimer(LocalNow(i));
      }
      if (m_now >= instance.m_nextTick) {
        Tick(i);
      }
      for (auto& [from, message] : std::exchange(instance.m_backlog, {})) {
        instance.m_process->OnMessage(
          m_instances[from].m_record, message, LocalNow(i));
      }
      Flush(i);
    }
    SendRequests();
    CheckGranters();
  }
}

double
QuotaFleetSimulation::WorstExcess() const
{
  const QuotaSettings& settings = m_options.m_settings;
  double worst = -std::numeric_limits<double>::infinity();
  double windowSeconds =
    std::chrono::duration<double>(settings.m_window).count();
  for (const auto& [workspace, runs] : m_runs) {
    size_t end = 0;
    for (size_t begin = 0; begin < runs.size(); ++begin) {
      while (end < runs.size() && runs[end] < runs[begin] + settings.m_window) {
        ++end;
      }
      Limits limits = GreatestLimits(workspace,
                                     runs[begin] - settings.m_window,
                                     runs[begin] + settings.m_window);
      if (limits.m_rate <= 0) {
        continue;
      }
      double bound = (limits.m_rate * windowSeconds + limits.m_burst) *
                       (1 + settings.m_overage) +
                     settings.m_slack;
      worst = std::max(worst, static_cast<double>(end - begin) - bound);
    }
  }
  return worst;
}

QuotaTally
QuotaFleetSimulation::Tally(const std::string& aWorkspace) const
{
  auto found = m_tallies.find(aWorkspace);
  return found == m_tallies.end() ? QuotaTally{} : found->second;
}

const QuotaCoordinator*
QuotaFleetSimulation::Process(size_t aInstance) const
{
  return m_instances[aInstance].m_process.get();
}

TimePoint
QuotaFleetSimulation::LocalNow(size_t aInstance) const
{
  const Instance& instance = m_instances[aInstance];
  return TimePoint(instance.m_clockOffset +
                   std::chrono::duration_cast<Duration>(
                     m_now.time_since_epoch() * instance.m_clockRate));
}

double
QuotaFleetSimulation::Random()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration
QuotaFleetSimulation::RandomSpan(Duration aMin, Duration aMax)
{
  return aMin + std::chrono::duration_cast<Duration>((aMax - aMin) * Random());
}

bool
QuotaFleetSimulation::IsReachable(size_t aFrom, size_t aTo) const
{
  return m_instances[aFrom].m_side == m_instances[aTo].m_side;
}

bool
QuotaFleetSimulation::IsFrozen(const Instance& aInstance) const
{
  return m_now < aInstance.m_frozenUntil;
}

void
QuotaFleetSimulation::StartProcess(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  instance.m_process = std::make_unique<QuotaCoordinator>(
    QuotaCoordinatorOptions{ .m_settings = m_options.m_settings,
                             .m_dataCentre = instance.m_record.m_dataCentre,
                             .m_host = instance.m_record.m_host,
                             .m_processStart = m_nextProcessStart++ },
    LocalNow(aInstance));
  instance.m_sights.assign(m_instances.size(), {});
  instance.m_hadContact = false;
  instance.m_nextTick = m_now;
  // A started instance has a configuration from its peers or from the store.
  instance.m_configuresAt = m_now;
  ApplyConfiguration(aInstance);
}

void
QuotaFleetSimulation::UpdateSights(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  for (size_t other = 0; other < m_instances.size(); ++other) {
    const Instance& seen = m_instances[other];
    bool isThere = seen.m_process != nullptr && !IsFrozen(seen) &&
                   IsReachable(aInstance, other);
    Sight& sight = instance.m_sights[other];
    if (isThere == sight.m_isAlive) {
      sight.m_changesAt.reset();
      continue;
    }
    if (!sight.m_changesAt) {
      sight.m_changesAt =
        m_now + (isThere ? RandomSpan(kMinFindDelay, kMaxFindDelay)
                         : RandomSpan(kMinLossDelay, kMaxLossDelay));
    }
    if (m_now >= *sight.m_changesAt) {
      sight = { .m_isAlive = isThere };
      instance.m_hadContact = instance.m_hadContact || other != aInstance;
    }
  }
}

void
QuotaFleetSimulation::Tick(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  instance.m_nextTick = m_now + kTickInterval;
  UpdateSights(aInstance);
  QuotaFleet fleet{ .m_mayBeIncomplete =
                      !instance.m_hadContact && m_instances.size() > 1 };
  for (size_t other = 0; other < m_instances.size(); ++other) {
    if (other != aInstance && !instance.m_sights[other].m_isAlive) {
      continue;
    }
    const Instance& seen = m_instances[other];
    fleet.m_isInContact = fleet.m_isInContact || other != aInstance;
    fleet.m_liveInstances.push_back(seen.m_record);
    if (seen.m_takesCallers) {
      fleet.m_namedHosts.insert(seen.m_record.m_host);
    }
  }
  instance.m_process->SetFleet(fleet, LocalNow(aInstance));
  ApplyConfiguration(aInstance);
}

void
QuotaFleetSimulation::ApplyConfiguration(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  // Only the side of the first instance is told of changes.
  if (!instance.m_configuresAt || m_now < *instance.m_configuresAt ||
      (instance.m_version != 0 && !IsReachable(0, aInstance))) {
    return;
  }
  instance.m_configuresAt.reset();
  instance.m_workspaces = m_configuration;
  instance.m_version = m_configurationVersion;
  instance.m_process->SetWorkspaces(m_configuration, LocalNow(aInstance));
  RecordLimits();
}

void
QuotaFleetSimulation::RecordLimits()
{
  std::map<std::string, Limits> greatest;
  auto add = [&](const Workspace& aWorkspace) {
    Limits& limits = greatest[aWorkspace.m_name];
    limits.m_rate = std::max(limits.m_rate, aWorkspace.m_ratePerSecond);
    limits.m_burst = std::max(limits.m_burst, aWorkspace.m_burst);
  };
  std::ranges::for_each(m_configuration, add);
  for (const Instance& instance : m_instances) {
    if (instance.m_process != nullptr) {
      std::ranges::for_each(instance.m_workspaces, add);
    }
  }
  for (const auto& [workspace, limits] : greatest) {
    m_limits[workspace].push_back({ m_now, limits });
  }
}

void
QuotaFleetSimulation::Send(size_t aFrom, const OutgoingQuotaMessage& aOutgoing)
{
  ++m_messageCount;
  m_messageBytes += EstimateBytes(aOutgoing.m_message);
  auto to = m_indexes.find(aOutgoing.m_host);
  size_t copies = Random() < m_faults.m_repetition ? 2 : 1;
  for (size_t i = 0; i < copies; ++i) {
    if (Random() < m_faults.m_loss || !IsReachable(aFrom, to->second)) {
      continue;
    }
    Duration delay = Random() < m_faults.m_delay
                       ? RandomSpan(kMaxLatency, m_faults.m_maxDelay)
                       : RandomSpan(kMinLatency, kMaxLatency);
    m_deliveries.push({ m_now + delay,
                        m_messageCount,
                        aFrom,
                        to->second,
                        aOutgoing.m_message });
  }
}

void
QuotaFleetSimulation::Deliver(const Delivery& aDelivery)
{
  Instance& receiver = m_instances[aDelivery.m_to];
  if (receiver.m_process != nullptr) {
    receiver.m_backlog.emplace_back(aDelivery.m_from, aDelivery.m_message);
  }
}

void
QuotaFleetSimulation::Flush(size_t aInstance)
{
  Instance& instance = m_instances[aInstance];
  for (const OutgoingQuotaMessage& outgoing :
       instance.m_process->TakeMessages(LocalNow(aInstance))) {
    Send(aInstance, outgoing);
  }
  for (const auto& [id, decision] : instance.m_process->TakeDecisions()) {
    auto pending = m_pending.extract(id);
    if (!pending.empty()) {
      Settle(id, pending.mapped(), decision);
    }
  }
}

void
QuotaFleetSimulation::SendRequests()
{
  std::vector<size_t> takers;
  std::vector<double> weights;
  for (size_t i = 0; i < m_instances.size(); ++i) {
    const Instance& instance = m_instances[i];
    if (instance.m_takesCallers && instance.m_process != nullptr &&
        !IsFrozen(instance)) {
      takers.push_back(i);
      weights.push_back(instance.m_weight);
    }
  }
  if (takers.empty()) {
    return;
  }
  std::discrete_distribution<size_t> choose(weights.begin(), weights.end());
  double stepSeconds = std::chrono::duration<double>(kStep).count();
  for (const auto& [name, rate] : m_demand) {
    std::poisson_distribution<int> count(rate * stepSeconds);
    for (int i = rate > 0 ? count(m_random) : 0; i > 0; --i) {
      size_t to = takers[choose(m_random)];
      Instance& instance = m_instances[to];
      auto workspace =
        std::ranges::find(instance.m_workspaces, name, &Workspace::m_name);
      if (workspace == instance.m_workspaces.end()) {
        continue;
      }
      ++m_tallies[name].m_sent;
      uint64_t id = m_nextId++;
      PendingRequest request{ name, to };
      QuotaDecision decision =
        instance.m_process->Admit(*workspace, id, kMaxWait, LocalNow(to));
      if (decision.m_outcome != QuotaOutcome::kWaiting) {
        Settle(id, request, decision);
      } else if (Random() < kCallersGone) {
        instance.m_process->Cancel(id);
        ++m_tallies[name].m_callerGone;
      } else {
        m_pending[id] = request;
      }
      Flush(to);
    }
  }
}

void
QuotaFleetSimulation::Settle(uint64_t /*aId*/,
                             const PendingRequest& aRequest,
                             const QuotaDecision& aDecision)
{
  QuotaTally& tally = m_tallies[aRequest.m_workspace];
  if (aDecision.m_outcome == QuotaOutcome::kRefused) {
    ++tally.m_refused;
    return;
  }
  if (Random() < m_options.m_refusedLater) {
    if (aDecision.m_tokenExpiresAt) {
      TimePoint later = LocalNow(aRequest.m_instance) +
                        RandomSpan(Duration{}, kMaxTimeUntilRefusedLater);
      // The token is given back late, but the clock cannot be ahead: it counts
      // as given back now if it would still be valid then.
      if (later < *aDecision.m_tokenExpiresAt) {
        m_instances[aRequest.m_instance].m_process->GiveBack(
          aRequest.m_workspace,
          *aDecision.m_tokenExpiresAt,
          LocalNow(aRequest.m_instance));
      }
    }
    return;
  }
  ++tally.m_run;
  m_runs[aRequest.m_workspace].push_back(m_now);
}

void
QuotaFleetSimulation::CheckGranters()
{
  std::map<DataCentre, QuotaGroupSet> granted;
  for (size_t i = 0; i < m_instances.size(); ++i) {
    const Instance& instance = m_instances[i];
    if (instance.m_process == nullptr || IsFrozen(instance)) {
      continue;
    }
    QuotaGroupSet groups = instance.m_process->GrantedGroups(LocalNow(i));
    QuotaGroupSet& others = granted[instance.m_record.m_dataCentre];
    m_hadTwoGranters = m_hadTwoGranters || (groups & others) != 0;
    others |= groups;
  }
}

QuotaFleetSimulation::Limits
QuotaFleetSimulation::GreatestLimits(const std::string& aWorkspace,
                                     TimePoint aFrom,
                                     TimePoint aTo) const
{
  Limits greatest;
  auto found = m_limits.find(aWorkspace);
  if (found == m_limits.end()) {
    return greatest;
  }
  const std::vector<LimitsSince>& history = found->second;
  for (size_t i = 0; i < history.size(); ++i) {
    bool endsBefore = i + 1 < history.size() && history[i + 1].m_at <= aFrom;
    if (endsBefore || history[i].m_at > aTo) {
      continue;
    }
    greatest.m_rate = std::max(greatest.m_rate, history[i].m_limits.m_rate);
    greatest.m_burst = std::max(greatest.m_burst, history[i].m_limits.m_burst);
  }
  return greatest;
}

} // namespace ebonykeel
