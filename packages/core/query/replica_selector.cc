#include "core/query/replica_selector.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <absl/random/distributions.h>

namespace ebonykeel {
namespace {

// Returns `aValue` after exponential decay with `aHalfLife` over `aAge`.
double
Decay(double aValue, Duration aAge, Duration aHalfLife)
{
  double halvings =
    std::chrono::duration<double>(std::max(aAge, Duration::zero())) /
    std::chrono::duration<double>(aHalfLife);
  return aValue * std::exp2(-halvings);
}

// Returns the weight of a failure as evidence against the upstream itself.
double
FailureWeight(MissingReason aReason)
{
  switch (aReason) {
    case MissingReason::kUnreachable:
    case MissingReason::kNoOwner:
    case MissingReason::kBadAnswer:
    case MissingReason::kWithdrawn:
      return 1.0;
    case MissingReason::kDeadline:
    case MissingReason::kShed:
    case MissingReason::kOverloaded:
      return 0.5;
    case MissingReason::kNone:
    case MissingReason::kVersionNotHeld:
      return 0;
  }
  return 0;
}

} // namespace

AdaptiveSelector::AdaptiveSelector(AdaptiveSelectorOptions aOptions,
                                   absl::BitGenRef aRandom)
  : m_options(std::move(aOptions))
  , m_random(aRandom)
{
}

void
AdaptiveSelector::OnConfiguration(const ConfigurationPtr& aConfiguration)
{
  m_configuration = aConfiguration;
}

bool
AdaptiveSelector::Allows(const UpstreamConfig& aReplica) const
{
  if (m_configuration == nullptr) {
    return true;
  }
  return !m_configuration->m_drainedUpstreams.contains(aReplica.m_id) &&
         !m_configuration->m_withdrawnDataCentres.contains(
           aReplica.m_dataCentre);
}

ReplicaChoice
AdaptiveSelector::Choose(const ShardConfig& aShard,
                         std::span<const UpstreamId> aExcluded,
                         AttemptKind aKind,
                         TimePoint aNow)
{
  Candidates allowed;
  for (const UpstreamConfig& replica : aShard.m_replicas) {
    if (Allows(replica)) {
      allowed.push_back(&replica);
    }
  }
  if (allowed.empty()) {
    return { nullptr, MissingReason::kWithdrawn };
  }
  std::erase_if(allowed, [&](const UpstreamConfig* aReplica) {
    return std::ranges::find(aExcluded, aReplica->m_id) != aExcluded.end();
  });
  if (aKind == AttemptKind::kHedge) {
    std::erase_if(allowed, [&](const UpstreamConfig* aReplica) {
      return !IsWarm(aReplica->m_id, aNow);
    });
  }
  if (allowed.empty()) {
    return { nullptr, MissingReason::kUnreachable };
  }
  bool explore = aKind == AttemptKind::kFirst &&
                 absl::Bernoulli(m_random, m_options.m_explorationShare);
  if (explore) {
    size_t pick = absl::Uniform<size_t>(m_random, 0, allowed.size());
    return { allowed[pick], MissingReason::kNone };
  }
  return { ChooseCheaper(allowed, aNow), MissingReason::kNone };
}

void
AdaptiveSelector::OnSent(const UpstreamId& aUpstream)
{
  ++m_states[aUpstream].m_inFlight;
}

void
AdaptiveSelector::OnSubAnswer(const UpstreamId& aUpstream,
                              const SubAnswer& aAnswer,
                              Duration aLatency,
                              TimePoint aNow)
{
  State& state = m_states[aUpstream];
  state.m_inFlight -= std::min(state.m_inFlight, 1U);
  state.m_cold = aAnswer.m_cold;
  if (aAnswer.m_reason != MissingReason::kNone) {
    AddFailure(state, FailureWeight(aAnswer.m_reason), aNow);
    return;
  }
  AddLatency(state, aLatency, aNow);
  state.m_failures = DecayedFailures(&state, aNow) / 2;
  state.m_failuresAt = aNow;
  if (!aAnswer.m_cold) {
    state.m_lastWarmAt = aNow;
  }
}

void
AdaptiveSelector::OnTimeout(const UpstreamId& aUpstream, TimePoint aNow)
{
  AddFailure(m_states[aUpstream], 1.0, aNow);
}

void
AdaptiveSelector::OnCancelled(const UpstreamId& aUpstream,
                              Duration aElapsed,
                              TimePoint aNow)
{
  State& state = m_states[aUpstream];
  state.m_inFlight -= std::min(state.m_inFlight, 1U);
  if (aElapsed > state.m_latency) {
    AddLatency(state, aElapsed, aNow);
  }
}

const AdaptiveSelector::State*
AdaptiveSelector::FindState(const UpstreamId& aUpstream) const
{
  auto found = m_states.find(aUpstream);
  return found == m_states.end() ? nullptr : &found->second;
}

double
AdaptiveSelector::DecayedFailures(const State* aState, TimePoint aNow) const
{
  if (aState == nullptr) {
    return 0;
  }
  return Decay(aState->m_failures,
               aNow - aState->m_failuresAt,
               m_options.m_failureHalfLife);
}

bool
AdaptiveSelector::IsWarm(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const State* state = FindState(aUpstream);
  return state != nullptr && !state->m_cold &&
         state->m_lastWarmAt.has_value() &&
         aNow - *state->m_lastWarmAt <= m_options.m_warmTtl &&
         DecayedFailures(state, aNow) <= m_options.m_failureLimit;
}

Duration
AdaptiveSelector::DistanceCost(const DataCentre& aDataCentre) const
{
  if (aDataCentre == m_options.m_ownDataCentre) {
    return Duration::zero();
  }
  auto own = m_options.m_regions.find(m_options.m_ownDataCentre);
  auto other = m_options.m_regions.find(aDataCentre);
  bool known =
    own != m_options.m_regions.end() && other != m_options.m_regions.end();
  if (known && own->second != other->second) {
    return m_options.m_remoteRegionCost;
  }
  return m_options.m_remoteDataCentreCost;
}

Duration
AdaptiveSelector::Cost(const UpstreamConfig& aReplica, TimePoint aNow) const
{
  const State* state = FindState(aReplica.m_id);
  auto initial = static_cast<double>(m_options.m_initialLatency.count());
  double latency = initial;
  double inFlight = 0;
  if (state != nullptr) {
    inFlight = state->m_inFlight;
  }
  if (state != nullptr && state->m_latency > Duration::zero()) {
    double excess = static_cast<double>(state->m_latency.count()) - initial;
    Duration age = aNow - state->m_latencyAt;
    latency = initial + Decay(excess, age, m_options.m_latencyHalfLife);
  }
  Duration expected(static_cast<int64_t>(latency * (1 + inFlight)));
  return expected + DistanceCost(aReplica.m_dataCentre);
}

const UpstreamConfig*
AdaptiveSelector::ChooseCheaper(const Candidates& aCandidates, TimePoint aNow)
{
  Candidates best;
  std::ranges::copy_if(
    aCandidates, std::back_inserter(best), [&](const UpstreamConfig* aReplica) {
      const State* state = FindState(aReplica->m_id);
      bool cold = state != nullptr && state->m_cold;
      return !cold && DecayedFailures(state, aNow) <= m_options.m_failureLimit;
    });
  if (best.empty()) {
    best = aCandidates;
  }
  size_t first = absl::Uniform<size_t>(m_random, 0, best.size());
  if (best.size() == 1) {
    return best[first];
  }
  size_t step = absl::Uniform<size_t>(m_random, 1, best.size());
  size_t second = (first + step) % best.size();
  return Cost(*best[first], aNow) <= Cost(*best[second], aNow) ? best[first]
                                                               : best[second];
}

void
AdaptiveSelector::AddFailure(State& aState, double aWeight, TimePoint aNow)
{
  aState.m_failures = DecayedFailures(&aState, aNow) + aWeight;
  aState.m_failuresAt = aNow;
}

void
AdaptiveSelector::AddLatency(State& aState, Duration aLatency, TimePoint aNow)
{
  if (aState.m_latency == Duration::zero()) {
    aState.m_latency = aLatency;
  } else {
    auto change = static_cast<double>((aLatency - aState.m_latency).count());
    aState.m_latency +=
      Duration(static_cast<int64_t>(change * m_options.m_latencyGain));
  }
  aState.m_latencyAt = aNow;
}

} // namespace ebonykeel
