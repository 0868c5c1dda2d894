// Runs the queries that callers send to this instance.
//
//   service.Run(request).then([](QueryAnswer answer) { ... });
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <kj/async.h>

#include "absl/random/bit_gen_ref.h"
#include "core/query/hedge_policy.h"
#include "core/query/query_run.h"
#include "core/query/replica_selector.h"
#include "core/query/retry_budget.h"
#include "core/query/snapshot_tracker.h"
#include "node/cluster/ownership_service.h"
#include "node/query/search_task.h"
#include "node/upstream/upstream_service.h"
#include "runtime/loop/alarm.h"
#include "runtime/peer/links.h"

namespace ebonykeel {

// Totals over all ended queries since the start of the process.
struct QueryTotals
{
  uint64_t m_queries = 0;
  uint64_t m_whole = 0;
  uint64_t m_partial = 0;
  uint64_t m_firstAttempts = 0;
  uint64_t m_hedges = 0;
  uint64_t m_retries = 0;
  uint64_t m_ignoredAnswers = 0;
};

// All references must outlive the service.
class QueryService final : private kj::TaskSet::ErrorHandler
{
public:
  QueryService(Loop& aLoop,
               PeerLinks& aLinks,
               OwnershipService& aOwnership,
               UpstreamService& aUpstreams,
               SnapshotTracker& aSnapshots,
               ReplicaSelector& aSelector,
               HedgePolicy& aHedgePolicy,
               BootId aBootId);
  ~QueryService();

  // Resolves with the answer by the request's deadline. Dropping the promise
  // does not end the query.
  [[nodiscard]] kj::Promise<QueryAnswer> Run(QueryRequest aRequest);

  // Called when another instance streams back an answer for a query. An answer
  // for a query that has ended is counted as ignored.
  void OnRemoteAnswer(uint64_t aQueryNumber, SubAnswer aAnswer);

  [[nodiscard]] const QueryTotals& Totals() const { return m_totals; }
  [[nodiscard]] size_t Active() const { return m_activeQueries.size(); }

private:
  class ActiveQuery;
  friend class ActiveQuery;

  void taskFailed(kj::Exception&& aException) override;
  void End(uint64_t aQueryNumber);

  Loop& m_loop;
  PeerLinks& m_links;
  OwnershipService& m_ownership;
  UpstreamService& m_upstreams;
  SnapshotTracker& m_snapshots;
  ReplicaSelector& m_selector;
  HedgePolicy& m_hedgePolicy;
  RetryBudget m_retryBudget;
  BootId m_bootId;
  uint64_t m_lastQueryNumber = 0;
  std::map<uint64_t, std::unique_ptr<ActiveQuery>> m_activeQueries;
  QueryTotals m_totals;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
