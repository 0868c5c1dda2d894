// The capacity of one searcher: slots, a queue, service times, cold start,
// shedding, draining, cancellation and deadlines. Deterministic; the caller
// runs the timers.
//
//   SearcherModel model(options, random);
//   Effects effects;
//   if (model.Offer(now, id, work, effects) == Admission::kTaken) {
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

// A piece of work, unique for the life of the model.
using WorkId = uint64_t;

struct UpstreamModelOptions
{
  uint32_t m_slots = 2;
  // Work that waits for a slot; more is shed.
  uint32_t m_queueLimit = 32;
  Duration m_meanServiceTime = Milliseconds(5);
  // The spread of the service time's logarithm.
  double m_logStdDev = 0.3;
  double m_stragglerShare = 0;
  double m_stragglerFactor = 10;
  double m_slowFactor = 1;
  bool m_startsCold = true;
  // Answers after which a cold searcher is warm.
  uint32_t m_warmUpAnswers = 20;
  double m_coldFactor = 4;
  // Work that a cold searcher bears, running and waiting; more than that
  // makes it fall over.
  uint32_t m_coldWorkLimit = 2;
};

struct Work
{
  TimePoint m_deadline = TimePoint::max();
  // Once it runs, it can no longer be cancelled.
  bool m_hasSideEffect = false;
};

enum class OfferResult
{
  // The work runs or waits.
  kAccepted,
  kShed,
  kDraining,
  // The deadline has passed.
  kDeadlinePassed,
  // The work was too much: everything held is reset, this work too.
  kOverloaded,
};

struct WorkStart
{
  WorkId m_id = 0;
  Duration m_serviceTime = Duration::zero();
};

// What the caller has to do after a call.
struct Effects
{
  // Call `Finish` for each when its service time is over.
  std::vector<WorkStart> m_started;
  // Work that will not run, since its deadline passed while it waited.
  std::vector<WorkId> m_expired;
  // Work that was lost, some of it half done.
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
  uint64_t m_overloads = 0;
  // Work offered while draining.
  uint64_t m_afterDrainReceived = 0;
  // The most work ever held, running and waiting.
  uint64_t m_maxHeld = 0;
  uint64_t m_maxHeldWhileCold = 0;
  std::optional<TimePoint> m_lastOffered;
};

class UpstreamModel
{
public:
  UpstreamModel(const UpstreamModelOptions& aOptions, absl::BitGenRef aRandom);

  OfferResult Offer(TimePoint aNow,
                    WorkId aId,
                    const Work& aWork,
                    Effects& aEffects);
  // Ends work whose service time is over. Unknown work is ignored.
  void Finish(TimePoint aNow, WorkId aId, Effects& aEffects);
  // Drops waiting work whose deadline has passed.
  void Expire(TimePoint aNow, Effects& aEffects);
  // Drops work that waits, or runs without an effect. Returns whether it did.
  bool Cancel(TimePoint aNow, WorkId aId, Effects& aEffects);
  // Loses all work and starts anew with another boot id.
  void Restart(Effects& aEffects);
  void BecomeCold();
  void SetDraining(bool aDraining) { m_draining = aDraining; }

  [[nodiscard]] bool IsCold() const { return m_remainingWarmUpAnswers > 0; }
  [[nodiscard]] bool IsDraining() const { return m_draining; }
  // Grows with every restart, from 1.
  [[nodiscard]] uint64_t StartCount() const { return m_startCount; }
  [[nodiscard]] size_t RunningCount() const { return m_running.size(); }
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
