#include "core/rollout/rollout_coordinator.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {

RolloutCoordinator::RolloutCoordinator(VersionChooser& aChooser,
                                       RolloutCoordinatorOptions aOptions,
                                       RolloutPort& aPort)
  : m_chooser(aChooser)
  , m_options(std::move(aOptions))
  , m_port(aPort)
{
}

void
RolloutCoordinator::SetEntry(const RolloutEntry& aEntry, TimePoint aNow)
{
  m_storeEra = std::max(m_storeEra, aEntry.m_position.m_era);
  const std::string& service = aEntry.m_order.m_service;
  if (const LocalRollout* known = m_chooser.Find(service)) {
    if (aEntry.m_position < known->Entry().m_position) {
      return;
    }
    if (!known->Entry().IsSameOrder(aEntry)) {
      EndOrder(service);
    }
  }
  m_chooser.SetEntry(aEntry, aNow);
  Order& order = m_orders[service];
  if (order.m_controller) {
    order.m_controller->SetEntry(aEntry);
  }
}

bool
RolloutCoordinator::RemoveEntry(const std::string& aService,
                                const StorePosition& aPosition)
{
  const LocalRollout* known = m_chooser.Find(aService);
  if (known != nullptr && known->Entry().m_position > aPosition) {
    return false;
  }
  EndOrder(aService);
  return true;
}

void
RolloutCoordinator::EndOrder(const std::string& aService)
{
  if (const LocalRollout* known = m_chooser.Find(aService)) {
    m_endedPositions[aService] = known->Entry().m_position;
  }
  m_chooser.RemoveEntry(aService);
  m_orders.erase(aService);
}

void
RolloutCoordinator::OnReport(const std::string& aHost,
                             const RolloutReport& aReport,
                             TimePoint aNow)
{
  m_storeEra = std::max(m_storeEra, aReport.m_position.m_era);
  auto found = m_orders.find(aReport.m_service);
  if (found == m_orders.end() || !found->second.m_controller) {
    return;
  }
  RolloutController& controller = *found->second.m_controller;
  auto ended = m_endedPositions.find(aReport.m_service);
  bool isEarlier =
    ended != m_endedPositions.end() && aReport.m_position <= ended->second;
  bool isSameTarget =
    aReport.m_targetVersion == controller.Entry().m_order.m_targetVersion;
  if (isSameTarget && !isEarlier) {
    controller.OnReport(aHost, aReport, aNow);
  }
}

void
RolloutCoordinator::OnAnnouncement(const std::string& aHost,
                                   const RolloutAnnouncement& aAnnouncement,
                                   TimePoint aNow)
{
  m_storeEra = std::max(m_storeEra, aAnnouncement.m_position.m_era);
  m_chooser.OnAnnouncement(aHost, aAnnouncement, aNow);
}

void
RolloutCoordinator::OnSuspended(TimePoint aNow)
{
  m_chooser.OnSuspended();
  for (auto& [service, order] : m_orders) {
    if (order.m_controller) {
      order.m_controller->OnSuspended(aNow);
    }
  }
}

void
RolloutCoordinator::OnTimer(const RolloutFleet& aFleet, TimePoint aNow)
{
  m_storeEra = std::max(m_storeEra, aFleet.m_storeEra);
  m_chooser.OnTimer(aNow);
  for (auto& [service, order] : m_orders) {
    const LocalRollout& local = *m_chooser.Find(service);
    bool isFinal =
      IsFinal(local.Entry().m_state) && !local.Entry().m_isStateLost;
    if (!isFinal) {
      order.m_finalSince.reset();
    } else if (!order.m_finalSince) {
      order.m_finalSince = aNow;
    }
    bool isOver = order.m_finalSince &&
                  aNow - *order.m_finalSince >= m_options.m_finalAnnouncements;
    if (aFleet.m_controller != m_options.m_host || isOver) {
      order.m_controller.reset();
    } else if (!order.m_controller && !isFinal) {
      order.m_controller.emplace(
        local.Entry(), m_options.m_controller, local.SeenAt(), aNow);
    }
    if (order.m_controller) {
      Control(order, aFleet, aNow);
    }
    if (!isFinal) {
      Report(service, order, aFleet, aNow);
    }
  }
}

void
RolloutCoordinator::Control(Order& aOrder,
                            const RolloutFleet& aFleet,
                            TimePoint aNow)
{
  RolloutController& controller = *aOrder.m_controller;
  RolloutStage before = controller.Stage();
  controller.OnTimer(
    { .m_liveHosts = aFleet.m_liveHosts,
      .m_lostInstances = aFleet.m_lostInstances,
      .m_storeReachable = aFleet.m_storeReachable,
      .m_hasTarget = m_port.HasTarget(controller.Entry().m_order),
      .m_storeEra = m_storeEra },
    aNow);
  if (controller.Stage() != before) {
    m_port.OnStageChanged(controller, before, aNow);
  }
  if (std::optional<RolloutCall> call = controller.TakeCall(aNow)) {
    m_port.CallStore(controller.Entry().m_order.m_service, *call);
  }
  if (controller.TakeChanged() ||
      aNow - aOrder.m_announcedAt >= m_options.m_announceInterval) {
    Announce(aOrder, aFleet, aNow);
  }
}

void
RolloutCoordinator::Announce(Order& aOrder,
                             const RolloutFleet& aFleet,
                             TimePoint aNow)
{
  aOrder.m_announcedAt = aNow;
  RolloutController& controller = *aOrder.m_controller;
  controller.BeginAnnouncements(aNow);
  OnAnnouncement(m_options.m_host,
                 controller.MakeAnnouncement(m_options.m_host, aNow),
                 aNow);
  for (const std::string& host : aFleet.m_liveHosts) {
    if (host != m_options.m_host) {
      m_port.SendAnnouncement(host, controller.MakeAnnouncement(host, aNow));
    }
  }
}

void
RolloutCoordinator::Report(const std::string& aService,
                           Order& aOrder,
                           const RolloutFleet& aFleet,
                           TimePoint aNow)
{
  RolloutReport report = m_chooser.MakeReport(aService, aNow);
  Duration age = std::exchange(report.m_age, Duration{});
  // The order ends when the reports of the stage full are in.
  Duration interval = report.m_appliedStage == RolloutStage::kFull
                        ? Duration{}
                        : m_options.m_reportInterval;
  bool isDue = report == aOrder.m_reported
                 ? aNow - aOrder.m_reportedAt >= m_options.m_idleReportInterval
                 : aNow - aOrder.m_reportedAt >= interval;
  if (!isDue || aFleet.m_controller.empty()) {
    return;
  }
  aOrder.m_reported = report;
  aOrder.m_reportedAt = aNow;
  report.m_sequence = ++m_reportSequence;
  report.m_age = age;
  if (aFleet.m_controller == m_options.m_host) {
    OnReport(m_options.m_host, report, aNow);
  } else {
    m_port.SendReport(aFleet.m_controller, report);
  }
}

void
RolloutCoordinator::OnCallAnswered(const std::string& aService,
                                   const std::optional<RolloutEntry>& aEntry,
                                   bool aIsWritten,
                                   TimePoint aNow)
{
  auto found = m_orders.find(aService);
  if (found == m_orders.end()) {
    return;
  }
  std::optional<RolloutController>& controller = found->second.m_controller;
  if (!aEntry) {
    if (controller) {
      controller->OnEntryMissing(aNow);
    }
    return;
  }
  if (aEntry->m_position.m_era > m_storeEra) {
    OnCallLost(aService, aNow);
    return;
  }
  if (controller && controller->Entry().IsSameOrder(*aEntry)) {
    controller->OnCallAnswered(*aEntry, aIsWritten);
  }
  SetEntry(*aEntry, aNow);
}

void
RolloutCoordinator::OnCallLost(const std::string& aService, TimePoint aNow)
{
  auto found = m_orders.find(aService);
  if (found != m_orders.end() && found->second.m_controller) {
    found->second.m_controller->OnCallLost(aNow);
  }
}

std::vector<const LocalRollout*>
RolloutCoordinator::Rollouts() const
{
  std::vector<const LocalRollout*> rollouts;
  for (const auto& [service, order] : m_orders) {
    rollouts.push_back(m_chooser.Find(service));
  }
  return rollouts;
}

const RolloutController*
RolloutCoordinator::FindController(const std::string& aService) const
{
  auto found = m_orders.find(aService);
  return found == m_orders.end() || !found->second.m_controller
           ? nullptr
           : &*found->second.m_controller;
}

} // namespace ebonykeel
