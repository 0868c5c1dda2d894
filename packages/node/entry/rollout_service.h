// Connects the decisions about roll-outs to the other instances, the store, the
// log and the metrics.
//
//   RolloutService rollouts(loop, client, protocol, routing, fleet, log,
//   options); rollouts.ApplyObject(object); rollouts.OnTimer(state);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/config/address.h"
#include "core/config/forward_settings.h"
#include "core/feed/object_feed.h"
#include "core/rollout/rollout_coordinator.h"
#include "core/rollout/version_chooser.h"
#include "node/entry/fleet_service.h"
#include "node/entry/protocol.h"
#include "node/entry/routing_state.h"
#include "runtime/http1/client.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

struct RolloutServiceOptions
{
  std::string m_host;
  // Increases with each process run of the instance.
  uint64_t m_processStart = 0;
  RolloutLimits m_limits;
  Address m_store;
  // The timeout of a call to the store.
  Duration m_callTimeout = Milliseconds(1500);
};

// Requires: the settings have a table for roll-outs.
[[nodiscard]] RolloutServiceOptions
RolloutOptionsFrom(const ForwardSettings& aSettings, uint64_t aProcessStart);

// Everything that is passed by reference must outlive the service.
class RolloutService final : private RolloutPort
{
public:
  RolloutService(UvLoop& aLoop,
                 Http1Client& aClient,
                 const StoreProtocol& aProtocol,
                 const RoutingState& aRouting,
                 FleetService& aFleet,
                 LineLog& aLog,
                 RolloutServiceOptions aOptions);

  [[nodiscard]] VersionChooser& Chooser() { return m_chooser; }
  // Applies a changed object of the feed of roll-outs.
  void ApplyObject(const FeedObject& aObject);
  // Handles a message of another instance.
  void OnPayload(const std::string& aHost, std::string_view aPayload);
  // Called after a time in which the machine did not run. `OnTimer` notices by
  // itself that the process did not.
  void OnSuspended();
  // Must be called every 100 ms or less. `aStoreReachable` says whether this
  // instance or those that it has its feeds from reach the store.
  void OnTimer(bool aStoreReachable);

  // Returns the metrics in the Prometheus text format.
  [[nodiscard]] std::string RenderMetrics() const;

private:
  void SendReport(const std::string& aHost,
                  const RolloutReport& aReport) override;
  void SendAnnouncement(const std::string& aHost,
                        const RolloutAnnouncement& aAnnouncement) override;
  void CallStore(const std::string& aService,
                 const RolloutCall& aCall) override;
  [[nodiscard]] bool HasTarget(const RolloutOrder& aOrder) const override;
  void OnStageChanged(const RolloutController& aController,
                      RolloutStage aBefore,
                      TimePoint aNow) override;

  void OnStoreAnswer(const RolloutEntry& aBefore,
                     const RolloutCall& aCall,
                     const Http1Result& aResult);
  // Applies an object that the store returned, or its absence.
  void ApplyAnswer(const std::string& aService,
                   const FeedObject* aObject,
                   bool aIsWritten);
  [[nodiscard]] RolloutFleet DescribeFleet(bool aStoreReachable) const;
  // Logs the orders that this instance stopped since the last call.
  void LogStopped();

  UvLoop& m_loop;
  Http1Client& m_client;
  const StoreProtocol& m_protocol;
  const RoutingState& m_routing;
  FleetService& m_fleet;
  LineLog& m_log;
  RolloutServiceOptions m_options;
  VersionChooser m_chooser;
  RolloutCoordinator m_coordinator;
  TimePoint m_lastTimer;
  // The services whose stop was logged.
  std::set<std::string> m_stopped;
};

} // namespace ebonykeel
