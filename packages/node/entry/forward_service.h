// Serves callers: runs a `ForwardRun` for each request and sends its attempts
// over HTTP.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/forward/caller_deadlines.h"
#include "core/forward/forward_run.h"
#include "core/forward/start_queue.h"
#include "core/traffic/weighted_choice.h"
#include "node/entry/forward_stats.h"
#include "node/entry/protocol.h"
#include "node/entry/routing_state.h"
#include "runtime/http1/client.h"
#include "runtime/http1/server.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

struct ForwardServiceOptions
{
  ForwardOptions m_run;
  // How long a cancelled attempt may still be answered: closing a connection
  // costs the upstream more than a short answer, and the answer shows the speed
  // of the upstream.
  Duration m_lateAnswerTimeout = Milliseconds(400);
  // The maximum idle time of a connection that is reused for a request that is
  // not idempotent: the upstream may have closed an older one.
  Duration m_maxIdleForNonIdempotent = Seconds(1);
  // The retry delay that is given to callers while the configuration is unknown
  // or may be stale.
  Duration m_startRetryAfter = Milliseconds(500);
  // If the feed of registrations is older than this, the configuration may be
  // stale too and lack a route.
  Duration m_staleFeedAge = Seconds(4);
};

// Provides the age of the feed of registrations.
class ReplicaFeedAge
{
public:
  virtual ~ReplicaFeedAge() = default;
  [[nodiscard]] virtual Duration FeedAge() const = 0;
};

// Everything that is passed by reference must outlive the service.
class ForwardService final : public Http1Handler
{
public:
  ForwardService(UvLoop& aLoop,
                 Http1Client& aClient,
                 const TrafficProtocol& aProtocol,
                 RoutingState& aRouting,
                 const ReplicaFeedAge& aReplicaFeedAge,
                 ReplicaLoad& aLoad,
                 ExtraBudget& aBudget,
                 LineLog& aLog,
                 ForwardServiceOptions aOptions);
  ~ForwardService() override;

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override;
  // Called when the instance can route; serves the requests that waited for it.
  void OnStarted();
  // Answers every request by `aEnd`, when the process is about to stop.
  void StopBy(TimePoint aEnd);

  [[nodiscard]] const ForwardStats& Stats() const { return m_stats; }

private:
  class RequestJob;
  // One request to an upstream. It may outlive its job.
  struct UpstreamAttempt
  {
    std::weak_ptr<RequestJob> m_job;
    uint32_t m_subRequest = 0;
    uint32_t m_attempt = 0;
    ReplicaPtr m_replica;
    Duration m_typicalLatency{};
    TimePoint m_sentAt;
    // The HTTP client's call; 0 once it has ended.
    uint64_t m_httpCall = 0;
    // The connection that carried the call; 0 until the call has ended.
    uint64_t m_connection = 0;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
  };
  using AttemptPtr = std::shared_ptr<UpstreamAttempt>;
  struct LateAttempt
  {
    TimePoint m_cancelAt;
    AttemptPtr m_upstreamAttempt;
  };

  // Queues a request until the instance can route or the wait ends; returns
  // false if it may not wait.
  [[nodiscard]] bool WaitForStart(
    const std::shared_ptr<Http1Exchange>& aExchange);
  void ServeWaiting();
  void Serve(std::shared_ptr<Http1Exchange> aExchange);
  void RejectWithoutRoute(Http1Exchange& aExchange,
                          const CallerRequest& aCaller);
  // Returns the services of a request; takes the next one of a split route.
  [[nodiscard]] std::vector<std::string> ChooseServices(const Route& aRoute);
  void OnResult(const AttemptPtr& aAttempt, Http1Result aResult);
  // Records the outcome in the statistics and in the load of the upstream.
  void RecordOutcome(const UpstreamAttempt& aAttempt,
                     AttemptOutcome aOutcome,
                     std::string_view aProblem);
  // Cancels an attempt that is still open.
  void CancelAttempt(const AttemptPtr& aAttempt);
  // Cancels an attempt unless it is answered within `m_lateAnswerTimeout`.
  void CancelAttemptLater(const AttemptPtr& aAttempt);
  void CancelExpiredAttempts();

  UvLoop& m_loop;
  Http1Client& m_client;
  const TrafficProtocol& m_protocol;
  RoutingState& m_routing;
  const ReplicaFeedAge& m_replicaFeedAge;
  ReplicaLoad& m_load;
  LineLog& m_log;
  ForwardServiceOptions m_options;
  CallerDeadlines m_deadlines;
  LatencyModel m_latencies;
  ForwardEnvironment m_environment;
  std::map<std::string, WeightedChoice> m_splits;
  ForwardStats m_stats;
  // The requests in flight.
  std::set<RequestJob*> m_jobs;
  // When every request must be answered; nothing unless the process stops.
  std::optional<TimePoint> m_stopBy;
  bool m_started = false;
  StartQueue m_startQueue;
  std::map<uint64_t, std::shared_ptr<Http1Exchange>> m_waiting;
  uint64_t m_nextWaitingId = 1;
  UvTimer m_startTimer;
  std::deque<LateAttempt> m_lateAttempts;
  UvTimer m_lateAttemptTimer;
};

} // namespace ebonykeel
