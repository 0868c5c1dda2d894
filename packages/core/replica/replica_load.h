// What this instance has seen of each searcher's speed, and which of a
// service's searchers to use next.
//
// A searcher's latency is kept as a factor on what its route usually takes, so
// that samples of fast and slow routes count alike. A request that is overdue
// raises the factor while it is still unanswered: a searcher that pauses is
// avoided before its first late answer. Stalls at regular intervals are
// forecast.
//
//   ReplicaLoad load(options);
//   const ReplicaPtr* best = load.Choose(candidates, typical, nullptr, now);
//   load.OnSent(**best, now);
//   load.OnAnswered(**best, sentAt, typical, now);
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/replica/replica.h"
#include "core/replica/stall_forecast.h"

namespace ebonykeel {

struct ReplicaLoadOptions
{
  // The data centre of this instance.
  DataCentre m_dataCentre;
  // What a searcher in another data centre has to be faster by.
  Duration m_remotePenalty = Milliseconds(8);
  // What a searcher in cold start has to be faster by.
  Duration m_coldPenalty = Milliseconds(200);
  // How long a searcher that could not be reached counts as down; it doubles
  // with each further failure up to the longest.
  Duration m_minBackoff = Milliseconds(250);
  Duration m_maxBackoff = Milliseconds(2000);
  // What a searcher has to be faster by that fails every request; in
  // proportion for one that fails some.
  Duration m_errorPenalty = Milliseconds(500);
  // Requests of this instance that wait at one searcher beyond its slots.
  size_t m_maxQueued = 4;
  // The time after which half of a searcher's slowness is forgotten.
  Duration m_decayHalfLife = Milliseconds(1500);
  // Switches the forecast of stalls off, for comparison.
  bool m_forecastStalls = true;
};

class ReplicaLoad
{
public:
  explicit ReplicaLoad(ReplicaLoadOptions aOptions);

  // Returns the searcher that is expected to answer first, of those that are
  // not in `aTried` and may get another request; null if there is none.
  // `aTypicalLatency` is the usual latency of the request.
  [[nodiscard]] const ReplicaPtr* Choose(
    std::span<const ReplicaPtr> aCandidates,
    std::span<const ReplicaPtr> aTried,
    Duration aTypicalLatency,
    TimePoint aNow);

  // Returns how long a request sent now is expected to take.
  [[nodiscard]] Duration PredictLatency(const Replica& aReplica,
                                        Duration aTypicalLatency,
                                        TimePoint aNow) const;
  // Returns whether the searcher has a free slot as far as this instance knows.
  [[nodiscard]] bool HasFreeSlot(const Replica& aReplica) const;
  // Returns whether the searcher may get another request from this instance:
  // one that queues there would wait for more than `m_maxQueued` others.
  [[nodiscard]] bool HasQueueCapacity(const Replica& aReplica) const;
  // Returns until when the searcher counts as unreachable; nothing if it does
  // not.
  [[nodiscard]] std::optional<TimePoint> UnreachableUntil(
    const Replica& aReplica,
    TimePoint aNow) const;

  // Returns whether any searcher counts as unreachable.
  [[nodiscard]] bool AnyUnreachable(TimePoint aNow) const
  {
    return aNow < m_anyUnreachableUntil;
  }
  // Returns how often searchers stall; zero while that is unknown.
  [[nodiscard]] Duration StallInterval() const
  {
    return m_forecast.Interval().value_or(Duration{});
  }

  void OnSent(const Replica& aReplica, TimePoint aNow);
  // Tells that a request came back whole. `aTypicalLatency` as in `Choose`.
  void OnAnswered(const Replica& aReplica,
                  TimePoint aSentAt,
                  Duration aTypicalLatency,
                  TimePoint aNow);
  // Tells that a request was given up unanswered, much later than usual.
  void OnAttemptCancelledLate(const Replica& aReplica,
                              TimePoint aSentAt,
                              Duration aTypicalLatency,
                              TimePoint aNow);
  // Tells that a request ended without an answer that says anything of the
  // searcher: it was cancelled or not sent.
  void OnAttemptCancelled(const Replica& aReplica, TimePoint aSentAt);
  // Tells that the searcher failed the request, lost its answer or shed it.
  void OnFailed(const Replica& aReplica, TimePoint aSentAt, TimePoint aNow);
  // Tells that the searcher could not be reached, or that another one answers
  // at its address.
  void OnUnreachable(const Replica& aReplica,
                     TimePoint aSentAt,
                     TimePoint aNow);
  // Sets until when a searcher counts as cold.
  void SetColdUntil(const Replica& aReplica, TimePoint aUntil);
  // Forgets searchers that are not used any more.
  void Remove(std::string_view aId);

private:
  struct State
  {
    uint64_t m_startUnixMs = 0;
    // The times at which the unanswered requests were sent.
    std::multiset<TimePoint> m_outstanding;
    // Observed latency over the usual one; 1 is usual.
    double m_latencyFactor = 1;
    TimePoint m_latencyFactorAt;
    // The share of failed requests, decaying like the factor.
    double m_errorRate = 0;
    TimePoint m_errorAt;
    uint32_t m_unreachableCount = 0;
    TimePoint m_unreachableUntil;
    TimePoint m_coldUntil;
    StallForecast::History m_stalls;
  };

  [[nodiscard]] const State* Find(const Replica& aReplica) const;
  State& FindOrCreate(const Replica& aReplica);
  [[nodiscard]] double DecayFactor(TimePoint aSince, TimePoint aNow) const;
  [[nodiscard]] double LatencyFactor(const State& aState, TimePoint aNow) const;
  // Counts an observed latency.
  void AddLatencySample(State& aState,
                        Duration aLatency,
                        Duration aTypicalLatency,
                        TimePoint aNow) const;
  // Takes in a slow answer; returns whether a forecast stall explains it.
  bool RecordStall(State& aState,
                   TimePoint aSentAt,
                   Duration aTypicalLatency,
                   TimePoint aNow);
  [[nodiscard]] Duration Cost(const Replica& aReplica,
                              Duration aTypicalLatency,
                              TimePoint aNow) const;

  ReplicaLoadOptions m_options;
  std::unordered_map<std::string, State> m_states;
  StallForecast m_forecast;
  // Until when some searcher counts as unreachable, at the latest.
  TimePoint m_anyUnreachableUntil;
  // Turns the choice among equals.
  uint64_t m_nextOffset = 0;
};

} // namespace ebonykeel
