// The state of one service of a query on one snapshot: the attempts and the
// answer of each shard. Used only by QueryRun.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/query/messages.h"
#include "core/query/replica_selector.h"
#include "core/query/snapshot_tracker.h"

namespace ebonykeel::internal {

// One transmission of a sub-query to an upstream.
struct Attempt
{
  std::string m_id;
  UpstreamId m_upstream;
  AttemptKind m_kind = AttemptKind::kFirst;
  TimePoint m_sentAt;
  // When it times out.
  TimePoint m_timeoutAt;
  // Timed out. An answer is still used.
  bool m_timedOut = false;
  // Neither answered nor cancelled.
  bool m_open = true;
};

// One shard of the pinned shard map.
struct ShardState
{
  // Points into the pinned snapshot.
  const ShardConfig* m_shard = nullptr;
  std::vector<Attempt> m_attempts;
  // The complete answer, once there is one.
  std::optional<SubAnswer> m_whole;
  // The first partial answer; used if no replica gives a complete one.
  std::optional<SubAnswer> m_partial;
  // No more attempts will be sent for this shard.
  bool m_givenUp = false;
  MissingReason m_reason = MissingReason::kDeadline;
  std::optional<TimePoint> m_hedgeAt;
  std::optional<TimePoint> m_retryAt;

  [[nodiscard]] bool IsSettled() const { return m_whole || m_givenUp; }
  [[nodiscard]] bool HasOpenAttempt() const;
  [[nodiscard]] Attempt* FindAttempt(const std::string& aId);
  [[nodiscard]] std::vector<UpstreamId> TriedUpstreams() const;
};

// All shards of one service on one snapshot.
struct ServicePass
{
  explicit ServicePass(ServiceSnapshot aSnapshot);

  ServiceSnapshot m_snapshot;
  std::vector<ShardState> m_shards;

  [[nodiscard]] uint32_t AnsweredShards() const;
  // Returns the answer for this service, with at most `aLimit` hits.
  [[nodiscard]] ServiceAnswer Assemble(uint32_t aLimit) const;
};

// Returns the best `aLimit` hits, best first. Hits with equal scores are
// ordered by document.
[[nodiscard]] std::vector<Hit>
BestHits(std::vector<Hit> aHits, uint32_t aLimit);

} // namespace ebonykeel::internal
