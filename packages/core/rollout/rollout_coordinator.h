// What one instance does for all orders: it reports to the controller, applies
// announcements, and controls the orders while it is the controller itself.
//
//   RolloutCoordinator coordinator(chooser, options, port);
//   coordinator.SetEntry(entry, now);
//   coordinator.OnTimer(fleet, now);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/rollout/rollout.h"
#include "core/rollout/rollout_controller.h"
#include "core/rollout/version_chooser.h"

namespace ebonykeel {

// The environment of a coordinator. Its methods must not call back into it.
class RolloutPort
{
public:
  virtual ~RolloutPort() = default;
  virtual void SendReport(const std::string& aHost,
                          const RolloutReport& aReport) = 0;
  virtual void SendAnnouncement(const std::string& aHost,
                                const RolloutAnnouncement& aAnnouncement) = 0;
  // Calls the store; the result is reported by `OnCallAnswered` or `OnCallLost`
  // later.
  virtual void CallStore(const std::string& aService,
                         const RolloutCall& aCall) = 0;
  // Returns whether the target version has a usable upstream.
  [[nodiscard]] virtual bool HasTarget(const RolloutOrder& aOrder) const = 0;
  // Called when this instance changed the stage of an order that it controls.
  virtual void OnStageChanged(const RolloutController& aController,
                              RolloutStage aBefore,
                              TimePoint aNow) = 0;
};

struct RolloutCoordinatorOptions
{
  std::string m_host;
  RolloutControllerOptions m_controller;
  // The interval between reports while something changes, and otherwise.
  Duration m_reportInterval = Milliseconds(200);
  Duration m_idleReportInterval = Seconds(1);
  Duration m_announceInterval = Milliseconds(500);
  // How long a final state is still announced: an instance may read the store's
  // state later.
  Duration m_finalAnnouncements = Seconds(10);
};

// What the instance knows of the fleet.
struct RolloutFleet
{
  // The instance that controls the orders; empty if none is known.
  std::string m_controller;
  // As in `RolloutSurroundings`.
  std::vector<std::string> m_liveHosts;
  size_t m_lostInstances = 0;
  bool m_storeReachable = true;
  // The newest era of the store that the instance's feeds have entered.
  uint64_t m_storeEra = 0;
};

class RolloutCoordinator
{
public:
  // The chooser and the port must outlive the coordinator.
  RolloutCoordinator(VersionChooser& aChooser,
                     RolloutCoordinatorOptions aOptions,
                     RolloutPort& aPort);

  void SetEntry(const RolloutEntry& aEntry, TimePoint aNow);
  // Ends the order of a service whose entry was removed at `aPosition`. Returns
  // false if the entry is known at a later position: then nothing changes.
  bool RemoveEntry(const std::string& aService, const StorePosition& aPosition);
  void OnReport(const std::string& aHost,
                const RolloutReport& aReport,
                TimePoint aNow);
  void OnAnnouncement(const std::string& aHost,
                      const RolloutAnnouncement& aAnnouncement,
                      TimePoint aNow);
  // Called after a time in which the process did not run.
  void OnSuspended(TimePoint aNow);
  // Called every 100 ms or less.
  void OnTimer(const RolloutFleet& aFleet, TimePoint aNow);
  // The store answered a call; `aEntry` is nothing if it has no entry. An entry
  // of an era that neither the feeds nor other instances know does not count:
  // the feeds enter an era only after several answers that state it.
  void OnCallAnswered(const std::string& aService,
                      const std::optional<RolloutEntry>& aEntry,
                      bool aIsWritten,
                      TimePoint aNow);
  void OnCallLost(const std::string& aService, TimePoint aNow);

  // Returns the orders by service.
  [[nodiscard]] std::vector<const LocalRollout*> Rollouts() const;
  // Returns the controller of a service's order; null if this instance does not
  // control it.
  [[nodiscard]] const RolloutController* FindController(
    const std::string& aService) const;

private:
  struct Order
  {
    std::optional<RolloutController> m_controller;
    TimePoint m_announcedAt;
    std::optional<TimePoint> m_finalSince;
    // The latest report without its sequence and the age of the order.
    RolloutReport m_reported;
    TimePoint m_reportedAt;
  };

  void EndOrder(const std::string& aService);
  void Control(Order& aOrder, const RolloutFleet& aFleet, TimePoint aNow);
  void Announce(Order& aOrder, const RolloutFleet& aFleet, TimePoint aNow);
  void Report(const std::string& aService,
              Order& aOrder,
              const RolloutFleet& aFleet,
              TimePoint aNow);

  VersionChooser& m_chooser;
  RolloutCoordinatorOptions m_options;
  RolloutPort& m_port;
  std::map<std::string, Order> m_orders;
  // The last position of earlier orders: reports up to it are not of the
  // present order.
  std::map<std::string, StorePosition> m_endedPositions;
  // The newest era of the store that the feeds, entries and other instances
  // have stated.
  uint64_t m_storeEra = 0;
  uint64_t m_reportSequence = 0;
};

} // namespace ebonykeel
