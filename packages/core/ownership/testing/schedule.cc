#include "core/ownership/testing/schedule.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace ebonykeel::testing {
namespace {

constexpr Duration kPingTimeout = Seconds(1);
constexpr Duration kListEvery = Milliseconds(500);
constexpr Duration kLeavingTime = Seconds(3);
constexpr double kLargestDrift = 0.01;

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

Schedule::Schedule(ScheduleOptions aOptions)
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
  std::uniform_real_distribution<double> drift(-kLargestDrift, kLargestDrift);
  for (size_t index = 0; index < aOptions.m_machines; ++index) {
    auto machine = std::make_unique<Machine>();
    const size_t dataCentre = index % aOptions.m_dataCentres;
    machine->m_self.m_id = InstanceId(absl::StrCat("i", index));
    machine->m_self.m_peerAddress = absl::StrCat("10.0.0.", index, ":7000");
    machine->m_self.m_dataCentre = DataCentre(absl::StrCat("dc", dataCentre));
    machine->m_self.m_region =
      Region(absl::StrCat("r", dataCentre % aOptions.m_regions));
    machine->m_rate = 1.0 + drift(m_random);
    machine->m_origin = Seconds(static_cast<int64_t>(m_random() % 1000000));
    m_machines.push_back(std::move(machine));
  }
  At(Duration{}, [this] { PublishList(); });
}

TimePoint
Schedule::LocalNow(const Machine& aMachine) const
{
  const double elapsed = static_cast<double>(m_now.count()) * aMachine.m_rate;
  return TimePoint(aMachine.m_origin + Duration(static_cast<int64_t>(elapsed)));
}

uint32_t
Schedule::Slots(const Machine& aMachine, const UpstreamId& aUpstream) const
{
  if (!aMachine.m_up) {
    return 0;
  }
  return aMachine.m_manager->AllowedSlots(
    aUpstream, aMachine.m_membership->CurrentLease(), LocalNow(aMachine));
}

void
Schedule::RunUntil(Duration aUntil, const std::function<void()>& aCheck)
{
  while (!m_events.empty() && m_events.top().m_at <= aUntil) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    // A machine that is late must find out before it handles the event.
    aCheck();
    event.m_action();
    aCheck();
  }
  m_now = aUntil;
}

void
Schedule::At(Duration aWhen, std::function<void()> aAction)
{
  m_events.push({ aWhen, m_order++, std::move(aAction) });
}

void
Schedule::On(size_t aMachine,
             Duration aWhen,
             const std::function<void()>& aAction)
{
  const uint64_t run = m_machines[aMachine]->m_run;
  At(aWhen, [this, aMachine, run, aAction] {
    Machine& machine = *m_machines[aMachine];
    if (!machine.m_up || machine.m_run != run) {
      return;
    }
    if (machine.m_paused) {
      machine.m_held.push_back(aAction);
      return;
    }
    aAction();
    Refresh(aMachine);
    QueueTick(aMachine);
  });
}

void
Schedule::Send(size_t aFrom, size_t aTo, const std::function<void()>& aAction)
{
  std::uniform_real_distribution<double> unit(0, 1);
  if (m_cuts.contains({ aFrom, aTo }) || unit(m_random) < m_loss) {
    return;
  }
  std::exponential_distribution<double> delay(m_slow ? 1.0 / 400 : 1.0 / 2);
  const Duration span(static_cast<int64_t>(delay(m_random) * 1e6) + 100000);
  On(aTo, m_now + span, aAction);
}

std::optional<size_t>
Schedule::IndexOf(const InstanceId& aId) const
{
  const auto found =
    std::ranges::find_if(m_machines, [&](const auto& aMachine) {
      return aMachine->m_self.m_id == aId;
    });
  if (found == m_machines.end()) {
    return std::nullopt;
  }
  return static_cast<size_t>(found - m_machines.begin());
}

void
Schedule::Start(size_t aMachine)
{
  Machine& machine = *m_machines[aMachine];
  if (machine.m_up) {
    return;
  }
  ++machine.m_run;
  // Never used before, but not always higher than the last one.
  machine.m_self.m_incarnation = m_random() % 1000000 * 1000 + machine.m_run;
  machine.m_up = true;
  machine.m_paused = false;
  machine.m_held.clear();
  machine.m_viewSeen = 0;
  machine.m_tickQueued = false;
  const TimePoint now = LocalNow(machine);
  machine.m_membership = std::make_unique<Membership>(
    m_options.m_membership, machine.m_self, m_random, now);
  machine.m_manager = std::make_unique<OwnershipManager>(m_options.m_manager,
                                                         machine.m_self.m_id);
  At(m_now + m_options.m_listLag, [this, aMachine] {
    m_machines[aMachine]->m_listed = m_machines[aMachine]->m_up;
  });
  Refresh(aMachine);
  QueueTick(aMachine);
}

void
Schedule::Crash(size_t aMachine)
{
  Machine& machine = *m_machines[aMachine];
  machine.m_up = false;
  machine.m_held.clear();
  At(m_now + m_options.m_listLag, [this, aMachine] {
    m_machines[aMachine]->m_listed = m_machines[aMachine]->m_up;
  });
}

void
Schedule::Pause(size_t aMachine)
{
  m_machines[aMachine]->m_paused = true;
}

void
Schedule::Resume(size_t aMachine)
{
  Machine& machine = *m_machines[aMachine];
  if (!machine.m_up || !machine.m_paused) {
    return;
  }
  machine.m_paused = false;
  const auto held = std::exchange(machine.m_held, {});
  for (const auto& action : held) {
    On(aMachine, m_now, action);
  }
  machine.m_tickQueued = false;
  QueueTick(aMachine);
}

void
Schedule::StopGracefully(size_t aMachine)
{
  On(aMachine, m_now, [this, aMachine] {
    Machine& machine = *m_machines[aMachine];
    machine.m_membership->SetSelfState(InstanceState::kLeaving,
                                       LocalNow(machine));
    Refresh(aMachine);
    for (HandOverAction& action : machine.m_manager->MakeHandOverNotices()) {
      const std::optional<size_t> target = IndexOf(action.m_target);
      if (target) {
        Send(aMachine, *target, [this, to = *target, notice = action.m_notice] {
          m_machines[to]->m_manager->OnHandOver(notice,
                                                LocalNow(*m_machines[to]));
        });
      }
    }
    On(aMachine, m_now + kLeavingTime, [this, aMachine] {
      Machine& leaving = *m_machines[aMachine];
      leaving.m_membership->SetSelfState(InstanceState::kDead,
                                         LocalNow(leaving));
      TickMachine(aMachine);
      Crash(aMachine);
    });
  });
}

void
Schedule::QueueTick(size_t aMachine)
{
  Machine& machine = *m_machines[aMachine];
  if (!machine.m_up || machine.m_tickQueued) {
    return;
  }
  machine.m_tickQueued = true;
  const TimePoint due =
    std::min(machine.m_membership->NextTick(), machine.m_manager->NextTick());
  const Duration wait = std::clamp<Duration>(
    due - LocalNow(machine), Milliseconds(5), Milliseconds(50));
  On(aMachine, m_now + wait, [this, aMachine] {
    m_machines[aMachine]->m_tickQueued = false;
    TickMachine(aMachine);
  });
}

void
Schedule::TickMachine(size_t aMachine)
{
  Machine& machine = *m_machines[aMachine];
  const TimePoint now = LocalNow(machine);
  if (now >= machine.m_membership->NextTick()) {
    for (const PingAction& ping : machine.m_membership->Tick(now)) {
      SendPing(aMachine, ping);
    }
  }
  Refresh(aMachine);
  for (const AcquireAction& action : machine.m_manager->Tick(now)) {
    SendAcquire(aMachine, action);
  }
}

void
Schedule::Refresh(size_t aMachine)
{
  Machine& machine = *m_machines[aMachine];
  const MembershipView& view = machine.m_membership->View();
  if (machine.m_viewSeen == view.m_version) {
    return;
  }
  machine.m_viewSeen = view.m_version;
  machine.m_owners = std::make_shared<const OwnerMap>(
    BuildOwnerMap(m_configuration, view.m_records));
  machine.m_manager->OnView(
    machine.m_owners, view, m_configuration, LocalNow(machine));
}

void
Schedule::SendPing(size_t aFrom, const PingAction& aPing)
{
  m_largestMessage = std::max(m_largestMessage, EstimateBytes(aPing.m_gossip));
  const std::optional<size_t> target = IndexOf(aPing.m_target);
  if (!target) {
    return;
  }
  const size_t to = *target;
  const TimePoint sentAt = LocalNow(*m_machines[aFrom]);
  auto acknowledged = std::make_shared<bool>(false);
  const uint64_t run = m_machines[aFrom]->m_run;
  Send(aFrom,
       to,
       [this, aFrom, to, run, sentAt, acknowledged, gossip = aPing.m_gossip] {
         Machine& receiver = *m_machines[to];
         const Gossip ack =
           receiver.m_membership->OnPing(gossip, LocalNow(receiver));
         m_largestMessage = std::max(m_largestMessage, EstimateBytes(ack));
         if (m_machines[aFrom]->m_run != run) {
           return;
         }
         Send(to, aFrom, [this, aFrom, to, sentAt, acknowledged, ack] {
           Machine& sender = *m_machines[aFrom];
           *acknowledged = true;
           sender.m_membership->OnAck(
             m_machines[to]->m_self.m_id, sentAt, ack, LocalNow(sender));
         });
       });
  On(aFrom, m_now + kPingTimeout, [this, aFrom, to, acknowledged] {
    if (!*acknowledged) {
      m_machines[aFrom]->m_membership->OnPingFailed(
        m_machines[to]->m_self.m_id, LocalNow(*m_machines[aFrom]));
    }
  });
}

void
Schedule::SendAcquire(size_t aFrom, const AcquireAction& aAction)
{
  const std::optional<size_t> target = IndexOf(aAction.m_target);
  if (!target) {
    return;
  }
  const size_t to = *target;
  const uint64_t run = m_machines[aFrom]->m_run;
  Send(aFrom, to, [this, aFrom, to, run, request = aAction.m_request] {
    Machine& receiver = *m_machines[to];
    const AcquireResponse response =
      receiver.m_manager->OnAcquire(request, LocalNow(receiver));
    if (m_machines[aFrom]->m_run != run) {
      return;
    }
    Send(to, aFrom, [this, aFrom, response] {
      Machine& sender = *m_machines[aFrom];
      sender.m_manager->OnResponse(response, LocalNow(sender));
    });
  });
}

void
Schedule::PublishList()
{
  std::vector<ListedInstance> list;
  for (const auto& machine : m_machines) {
    if (machine->m_listed) {
      list.push_back({ .m_id = machine->m_self.m_id,
                       .m_peerAddress = machine->m_self.m_peerAddress,
                       .m_dataCentre = machine->m_self.m_dataCentre,
                       .m_region = machine->m_self.m_region });
    }
  }
  for (size_t index = 0; index < m_machines.size(); ++index) {
    On(index, m_now, [this, index, list] {
      m_machines[index]->m_membership->OnInstanceList(
        list, LocalNow(*m_machines[index]));
    });
  }
  At(m_now + kListEvery, [this] { PublishList(); });
}

} // namespace ebonykeel::testing
