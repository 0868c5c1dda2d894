// The message types of a query: the sub-query sent for one shard, its answer,
// and the answer and coverage for one service.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// Whether a request was executed. A refusal has the outcome `kNotRun` only when
// that is certain.
enum class Outcome
{
  kNotRun,
  kRan,
  kUnknown,
};

// Why a shard is missing from an answer.
enum class MissingReason
{
  kNone,
  // No answer arrived before the deadline.
  kDeadline,
  // Every replica shed the work.
  kShed,
  // No replica could be reached.
  kUnreachable,
  // No replica holds the pinned index version.
  kVersionNotHeld,
  // Every replica is drained, leaving, or in a withdrawn data centre.
  kWithdrawn,
  // The answer was malformed, truncated, oversized, or for another request.
  kBadAnswer,
  // The wait in the queue alone would have exceeded the deadline.
  kOverloaded,
  // No instance that may send work to the replicas (their owner) answered.
  kNoOwner,
};

// Returns the stable name of `aReason`, such as "deadline".
[[nodiscard]] std::string_view
MissingReasonName(MissingReason aReason);

// Returns the stable name of `aOutcome`: "not-run", "ran" or "unknown".
[[nodiscard]] std::string_view
OutcomeName(Outcome aOutcome);

// One match in an index. A higher score is a better match.
struct Hit
{
  std::string m_document;
  double m_score = 0;
  std::string m_text;

  friend bool operator==(const Hit&, const Hit&) = default;
};

// A request to one upstream to search one shard at exactly one index version.
struct SubQuery
{
  // Unique for each attempt, hedges and retries included.
  std::string m_id;
  ServiceName m_service;
  ShardName m_shard;
  UpstreamId m_upstream;
  IndexVersion m_indexVersion = 0;
  std::string m_text;
  uint32_t m_limit = 10;
  // Whether this is a hedge. The instance that sends to the upstream refuses a
  // hedge with `kShed` while the upstream is in cold start.
  bool m_hedge = false;
};

// The answer to one sub-query.
struct SubAnswer
{
  std::string m_id;
  UpstreamId m_upstream;
  ShardName m_shard;
  IndexVersion m_indexVersion = 0;
  // `kNone` when the shard answered.
  MissingReason m_reason = MissingReason::kNone;
  // False when the upstream searched only a part of its shard.
  bool m_whole = true;
  // True while the upstream is in cold start, so that the instance that sends
  // to it uses less than its full slots.
  bool m_cold = false;
  // Every index version that the upstream reports to hold; empty if it reported
  // none.
  std::vector<IndexVersion> m_heldVersions;
  std::vector<Hit> m_hits;
};

// A shard that an answer does not fully cover, with the reason.
struct MissingShard
{
  ShardName m_shard;
  MissingReason m_reason = MissingReason::kNone;
  // An upstream answered, but searched only a part of the shard.
  bool m_partial = false;

  friend bool operator==(const MissingShard&, const MissingShard&) = default;
};

// The shards that an answer covers, out of the pinned shard map.
struct Coverage
{
  uint32_t m_shards = 0;
  uint32_t m_answered = 0;
  std::vector<MissingShard> m_missing;

  [[nodiscard]] bool Whole() const { return m_answered == m_shards; }

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

// The answer for one service, at one index version.
struct ServiceAnswer
{
  ServiceName m_service;
  IndexVersion m_indexVersion = 0;
  Coverage m_coverage;
  std::vector<Hit> m_hits;
};

} // namespace ebonykeel
