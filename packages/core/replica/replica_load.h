// Tracks the speed of each upstream as observed by this instance, and chooses
// which of a service's upstreams to use next.
//
// An upstream's latency is kept as a factor relative to the typical latency of
// the route, so that samples of fast and slow routes are comparable. An overdue
// request raises the predicted latency while it is still unanswered, so that a
// pausing upstream is avoided before its first late answer. Stalls at regular
// intervals are forecast. An upstream that asked for no requests for a while is
// not chosen.
//
// With `m_placeByWork`, a request goes where it is expected to end first: the
// unfinished work of this instance's requests at an upstream, and its own,
// over the upstream's speed and slots. Requests on one route may cost very
// different amounts of work, so that counting them does not show how long a
// queue is. A slowness factor compares the time that an answer took without
// waiting with what was expected of that request. `PredictLatency`, by which
// requests are refused and hedged, stays the same.
//
//   ReplicaLoad load(options);
//   const ReplicaPtr* best = load.Choose(candidates, {}, typical, now);
//   load.OnSent(**best, now);
//   load.OnAnswered(**best, sentAt, typical, now);
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/replica/expected_work.h"
#include "core/replica/replica.h"
#include "core/replica/replica_pushback.h"
#include "core/replica/stall_forecast.h"
#include "core/replica/unfinished_work.h"

namespace ebonykeel {

struct ReplicaLoadOptions
{
  // The data centre of this instance.
  DataCentre m_dataCentre;
  // Added to the predicted latency of an upstream in a remote data centre.
  Duration m_remotePenalty = Milliseconds(8);
  // Added to the predicted latency of an upstream in cold start.
  Duration m_coldPenalty = Milliseconds(200);
  // How long an upstream counts as unreachable after it could not be reached.
  // Doubles with each further failure, up to the maximum.
  Duration m_minBackoff = Milliseconds(250);
  Duration m_maxBackoff = Milliseconds(2000);
  // Added to the predicted latency of an upstream that fails every request; in
  // proportion for one that fails some.
  Duration m_errorPenalty = Milliseconds(500);
  // The maximum number of requests of this instance that wait at one upstream
  // beyond its slots.
  size_t m_maxQueued = 4;
  // The time after which a measured slowness or error rate counts half.
  Duration m_decayHalfLife = Milliseconds(1500);
  // Whether stalls are forecast. Off only for comparison.
  bool m_forecastStalls = true;
  // Whether upstreams are chosen by expected completion instead of by latency.
  bool m_placeByWork = false;
  ReplicaPushbackOptions m_pushback;
};

// What an answer showed about the work of its request.
struct WorkSample
{
  Duration m_expected{};
  // The time that it took without waiting, as an upstream of typical speed
  // would have needed.
  Duration m_seen{};
};

// Rotates the choice among equal upstreams.
class ChoiceRotation
{
public:
  // Returns the position at which the next choice of `aCount` upstreams begins.
  size_t Next(size_t aCount) { return aCount == 0 ? 0 : m_next++ % aCount; }

private:
  uint64_t m_next = 0;
};

// What is known about an upstream at one time.
struct ReplicaStatus
{
  // Whether it is in another data centre.
  bool m_isRemote = false;
  size_t m_inFlight = 0;
  bool m_hasQueueCapacity = true;
  // The expected work that is left of the requests in flight, with
  // `m_placeByWork`.
  Duration m_unfinishedWork{};
  // The observed latency relative to the typical one; 1 is typical.
  double m_latencyFactor = 1;
  // The share of failed requests.
  double m_errorRate = 0;
  std::optional<TimePoint> m_coldUntil;
  std::optional<TimePoint> m_unreachableUntil;
  std::optional<TimePoint> m_pushesBackUntil;
  // Whether it gets one request at a time after a pushback.
  bool m_isResuming = false;
  Duration m_predictedLatency{};
  // The predicted latency and the penalties, by which upstreams are chosen.
  Duration m_cost{};
};

class ReplicaLoad
{
public:
  explicit ReplicaLoad(ReplicaLoadOptions aOptions);

  // Returns the upstream that is expected to answer first, penalties included,
  // among those that are not in `aTried` and may receive another request; null
  // if there is none. `aTypicalLatency` is the typical latency of the request,
  // or with `m_placeByWork` its expected work. `aRotation` is advanced, and
  // nothing else changes.
  [[nodiscard]] const ReplicaPtr* Choose(
    std::span<const ReplicaPtr> aCandidates,
    std::span<const ReplicaPtr> aTried,
    Duration aTypicalLatency,
    ChoiceRotation& aRotation,
    TimePoint aNow) const;
  // The same with `Rotation`.
  [[nodiscard]] const ReplicaPtr* Choose(
    std::span<const ReplicaPtr> aCandidates,
    std::span<const ReplicaPtr> aTried,
    Duration aTypicalLatency,
    TimePoint aNow)
  {
    return Choose(aCandidates, aTried, aTypicalLatency, m_rotation, aNow);
  }
  // The rotation that all requests share.
  [[nodiscard]] ChoiceRotation& Rotation() { return m_rotation; }

  // Returns what `Choose` decides by.
  [[nodiscard]] ReplicaStatus Describe(const Replica& aReplica,
                                       Duration aTypicalLatency,
                                       TimePoint aNow) const;

  // Returns the expected latency of a request sent now.
  [[nodiscard]] Duration PredictLatency(const Replica& aReplica,
                                        Duration aTypicalLatency,
                                        TimePoint aNow) const;
  // Returns when a request of `aWork` that is sent now is expected to end, as
  // time from now. Only with `m_placeByWork`.
  [[nodiscard]] Duration PredictCompletion(const Replica& aReplica,
                                           Duration aWork,
                                           TimePoint aNow) const;
  // Returns the number of this instance's requests that the upstream has not
  // answered.
  [[nodiscard]] size_t InFlight(const Replica& aReplica) const;
  // Returns whether the upstream has a free slot, counting only requests of
  // this instance.
  [[nodiscard]] bool HasFreeSlot(const Replica& aReplica) const;
  // Returns whether this instance may send the upstream another request without
  // exceeding `m_maxQueued`, or one request after a pushback.
  [[nodiscard]] bool HasQueueCapacity(const Replica& aReplica,
                                      TimePoint aNow) const;
  // Returns until when the upstream counts as unreachable; nothing if it counts
  // as reachable.
  [[nodiscard]] std::optional<TimePoint> UnreachableUntil(
    const Replica& aReplica,
    TimePoint aNow) const;

  // Returns until when the upstream gets no requests, because it counts as
  // unreachable or pushes back; nothing if it may get some.
  [[nodiscard]] std::optional<TimePoint> UnavailableUntil(
    const Replica& aReplica,
    TimePoint aNow) const;

  // Returns false if certainly no upstream counts as unreachable. May stay true
  // after an upstream became reachable again.
  [[nodiscard]] bool AnyUnreachable(TimePoint aNow) const
  {
    return aNow < m_anyUnreachableUntil;
  }
  // Returns the interval between an upstream's stalls; zero while it is
  // unknown.
  [[nodiscard]] Duration StallInterval() const
  {
    return m_forecast.Interval().value_or(Duration{});
  }

  [[nodiscard]] bool PlacesByWork() const { return m_options.m_placeByWork; }
  // Returns the expected work that is left of this instance's unanswered
  // requests at all upstreams.
  [[nodiscard]] Duration RemainingWork(TimePoint aNow) const;

  // `aWork` is not needed unless `m_placeByWork`.
  void OnSent(const Replica& aReplica,
              TimePoint aNow,
              const ExpectedWork& aWork = {});
  // Called when an attempt got a complete answer. `aTypicalLatency` is the
  // typical latency of the request. Returns what the answer showed about the
  // request's work; nothing if it was held up.
  std::optional<WorkSample> OnAnswered(const Replica& aReplica,
                                       TimePoint aSentAt,
                                       Duration aTypicalLatency,
                                       TimePoint aNow);
  // Called when an unanswered attempt was cancelled much later than its typical
  // latency.
  void OnAttemptCancelledLate(const Replica& aReplica,
                              TimePoint aSentAt,
                              Duration aTypicalLatency,
                              TimePoint aNow);
  // Called when an attempt ended without any evidence about the upstream: it
  // was cancelled or not sent. `aNow` is not needed unless `m_placeByWork`.
  void OnAttemptCancelled(const Replica& aReplica,
                          TimePoint aSentAt,
                          TimePoint aNow = {});
  // Called when the upstream failed or shed the request, or its answer was
  // lost.
  void OnFailed(const Replica& aReplica, TimePoint aSentAt, TimePoint aNow);
  // Called when the upstream could not be reached, or a different upstream
  // answered at its address.
  void OnUnreachable(const Replica& aReplica,
                     TimePoint aSentAt,
                     TimePoint aNow);
  // The upstreams that asked for no requests for a while.
  [[nodiscard]] const ReplicaPushback& Pushback() const { return m_pushback; }
  [[nodiscard]] ReplicaPushback& Pushback() { return m_pushback; }
  // Sets until when the upstream counts as cold.
  void SetColdUntil(const Replica& aReplica, TimePoint aUntil);
  [[nodiscard]] bool IsCold(const Replica& aReplica, TimePoint aNow) const;
  // Removes the state of an upstream that is no longer used.
  void Remove(std::string_view aId);

private:
  struct State
  {
    uint64_t m_startUnixMs = 0;
    // The unanswered requests.
    UnfinishedWork m_unfinished;
    // The observed latency relative to the typical one; 1 is typical.
    double m_latencyFactor = 1;
    TimePoint m_latencyFactorAt;
    // The same relative to the expected work, without waiting.
    double m_slowness = 1;
    TimePoint m_slownessAt;
    // The share of failed requests; decays like the latency factor.
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
  [[nodiscard]] double Slowness(const State& aState, TimePoint aNow) const;
  // Removes an unanswered request; returns what `UnfinishedWork::Remove` does.
  std::optional<EndedWork> RemoveUnfinished(const Replica& aReplica,
                                            TimePoint aSentAt,
                                            TimePoint aNow);
  // Records an answer's time without waiting. Returns the sample of its work.
  WorkSample AddWorkSample(State& aState,
                           const EndedWork& aEnded,
                           TimePoint aNow) const;
  // Returns whether the request has run longer than expected at an upstream as
  // slow as this one is known to be.
  [[nodiscard]] bool IsSlowerThanKnown(const State& aState,
                                       const EndedWork& aEnded,
                                       TimePoint aNow) const;
  // Returns `aWork`, or later if a stall is forecast meanwhile.
  [[nodiscard]] Duration AddExpectedStall(const State& aState,
                                          Duration aWork,
                                          TimePoint aNow) const;
  // Records an observed latency.
  void AddLatencySample(State& aState,
                        Duration aLatency,
                        Duration aTypicalLatency,
                        TimePoint aNow) const;
  // Passes a slow answer to the stall forecast; returns whether a forecast
  // stall explains it.
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
  ReplicaPushback m_pushback;
  // The latest time until which some upstream counts as unreachable.
  TimePoint m_anyUnreachableUntil;
  ChoiceRotation m_rotation;
};

} // namespace ebonykeel
