// A recorded history of queries and one checker for each promise. For tests
// only. A checker returns what it found wrong, one text for each breach.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/query/query_run.h"

namespace ebonykeel::testing {

using Violations = std::vector<std::string>;

// One thing that happened, in order.
struct Event
{
  enum class Kind
  {
    kConfiguration,
    kSend,
    kCancel,
    kDeliver,
    kFinish,
  };
  Kind m_kind = Kind::kSend;
  TimePoint m_at;
  // The query that it concerns.
  size_t m_query = 0;
  ConfigurationPtr m_configuration;
  SendSubQuery m_send;
  std::string m_cancelled;
  SubAnswer m_answer;
  QueryAnswer m_finish;
};

struct History
{
  std::vector<QueryRequest> m_queries;
  std::vector<Event> m_events;
  // Calls of OnTimer after which the run was still due at the same time.
  size_t m_timersStillDue = 0;
};

// What every hit of a correct upstream says of its origin.
[[nodiscard]] Hit
HitFor(const SubQuery& aSubQuery, double aScore);

// Every service part reflects one index version and its shard map.
[[nodiscard]] Violations
CheckSingleSnapshot(const History& aHistory);

// Coverage and missing shards are what the delivered answers make them.
[[nodiscard]] Violations
CheckTrueCoverage(const History& aHistory);

// Every hit is one that this query asked for.
[[nodiscard]] Violations
CheckHitsBelongToQuery(const History& aHistory);

// Every query is answered once, by its deadline, and does nothing afterwards.
[[nodiscard]] Violations
CheckAnsweredByDeadline(const History& aHistory);

// Hedges and retries stay within `aHedgeShare` and `aRetryShare` of the first
// attempts and the bursts; ids are unique; a shard is not asked without end.
[[nodiscard]] Violations
CheckExtraLoad(const History& aHistory,
               double aHedgeShare,
               double aHedgeBurst,
               double aRetryShare,
               double aRetryBurst);

// Nothing is sent to what the configuration in force has taken out.
[[nodiscard]] Violations
CheckNoWorkToWithdrawn(const History& aHistory);

} // namespace ebonykeel::testing
