// A request to forward, and what its forwarding shares with that of other
// requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/forward/capacity_queue.h"
#include "core/forward/extra_budget.h"
#include "core/forward/latency_model.h"
#include "core/forward/retry_spread.h"
#include "core/forward/service_coverage.h"
#include "core/forward/work_model.h"
#include "core/replica/replica_catalogue.h"
#include "core/replica/replica_load.h"
#include "core/replica/version_filter.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

struct ForwardOptions
{
  // The part of the route's target latency that is reserved for the caller's
  // request on its way here and for the answer on its way back.
  Duration m_answerMargin = Milliseconds(8);
  // The interval between checks whether a late sub-request can be hedged.
  Duration m_hedgeRecheckInterval = Milliseconds(6);
  // The interval between checks whether a sub-request that waits for capacity
  // can be sent.
  Duration m_capacityRecheckInterval = Milliseconds(8);
  // The retry delay that is given to callers of a service without upstreams.
  Duration m_noReplicaRetryAfter = Milliseconds(500);
  // The retry delay that is given to callers while the process stops: other
  // instances can serve them at once.
  Duration m_stopRetryAfter = Milliseconds(10);
  // Whether late sub-requests are hedged. Off only for comparison.
  bool m_hedging = true;
  // Whether answers are returned without late shards. Off only for comparison.
  bool m_earlyAnswers = true;
};

// Shared by all runs of an instance. Must outlive them.
struct ForwardEnvironment
{
  const ReplicaCatalogue& m_catalogue;
  ReplicaLoad& m_load;
  LatencyModel& m_latencies;
  ExtraBudget& m_budget;
  ForwardOptions m_options;
  CapacityQueue m_waiters{};
  RetrySpread m_retrySpread{};
  WorkModel m_work{};
  // Null if upstreams of all versions get requests.
  VersionFilter* m_versions = nullptr;
};

struct ForwardRequest
{
  // Must outlive the run.
  const Route* m_route = nullptr;
  // The services of the sub-requests: those of the route, or the one that was
  // chosen from a split.
  std::vector<std::string> m_services;
  // When the request was read.
  TimePoint m_receivedAt;
  // The caller's remaining time at `m_receivedAt`.
  Duration m_remaining{};
  // The time that the caller had already used: for its connection or for
  // earlier caller attempts.
  Duration m_elapsed{};
  // The priority of the workspace, or else of the route; 0 is the most urgent.
  uint32_t m_priority = 0;
  // The caller's workspace; empty if it has none.
  std::string m_workspace;
  // Whether the configuration has workspaces.
  bool m_usesWorkspaces = false;

  [[nodiscard]] bool IsGathered() const
  {
    return m_route->m_target == RouteTarget::kShards;
  }
  // Returns how many of the services have to answer for a success.
  [[nodiscard]] uint32_t Required() const
  {
    return IsGathered()
             ? RequiredSubRequests(m_route->m_minShare, m_services.size())
             : 1;
  }
};

} // namespace ebonykeel
