// Serves callers: finds the route of each request, and starts a `RequestJob`
// for it once the instance can route.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/forward/caller_deadlines.h"
#include "core/forward/forward_run.h"
#include "core/forward/route_explanation.h"
#include "core/forward/start_queue.h"
#include "core/traffic/caller_access.h"
#include "core/traffic/weighted_choice.h"
#include "node/entry/forward_stats.h"
#include "node/entry/protocol.h"
#include "node/entry/quota_service.h"
#include "node/entry/replica_feed_age.h"
#include "node/entry/request_job.h"
#include "node/entry/routing_state.h"
#include "node/entry/upstream_sender.h"
#include "runtime/http1/client.h"
#include "runtime/http1/server.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

struct ForwardServiceOptions
{
  ForwardOptions m_run;
  UpstreamSenderOptions m_sender;
  // The retry delay that is given to callers while the configuration is unknown
  // or may be stale.
  Duration m_startRetryAfter = Milliseconds(500);
  // If the feed of registrations is older than this, the configuration may be
  // stale too and lack a route.
  Duration m_staleFeedAge = Seconds(4);
};

// Everything that is passed by reference must outlive the service.
class ForwardService final
  : public Http1Handler
  , private RequestJobObserver
{
public:
  // `aQuota` is null if quotas are not enforced.
  ForwardService(UvLoop& aLoop,
                 Http1Client& aClient,
                 const TrafficProtocol& aProtocol,
                 RoutingState& aRouting,
                 const ReplicaFeedAge& aReplicaFeedAge,
                 ReplicaLoad& aLoad,
                 ExtraBudget& aBudget,
                 QuotaService* aQuota,
                 LineLog& aLog,
                 ForwardServiceOptions aOptions);
  ~ForwardService() override;

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override;
  // Called when the instance can route; serves the requests that waited for it.
  void OnStarted();
  // Restricts upstreams by their versions; null for no restriction. Called
  // before the first request.
  void SetVersionChooser(VersionChooser* aVersions);
  // Called when a newer configuration is in force. Requests that no upstream
  // has run are checked again: they are refused if their key is gone.
  void OnConfigurationChanged();
  // Answers every request by `aEnd`, when the process is about to stop.
  void StopBy(TimePoint aEnd);

  // Returns where a request would go now. Changes nothing.
  [[nodiscard]] RouteAnswer ExplainRoute(const RouteQuestion& aQuestion);

  [[nodiscard]] const ForwardStats& Stats() const { return m_stats; }
  [[nodiscard]] const WorkModel& Work() const { return m_environment.m_work; }

private:
  // A request that was admitted, and the workspace whose token it has.
  struct Admission
  {
    std::string m_workspace;
    QuotaDecision m_decision;
  };

  // Queues a request until the instance can route or the wait ends; returns
  // false if it may not wait.
  [[nodiscard]] bool WaitForStart(
    const std::shared_ptr<Http1Exchange>& aExchange);
  void ServeWaiting();
  // Serves a request. `aAdmission` is empty unless it has waited for a token of
  // its workspace's quota.
  void Serve(std::shared_ptr<Http1Exchange> aExchange,
             std::optional<Admission> aAdmission = std::nullopt);
  // Asks whether the quota of the workspace admits the request. Returns nothing
  // if the request waits, or was refused and answered.
  [[nodiscard]] std::optional<Admission> AskQuota(
    const std::shared_ptr<Http1Exchange>& aExchange,
    const CallerRequest& aCaller,
    const Route& aRoute,
    const Workspace& aWorkspace);
  void OnQuotaDecision(std::shared_ptr<Http1Exchange> aExchange,
                       const std::string& aWorkspace,
                       const QuotaDecision& aDecision);
  // Answers a request that is beyond the quota of its workspace.
  void RefuseByQuota(Http1Exchange& aExchange,
                     const CallerRequest& aCaller,
                     std::string_view aRoute,
                     Duration aRetryAfter);
  void GiveBack(const Admission& aAdmission);
  void RejectWithoutRoute(Http1Exchange& aExchange,
                          const CallerRequest& aCaller);
  // Returns the answer to a request whose key does not allow it.
  [[nodiscard]] Http1Response MakeAccessRefusal(const CallerRequest& aCaller,
                                                const Route& aRoute,
                                                AccessRefusal aReason);
  // Returns whether a newer configuration may be in force on other instances.
  [[nodiscard]] bool MayLackConfiguration() const;
  // Returns the services of a request; takes the next one of a split route.
  [[nodiscard]] std::vector<std::string> ChooseServices(const Route& aRoute);
  void OnJobEnded(const RequestJob& aJob) override;

  UvLoop& m_loop;
  const TrafficProtocol& m_protocol;
  RoutingState& m_routing;
  const ReplicaFeedAge& m_replicaFeedAge;
  QuotaService* m_quota;
  LineLog& m_log;
  ForwardServiceOptions m_options;
  CallerDeadlines m_deadlines;
  LatencyModel m_latencies;
  ForwardEnvironment m_environment;
  std::map<std::string, WeightedChoice> m_splits;
  ForwardStats m_stats;
  UpstreamSender m_sender;
  RequestJobContext m_jobContext;
  // The requests in flight.
  std::map<const RequestJob*, std::shared_ptr<RequestJob>> m_jobs;
  // The requests in flight that were admitted by a quota.
  std::map<const RequestJob*, Admission> m_admissions;
  // When every request must be answered; nothing unless the process stops.
  std::optional<TimePoint> m_stopBy;
  bool m_started = false;
  StartQueue m_startQueue;
  std::map<uint64_t, std::shared_ptr<Http1Exchange>> m_waiting;
  uint64_t m_nextWaitingId = 1;
  UvTimer m_startTimer;
};

} // namespace ebonykeel
