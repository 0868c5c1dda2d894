// Serves callers: runs a `ForwardRun` for each request and carries its sendings
// over HTTP.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
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
  // How long an answer that is not wanted any more is waited for: closing a
  // connection costs the searcher more than a short answer, and the answer
  // tells how fast the searcher is.
  Duration m_lateAnswerTimeout = Milliseconds(400);
  // A connection that was idle for longer carries no request that may run only
  // once: the searcher may have closed it.
  Duration m_maxIdleForNonIdempotent = Seconds(1);
  // Told to callers while no configuration is known.
  Duration m_startRetryAfter = Milliseconds(500);
  // A copy of the store's objects that is older than this may lack a route.
  Duration m_staleFeedAge = Seconds(4);
};

// Tells how old the copies of the store's objects are.
class ReplicaFeedAge
{
public:
  virtual ~ReplicaFeedAge() = default;
  [[nodiscard]] virtual Duration FeedAge() const = 0;
};

// Everything that is passed in outlives the service.
class ForwardService final : public Http1Handler
{
public:
  ForwardService(UvLoop& aLoop,
                 Http1Client& aClient,
                 const TrafficProtocol& aProtocol,
                 const RoutingState& aState,
                 const ReplicaFeedAge& aReplicaFeedAge,
                 ReplicaLoad& aLoad,
                 ExtraBudget& aBudget,
                 LineLog& aLog,
                 ForwardServiceOptions aOptions);
  ~ForwardService() override;

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override;
  // The instance can route: requests that waited for that are served.
  void OnStarted();

  [[nodiscard]] const ForwardStats& Stats() const { return m_stats; }

private:
  class RequestJob;
  // One request at a searcher, which may outlive its job.
  struct UpstreamAttempt
  {
    std::weak_ptr<RequestJob> m_job;
    uint32_t m_subRequest = 0;
    uint32_t m_attempt = 0;
    ReplicaPtr m_replica;
    Duration m_typicalLatency{};
    TimePoint m_sentAt;
    uint64_t m_call = 0;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
  };
  using AttemptPtr = std::shared_ptr<UpstreamAttempt>;
  struct LateAttempt
  {
    TimePoint m_cancelAt;
    AttemptPtr m_upstreamAttempt;
  };

  // Lets a request wait for the start; returns false if it is not to.
  [[nodiscard]] bool WaitForStart(
    const std::shared_ptr<Http1Exchange>& aExchange);
  void ServeWaiting();
  void Serve(std::shared_ptr<Http1Exchange> aExchange);
  void RejectWithoutRoute(Http1Exchange& aExchange,
                          const CallerRequest& aCaller);
  [[nodiscard]] std::vector<std::string> ChooseServices(const Route& aRoute);
  void OnResult(const AttemptPtr& aAttempt, Http1Result aResult);
  void RecordOutcome(const UpstreamAttempt& aAttempt,
                     AttemptOutcome aOutcome,
                     std::string_view aProblem);
  // Ends a attempt whose answer nobody waits for.
  void CancelAttempt(const AttemptPtr& aAttempt);
  void CancelAttemptLater(const AttemptPtr& aAttempt);
  void CancelExpiredAttempts();

  UvLoop& m_loop;
  Http1Client& m_client;
  const TrafficProtocol& m_protocol;
  const RoutingState& m_state;
  const ReplicaFeedAge& m_replicaFeedAge;
  ReplicaLoad& m_load;
  LineLog& m_log;
  ForwardServiceOptions m_options;
  CallerDeadlines m_deadlines;
  LatencyModel m_latencies;
  ForwardEnvironment m_environment;
  std::map<std::string, WeightedChoice> m_splits;
  ForwardStats m_stats;
  bool m_started = false;
  StartQueue m_startQueue;
  std::map<uint64_t, std::shared_ptr<Http1Exchange>> m_waiting;
  uint64_t m_nextWaiting = 1;
  UvTimer m_startTimer;
  std::deque<LateAttempt> m_lateAttempts;
  UvTimer m_lateAttemptTimer;
};

} // namespace ebonykeel
