// Drives a few Membership and Holder machines in one process under a paused
// clock, with a queue of messages that are delayed, lost and cut. Scaffolding
// for tests; nothing of it ships.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/ownership/ownership_manager.h"

namespace ebonykeel::testing {

struct ScheduleOptions
{
  uint32_t m_seed = 1;
  size_t m_machines = 5;
  size_t m_dataCentres = 3;
  size_t m_regions = 1;
  size_t m_shards = 12;
  Duration m_listLag = Seconds(2);
  MembershipSettings m_membership;
  OwnershipSettings m_manager;
};

// One machine: its clock runs at its own rate from its own origin.
struct Machine
{
  InstanceRecord m_self;
  bool m_up = false;
  bool m_paused = false;
  double m_rate = 1.0;
  Duration m_origin{};
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<OwnershipManager> m_manager;
  uint64_t m_viewSeen = 0;
  Generation m_generationSeen = 0;
  // What the platform's list says, as soon as it has caught up.
  bool m_listed = false;
  // Events that arrived while it was paused.
  std::deque<std::function<void()>> m_held;
  uint64_t m_run = 0;
  bool m_tickQueued = false;
  std::shared_ptr<const OwnerMap> m_owners;
};

class Schedule
{
public:
  explicit Schedule(ScheduleOptions aOptions);

  // Runs until `aUntil` on the common clock; calls `aCheck` after each event.
  void RunUntil(Duration aUntil, const std::function<void()>& aCheck);

  void Start(size_t aMachine);
  void Crash(size_t aMachine);
  void Pause(size_t aMachine);
  void Resume(size_t aMachine);
  // Announces leaving, hands over, and ends three seconds later.
  void StopGracefully(size_t aMachine);
  // Drops what goes from one machine to the other.
  void Cut(size_t aFrom, size_t aTo) { m_cuts.insert({ aFrom, aTo }); }
  void Heal() { m_cuts.clear(); }
  void SetLoss(double aShare) { m_loss = aShare; }
  void SetSlow(bool aSlow) { m_slow = aSlow; }

  [[nodiscard]] Duration Now() const { return m_now; }
  [[nodiscard]] TimePoint LocalNow(const Machine& aMachine) const;
  [[nodiscard]] const std::vector<std::unique_ptr<Machine>>& Machines() const
  {
    return m_machines;
  }
  [[nodiscard]] const Configuration& Config() const { return m_configuration; }
  [[nodiscard]] const std::vector<UpstreamId>& Upstreams() const
  {
    return m_upstreams;
  }
  // Slots that a machine would use right now, before it handles any event.
  [[nodiscard]] uint32_t Slots(const Machine& aMachine,
                               const UpstreamId& aUpstream) const;
  [[nodiscard]] size_t LargestMessage() const { return m_largestMessage; }

private:
  struct Event
  {
    Duration m_at{};
    uint64_t m_order = 0;
    std::function<void()> m_action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.m_at, aOther.m_order) < std::tie(m_at, m_order);
    }
  };

  void At(Duration aWhen, std::function<void()> aAction);
  // Runs on the machine unless that run of it has ended; waits out a pause.
  void On(size_t aMachine,
          Duration aWhen,
          const std::function<void()>& aAction);
  void Send(size_t aFrom, size_t aTo, const std::function<void()>& aAction);
  [[nodiscard]] std::optional<size_t> IndexOf(const InstanceId& aId) const;
  void QueueTick(size_t aMachine);
  void TickMachine(size_t aMachine);
  void Refresh(size_t aMachine);
  void SendPing(size_t aFrom, const PingAction& aPing);
  void SendAcquire(size_t aFrom, const AcquireAction& aAction);
  void PublishList();

  ScheduleOptions m_options;
  std::mt19937_64 m_random;
  Duration m_now{};
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Machine>> m_machines;
  Configuration m_configuration;
  std::vector<UpstreamId> m_upstreams;
  std::set<std::pair<size_t, size_t>> m_cuts;
  double m_loss = 0;
  bool m_slow = false;
  size_t m_largestMessage = 0;
};

} // namespace ebonykeel::testing
