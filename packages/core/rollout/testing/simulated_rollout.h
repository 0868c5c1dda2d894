// A fleet of instances that carry out one order, with a store, callers and
// upstreams, in simulated time. Messages are lost, repeated and delayed;
// instances are killed, frozen and cut off; the store is away.
//
//   SimulatedRollout simulation(scenario, seed);
//   RolloutOutcome outcome = simulation.Run();
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/rollout/rollout_coordinator.h"
#include "core/rollout/version_chooser.h"

namespace ebonykeel {

// How answers of the target version are bad.
struct BadVersion
{
  // The share of failures, from `m_from` after the order on.
  double m_failures = 0;
  // The factor on the latency.
  double m_slowness = 1;
  Duration m_from{};
  // The only route that is affected; empty for all.
  std::string m_route;
  // Answers are bad only while at least this many requests of all instances are
  // on their way to the target version.
  int m_minLoad = 0;
};

// A disturbance between two times after the order.
struct Disturbance
{
  enum class Kind
  {
    // Instance `m_instance` ends and does not return.
    kKill,
    // Instance `m_instance` does nothing.
    kFreeze,
    // Instance `m_instance` reaches no other, but the store and upstreams.
    kCutOff,
    // Instance `m_instance` reaches neither others nor the store.
    kIsolate,
    // The store answers nobody.
    kStoreAway,
    // Half of the answers of all versions are failures.
    kFaultOfBoth,
    // Instance `m_instance` ends and starts again.
    kRestart,
    // The store comes back at `m_to` from a copy of `m_from`, in a new era.
    kRestore,
  };
  Kind m_kind = Kind::kKill;
  size_t m_instance = 0;
  Duration m_from{};
  Duration m_to{};
};

struct RolloutScenario
{
  size_t m_instances = 5;
  // Of all instances together. Half of the callers use one instance.
  double m_requestsPerSecond = 100;
  Duration m_duration = Seconds(40);
  std::vector<std::string> m_routes{ "a", "b", "c" };
  // The share of failures of both versions at any time.
  double m_commonFailures = 0;
  std::optional<BadVersion> m_bad;
  bool m_hasTarget = true;
  // Of messages between instances and of answers of the store.
  double m_loss = 0;
  double m_repeat = 0;
  Duration m_maxDelay = Milliseconds(5);
  std::vector<Disturbance> m_disturbances;
};

struct RolloutOutcome
{
  RolloutState m_state = RolloutState::kOrdered;
  // Why the version was rolled back, by the controller.
  std::string m_reason;
  // When the final state was written, after the order.
  std::optional<Duration> m_finalAt;
  // Without those that repeat the state before: a restore may have lost it.
  int m_finalWrites = 0;
  // Between the order and its deadline.
  uint64_t m_requests = 0;
  uint64_t m_targetRequests = 0;
  uint64_t m_badAnswers = 0;
  // Whether a request was sent to the target version later than 5 s after its
  // 50th bad answer.
  bool m_sentAfterRollback = false;
  // Requests of instances in contact on their way to the current version when
  // "completed" was written.
  int m_inFlightAtCompletion = 0;
};

class SimulatedRollout
{
public:
  SimulatedRollout(RolloutScenario aScenario, uint32_t aSeed);
  ~SimulatedRollout();
  SimulatedRollout(const SimulatedRollout&) = delete;
  SimulatedRollout& operator=(const SimulatedRollout&) = delete;

  // Runs until some seconds after the deadline.
  RolloutOutcome Run();

private:
  class Instance;

  using Task = std::function<void()>;

  void At(TimePoint aTime, Task aTask)
  {
    m_tasks.emplace(aTime, std::move(aTask));
  }
  [[nodiscard]] double Draw();
  [[nodiscard]] Duration DrawDelay();
  [[nodiscard]] bool IsActive(Disturbance::Kind aKind, size_t aInstance) const;
  [[nodiscard]] bool Runs(size_t aInstance) const;
  [[nodiscard]] bool ReachesOthers(size_t aInstance) const;
  [[nodiscard]] bool ReachesStore(size_t aInstance) const;
  void Deliver(size_t aFrom, size_t aTo, Task aTask);
  void ScheduleRequest();
  void Start(size_t aInstance);
  void Tick(size_t aInstance);
  void CallStore(size_t aInstance, const RolloutCall& aCall);
  void Write(const RolloutCall& aCall);
  // Brings the store back with the entry of a copy.
  void Restore(const RolloutEntry& aCopy);
  // Propagates the entry to every instance.
  void Publish();
  // Propagates an entry, or only its era if the instance's feed would find its
  // content unchanged.
  void PublishTo(size_t aInstance,
                 const RolloutEntry& aEntry,
                 bool aIsChanged = true);
  void OnBadAnswer();

  RolloutScenario m_scenario;
  std::mt19937 m_random;
  TimePoint m_start;
  TimePoint m_now;
  std::multimap<TimePoint, Task> m_tasks;
  std::vector<std::unique_ptr<Instance>> m_instances;
  // Earlier process runs, which open requests refer to.
  std::vector<std::unique_ptr<Instance>> m_ended;
  std::vector<ReplicaPtr> m_upstreams;
  RolloutEntry m_entry;
  // The final state that a restored store lacks, until it is written again.
  std::optional<RolloutState> m_lostFinalState;
  int m_targetInFlight = 0;
  std::optional<TimePoint> m_rollbackDue;
  RolloutOutcome m_outcome;
};

} // namespace ebonykeel
