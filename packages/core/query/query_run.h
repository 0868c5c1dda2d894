// The state machine of one query on the instance that received it. It decides
// which sub-queries to send, which answers to use and when the query is done.
//
// The run does no I/O and reads no clock. Each call takes an event and the
// current time, and returns the actions to perform, in order. The last action
// is always one `Finish`; afterwards every call returns no actions.
//
//   QueryRun run(request, { snapshots, selector, hedges, retries }, ids);
//   Perform(run.Start(now));
//   ... on a sub-answer:   Perform(run.OnSubAnswer(answer, now));
//   ... at NextTimer():    Perform(run.OnTimer(now));
//
// Snapshots. Each service is pinned to one snapshot at the start. If all the
// allowed replicas of a shard report that they do not hold the pinned version,
// and at least a quarter of the query's time is left, the service is restarted
// on the tracker's other snapshot, at most once. The two passes are never
// mixed: the answer uses the pass that covers more shards, the later one if
// equal.
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

// The query of a caller.
struct QueryRequest
{
  RequestId m_requestId;
  CallerName m_caller;
  // The services to search, each once.
  std::vector<ServiceName> m_services;
  std::string m_text;
  // The maximum number of hits for each service.
  uint32_t m_limit = 10;
  // When the request reached this instance.
  TimePoint m_arrival;
  // By when the caller needs the answer.
  TimePoint m_deadline;
  // Overrides the preference configured for the services.
  std::optional<Preference> m_preference;
};

// The answer to a caller.
struct QueryAnswer
{
  RequestId m_requestId;
  CallerName m_caller;
  // In the order of the services in the request.
  std::vector<ServiceAnswer> m_services;
  // Services of the request that are not in the configuration in force.
  std::vector<ServiceName> m_unknownServices;
  // `kNotRun` if no sub-query was sent.
  Outcome m_outcome = Outcome::kNotRun;

  // Returns whether every shard of every service was searched.
  [[nodiscard]] bool Whole() const;
};

// Action: send `m_subQuery` to the instance that owns its upstream.
struct SendSubQuery
{
  SubQuery m_subQuery;
  AttemptKind m_attemptKind = AttemptKind::kFirst;
  // The time from now until an answer is of no more use.
  Duration m_remaining{ 0 };
};

// Action: cancel this sub-query; its answer is no longer needed.
struct CancelSubQuery
{
  std::string m_id;
  UpstreamId m_upstream;
};

// Action: send this answer to the caller.
struct Finish
{
  QueryAnswer m_answer;
};

using QueryAction = std::variant<SendSubQuery, CancelSubQuery, Finish>;

// Counters of one query. Sub-answers that are counted as ignored did not
// contribute to the answer to the caller.
struct QueryCounts
{
  uint32_t m_first = 0;
  uint32_t m_hedges = 0;
  uint32_t m_retries = 0;
  uint32_t m_restarts = 0;
  // Sub-answers that arrived after the query or the sub-query was finished, or
  // a second time.
  uint32_t m_ignoredLate = 0;
  // Sub-answers with an id that this query did not generate.
  uint32_t m_ignoredUnknown = 0;
  // Sub-answers for another shard, upstream or index version than requested.
  uint32_t m_ignoredMismatched = 0;
};

// Objects that all queries of an instance share. They must outlive the run.
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

  // Pins the snapshots and sends the first attempts. Must be called once,
  // before all other calls.
  [[nodiscard]] std::vector<QueryAction> Start(TimePoint aNow);

  // Called when a sub-answer arrives. The id may be unknown.
  [[nodiscard]] std::vector<QueryAction> OnSubAnswer(const SubAnswer& aAnswer,
                                                     TimePoint aNow);

  // Performs the work that is due at `aNow`. May be called at any time.
  [[nodiscard]] std::vector<QueryAction> OnTimer(TimePoint aNow);

  // Returns when `OnTimer` must be called next, or nullopt once finished.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] bool Finished() const { return m_finished; }
  [[nodiscard]] const QueryCounts& Counts() const { return m_counts; }
  [[nodiscard]] const QueryRequest& Request() const { return m_request; }

private:
  using Actions = std::vector<QueryAction>;
  using ServicePass = internal::ServicePass;
  using ShardState = internal::ShardState;
  using Attempt = internal::Attempt;

  // One service of the query: the current pass, and the earlier one if the
  // service was restarted.
  struct ServiceState
  {
    ServicePass m_pass;
    std::optional<ServicePass> m_earlierPass;
    Preference m_preference = Preference::kCoverage;
    TimePoint m_latencyTarget;
    bool m_latencyTargetPassed = false;
    bool m_done = false;
  };
  // The shard and the pass to which a sub-query belongs.
  struct ShardPosition
  {
    size_t m_serviceIndex = 0;
    size_t m_shardIndex = 0;
    // Whether the service had been restarted when the sub-query was sent.
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
