// Sends the attempts of forwarded requests to upstreams over HTTP and records
// what their outcomes show about the upstreams.
//
//   UpstreamAttemptPtr attempt = sender.Send(
//     { .m_replica = replica, .m_routes = routes, .m_route = &route },
//     callerRequest, deadline);
//   sender.CancelLater(attempt);
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/forward/forward_request.h"
#include "core/forward/latency_model.h"
#include "core/replica/replica_load.h"
#include "core/rollout/version_chooser.h"
#include "core/traffic/traffic_config.h"
#include "node/entry/forward_stats.h"
#include "node/entry/protocol.h"
#include "node/entry/routing_state.h"
#include "runtime/http1/client.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

class UpstreamAttemptObserver
{
public:
  virtual ~UpstreamAttemptObserver() = default;
  // Called once for each attempt that is not cancelled. `aProblem` is a stable
  // word for logs if there is no answer, otherwise empty.
  virtual void OnAttemptEnded(uint32_t aSubRequest,
                              uint32_t aAttempt,
                              UpstreamAnswer aAnswer,
                              std::string_view aProblem) = 0;
};

// One request to an upstream. It may outlive its observer.
struct UpstreamAttempt
{
  std::weak_ptr<UpstreamAttemptObserver> m_observer;
  uint32_t m_subRequest = 0;
  uint32_t m_attempt = 0;
  ReplicaPtr m_replica;
  std::shared_ptr<const RouteTable> m_routes;
  // Belongs to `m_routes`.
  const Route* m_route = nullptr;
  ExpectedWork m_work;
  // Identifies the caller attempt; empty if the caller gave no identifier.
  std::string m_attemptId;
  CallerIdentity m_caller;
  // The numbers of connections that must not carry the attempt.
  std::vector<uint64_t> m_excludedConnections;

  // The following are set by the sender.

  Duration m_typicalLatency{};
  TimePoint m_sentAt;
  // The HTTP client's call; 0 once it has ended.
  uint64_t m_httpCall = 0;
  // The connection that carried the call; 0 until the call has ended.
  uint64_t m_connection = 0;
};

using UpstreamAttemptPtr = std::shared_ptr<UpstreamAttempt>;

struct UpstreamSenderOptions
{
  // How long a cancelled attempt may still be answered: closing a connection
  // costs the upstream more than a short answer, and the answer shows the speed
  // of the upstream.
  Duration m_lateAnswerTimeout = Milliseconds(400);
  // The maximum idle time of a connection that is reused for a request that is
  // not idempotent: the upstream may have closed an older one.
  Duration m_maxIdleForNonIdempotent = Seconds(1);
};

// Everything that is passed by reference must outlive the sender.
class UpstreamSender
{
public:
  UpstreamSender(UvLoop& aLoop,
                 Http1Client& aClient,
                 const TrafficProtocol& aProtocol,
                 RoutingState& aRouting,
                 ForwardEnvironment& aEnvironment,
                 ForwardStats& aStats,
                 LineLog& aLog,
                 UpstreamSenderOptions aOptions);

  // Sets who learns of each attempt and its outcome; null for nobody.
  void SetVersionChooser(VersionChooser* aVersions) { m_versions = aVersions; }

  // Sends the caller's request to the attempt's upstream, which has `aDeadline`
  // to work on it.
  UpstreamAttemptPtr Send(UpstreamAttempt aAttempt,
                          const Http1Request& aRequest,
                          Duration aDeadline);
  // Cancels an attempt that is still open.
  void Cancel(const UpstreamAttemptPtr& aAttempt);
  // Cancels an attempt unless it is answered within `m_lateAnswerTimeout`.
  void CancelLater(const UpstreamAttemptPtr& aAttempt);

private:
  struct LateAttempt
  {
    TimePoint m_cancelAt;
    UpstreamAttemptPtr m_upstreamAttempt;
  };

  void OnResult(const UpstreamAttemptPtr& aAttempt, Http1Result aResult);
  // Records the outcome in the statistics and in the load of the upstream.
  void RecordOutcome(const UpstreamAttempt& aAttempt,
                     AttemptOutcome aOutcome,
                     std::string_view aProblem);
  void ReportToVersions(const UpstreamAttempt& aAttempt, VersionAnswer aAnswer);
  void CancelExpiredAttempts();

  UvLoop& m_loop;
  Http1Client& m_client;
  const TrafficProtocol& m_protocol;
  RoutingState& m_routing;
  ForwardEnvironment& m_environment;
  ReplicaLoad& m_load;
  LatencyModel& m_latencies;
  ForwardStats& m_stats;
  LineLog& m_log;
  UpstreamSenderOptions m_options;
  VersionChooser* m_versions = nullptr;
  std::deque<LateAttempt> m_lateAttempts;
  UvTimer m_lateAttemptTimer;
};

} // namespace ebonykeel
