#include "core/replica/replica_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonykeel {
namespace {

// The weight of a new sample in an upstream's latency factor or error rate.
constexpr double kSampleWeight = 0.3;
// Samples of the latency factor are clamped to this range, so that one outlier
// cannot exclude an upstream for long.
constexpr double kMinLatencyFactor = 0.25;
constexpr double kMaxLatencyFactor = 40;
// The weight and the bounds of a sample of the slowness with placement by work.
// They are smaller than those above: the work of single requests varies, and
// with a bound of 40 an upstream that had paused was avoided for seconds in
// favour of one that was slow all the time (`placement_trial`).
constexpr double kWorkSampleWeight = 0.1;
constexpr double kMinWorkRatio = 0.25;
constexpr double kMaxWorkRatio = 5;
// How much the spread of the expected work lowers the weight of such a sample.
constexpr double kSpreadDamping = 4;
// An unanswered request counts against its upstream once its age exceeds the
// typical latency by this factor, or by more if the upstream is known to be
// slow.
constexpr double kOverdueFactor = 2;
// An answer counts as held up by a stall if its latency exceeds both this
// multiple of the typical latency and the typical latency plus this delay.
constexpr int kStallFactor = 2;
constexpr Duration kMinStallDelay = Milliseconds(40);
// The lower bound of typical latencies.
constexpr Duration kMinTypicalLatency = Milliseconds(1);
// Added to the cost of an unreachable upstream: above any latency of a
// reachable one.
constexpr Duration kUnreachablePenalty = Seconds(10);
// Bounds the shift that doubles the backoff.
constexpr uint32_t kMaxBackoffDoublings = 10;

// Returns the time beyond which a request takes longer than its spread
// explains.
Duration
LongestExpected(const EndedWork& aEnded, double aSlowness)
{
  Duration longest = aEnded.m_expected + aEnded.m_spread;
  return Duration(
    static_cast<int64_t>(static_cast<double>(longest.count()) * aSlowness));
}

} // namespace

ReplicaLoad::ReplicaLoad(ReplicaLoadOptions aOptions)
  : m_options(std::move(aOptions))
  , m_pushback(m_options.m_pushback)
{
}

const ReplicaPtr*
ReplicaLoad::Choose(std::span<const ReplicaPtr> aCandidates,
                    std::span<const ReplicaPtr> aTried,
                    Duration aTypicalLatency,
                    ChoiceRotation& aRotation,
                    TimePoint aNow) const
{
  const ReplicaPtr* best = nullptr;
  Duration bestCost{};
  size_t offset = aRotation.Next(aCandidates.size());
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const ReplicaPtr& candidate =
      aCandidates[(i + offset) % aCandidates.size()];
    bool tried = std::ranges::any_of(aTried, [&](const ReplicaPtr& aOther) {
      return aOther->m_id == candidate->m_id;
    });
    if (tried || m_pushback.Until(*candidate, aNow) ||
        !HasQueueCapacity(*candidate, aNow)) {
      continue;
    }
    Duration cost = Cost(*candidate, aTypicalLatency, aNow);
    if (best == nullptr || cost < bestCost) {
      best = &candidate;
      bestCost = cost;
    }
  }
  return best;
}

ReplicaStatus
ReplicaLoad::Describe(const Replica& aReplica,
                      Duration aTypicalLatency,
                      TimePoint aNow) const
{
  ReplicaStatus status{
    .m_isRemote = aReplica.m_dataCentre != m_options.m_dataCentre,
    .m_hasQueueCapacity = HasQueueCapacity(aReplica, aNow),
    .m_unreachableUntil = UnreachableUntil(aReplica, aNow),
    .m_pushesBackUntil = m_pushback.Until(aReplica, aNow),
    .m_isResuming = m_pushback.IsResuming(aReplica, aNow),
    .m_predictedLatency = m_options.m_placeByWork
                            ? PredictCompletion(aReplica, aTypicalLatency, aNow)
                            : PredictLatency(aReplica, aTypicalLatency, aNow),
    .m_cost = Cost(aReplica, aTypicalLatency, aNow),
  };
  const State* state = Find(aReplica);
  if (state == nullptr) {
    return status;
  }
  status.m_inFlight = state->m_unfinished.Count();
  status.m_latencyFactor = LatencyFactor(*state, aNow);
  status.m_unfinishedWork =
    state->m_unfinished.Remaining(Slowness(*state, aNow), aNow);
  status.m_errorRate = state->m_errorRate * DecayFactor(state->m_errorAt, aNow);
  if (aNow < state->m_coldUntil) {
    status.m_coldUntil = state->m_coldUntil;
  }
  return status;
}

Duration
ReplicaLoad::PredictLatency(const Replica& aReplica,
                            Duration aTypicalLatency,
                            TimePoint aNow) const
{
  Duration typical = std::max(aTypicalLatency, kMinTypicalLatency);
  const State* state = Find(aReplica);
  if (state == nullptr) {
    return typical;
  }
  double inFlight = static_cast<double>(state->m_unfinished.Count());
  double slots = aReplica.m_slots;
  double queue = std::max(0.0, inFlight + 1 - slots) / slots;
  double factor = LatencyFactor(*state, aNow);
  double predicted =
    static_cast<double>(typical.count()) * factor * (1 + queue);
  if (!state->m_unfinished.IsEmpty()) {
    Duration age = aNow - state->m_unfinished.OldestSentAt();
    if (age > typical * kOverdueFactor * std::max(1.0, factor)) {
      predicted = std::max(
        predicted, static_cast<double>((age + typical * (1 + queue)).count()));
    }
  }
  return AddExpectedStall(
    *state, Duration(static_cast<int64_t>(predicted)), aNow);
}

Duration
ReplicaLoad::PredictCompletion(const Replica& aReplica,
                               Duration aWork,
                               TimePoint aNow) const
{
  const State* state = Find(aReplica);
  if (state == nullptr) {
    return aWork;
  }
  double slowness = Slowness(*state, aNow);
  Duration own(
    static_cast<int64_t>(static_cast<double>(aWork.count()) * slowness));
  // A pause holds up a new request too, however short it is.
  Duration overdue = state->m_unfinished.OverdueAge(
    kOverdueFactor * std::max(1.0, slowness), aNow);
  Duration wait =
    state->m_unfinished.ExpectedWait(aReplica.m_slots, slowness, aNow);
  return AddExpectedStall(*state, overdue + own + wait, aNow);
}

Duration
ReplicaLoad::AddExpectedStall(const State& aState,
                              Duration aWork,
                              TimePoint aNow) const
{
  std::optional<TimePoint> stallEnd =
    m_forecast.ExpectedStallEnd(aState.m_stalls, aNow, aWork);
  return stallEnd ? *stallEnd - aNow + aWork : aWork;
}

size_t
ReplicaLoad::InFlight(const Replica& aReplica) const
{
  const State* state = Find(aReplica);
  return state == nullptr ? 0 : state->m_unfinished.Count();
}

bool
ReplicaLoad::HasFreeSlot(const Replica& aReplica) const
{
  return InFlight(aReplica) < aReplica.m_slots;
}

bool
ReplicaLoad::HasQueueCapacity(const Replica& aReplica, TimePoint aNow) const
{
  if (m_pushback.IsResuming(aReplica, aNow)) {
    return InFlight(aReplica) == 0;
  }
  return InFlight(aReplica) < aReplica.m_slots + m_options.m_maxQueued;
}

std::optional<TimePoint>
ReplicaLoad::UnreachableUntil(const Replica& aReplica, TimePoint aNow) const
{
  const State* state = Find(aReplica);
  if (state == nullptr || aNow >= state->m_unreachableUntil) {
    return std::nullopt;
  }
  return state->m_unreachableUntil;
}

std::optional<TimePoint>
ReplicaLoad::UnavailableUntil(const Replica& aReplica, TimePoint aNow) const
{
  // An empty optional is less than any time.
  return std::max(UnreachableUntil(aReplica, aNow),
                  m_pushback.Until(aReplica, aNow));
}

Duration
ReplicaLoad::RemainingWork(TimePoint aNow) const
{
  Duration total{};
  for (const auto& [id, state] : m_states) {
    total += state.m_unfinished.Remaining(Slowness(state, aNow), aNow);
  }
  return total;
}

void
ReplicaLoad::OnSent(const Replica& aReplica,
                    TimePoint aNow,
                    const ExpectedWork& aWork)
{
  State& state = FindOrCreate(aReplica);
  state.m_unfinished.Add(aNow, aWork, aReplica.m_slots);
}

std::optional<WorkSample>
ReplicaLoad::OnAnswered(const Replica& aReplica,
                        TimePoint aSentAt,
                        Duration aTypicalLatency,
                        TimePoint aNow)
{
  std::optional<EndedWork> ended = RemoveUnfinished(aReplica, aSentAt, aNow);
  m_pushback.OnAnswered(aReplica, aNow);
  State& state = FindOrCreate(aReplica);
  state.m_unreachableCount = 0;
  state.m_unreachableUntil = TimePoint{};
  state.m_errorRate = state.m_errorRate * DecayFactor(state.m_errorAt, aNow) *
                      (1 - kSampleWeight);
  state.m_errorAt = aNow;
  bool isForecastStall =
    m_options.m_placeByWork
      ? ended && RecordStall(state,
                             ended->m_startedAt,
                             LongestExpected(*ended, Slowness(state, aNow)),
                             aNow)
      : RecordStall(state, aSentAt, aTypicalLatency, aNow);
  if (isForecastStall) {
    return std::nullopt;
  }
  AddLatencySample(state, aNow - aSentAt, aTypicalLatency, aNow);
  if (m_options.m_placeByWork && ended) {
    return AddWorkSample(state, *ended, aNow);
  }
  return std::nullopt;
}

void
ReplicaLoad::OnAttemptCancelledLate(const Replica& aReplica,
                                    TimePoint aSentAt,
                                    Duration aTypicalLatency,
                                    TimePoint aNow)
{
  std::optional<EndedWork> ended = RemoveUnfinished(aReplica, aSentAt, aNow);
  State& state = FindOrCreate(aReplica);
  AddLatencySample(state, aNow - aSentAt, aTypicalLatency, aNow);
  if (m_options.m_placeByWork && ended &&
      IsSlowerThanKnown(state, *ended, aNow)) {
    // How long it would have taken is not known.
    AddWorkSample(state, *ended, aNow);
  }
}

void
ReplicaLoad::OnAttemptCancelled(const Replica& aReplica,
                                TimePoint aSentAt,
                                TimePoint aNow)
{
  RemoveUnfinished(aReplica, aSentAt, aNow);
}

void
ReplicaLoad::OnFailed(const Replica& aReplica,
                      TimePoint aSentAt,
                      TimePoint aNow)
{
  OnAttemptCancelled(aReplica, aSentAt, aNow);
  State& state = FindOrCreate(aReplica);
  double rate = state.m_errorRate * DecayFactor(state.m_errorAt, aNow);
  state.m_errorRate = rate + kSampleWeight * (1 - rate);
  state.m_errorAt = aNow;
}

void
ReplicaLoad::OnUnreachable(const Replica& aReplica,
                           TimePoint aSentAt,
                           TimePoint aNow)
{
  OnAttemptCancelled(aReplica, aSentAt, aNow);
  State& state = FindOrCreate(aReplica);
  Duration backoff =
    m_options.m_minBackoff *
    (1U << std::min(state.m_unreachableCount, kMaxBackoffDoublings));
  state.m_unreachableUntil = aNow + std::min(backoff, m_options.m_maxBackoff);
  m_anyUnreachableUntil =
    std::max(m_anyUnreachableUntil, state.m_unreachableUntil);
  ++state.m_unreachableCount;
}

void
ReplicaLoad::SetColdUntil(const Replica& aReplica, TimePoint aUntil)
{
  FindOrCreate(aReplica).m_coldUntil = aUntil;
}

bool
ReplicaLoad::IsCold(const Replica& aReplica, TimePoint aNow) const
{
  const State* state = Find(aReplica);
  return state != nullptr && aNow < state->m_coldUntil;
}

void
ReplicaLoad::Remove(std::string_view aId)
{
  m_states.erase(std::string(aId));
}

const ReplicaLoad::State*
ReplicaLoad::Find(const Replica& aReplica) const
{
  auto found = m_states.find(aReplica.m_id);
  if (found == m_states.end() ||
      found->second.m_startUnixMs != aReplica.m_startUnixMs) {
    return nullptr;
  }
  return &found->second;
}

ReplicaLoad::State&
ReplicaLoad::FindOrCreate(const Replica& aReplica)
{
  State& state = m_states[aReplica.m_id];
  if (state.m_startUnixMs != aReplica.m_startUnixMs) {
    state = State{ .m_startUnixMs = aReplica.m_startUnixMs };
  }
  return state;
}

double
ReplicaLoad::DecayFactor(TimePoint aSince, TimePoint aNow) const
{
  return std::exp2(-static_cast<double>((aNow - aSince).count()) /
                   static_cast<double>(m_options.m_decayHalfLife.count()));
}

double
ReplicaLoad::LatencyFactor(const State& aState, TimePoint aNow) const
{
  if (aState.m_latencyFactorAt == TimePoint{}) {
    return 1;
  }
  return 1 + (aState.m_latencyFactor - 1) *
               DecayFactor(aState.m_latencyFactorAt, aNow);
}

double
ReplicaLoad::Slowness(const State& aState, TimePoint aNow) const
{
  return 1 + (aState.m_slowness - 1) * DecayFactor(aState.m_slownessAt, aNow);
}

void
ReplicaLoad::AddLatencySample(State& aState,
                              Duration aLatency,
                              Duration aTypicalLatency,
                              TimePoint aNow) const
{
  double typical =
    static_cast<double>(std::max(aTypicalLatency, kMinTypicalLatency).count());
  double observed = static_cast<double>(aLatency.count()) / typical;
  observed = std::clamp(observed, kMinLatencyFactor, kMaxLatencyFactor);
  double factor = LatencyFactor(aState, aNow);
  aState.m_latencyFactor = factor + kSampleWeight * (observed - factor);
  aState.m_latencyFactorAt = aNow;
}

std::optional<EndedWork>
ReplicaLoad::RemoveUnfinished(const Replica& aReplica,
                              TimePoint aSentAt,
                              TimePoint aNow)
{
  return FindOrCreate(aReplica).m_unfinished.Remove(
    aSentAt, aReplica.m_slots, aNow);
}

bool
ReplicaLoad::IsSlowerThanKnown(const State& aState,
                               const EndedWork& aEnded,
                               TimePoint aNow) const
{
  return static_cast<double>((aNow - aEnded.m_startedAt).count()) >
         static_cast<double>(aEnded.m_expected.count()) *
           Slowness(aState, aNow);
}

WorkSample
ReplicaLoad::AddWorkSample(State& aState,
                           const EndedWork& aEnded,
                           TimePoint aNow) const
{
  double slowness = Slowness(aState, aNow);
  auto expected =
    static_cast<double>(std::max(aEnded.m_expected, Duration(1)).count());
  auto took = static_cast<double>((aNow - aEnded.m_startedAt).count());
  double variation = static_cast<double>(aEnded.m_spread.count()) / expected;
  double weight =
    kWorkSampleWeight / (1 + kSpreadDamping * variation * variation);
  double observed = std::clamp(took / expected, kMinWorkRatio, kMaxWorkRatio);
  aState.m_slowness = slowness + weight * (observed - slowness);
  aState.m_slownessAt = aNow;
  return { .m_expected = aEnded.m_expected,
           .m_seen = Duration(static_cast<int64_t>(took / slowness)) };
}

bool
ReplicaLoad::RecordStall(State& aState,
                         TimePoint aSentAt,
                         Duration aTypicalLatency,
                         TimePoint aNow)
{
  Duration latency = aNow - aSentAt;
  bool slow = latency > aTypicalLatency * kStallFactor &&
              latency > aTypicalLatency + kMinStallDelay;
  if (!slow || !m_options.m_forecastStalls) {
    return false;
  }
  bool forecast =
    m_forecast.ExpectedStallEnd(aState.m_stalls, aSentAt, aTypicalLatency)
      .has_value();
  m_forecast.OnSlowAnswer(aState.m_stalls, aSentAt, aNow);
  return forecast;
}

Duration
ReplicaLoad::Cost(const Replica& aReplica,
                  Duration aTypicalLatency,
                  TimePoint aNow) const
{
  Duration cost = m_options.m_placeByWork
                    ? PredictCompletion(aReplica, aTypicalLatency, aNow)
                    : PredictLatency(aReplica, aTypicalLatency, aNow);
  if (aReplica.m_dataCentre != m_options.m_dataCentre) {
    cost += m_options.m_remotePenalty;
  }
  const State* state = Find(aReplica);
  if (state == nullptr) {
    return cost;
  }
  if (aNow < state->m_coldUntil) {
    cost += m_options.m_coldPenalty;
  }
  if (aNow < state->m_unreachableUntil) {
    cost += kUnreachablePenalty;
  }
  double errors = state->m_errorRate * DecayFactor(state->m_errorAt, aNow);
  cost += Duration(static_cast<int64_t>(
    errors * static_cast<double>(m_options.m_errorPenalty.count())));
  return cost;
}

} // namespace ebonykeel
