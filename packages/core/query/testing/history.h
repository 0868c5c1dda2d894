// A recorded history of queries, and a checker for each guarantee. For tests
// only. A checker returns one message for each violation that it finds.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/query/query_run.h"

namespace ebonykeel::testing {

using Violations = std::vector<std::string>;

// One event of a history.
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
  // The index of the query.
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
  // Calls of `OnTimer` after which the same run's timer was still due.
  size_t m_timersStillDue = 0;
};

// Returns the hit that a correct upstream returns for `aSubQuery`. Its document
// consists of the text, service, index version and shard.
[[nodiscard]] Hit
HitFor(const SubQuery& aSubQuery, double aScore);

// Checks that the answer for each service is of one index version and its shard
// map.
[[nodiscard]] Violations
CheckSingleSnapshot(const History& aHistory);

// Checks coverage and missing shards against the delivered answers.
[[nodiscard]] Violations
CheckTrueCoverage(const History& aHistory);

// Checks that every hit belongs to the query and service it is returned for.
[[nodiscard]] Violations
CheckHitsBelongToQuery(const History& aHistory);

// Checks that every query is answered once, before its deadline, and sends and
// cancels nothing afterwards.
[[nodiscard]] Violations
CheckAnsweredByDeadline(const History& aHistory);

// Checks that hedges and retries stay within `aHedgeShare` and `aRetryShare` of
// the first attempts plus the bursts, that ids are unique, and that the number
// of attempts for a shard is bounded.
[[nodiscard]] Violations
CheckExtraLoad(const History& aHistory,
               double aHedgeShare,
               double aHedgeBurst,
               double aRetryShare,
               double aRetryBurst);

// Checks that nothing is sent to drained upstreams or withdrawn data centres.
[[nodiscard]] Violations
CheckNoWorkToWithdrawn(const History& aHistory);

} // namespace ebonykeel::testing
