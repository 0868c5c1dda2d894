// Simulates a fleet for tests: runs the Membership and OwnershipManager state
// machines of a few instances in one process under a simulated clock. Messages
// between them can be delayed, lost or cut off.
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

struct FleetSimulationOptions
{
  uint32_t m_seed = 1;
  size_t m_instances = 5;
  size_t m_dataCentres = 3;
  size_t m_regions = 1;
  size_t m_shards = 12;
  Duration m_listLag = Seconds(2);
  MembershipSettings m_membership;
  OwnershipSettings m_manager;
};

// One instance. Its clock has its own rate and origin.
struct SimulatedInstance
{
  InstanceRecord m_self;
  bool m_running = false;
  bool m_paused = false;
  double m_clockRate = 1.0;
  Duration m_clockOrigin{};
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<OwnershipManager> m_manager;
  uint64_t m_seenViewVersion = 0;
  Generation m_seenGeneration = 0;
  // Whether the platform's list names the instance.
  bool m_listed = false;
  // Events that arrived while the instance was paused.
  std::deque<std::function<void()>> m_deferred;
  uint64_t m_run = 0;
  bool m_tickQueued = false;
  std::shared_ptr<const OwnerMap> m_owners;
};

class FleetSimulation
{
public:
  explicit FleetSimulation(FleetSimulationOptions aOptions);

  // Runs until `aUntil` on the common clock. Calls `aCheck` before and after
  // each event.
  void RunUntil(Duration aUntil, const std::function<void()>& aCheck);

  void Start(size_t aInstance);
  void Crash(size_t aInstance);
  void Pause(size_t aInstance);
  void Resume(size_t aInstance);
  // Announces that the instance is leaving, sends handover notices, and stops
  // the instance three seconds later.
  void StopGracefully(size_t aInstance);
  // Drops all messages from `aFrom` to `aTo`.
  void Cut(size_t aFrom, size_t aTo) { m_cuts.insert({ aFrom, aTo }); }
  void Heal() { m_cuts.clear(); }
  void SetLossProbability(double aProbability)
  {
    m_lossProbability = aProbability;
  }
  void SetSlowNetwork(bool aSlowNetwork) { m_slowNetwork = aSlowNetwork; }

  [[nodiscard]] Duration Now() const { return m_now; }
  [[nodiscard]] TimePoint LocalNow(const SimulatedInstance& aInstance) const;
  [[nodiscard]] const std::vector<std::unique_ptr<SimulatedInstance>>&
  Instances() const
  {
    return m_instances;
  }
  [[nodiscard]] const Configuration& Config() const { return m_configuration; }
  [[nodiscard]] const std::vector<UpstreamId>& Upstreams() const
  {
    return m_upstreams;
  }
  // Returns the slots that an instance would use now, before it processes any
  // further event.
  [[nodiscard]] uint32_t UsableSlots(const SimulatedInstance& aInstance,
                                     const UpstreamId& aUpstream) const;
  [[nodiscard]] size_t MaxMessageBytes() const { return m_maxMessageBytes; }

private:
  struct Event
  {
    Duration m_time{};
    uint64_t m_order = 0;
    std::function<void()> m_action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.m_time, aOther.m_order) <
             std::tie(m_time, m_order);
    }
  };

  void RunAt(Duration aWhen, std::function<void()> aAction);
  // Runs an action on an instance unless its current process run has ended by
  // then. Defers the action while the instance is paused.
  void RunOn(size_t aInstance,
             Duration aWhen,
             const std::function<void()>& aAction);
  void Send(size_t aFrom, size_t aTo, const std::function<void()>& aAction);
  [[nodiscard]] std::optional<size_t> IndexOf(const InstanceId& aId) const;
  void QueueTick(size_t aInstance);
  void TickInstance(size_t aInstance);
  void Refresh(size_t aInstance);
  void SendPing(size_t aFrom, const PingAction& aPing);
  void SendAcquire(size_t aFrom, const AcquireAction& aAction);
  void PublishList();

  FleetSimulationOptions m_options;
  std::mt19937_64 m_random;
  Duration m_now{};
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<SimulatedInstance>> m_instances;
  Configuration m_configuration;
  std::vector<UpstreamId> m_upstreams;
  std::set<std::pair<size_t, size_t>> m_cuts;
  double m_lossProbability = 0;
  bool m_slowNetwork = false;
  size_t m_maxMessageBytes = 0;
};

} // namespace ebonykeel::testing
