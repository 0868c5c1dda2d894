// One query from its start to its answer, as the instance that took it sees
// it: which sub-queries to send, what to believe of the answers, when to stop.
//
// The run never waits and never reads a clock. Each call takes what happened
// and the time, and returns what to do, in order. The last action is always
// one `Finish`; afterwards every call returns nothing.
//
//   QueryRun run(request, { snapshots, selector, hedges, retries }, ids);
//   Perform(run.Start(now));
//   ... on a sub-answer:   Perform(run.OnSubAnswer(answer, now));
//   ... at NextTimer():    Perform(run.OnTimer(now));
//
// Snapshots. Each service is pinned to one snapshot at the start. When all the
// allowed replicas of a shard say that they do not hold the pinned version,
// and a quarter of the query's time is left, the service starts again from the
// beginning on the tracker's other snapshot, once. The two tries are never
// mixed: the answer takes the try that covers more, the later one if equal.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/query/hedge_policy.h"
#include "core/query/internal/service_pass.h"
#include "core/query/messages.h"
#include "core/query/replica_selector.h"
#include "core/query/retry_budget.h"
#include "core/query/snapshot_tracker.h"
#include "core/query/sub_query_id.h"

namespace ebonykeel {

// What a caller asks.
struct QueryRequest
{
  RequestId m_requestId;
  CallerName m_caller;
  // The services to search, each once.
  std::vector<ServiceName> m_services;
  std::string m_text;
  // The most hits of each service.
  uint32_t m_limit = 10;
  // When the request reached this instance.
  TimePoint m_arrival;
  // When the caller must have the answer.
  TimePoint m_deadline;
  // Overrides what the services prefer.
  std::optional<Preference> m_preference;
};

// What a caller gets.
struct QueryAnswer
{
  RequestId m_requestId;
  CallerName m_caller;
  // In the order of the request.
  std::vector<ServiceAnswer> m_services;
  // Services of the request that the configuration in force does not have.
  std::vector<ServiceName> m_unknownServices;
  // `kNotRun` when no sub-query was ever sent.
  Outcome m_outcome = Outcome::kNotRun;

  // Returns whether every shard of every service was searched.
  [[nodiscard]] bool Whole() const;
};

// Send `m_subQuery` to the instance that may send work to its upstream.
struct SendSubQuery
{
  SubQuery m_subQuery;
  AttemptKind m_attemptKind = AttemptKind::kFirst;
  // How long from now an answer is still of use.
  Duration m_remaining{ 0 };
};

// Nobody waits for this sub-query any longer.
struct CancelSubQuery
{
  std::string m_id;
  UpstreamId m_upstream;
};

// Give this answer to the caller.
struct Finish
{
  QueryAnswer m_answer;
};

using QueryAction = std::variant<SendSubQuery, CancelSubQuery, Finish>;

// What a run counted. An answer that is counted as ignored changed nothing in
// the answer to the caller.
struct QueryCounts
{
  uint32_t m_first = 0;
  uint32_t m_hedges = 0;
  uint32_t m_retries = 0;
  uint32_t m_restarts = 0;
  // Answered after the query or the sub-query was over, or a second time.
  uint32_t m_ignoredLate = 0;
  // With an id that this query never gave out.
  uint32_t m_ignoredUnknown = 0;
  // For another shard, upstream or index version than was asked.
  uint32_t m_ignoredMismatched = 0;
};

// What runs of one instance share. All must outlive the run.
struct QueryDependencies
{
  SnapshotTracker& m_snapshots;
  ReplicaSelector& m_selector;
  HedgePolicy& m_hedges;
  RetryBudget& m_retries;
};

class QueryRun
{
public:
  QueryRun(QueryRequest aRequest,
           const QueryDependencies& aDependencies,
           SubQueryIds aIds);

  // Pins the snapshots and sends the first sub-queries. Called once, first.
  [[nodiscard]] std::vector<QueryAction> Start(TimePoint aNow);

  // Takes one answer, whatever its id.
  [[nodiscard]] std::vector<QueryAction> OnSubAnswer(const SubAnswer& aAnswer,
                                                     TimePoint aNow);

  // Does what is due at `aNow`; may be called at any time.
  [[nodiscard]] std::vector<QueryAction> OnTimer(TimePoint aNow);

  // Returns when `OnTimer` has to be called next; nothing once finished.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] bool Finished() const { return m_finished; }
  [[nodiscard]] const QueryCounts& Counts() const { return m_counts; }
  [[nodiscard]] const QueryRequest& Request() const { return m_request; }

private:
  using Actions = std::vector<QueryAction>;
  using ServicePass = internal::ServicePass;
  using ShardState = internal::ShardState;
  using Attempt = internal::Attempt;

  // One service of the query: the try in progress, and the one given up.
  struct ServiceState
  {
    ServicePass m_pass;
    std::optional<ServicePass> m_earlierPass;
    Preference m_preference = Preference::kCoverage;
    TimePoint m_latencyTarget;
    bool m_latencyTargetPassed = false;
    bool m_done = false;
  };
  // Where a sub-query belongs.
  struct ShardPosition
  {
    size_t m_serviceIndex = 0;
    size_t m_shardIndex = 0;
    // Whether the service had been started again when it was sent.
    bool m_restarted = false;
  };

  void AddService(const ServiceName& aService, TimePoint aNow);
  void SendFirstAttempts(size_t aServiceIndex,
                         TimePoint aNow,
                         Actions& aActions);
  void SendAttempt(ShardPosition aPosition,
                   const UpstreamConfig& aReplica,
                   AttemptKind aKind,
                   TimePoint aNow,
                   Actions& aActions);
  void CountAttempt(AttemptKind aKind);
  void RecordAnswer(const ServiceState& aState,
                    const Attempt& aAttempt,
                    const SubAnswer& aAnswer,
                    TimePoint aNow);
  void ApplyAnswer(ShardPosition aPosition,
                   const SubAnswer& aAnswer,
                   TimePoint aNow,
                   Actions& aActions);
  void OnFailedAttempt(ShardPosition aPosition,
                       MissingReason aReason,
                       TimePoint aNow,
                       Actions& aActions);
  void RetryOrGiveUp(ShardPosition aPosition,
                     TimePoint aNow,
                     Actions& aActions);
  void ScheduleRetry(ServiceState& aState,
                     ShardState& aShard,
                     MissingReason aReason,
                     TimePoint aNow);
  void RetryAfterTimeout(ShardPosition aPosition,
                         TimePoint aNow,
                         Actions& aActions);
  void SendScheduledRetry(ShardPosition aPosition,
                          TimePoint aNow,
                          Actions& aActions);
  [[nodiscard]] bool RestartService(size_t aServiceIndex,
                                    TimePoint aNow,
                                    Actions& aActions);
  void CancelOpenAttempts(const ServiceState& aState,
                          ShardState& aShard,
                          TimePoint aNow,
                          Actions& aActions);
  void CheckShardTimers(TimePoint aNow, Actions& aActions);
  void CheckShardTimer(ShardPosition aPosition,
                       TimePoint aNow,
                       Actions& aActions);
  void SendHedges(TimePoint aNow, Actions& aActions);
  void SendHedge(ShardPosition aPosition, TimePoint aNow, Actions& aActions);
  void PostponeHedge(ShardPosition aPosition, TimePoint aNow);
  [[nodiscard]] std::vector<ShardPosition> OverdueShards(TimePoint aNow) const;
  [[nodiscard]] bool MarkTimedOut(ShardState& aShard, TimePoint aNow);
  void FinishCompletedServices(TimePoint aNow, Actions& aActions);
  [[nodiscard]] ReplicaChoice ChooseReplica(const ServiceState& aState,
                                            const ShardState& aShard,
                                            AttemptKind aKind,
                                            bool aAllowTried,
                                            TimePoint aNow);
  [[nodiscard]] Duration AttemptTimeout(const ServiceState& aState,
                                        TimePoint aNow) const;
  [[nodiscard]] bool IsServiceDone(const ServiceState& aState,
                                   TimePoint aNow) const;
  [[nodiscard]] uint32_t ShardCount() const;
  [[nodiscard]] QueryAnswer Assemble() const;

  QueryRequest m_request;
  QueryDependencies m_dependencies;
  SubQueryIds m_ids;
  TimePoint m_answerDeadline;
  std::vector<ServiceState> m_serviceStates;
  std::vector<ServiceName> m_unknownServices;
  absl::flat_hash_map<std::string, ShardPosition> m_positions;
  QueryCounts m_counts;
  bool m_finished = false;
};

} // namespace ebonykeel
