// Chooses the replica of a shard to which a sub-query is sent.
//
// Each instance has one selector, which records the results of all its
// sub-queries. It uses the configuration in force, which may be newer than the
// one that a running query has pinned: an upstream that operators have drained
// or withdrawn gets no new work, whatever the query has pinned.
//
//   ReplicaChoice choice =
//     selector.Choose(shard, {}, AttemptKind::kFirst, now);
//   if (choice.m_replica != nullptr) { selector.OnSent(...); }
#pragma once

#include <optional>
#include <span>

#include <absl/container/flat_hash_map.h>
#include <absl/random/bit_gen_ref.h>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/query/messages.h"

namespace ebonykeel {

// Why an attempt is sent.
enum class AttemptKind
{
  // The first attempt for its shard.
  kFirst,
  // Sent beside an earlier attempt that is slow.
  kHedge,
  // Sent after an earlier attempt failed or timed out.
  kRetry,
};

// A replica, or the reason why none can be used.
struct ReplicaChoice
{
  // Null if no replica may be used. Points into the shard.
  const UpstreamConfig* m_replica = nullptr;
  // `kWithdrawn` if every replica is drained or in a withdrawn data centre,
  // `kUnreachable` if all remaining replicas were excluded or, for a hedge,
  // none of them is warm, `kNone` if there is a replica.
  MissingReason m_reason = MissingReason::kNone;
};

class ReplicaSelector
{
public:
  ReplicaSelector() = default;
  ReplicaSelector(const ReplicaSelector&) = delete;
  ReplicaSelector& operator=(const ReplicaSelector&) = delete;
  virtual ~ReplicaSelector() = default;

  // Called when `aConfiguration` comes into force.
  virtual void OnConfiguration(const ConfigurationPtr& aConfiguration) = 0;

  // Returns whether `aReplica` may get new work: it is not drained and its data
  // centre is not withdrawn.
  [[nodiscard]] virtual bool Allows(const UpstreamConfig& aReplica) const = 0;

  // Chooses one of the replicas of `aShard` that are allowed and not in
  // `aExcluded`. A hedge goes only to an upstream that is known to be warm.
  [[nodiscard]] virtual ReplicaChoice Choose(
    const ShardConfig& aShard,
    std::span<const UpstreamId> aExcluded,
    AttemptKind aKind,
    TimePoint aNow) = 0;

  // Called when an attempt is sent.
  virtual void OnSent(const UpstreamId& aUpstream) = 0;

  // Called when an attempt is answered, `aLatency` after it was sent.
  virtual void OnSubAnswer(const UpstreamId& aUpstream,
                           const SubAnswer& aAnswer,
                           Duration aLatency,
                           TimePoint aNow) = 0;

  // Called when an attempt times out. It still counts as in flight until
  // `OnCancelled` or `OnSubAnswer` is called for it.
  virtual void OnTimeout(const UpstreamId& aUpstream, TimePoint aNow) = 0;

  // Called when an attempt is cancelled after it was unanswered for `aElapsed`.
  virtual void OnCancelled(const UpstreamId& aUpstream,
                           Duration aElapsed,
                           TimePoint aNow) = 0;
};

struct AdaptiveSelectorOptions
{
  DataCentre m_ownDataCentre;
  // The region of each data centre. An unlisted data centre is in no region.
  absl::flat_hash_map<DataCentre, Region> m_regions;
  // Added to the expected latency of a replica in another data centre, or in
  // another region, to get its cost.
  Duration m_remoteDataCentreCost = std::chrono::microseconds(500);
  Duration m_remoteRegionCost = Milliseconds(20);
  // The assumed latency of an upstream that has not answered yet.
  Duration m_initialLatency = Milliseconds(5);
  // The weight of the newest latency in the moving average, in (0, 1].
  double m_latencyGain = 0.1;
  // Without new answers, the difference of an upstream's latency from
  // `m_initialLatency` halves after this time.
  Duration m_latencyHalfLife = Seconds(10);
  // The weight of a failure halves after this time.
  Duration m_failureHalfLife = Seconds(2);
  // An upstream whose decayed failures exceed this limit is avoided.
  double m_failureLimit = 0.9;
  // The share of first attempts that go to a random allowed replica, so that
  // the latency of every replica stays known and a cold replica gets enough
  // work to warm up.
  double m_explorationShare = 0.03;
  // How long an upstream is considered warm after its last answer.
  Duration m_warmTtl = Seconds(60);
};

// Draws two replicas at random and takes the one with the lower cost, computed
// from measured latency, work in flight and distance (power of two choices).
// Failing and cold replicas are used only if there are no others.
class AdaptiveSelector final : public ReplicaSelector
{
public:
  // `aRandom` must outlive the selector.
  AdaptiveSelector(AdaptiveSelectorOptions aOptions, absl::BitGenRef aRandom);

  void OnConfiguration(const ConfigurationPtr& aConfiguration) override;
  [[nodiscard]] bool Allows(const UpstreamConfig& aReplica) const override;
  [[nodiscard]] ReplicaChoice Choose(const ShardConfig& aShard,
                                     std::span<const UpstreamId> aExcluded,
                                     AttemptKind aKind,
                                     TimePoint aNow) override;
  void OnSent(const UpstreamId& aUpstream) override;
  void OnSubAnswer(const UpstreamId& aUpstream,
                   const SubAnswer& aAnswer,
                   Duration aLatency,
                   TimePoint aNow) override;
  void OnTimeout(const UpstreamId& aUpstream, TimePoint aNow) override;
  void OnCancelled(const UpstreamId& aUpstream,
                   Duration aElapsed,
                   TimePoint aNow) override;

private:
  struct State
  {
    Duration m_latency{ 0 };
    TimePoint m_latencyAt;
    uint32_t m_inFlight = 0;
    double m_failures = 0;
    TimePoint m_failuresAt;
    std::optional<TimePoint> m_lastWarmAt;
    bool m_cold = false;
  };
  using Candidates = std::vector<const UpstreamConfig*>;

  [[nodiscard]] const State* FindState(const UpstreamId& aUpstream) const;
  [[nodiscard]] double DecayedFailures(const State* aState,
                                       TimePoint aNow) const;
  [[nodiscard]] bool IsWarm(const UpstreamId& aUpstream, TimePoint aNow) const;
  [[nodiscard]] Duration Cost(const UpstreamConfig& aReplica,
                              TimePoint aNow) const;
  [[nodiscard]] Duration DistanceCost(const DataCentre& aDataCentre) const;
  [[nodiscard]] const UpstreamConfig* ChooseCheaper(
    const Candidates& aCandidates,
    TimePoint aNow);
  void AddFailure(State& aState, double aWeight, TimePoint aNow);
  void AddLatency(State& aState, Duration aLatency, TimePoint aNow);

  AdaptiveSelectorOptions m_options;
  absl::BitGenRef m_random;
  ConfigurationPtr m_configuration;
  absl::flat_hash_map<UpstreamId, State> m_states;
};

} // namespace ebonykeel
