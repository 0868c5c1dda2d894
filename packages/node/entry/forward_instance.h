// An instance in the mode "forward", which forwards callers' requests to
// upstreams. Owns the servers, clients and services that `ebonykeeld` runs in
// this mode.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/config/forward_settings.h"
#include "core/feed/object_feed.h"
#include "core/fleet/upstream_reachability.h"
#include "core/forward/extra_budget.h"
#include "node/entry/directory_service.h"
#include "node/entry/feed_upkeep.h"
#include "node/entry/fleet_service.h"
#include "node/entry/forward_service.h"
#include "node/entry/instance_list.h"
#include "node/entry/metrics_handler.h"
#include "node/entry/protocol.h"
#include "node/entry/quota_service.h"
#include "node/entry/rollout_service.h"
#include "node/entry/routing_state.h"
#include "node/entry/store_reader.h"
#include "runtime/http1/client.h"
#include "runtime/http1/server.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

// Everything that is passed by reference must outlive the instance.
class ForwardInstance final
  : private StoreReaderObserver
  , private FleetObserver
  , private ReplicaFeedAge
  , private QuotaPeers
{
public:
  ForwardInstance(UvLoop& aLoop,
                  ForwardSettings aSettings,
                  const TrafficProtocol& aTraffic,
                  const StoreProtocol& aStore,
                  LineLog& aLog);
  ~ForwardInstance() override;

  // Binds the addresses and starts. Returns an empty string, or the problem.
  [[nodiscard]] std::string Start();
  // Applies those of the settings that can change while the instance runs.
  void Reload(const ForwardSettings& aSettings);
  // Stops gracefully: waits for requests in flight within the stop timeout,
  // then calls `aDone`.
  void Stop(std::function<void()> aDone);

private:
  class AuxiliaryHandler;

  void OnObjectChanged(FeedKind aKind, const FeedObject& aObject) override;
  void OnFeedRead(FeedKind aKind, bool aChanged) override;
  void OnStoreReachabilityChanged(bool aReachable) override;
  void OnFleetChanged() override;
  void OnObjectMerged(FeedKind aKind, const FeedObject& aObject) override;
  void OnMergeCompleted() override;
  void OnPeerPayload(const FleetRecord& aSender,
                     PeerTopic aTopic,
                     std::string_view aPayload) override;
  Duration FeedAge() const override;
  void SendQuotaMessage(const std::string& aHost, std::string aBytes) override;

  void OnTick();
  // Applies a changed object of a feed.
  void ApplyObject(FeedKind aKind, const FeedObject& aObject);
  void UpdateSelf();
  void UpdateReaderRole();
  void UpdateReachability();
  // Updates this instance's part of the burst budget, which is divided among
  // the instances that are offered to callers.
  void UpdateBudget();
  // Tells the quota which instances there are.
  void UpdateQuota();
  void ApplyLimits();
  void MaintainInstanceList();
  // Stops listening once callers no longer cache the addresses of this
  // instance, and ends the stop when no caller is left or the stop timeout is
  // almost over.
  void ContinueStop();
  // Returns whether enough upstreams for every gathered route count as
  // reachable.
  [[nodiscard]] bool ReachesEnoughUpstreams() const;
  [[nodiscard]] bool MayReadStore() const;
  // Logs which feeds have entered a later era of the store.
  void CheckEras();
  // Applies what the store states in place of objects that are retained no
  // longer.
  void ReleaseRetained();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] Http1Response AnswerReadiness() const;
  [[nodiscard]] std::string RenderMetrics() const;

  UvLoop& m_loop;
  ForwardSettings m_settings;
  const TrafficProtocol& m_traffic;
  LineLog& m_log;
  TimePoint m_startedAt;
  StoreFeeds m_feeds;
  FeedUpkeep m_feedUpkeep;
  Http1Client m_upstreamClient;
  Http1Client m_controlClient;
  ReplicaLoad m_load;
  ExtraBudget m_budget;
  RoutingState m_routing;
  StoreReader m_reader;
  FleetService m_fleet;
  InstanceList m_instanceList;
  UpstreamReachability m_reachability;
  DirectoryService m_directory;
  // Nothing if quotas are not enforced.
  std::optional<QuotaService> m_quota;
  // Null if the settings have no table for roll-outs.
  std::unique_ptr<RolloutService> m_rollouts;
  ForwardService m_forward;
  Http1Server m_callerServer;
  std::unique_ptr<AuxiliaryHandler> m_auxiliaryHandler;
  MetricsHandler m_metricsHandler;
  Http1Server m_directoryServer;
  Http1Server m_readinessServer;
  Http1Server m_metricsServer;
  UvTimer m_tickTimer;
  bool m_storeReachable = true;
  // Whether another instance was ever heard.
  bool m_hadContact = false;
  std::optional<TimePoint> m_stoppingSince;
  std::function<void()> m_onStopped;
};

} // namespace ebonykeel
