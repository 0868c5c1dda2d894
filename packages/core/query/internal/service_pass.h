// The state of one service within one query on one snapshot: what was sent for
// each shard and what is known of it. Only query_run.cc uses it.
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

// One sub-query that was sent.
struct Attempt
{
  std::string m_id;
  UpstreamId m_upstream;
  AttemptKind m_kind = AttemptKind::kFirst;
  TimePoint m_sentAt;
  // When it is taken for lost.
  TimePoint m_timeoutAt;
  // Taken for lost; an answer still counts.
  bool m_timedOut = false;
  // Neither answered nor cancelled.
  bool m_open = true;
};

// One shard of the pinned map.
struct ShardState
{
  // Part of the pinned snapshot.
  const ShardConfig* m_shard = nullptr;
  std::vector<Attempt> m_attempts;
  // The answer that counts.
  std::optional<SubAnswer> m_whole;
  // Stands in if no replica answers for the whole shard.
  std::optional<SubAnswer> m_partial;
  // Nothing more will be sent for this shard.
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

  [[nodiscard]] uint32_t Answered() const;
  // Returns this service's part of the answer, with at most `aLimit` hits.
  [[nodiscard]] ServiceAnswer Assemble(uint32_t aLimit) const;
};

// Returns the best `aLimit` hits, best first; equal scores by document.
[[nodiscard]] std::vector<Hit>
BestHits(std::vector<Hit> aHits, uint32_t aLimit);

} // namespace ebonykeel::internal
