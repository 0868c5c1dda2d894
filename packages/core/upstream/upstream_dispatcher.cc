#include "core/upstream/upstream_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {
namespace {

uint8_t
ClosureReasonBit(ClosureReason aReason)
{
  return static_cast<uint8_t>(1U << static_cast<uint8_t>(aReason));
}

} // namespace

UpstreamDispatcher::UpstreamDispatcher(
  UpstreamId aUpstream,
  const UpstreamLimits& aLimits,
  const DispatcherSettings& aSettings,
  const SendPermit& aPermit,
  std::unique_ptr<ConcurrencyPolicy> aPolicy,
  TimePoint aNow)
  : m_upstream(std::move(aUpstream))
  , m_limits(aLimits)
  , m_settings(aSettings)
  , m_permit(aPermit)
  , m_policy(std::move(aPolicy))
  , m_queue(aSettings.m_fairnessQuantum)
  , m_inheritedUntil(aNow)
  , m_bootSince(aNow)
  , m_backoffUntil(aNow)
  , m_nextProbe(aNow)
{
}

void
UpstreamDispatcher::OnOwnershipGained(const OwnershipStart& aStart,
                                      TimePoint aNow)
{
  m_policy->BecomeCold(aNow);
  m_inheritedWork = aStart.m_inheritedWork;
  m_inheritedUntil = aStart.m_inheritedUntil;
  m_hint = aStart.m_hint;
  if (!m_hint) {
    return;
  }
  m_inheritedWork = std::max(m_inheritedWork, m_hint->m_heldWork);
  m_inheritedUntil = std::max(m_inheritedUntil, aNow + m_hint->m_maxHoldTime);
}

DispatcherActions
UpstreamDispatcher::OnPermitChanged(TimePoint aNow)
{
  DispatcherActions actions;
  Update(aNow, actions);
  return actions;
}

DispatcherActions
UpstreamDispatcher::Enqueue(const WorkItem& aItem, TimePoint aNow)
{
  DispatcherActions actions;
  if (aNow + EstimatedWait(aItem) > aItem.m_deadline) {
    actions.emplace_back(RefuseWork{ aItem.m_id, MissingReason::kOverloaded });
    return actions;
  }
  if (m_queue.size() >= m_settings.m_maxQueueLength) {
    std::optional<WorkItem> evicted = m_queue.EvictFor(aItem.m_caller);
    WorkId refused = evicted ? evicted->m_id : aItem.m_id;
    actions.emplace_back(RefuseWork{ refused, MissingReason::kOverloaded });
    if (!evicted) {
      return actions;
    }
  }
  m_queue.Push(aItem);
  Update(aNow, actions);
  return actions;
}

DispatcherActions
UpstreamDispatcher::Cancel(WorkId aWork, TimePoint aNow)
{
  DispatcherActions actions;
  if (m_queue.Remove(aWork)) {
    return actions;
  }
  if (auto dispatched = m_dispatched.find(aWork);
      dispatched != m_dispatched.end()) {
    Abandon(dispatched, actions);
  }
  Update(aNow, actions);
  return actions;
}

DispatcherActions
UpstreamDispatcher::OnProbe(const ProbeResult& aResult, TimePoint aNow)
{
  DispatcherActions actions;
  m_probeSentAt.reset();
  m_nextProbe = aNow + m_settings.m_probeInterval;
  if (aResult.m_answered) {
    bool wasDraining = std::exchange(m_reportedDraining, aResult.m_draining);
    RecordBoot(aResult.m_bootId, aNow, aNow);
    if (wasDraining && !m_reportedDraining) {
      m_policy->BecomeCold(aNow);
    }
  }
  Update(aNow, actions);
  return actions;
}

DispatcherActions
UpstreamDispatcher::SetClosed(ClosureReason aReason,
                              bool aClosed,
                              TimePoint aNow)
{
  DispatcherActions actions;
  uint8_t bit = ClosureReasonBit(aReason);
  bool wasClosed = (m_closures & bit) != 0;
  if (wasClosed == aClosed) {
    return actions;
  }
  m_closures ^= bit;
  m_policy->BecomeCold(aNow);
  Update(aNow, actions);
  return actions;
}

DispatcherActions
UpstreamDispatcher::OnConnectionsClosed(uint32_t aIdle,
                                        uint32_t aLingering,
                                        TimePoint aNow)
{
  DispatcherActions actions;
  uint32_t idle = std::min(aIdle, m_idleConnections);
  uint32_t lingering = std::min(aLingering, m_lingeringConnections);
  uint32_t others = (aIdle - idle) + (aLingering - lingering);
  m_idleConnections -= idle;
  m_lingeringConnections -= lingering;
  uint32_t otherLingering = std::min(others, m_lingeringConnections);
  m_lingeringConnections -= otherLingering;
  m_idleConnections -= std::min(others - otherLingering, m_idleConnections);
  Update(aNow, actions);
  return actions;
}

DispatcherActions
UpstreamDispatcher::OnTimer(TimePoint aNow)
{
  DispatcherActions actions;
  Update(aNow, actions);
  return actions;
}

std::optional<TimePoint>
UpstreamDispatcher::NextTimer() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [id, dispatched] : m_dispatched) {
    TimePoint end = dispatched.m_abandoned
                      ? dispatched.m_deadline + m_settings.m_abandonedMargin
                      : dispatched.m_deadline;
    next = end > m_updatedAt ? std::min(next, end) : next;
  }
  if (auto deadline = m_queue.EarliestDeadline()) {
    for (TimePoint due : { *deadline - m_settings.m_refusalMargin,
                           *deadline - MinRemainingTime(),
                           m_backoffUntil,
                           m_inheritedUntil }) {
      next = due > m_updatedAt ? std::min(next, due) : next;
    }
    if (m_predecessorHadWork) {
      next = std::min(next, m_updatedAt + m_settings.m_predecessorPollInterval);
    }
  }
  if (m_owned && m_reportedDraining && m_closures == 0) {
    next = std::min(next,
                    m_probeSentAt ? *m_probeSentAt + m_settings.m_probeTimeout
                                  : m_nextProbe);
  }
  if (next == TimePoint::max()) {
    return std::nullopt;
  }
  return next;
}

WarmthHint
UpstreamDispatcher::Hint(TimePoint aNow) const
{
  WarmthHint hint{ .m_bootId = m_bootId,
                   .m_limit = m_policy->Limit(),
                   .m_expectedLatency = m_policy->ExpectedLatency(),
                   .m_heldWork = HeldWork(aNow) };
  TimePoint latestEnd = InheritedWork(aNow) > 0 ? m_inheritedUntil : aNow;
  for (const auto& [id, dispatched] : m_dispatched) {
    TimePoint end = dispatched.m_deadline + m_settings.m_abandonedMargin;
    latestEnd =
      HoldsSlot(dispatched, aNow) ? std::max(latestEnd, end) : latestEnd;
  }
  hint.m_maxHoldTime = latestEnd - aNow;
  return hint;
}

uint32_t
UpstreamDispatcher::Limit() const
{
  return std::min(m_policy->Limit(), m_limits.m_slots);
}

bool
UpstreamDispatcher::Warm() const
{
  return m_policy->Warm();
}

bool
UpstreamDispatcher::Closed() const
{
  return m_closures != 0 || m_reportedDraining;
}

void
UpstreamDispatcher::Update(TimePoint aNow, DispatcherActions& aActions)
{
  m_updatedAt = aNow;
  m_predecessorHadWork = m_permit.PredecessorWork(m_upstream, aNow) > 0;
  AbandonOverdue(aNow, aActions);
  bool wasOwned =
    std::exchange(m_owned, m_permit.AllowedSlots(m_upstream, aNow) > 0);
  if (!m_owned) {
    RefuseAll(MissingReason::kNoOwner, aActions);
    CloseIdleConnectionsIfAny(aActions);
    if (wasOwned) {
      m_policy->BecomeCold(aNow);
    }
    return;
  }
  if (Closed()) {
    RefuseAll(MissingReason::kWithdrawn, aActions);
    CloseIdleConnectionsIfAny(aActions);
    ProbeIfDue(aNow, aActions);
    return;
  }
  RefuseUnmeetable(aNow, aActions);
  while (!m_queue.empty() && aNow >= m_backoffUntil) {
    // `AllowedSlots` already leaves out work that the previous owner may have
    // left.
    uint32_t ownWork = HeldWork(aNow) - InheritedWork(aNow);
    if (ownWork >= m_permit.AllowedSlots(m_upstream, aNow) ||
        HeldWork(aNow) >= Limit()) {
      return;
    }
    if (m_idleConnections == 0 && OpenConnections() >= ConnectionsAllowed()) {
      return;
    }
    DispatchNext(aNow, aActions);
  }
}

void
UpstreamDispatcher::DispatchNext(TimePoint aNow, DispatcherActions& aActions)
{
  std::optional<WorkItem> item = m_queue.Pop();
  if (!item) {
    return;
  }
  bool newConnection = m_idleConnections == 0;
  m_idleConnections -= newConnection ? 0 : 1;
  m_dispatched[item->m_id] = DispatchedWork{ .m_dispatchedAt = aNow,
                                             .m_deadline = item->m_deadline,
                                             .m_cost = item->m_cost };
  aActions.emplace_back(DispatchWork{ item->m_id, newConnection });
}

void
UpstreamDispatcher::RefuseAll(MissingReason aReason,
                              DispatcherActions& aActions)
{
  for (const WorkItem& item : m_queue.RemoveAll()) {
    aActions.emplace_back(RefuseWork{ item.m_id, aReason });
  }
}

void
UpstreamDispatcher::RefuseUnmeetable(TimePoint aNow,
                                     DispatcherActions& aActions)
{
  bool backingOff = aNow < m_backoffUntil;
  TimePoint earliest = backingOff ? m_backoffUntil : aNow;
  // If nothing else is queued or held, one piece of work is dispatched
  // regardless of the expected latency, so that a high latency from an earlier
  // overload does not block all work.
  bool alternatives = m_queue.size() > 1 || HeldWork(aNow) > 0;
  Duration needed =
    alternatives ? MinRemainingTime() : m_settings.m_refusalMargin;
  for (const WorkItem& item : m_queue.RemoveDueBy(earliest + needed)) {
    bool tooLate = item.m_deadline <= aNow + m_settings.m_refusalMargin;
    MissingReason reason = tooLate      ? MissingReason::kDeadline
                           : backingOff ? m_backoffReason
                                        : MissingReason::kOverloaded;
    aActions.emplace_back(RefuseWork{ item.m_id, reason });
  }
}

Duration
UpstreamDispatcher::MinRemainingTime() const
{
  return std::max(m_settings.m_refusalMargin, m_policy->ExpectedLatency());
}

void
UpstreamDispatcher::CloseIdleConnectionsIfAny(DispatcherActions& aActions)
{
  if (m_idleConnections == 0) {
    return;
  }
  // They count as open until the owner reports them closed.
  m_lingeringConnections += std::exchange(m_idleConnections, 0);
  aActions.emplace_back(CloseIdleConnections{});
}

void
UpstreamDispatcher::AbandonOverdue(TimePoint aNow, DispatcherActions& aActions)
{
  for (auto dispatched = m_dispatched.begin(); dispatched != m_dispatched.end();
       ++dispatched) {
    if (!dispatched->second.m_abandoned &&
        aNow >= dispatched->second.m_deadline) {
      m_policy->OnTimeout(dispatched->second.m_dispatchedAt, aNow);
      Abandon(dispatched, aActions);
    }
  }
  // Work whose connection has not been released is kept until its result
  // arrives.
  std::erase_if(m_dispatched, [&](const auto& aEntry) {
    return aEntry.second.m_connectionReleased &&
           !HoldsSlot(aEntry.second, aNow);
  });
}

void
UpstreamDispatcher::ProbeIfDue(TimePoint aNow, DispatcherActions& aActions)
{
  if (m_closures != 0) {
    return;
  }
  if (m_probeSentAt && aNow >= *m_probeSentAt + m_settings.m_probeTimeout) {
    m_probeSentAt.reset();
    m_nextProbe = aNow + m_settings.m_probeInterval;
  }
  if (m_probeSentAt || aNow < m_nextProbe) {
    return;
  }
  if (OpenConnections() >= ConnectionsAllowed()) {
    m_nextProbe = aNow + m_settings.m_probeInterval;
    return;
  }
  m_probeSentAt = aNow;
  aActions.emplace_back(ProbeUpstream{});
}

Duration
UpstreamDispatcher::EstimatedWait(const WorkItem& aItem) const
{
  double ahead = m_queue.CostAheadOf(aItem);
  if (ahead <= 0) {
    return Duration{ 0 };
  }
  auto expected = static_cast<double>(m_policy->ExpectedLatency().count());
  return Duration(static_cast<int64_t>(expected * (ahead / Limit() + 1)));
}

uint32_t
UpstreamDispatcher::ConnectionsAllowed() const
{
  auto share = static_cast<uint32_t>(m_limits.m_connectionLimit *
                                     m_settings.m_connectionShare);
  return std::max(share, 1U);
}

} // namespace ebonykeel
