// The part of `UpstreamDispatcher` that records results and counts held work.
#include <algorithm>
#include <utility>

#include "core/upstream/upstream_dispatcher.h"

namespace ebonykeel {
namespace {

// Returns true if the upstream cannot be working on the work any more.
bool
EndsWork(UpstreamResultKind aKind)
{
  switch (aKind) {
    case UpstreamResultKind::kOk:
    case UpstreamResultKind::kShed:
    case UpstreamResultKind::kVersionNotHeld:
    case UpstreamResultKind::kDraining:
    case UpstreamResultKind::kCancelled:
    case UpstreamResultKind::kConnectFailed:
      return true;
    case UpstreamResultKind::kReset:
    case UpstreamResultKind::kTimeout:
    case UpstreamResultKind::kBadAnswer:
      return false;
  }
  return false;
}

} // namespace

DispatcherActions
UpstreamDispatcher::OnResult(WorkId aWork,
                             const UpstreamResult& aResult,
                             TimePoint aNow)
{
  DispatcherActions actions;
  auto dispatched = m_dispatched.find(aWork);
  if (dispatched == m_dispatched.end()) {
    return actions;
  }
  ReleaseConnection(dispatched->second, aResult.m_connection);
  RecordBoot(aResult.m_bootId, dispatched->second.m_dispatchedAt, aNow);
  RecordResult(dispatched->second, aResult, aNow);
  if (EndsWork(aResult.m_kind)) {
    m_dispatched.erase(dispatched);
  } else {
    dispatched->second.m_abandoned = true;
  }
  Update(aNow, actions);
  return actions;
}

uint32_t
UpstreamDispatcher::HeldWork(TimePoint aNow) const
{
  uint32_t probes = m_probeSentAt ? 1 : 0;
  auto held = std::ranges::count_if(m_dispatched, [&](const auto& aEntry) {
    return HoldsSlot(aEntry.second, aNow);
  });
  return static_cast<uint32_t>(held) + InheritedWork(aNow) + probes;
}

uint32_t
UpstreamDispatcher::InFlight() const
{
  return static_cast<uint32_t>(
    std::ranges::count_if(m_dispatched, [](const auto& aEntry) {
      return !aEntry.second.m_abandoned;
    }));
}

uint32_t
UpstreamDispatcher::OpenConnections() const
{
  auto busy = std::ranges::count_if(m_dispatched, [](const auto& aEntry) {
    return !aEntry.second.m_connectionReleased;
  });
  uint32_t probes = m_probeSentAt ? 1 : 0;
  return static_cast<uint32_t>(busy) + m_idleConnections +
         m_lingeringConnections + probes;
}

void
UpstreamDispatcher::Abandon(DispatchedMap::iterator aDispatched,
                            DispatcherActions& aActions)
{
  if (std::exchange(aDispatched->second.m_abandoned, true)) {
    return;
  }
  aActions.emplace_back(CancelWork{ aDispatched->first });
}

void
UpstreamDispatcher::ReleaseConnection(DispatchedWork& aDispatched,
                                      ConnectionDisposition aDisposition)
{
  if (std::exchange(aDispatched.m_connectionReleased, true)) {
    return;
  }
  m_idleConnections += aDisposition == ConnectionDisposition::kKept ? 1 : 0;
  m_lingeringConnections +=
    aDisposition == ConnectionDisposition::kLingering ? 1 : 0;
}

void
UpstreamDispatcher::RecordBoot(BootId aBoot,
                               TimePoint aDispatchedAt,
                               TimePoint aNow)
{
  // A late answer may come from an earlier process run of the upstream.
  if (aBoot == 0 || aBoot == m_bootId || aDispatchedAt < m_bootSince) {
    return;
  }
  bool wasKnown = m_bootId != 0;
  m_bootId = aBoot;
  if (wasKnown) {
    m_bootSince = aNow;
    m_policy->BecomeCold(aNow);
  }
}

void
UpstreamDispatcher::RecordResult(const DispatchedWork& aDispatched,
                                 const UpstreamResult& aResult,
                                 TimePoint aNow)
{
  if (aResult.m_draining) {
    MarkDraining(aNow);
  }
  // The owner closes the connection of abandoned work itself, so a reset or
  // a timeout says nothing about the upstream.
  if (aDispatched.m_abandoned && !EndsWork(aResult.m_kind)) {
    return;
  }
  switch (aResult.m_kind) {
    case UpstreamResultKind::kOk: {
      m_backoff = Duration{ 0 };
      if (m_hint && m_hint->m_bootId != 0 && m_hint->m_bootId == m_bootId) {
        m_policy->Resume(m_hint->m_limit, m_hint->m_expectedLatency);
      }
      m_hint.reset();
      auto latency =
        static_cast<double>((aNow - aDispatched.m_dispatchedAt).count());
      m_policy->OnAnswer(
        Duration(static_cast<int64_t>(latency / aDispatched.m_cost)),
        aDispatched.m_dispatchedAt,
        aNow);
      return;
    }
    case UpstreamResultKind::kShed:
      m_policy->BecomeCold(aNow);
      m_backoffReason = MissingReason::kShed;
      BackOff(aResult.m_retryAfter, aNow);
      return;
    case UpstreamResultKind::kReset:
    case UpstreamResultKind::kConnectFailed:
      m_policy->BecomeCold(aNow);
      m_backoffReason = MissingReason::kUnreachable;
      BackOff(Duration{ 0 }, aNow);
      return;
    case UpstreamResultKind::kDraining:
      MarkDraining(aNow);
      return;
    case UpstreamResultKind::kTimeout:
      m_policy->OnTimeout(aDispatched.m_dispatchedAt, aNow);
      return;
    case UpstreamResultKind::kVersionNotHeld:
    case UpstreamResultKind::kCancelled:
    case UpstreamResultKind::kBadAnswer:
      return;
  }
}

void
UpstreamDispatcher::BackOff(Duration aMinPause, TimePoint aNow)
{
  m_backoff =
    std::clamp(m_backoff * 2, m_settings.m_minBackoff, m_settings.m_maxBackoff);
  Duration pause = std::clamp(aMinPause, m_backoff, m_settings.m_maxBackoff);
  m_backoffUntil = std::max(m_backoffUntil, aNow + pause);
}

void
UpstreamDispatcher::MarkDraining(TimePoint aNow)
{
  if (m_reportedDraining) {
    return;
  }
  m_reportedDraining = true;
  m_nextProbe = aNow + m_settings.m_probeInterval;
  m_policy->BecomeCold(aNow);
}

bool
UpstreamDispatcher::HoldsSlot(const DispatchedWork& aDispatched,
                              TimePoint aNow) const
{
  return !aDispatched.m_abandoned ||
         aNow < aDispatched.m_deadline + m_settings.m_abandonedMargin;
}

uint32_t
UpstreamDispatcher::InheritedWork(TimePoint aNow) const
{
  uint32_t reported = aNow < m_inheritedUntil ? m_inheritedWork : 0;
  return std::max(reported, m_permit.PredecessorWork(m_upstream, aNow));
}

} // namespace ebonykeel
