// The typed messages of a query: what a caller asks, what one shard is asked,
// what one shard answered and what the caller gets.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// Whether a request had an effect. A refusal says `kNotRun` only when that is
// certain.
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
  // No answer before the deadline.
  kDeadline,
  // Every replica refused the work.
  kShed,
  // No replica can be reached.
  kUnreachable,
  // No replica holds the pinned index version.
  kVersionNotHeld,
  // Every replica is in a data centre that is taken out, or is leaving.
  kWithdrawn,
  // The answer was malformed, truncated, oversized or not this request's.
  kBadAnswer,
  // The queue alone would have taken longer than the deadline.
  kOverloaded,
  // No instance that may send work to the replicas answered.
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

// Work for one upstream: search one shard at exactly one index version.
struct SubQuery
{
  // Unique for each sub-request, including hedges and retries.
  std::string m_id;
  ServiceName m_service;
  ShardName m_shard;
  UpstreamId m_upstream;
  IndexVersion m_indexVersion = 0;
  std::string m_text;
  uint32_t m_limit = 10;
  // A second copy of work that another replica already has. Whoever sends to
  // the upstream refuses it with `kShed` while that upstream is in cold start.
  bool m_hedge = false;
};

// What came back for one sub-query.
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
  // True while the instance that sends to the upstream holds it to less than
  // its full slots because of a cold start.
  bool m_cold = false;
  // Every index version that the upstream says it holds; empty when it did not
  // say.
  std::vector<IndexVersion> m_heldVersions;
  std::vector<Hit> m_hits;
};

// A shard that an answer does not cover, and why.
struct MissingShard
{
  ShardName m_shard;
  MissingReason m_reason = MissingReason::kNone;
  // The upstream answered, but searched only a part of the shard.
  bool m_partial = false;

  friend bool operator==(const MissingShard&, const MissingShard&) = default;
};

// What an answer covers, counted against the pinned shard map.
struct Coverage
{
  uint32_t m_shards = 0;
  uint32_t m_answered = 0;
  std::vector<MissingShard> m_missing;

  [[nodiscard]] bool Whole() const { return m_answered == m_shards; }

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

// One service's part of an answer: one index version and its coverage.
struct ServiceAnswer
{
  ServiceName m_service;
  IndexVersion m_indexVersion = 0;
  Coverage m_coverage;
  std::vector<Hit> m_hits;
};

} // namespace ebonykeel
