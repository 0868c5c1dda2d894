// Which replica of a shard a sub-query goes to.
//
// A selector belongs to one instance and learns from every sub-query of it. It
// also knows the configuration in force now, which may be newer than the one a
// running query has pinned: what operators have taken out gets no new work,
// whatever the query pinned.
//
//   ReplicaChoice choice = selector.Choose(shard, {}, AttemptKind::kFirst,
//   now); if (choice.m_replica != nullptr) { selector.OnSent(...); }
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

// Why a sub-query is sent.
enum class AttemptKind
{
  // The first one for its shard.
  kFirst,
  // Beside an earlier one that is slow.
  kHedge,
  // After an earlier one that failed or fell silent.
  kRetry,
};

// A replica, or why there is none.
struct ReplicaChoice
{
  // Null when no replica may be used; lives as long as the shard.
  const UpstreamConfig* m_replica = nullptr;
  // `kWithdrawn` when operators have taken out every replica, `kUnreachable`
  // when all that are left were excluded, `kNone` when there is a replica.
  MissingReason m_reason = MissingReason::kNone;
};

class ReplicaSelector
{
public:
  ReplicaSelector() = default;
  ReplicaSelector(const ReplicaSelector&) = delete;
  ReplicaSelector& operator=(const ReplicaSelector&) = delete;
  virtual ~ReplicaSelector() = default;

  // Tells which configuration is in force now.
  virtual void OnConfiguration(const ConfigurationPtr& aConfiguration) = 0;

  // Returns whether new work may go to `aReplica` at all: neither it nor its
  // data centre is taken out.
  [[nodiscard]] virtual bool Allows(const UpstreamConfig& aReplica) const = 0;

  // Chooses among the replicas of `aShard` that are allowed and not in
  // `aExcluded`. A hedge goes only to an upstream that is known to be warm.
  [[nodiscard]] virtual ReplicaChoice Choose(
    const ShardConfig& aShard,
    std::span<const UpstreamId> aExcluded,
    AttemptKind aKind,
    TimePoint aNow) = 0;

  // Tells that a sub-query was sent.
  virtual void OnSent(const UpstreamId& aUpstream) = 0;

  // Tells how a sub-query ended, `aLatency` after it was sent.
  virtual void OnSubAnswer(const UpstreamId& aUpstream,
                           const SubAnswer& aAnswer,
                           Duration aLatency,
                           TimePoint aNow) = 0;

  // Tells that a sub-query is unanswered long after `aElapsed` and is taken
  // for lost. It still counts as sent until `OnCancelled` or `OnSubAnswer`.
  virtual void OnTimeout(const UpstreamId& aUpstream, TimePoint aNow) = 0;

  // Tells that nobody waits any longer for a sub-query that had been
  // unanswered for `aElapsed`.
  virtual void OnCancelled(const UpstreamId& aUpstream,
                           Duration aElapsed,
                           TimePoint aNow) = 0;
};

struct AdaptiveSelectorOptions
{
  DataCentre m_ownDataCentre;
  // The region of each data centre. One that is not listed is in no region.
  absl::flat_hash_map<DataCentre, Region> m_regions;
  // What a replica elsewhere is held to cost beyond its excess latency.
  Duration m_remoteDataCentreCost = std::chrono::microseconds(500);
  Duration m_remoteRegionCost = Milliseconds(20);
  // The latency of an upstream that has not answered yet.
  Duration m_initialLatency = Milliseconds(5);
  // The weight of the newest latency in the moving average, in (0, 1].
  double m_latencyGain = 0.1;
  // After this time without an answer a latency counts half.
  Duration m_latencyHalfLife = Seconds(10);
  // A failure counts half after this time.
  Duration m_failureHalfLife = Seconds(2);
  // An upstream with more decayed failures is avoided.
  double m_failureLimit = 0.9;
  // The share of first attempts that go to any allowed replica, so that each
  // stays known and a cold one gets the little work by which it warms up.
  double m_explorationShare = 0.03;
  // How long an upstream is taken to stay warm after its last answer.
  Duration m_warmTtl = Seconds(60);
};

// Compares two replicas drawn at random by excess latency, work in flight and
// distance (power of two choices); keeps failing and cold ones for last.
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
