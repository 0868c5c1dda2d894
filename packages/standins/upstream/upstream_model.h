// A state machine that models the capacity of one upstream: slots, a queue,
// service times, cold start, load shedding, draining, cancellation and
// deadlines. It has no timers of its own: the caller runs them and passes in
// the current time. The behaviour is deterministic for a given random source.
//
//   UpstreamModel model(options, random);
//   Effects effects;
//   if (model.Offer(now, id, work, effects) == OfferResult::kAccepted) {
//     for (const WorkStart& start : effects.m_started) { ... }
//   }
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "core/base/time.h"

namespace ebonykeel::standins {

// Identifies one piece of work; never reused within a model.
using WorkId = uint64_t;

struct UpstreamModelOptions
{
  uint32_t m_slots = 2;
  // The maximum amount of work that waits for a slot; further work is shed.
  uint32_t m_queueLimit = 32;
  Duration m_meanServiceTime = Milliseconds(5);
  // The standard deviation of the natural logarithm of the service time, which
  // has a log-normal distribution.
  double m_logStdDev = 0.3;
  // The probability that a piece of work takes `m_stragglerFactor` times as
  // long.
  double m_stragglerShare = 0;
  double m_stragglerFactor = 10;
  // Multiplies every service time.
  double m_slowFactor = 1;
  bool m_startsCold = true;
  // The number of answers after which a cold upstream is warm.
  uint32_t m_warmUpAnswers = 20;
  // Multiplies the service time of work that starts while the upstream is cold.
  double m_coldFactor = 4;
  // The maximum amount of running and waiting work that a cold upstream
  // handles; one more piece makes it restart and lose all work.
  uint32_t m_coldWorkLimit = 2;
};

struct Work
{
  TimePoint m_deadline = TimePoint::max();
  // Work with a side effect can be cancelled only while it waits.
  bool m_hasSideEffect = false;
};

enum class OfferResult
{
  // The work has started or waits for a slot.
  kAccepted,
  kShed,
  kDraining,
  kDeadlinePassed,
  // The work exceeded the limit of a cold upstream, which restarted: all work,
  // including this one, is lost.
  kOverloaded,
};

struct WorkStart
{
  WorkId m_id = 0;
  Duration m_serviceTime = Duration::zero();
};

// What the caller of a method must act on afterwards.
struct Effects
{
  // Work that has started; call `Finish` for each when its service time is
  // over.
  std::vector<WorkStart> m_started;
  // Work that is dropped because its deadline passed while it waited.
  std::vector<WorkId> m_expired;
  // Work that a restart dropped, whether it was running or waiting.
  std::vector<WorkId> m_reset;
};

struct UpstreamModelCounters
{
  uint64_t m_received = 0;
  uint64_t m_started = 0;
  uint64_t m_executed = 0;
  uint64_t m_shed = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_expired = 0;
  // Restarts because a cold upstream had too much work.
  uint64_t m_overloads = 0;
  // Work offered while draining.
  uint64_t m_afterDrainReceived = 0;
  // The maximum of `HeldCount`.
  uint64_t m_maxHeld = 0;
  uint64_t m_maxHeldWhileCold = 0;
  std::optional<TimePoint> m_lastOffered;
};

class UpstreamModel
{
public:
  UpstreamModel(const UpstreamModelOptions& aOptions, absl::BitGenRef aRandom);

  // Starts the work, queues it or rejects it.
  OfferResult Offer(TimePoint aNow,
                    WorkId aId,
                    const Work& aWork,
                    Effects& aEffects);
  // Ends work whose service time is over. An unknown id is ignored.
  void Finish(TimePoint aNow, WorkId aId, Effects& aEffects);
  // Drops waiting work whose deadline has passed.
  void Expire(TimePoint aNow, Effects& aEffects);
  // Drops the work if it waits, or runs and has no side effect. Returns whether
  // it was dropped.
  bool Cancel(TimePoint aNow, WorkId aId, Effects& aEffects);
  // Drops all work, increments `StartCount` and becomes cold.
  void Restart(Effects& aEffects);
  void BecomeCold();
  void SetDraining(bool aDraining) { m_draining = aDraining; }

  [[nodiscard]] bool IsCold() const { return m_remainingWarmUpAnswers > 0; }
  [[nodiscard]] bool IsDraining() const { return m_draining; }
  // Starts at 1 and is incremented by each restart.
  [[nodiscard]] uint64_t StartCount() const { return m_startCount; }
  [[nodiscard]] size_t RunningCount() const { return m_running.size(); }
  // The amount of work that runs or waits.
  [[nodiscard]] size_t HeldCount() const
  {
    return RunningCount() + m_queue.size();
  }
  [[nodiscard]] UpstreamModelOptions& Options() { return m_options; }
  [[nodiscard]] const UpstreamModelOptions& Options() const
  {
    return m_options;
  }
  [[nodiscard]] const UpstreamModelCounters& Counters() const
  {
    return m_counters;
  }
  void ResetCounters() { m_counters = {}; }

private:
  struct Waiting
  {
    WorkId m_id = 0;
    Work m_work;
  };

  // The number of pieces of work that may run at once.
  [[nodiscard]] uint32_t Capacity() const;
  [[nodiscard]] Duration DrawServiceTime();
  void UpdateMaxHeld();
  void FillSlots(TimePoint aNow, Effects& aEffects);

  UpstreamModelOptions m_options;
  absl::BitGenRef m_random;
  std::map<WorkId, Work> m_running;
  std::deque<Waiting> m_queue;
  uint32_t m_remainingWarmUpAnswers = 0;
  bool m_draining = false;
  uint64_t m_startCount = 1;
  UpstreamModelCounters m_counters;
};

} // namespace ebonykeel::standins
