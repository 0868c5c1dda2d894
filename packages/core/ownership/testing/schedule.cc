#include "core/ownership/testing/schedule.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace ebonykeel::testing {
namespace {

constexpr Duration kPingTimeout = Seconds(1);
constexpr Duration kListInterval = Milliseconds(500);
constexpr Duration kLeavingDuration = Seconds(3);
constexpr double kMaxClockDrift = 0.01;

Configuration
MakeConfiguration(size_t aShards, size_t aDataCentres)
{
  ServiceConfig service{ .m_name = ServiceName("desk"),
                         .m_group = GroupName("valuation") };
  for (size_t index = 0; index < aShards; ++index) {
    ShardConfig shard{ .m_name = ShardName(absl::StrCat("s", index)) };
    for (size_t replica = 0; replica < 2; ++replica) {
      const size_t dataCentre = (index + replica) % aDataCentres;
      shard.m_replicas.push_back(
        { .m_id = UpstreamId(absl::StrCat("u", index, "-", replica)),
          .m_dataCentre = DataCentre(absl::StrCat("dc", dataCentre)) });
    }
    service.m_shards.push_back(std::move(shard));
  }
  return { .m_generation = 1, .m_services = { service } };
}

} // namespace

FleetSimulation::FleetSimulation(FleetSimulationOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_configuration(
      MakeConfiguration(aOptions.m_shards, aOptions.m_dataCentres))
{
  for (const ShardConfig& shard : m_configuration.m_services[0].m_shards) {
    for (const UpstreamConfig& upstream : shard.m_replicas) {
      m_upstreams.push_back(upstream.m_id);
    }
  }
  std::uniform_real_distribution<double> drift(-kMaxClockDrift, kMaxClockDrift);
  for (size_t index = 0; index < aOptions.m_instances; ++index) {
    auto instance = std::make_unique<SimulatedInstance>();
    const size_t dataCentre = index % aOptions.m_dataCentres;
    instance->m_self.m_id = InstanceId(absl::StrCat("i", index));
    instance->m_self.m_peerAddress = absl::StrCat("10.0.0.", index, ":7000");
    instance->m_self.m_dataCentre = DataCentre(absl::StrCat("dc", dataCentre));
    instance->m_self.m_region =
      Region(absl::StrCat("r", dataCentre % aOptions.m_regions));
    instance->m_clockRate = 1.0 + drift(m_random);
    instance->m_clockOrigin =
      Seconds(static_cast<int64_t>(m_random() % 1000000));
    m_instances.push_back(std::move(instance));
  }
  RunAt(Duration{}, [this] { PublishList(); });
}

TimePoint
FleetSimulation::LocalNow(const SimulatedInstance& aInstance) const
{
  const double elapsed =
    static_cast<double>(m_now.count()) * aInstance.m_clockRate;
  return TimePoint(aInstance.m_clockOrigin +
                   Duration(static_cast<int64_t>(elapsed)));
}

uint32_t
FleetSimulation::UsableSlots(const SimulatedInstance& aInstance,
                             const UpstreamId& aUpstream) const
{
  if (!aInstance.m_running) {
    return 0;
  }
  return aInstance.m_manager->AllowedSlots(
    aUpstream, aInstance.m_membership->CurrentLease(), LocalNow(aInstance));
}

void
FleetSimulation::RunUntil(Duration aUntil, const std::function<void()>& aCheck)
{
  while (!m_events.empty() && m_events.top().m_time <= aUntil) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_time;
    // Check first: a late instance must detect an expired lease without the
    // event.
    aCheck();
    event.m_action();
    aCheck();
  }
  m_now = aUntil;
}

void
FleetSimulation::RunAt(Duration aWhen, std::function<void()> aAction)
{
  m_events.push({ aWhen, m_order++, std::move(aAction) });
}

void
FleetSimulation::RunOn(size_t aInstance,
                       Duration aWhen,
                       const std::function<void()>& aAction)
{
  const uint64_t run = m_instances[aInstance]->m_run;
  RunAt(aWhen, [this, aInstance, run, aAction] {
    SimulatedInstance& instance = *m_instances[aInstance];
    if (!instance.m_running || instance.m_run != run) {
      return;
    }
    if (instance.m_paused) {
      instance.m_deferred.push_back(aAction);
      return;
    }
    aAction();
    Refresh(aInstance);
    QueueTick(aInstance);
  });
}

void
FleetSimulation::Send(size_t aFrom,
                      size_t aTo,
                      const std::function<void()>& aAction)
{
  std::uniform_real_distribution<double> unit(0, 1);
  if (m_cuts.contains({ aFrom, aTo }) || unit(m_random) < m_lossProbability) {
    return;
  }
  std::exponential_distribution<double> distribution(m_slowNetwork ? 1.0 / 400
                                                                   : 1.0 / 2);
  const Duration delay(static_cast<int64_t>(distribution(m_random) * 1e6) +
                       100000);
  RunOn(aTo, m_now + delay, aAction);
}

std::optional<size_t>
FleetSimulation::IndexOf(const InstanceId& aId) const
{
  const auto found =
    std::ranges::find_if(m_instances, [&](const auto& aInstance) {
      return aInstance->m_self.m_id == aId;
    });
  if (found == m_instances.end()) {
    return std::nullopt;
  }
  return static_cast<size_t>(found - m_instances.begin());
}

void
FleetSimulation::Start(size_t aInstance)
{
  SimulatedInstance& instance = *m_instances[aInstance];
  if (instance.m_running) {
    return;
  }
  ++instance.m_run;
  // Unique, but not always higher than the previous incarnation.
  instance.m_self.m_incarnation = m_random() % 1000000 * 1000 + instance.m_run;
  instance.m_running = true;
  instance.m_paused = false;
  instance.m_deferred.clear();
  instance.m_seenViewVersion = 0;
  instance.m_tickQueued = false;
  const TimePoint now = LocalNow(instance);
  instance.m_membership = std::make_unique<Membership>(
    m_options.m_membership, instance.m_self, m_random, now);
  instance.m_manager = std::make_unique<OwnershipManager>(m_options.m_manager,
                                                          instance.m_self.m_id);
  RunAt(m_now + m_options.m_listLag, [this, aInstance] {
    m_instances[aInstance]->m_listed = m_instances[aInstance]->m_running;
  });
  Refresh(aInstance);
  QueueTick(aInstance);
}

void
FleetSimulation::Crash(size_t aInstance)
{
  SimulatedInstance& instance = *m_instances[aInstance];
  instance.m_running = false;
  instance.m_deferred.clear();
  RunAt(m_now + m_options.m_listLag, [this, aInstance] {
    m_instances[aInstance]->m_listed = m_instances[aInstance]->m_running;
  });
}

void
FleetSimulation::Pause(size_t aInstance)
{
  m_instances[aInstance]->m_paused = true;
}

void
FleetSimulation::Resume(size_t aInstance)
{
  SimulatedInstance& instance = *m_instances[aInstance];
  if (!instance.m_running || !instance.m_paused) {
    return;
  }
  instance.m_paused = false;
  const auto deferred = std::exchange(instance.m_deferred, {});
  for (const auto& action : deferred) {
    RunOn(aInstance, m_now, action);
  }
  instance.m_tickQueued = false;
  QueueTick(aInstance);
}

void
FleetSimulation::StopGracefully(size_t aInstance)
{
  RunOn(aInstance, m_now, [this, aInstance] {
    SimulatedInstance& instance = *m_instances[aInstance];
    instance.m_membership->SetSelfState(InstanceState::kLeaving,
                                        LocalNow(instance));
    Refresh(aInstance);
    for (HandOverAction& action : instance.m_manager->MakeHandOverNotices()) {
      const std::optional<size_t> target = IndexOf(action.m_target);
      if (target) {
        Send(
          aInstance, *target, [this, to = *target, notice = action.m_notice] {
            m_instances[to]->m_manager->OnHandOver(notice,
                                                   LocalNow(*m_instances[to]));
          });
      }
    }
    RunOn(aInstance, m_now + kLeavingDuration, [this, aInstance] {
      SimulatedInstance& leaving = *m_instances[aInstance];
      leaving.m_membership->SetSelfState(InstanceState::kDead,
                                         LocalNow(leaving));
      TickInstance(aInstance);
      Crash(aInstance);
    });
  });
}

void
FleetSimulation::QueueTick(size_t aInstance)
{
  SimulatedInstance& instance = *m_instances[aInstance];
  if (!instance.m_running || instance.m_tickQueued) {
    return;
  }
  instance.m_tickQueued = true;
  const TimePoint due =
    std::min(instance.m_membership->NextTick(), instance.m_manager->NextTick());
  const Duration wait = std::clamp<Duration>(
    due - LocalNow(instance), Milliseconds(5), Milliseconds(50));
  RunOn(aInstance, m_now + wait, [this, aInstance] {
    m_instances[aInstance]->m_tickQueued = false;
    TickInstance(aInstance);
  });
}

void
FleetSimulation::TickInstance(size_t aInstance)
{
  SimulatedInstance& instance = *m_instances[aInstance];
  const TimePoint now = LocalNow(instance);
  if (now >= instance.m_membership->NextTick()) {
    for (const PingAction& ping : instance.m_membership->Tick(now)) {
      SendPing(aInstance, ping);
    }
  }
  Refresh(aInstance);
  for (const AcquireAction& action : instance.m_manager->Tick(now)) {
    SendAcquire(aInstance, action);
  }
}

void
FleetSimulation::Refresh(size_t aInstance)
{
  SimulatedInstance& instance = *m_instances[aInstance];
  const MembershipView& view = instance.m_membership->View();
  if (instance.m_seenViewVersion == view.m_version) {
    return;
  }
  instance.m_seenViewVersion = view.m_version;
  instance.m_owners = std::make_shared<const OwnerMap>(
    BuildOwnerMap(m_configuration, view.m_records));
  instance.m_manager->OnView(
    instance.m_owners, view, m_configuration, LocalNow(instance));
}

void
FleetSimulation::SendPing(size_t aFrom, const PingAction& aPing)
{
  m_maxMessageBytes =
    std::max(m_maxMessageBytes, EstimateBytes(aPing.m_gossip));
  const std::optional<size_t> target = IndexOf(aPing.m_target);
  if (!target) {
    return;
  }
  const size_t to = *target;
  const TimePoint sentAt = LocalNow(*m_instances[aFrom]);
  auto acknowledged = std::make_shared<bool>(false);
  const uint64_t run = m_instances[aFrom]->m_run;
  Send(aFrom,
       to,
       [this, aFrom, to, run, sentAt, acknowledged, gossip = aPing.m_gossip] {
         SimulatedInstance& receiver = *m_instances[to];
         const Gossip ack =
           receiver.m_membership->OnPing(gossip, LocalNow(receiver));
         m_maxMessageBytes = std::max(m_maxMessageBytes, EstimateBytes(ack));
         if (m_instances[aFrom]->m_run != run) {
           return;
         }
         Send(to, aFrom, [this, aFrom, to, sentAt, acknowledged, ack] {
           SimulatedInstance& sender = *m_instances[aFrom];
           *acknowledged = true;
           sender.m_membership->OnAck(
             m_instances[to]->m_self.m_id, sentAt, ack, LocalNow(sender));
         });
       });
  RunOn(aFrom, m_now + kPingTimeout, [this, aFrom, to, acknowledged] {
    if (!*acknowledged) {
      m_instances[aFrom]->m_membership->OnPingFailed(
        m_instances[to]->m_self.m_id, LocalNow(*m_instances[aFrom]));
    }
  });
}

void
FleetSimulation::SendAcquire(size_t aFrom, const AcquireAction& aAction)
{
  const std::optional<size_t> target = IndexOf(aAction.m_target);
  if (!target) {
    return;
  }
  const size_t to = *target;
  const uint64_t run = m_instances[aFrom]->m_run;
  Send(aFrom, to, [this, aFrom, to, run, request = aAction.m_request] {
    SimulatedInstance& receiver = *m_instances[to];
    const AcquireResponse response =
      receiver.m_manager->OnAcquire(request, LocalNow(receiver));
    if (m_instances[aFrom]->m_run != run) {
      return;
    }
    Send(to, aFrom, [this, aFrom, response] {
      SimulatedInstance& sender = *m_instances[aFrom];
      sender.m_manager->OnResponse(response, LocalNow(sender));
    });
  });
}

void
FleetSimulation::PublishList()
{
  std::vector<ListedInstance> list;
  for (const auto& instance : m_instances) {
    if (instance->m_listed) {
      list.push_back({ .m_id = instance->m_self.m_id,
                       .m_peerAddress = instance->m_self.m_peerAddress,
                       .m_dataCentre = instance->m_self.m_dataCentre,
                       .m_region = instance->m_self.m_region });
    }
  }
  for (size_t index = 0; index < m_instances.size(); ++index) {
    RunOn(index, m_now, [this, index, list] {
      m_instances[index]->m_membership->OnInstanceList(
        list, LocalNow(*m_instances[index]));
    });
  }
  RunAt(m_now + kListInterval, [this] { PublishList(); });
}

} // namespace ebonykeel::testing
