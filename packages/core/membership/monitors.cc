// How an instance chooses and changes its monitors and counts their
// acknowledgements.
#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

#include "core/base/stable_hash.h"
#include "core/membership/membership.h"

namespace ebonykeel {

bool
Membership::IsUsableMonitor(const InstanceRef& aRef, TimePoint aNow) const
{
  const auto found = m_peers.find(aRef.m_id);
  if (found == m_peers.end()) {
    return false;
  }
  const Peer& peer = found->second;
  const InstanceState state = peer.m_record.m_state;
  return peer.m_record.m_incarnation == aRef.m_incarnation &&
         (state == InstanceState::kActive ||
          state == InstanceState::kJoining) &&
         aNow >= peer.m_avoidUntil;
}

std::vector<InstanceRef>
Membership::ChooseMonitors(TimePoint aNow) const
{
  struct Candidate
  {
    InstanceRef m_ref;
    DataCentre m_dataCentre;
    bool m_current = false;
    bool m_active = false;
    uint64_t m_score = 0;
  };
  std::vector<Candidate> candidates;
  std::map<DataCentre, size_t> countByDataCentre{ { m_self.m_dataCentre, 0 } };
  for (const auto& [id, peer] : m_peers) {
    const InstanceRef ref{ id, peer.m_record.m_incarnation };
    if (peer.m_record.m_region != m_self.m_region ||
        !IsUsableMonitor(ref, aNow)) {
      continue;
    }
    countByDataCentre[peer.m_record.m_dataCentre] = 0;
    candidates.push_back(
      { .m_ref = ref,
        .m_dataCentre = peer.m_record.m_dataCentre,
        .m_current = IsCurrentMonitor(ref),
        .m_active = peer.m_record.m_state == InstanceState::kActive,
        .m_score = StableHash(id.View(), StableHash(m_self.m_id.View())) });
  }
  std::ranges::sort(
    candidates, std::greater<>(), [](const Candidate& aCandidate) {
      return std::tuple(
        aCandidate.m_current, aCandidate.m_active, aCandidate.m_score);
    });

  // The maximum number of monitors in one data centre, as long as there are
  // enough other candidates.
  const auto quota = [&](const DataCentre& aDataCentre) -> size_t {
    if (countByDataCentre.size() >= m_settings.m_monitorCount) {
      return 1;
    }
    const bool own = aDataCentre == m_self.m_dataCentre;
    return own ? LeaseQuorum(m_settings.m_monitorCount) : 1;
  };
  std::vector<InstanceRef> chosen;
  std::vector<InstanceRef> spare;
  for (const Candidate& candidate : candidates) {
    size_t& count = countByDataCentre[candidate.m_dataCentre];
    if (count >= quota(candidate.m_dataCentre)) {
      spare.push_back(candidate.m_ref);
      continue;
    }
    if (chosen.size() < m_settings.m_monitorCount) {
      ++count;
      chosen.push_back(candidate.m_ref);
    }
  }
  for (const InstanceRef& ref : spare) {
    if (chosen.size() < m_settings.m_monitorCount) {
      chosen.push_back(ref);
    }
  }
  std::ranges::sort(chosen);
  return chosen;
}

bool
Membership::IsCurrentMonitor(const InstanceRef& aRef) const
{
  return std::ranges::find(m_self.m_monitors, aRef) != m_self.m_monitors.end();
}

void
Membership::ReviewMonitors(TimePoint aNow)
{
  m_membersChanged = false;
  const bool leaseExpired = StateAllowsLease() && !HoldsLease(aNow);
  if (m_self.m_state == InstanceState::kDead || leaseExpired) {
    return;
  }
  if (m_self.m_changingMonitors) {
    FinishMonitorChange();
    return;
  }
  std::vector<InstanceRef> chosen = ChooseMonitors(aNow);
  if (chosen.empty() && HasLivePeerInRegion()) {
    // No candidate is usable now; the old monitors are better than none.
    return;
  }
  const bool suspected =
    std::ranges::any_of(m_self.m_monitors, [&](const InstanceRef& aRef) {
      const auto peer = m_peers.find(aRef.m_id);
      return peer != m_peers.end() && m_self.m_monitorEpoch > 0 &&
             peer->second.m_suspectedEpoch >= m_self.m_monitorEpoch;
    });
  if (chosen == m_self.m_monitors && !suspected) {
    return;
  }
  StartMonitorChange(std::move(chosen), aNow);
}

bool
Membership::MonitorsNeedReview() const
{
  return m_membersChanged || m_self.m_changingMonitors ||
         m_self.m_state == InstanceState::kJoining;
}

bool
Membership::HasLivePeerInRegion() const
{
  return std::ranges::any_of(m_peers, [&](const auto& aEntry) {
    const InstanceRecord& record = aEntry.second.m_record;
    return record.m_region == m_self.m_region &&
           (record.m_state == InstanceState::kActive ||
            record.m_state == InstanceState::kJoining);
  });
}

void
Membership::StartMonitorChange(std::vector<InstanceRef> aChosen, TimePoint aNow)
{
  const bool leased = HoldsLease(aNow);
  ChangeSelf([&](InstanceRecord& aSelf) {
    ++aSelf.m_monitorEpoch;
    aSelf.m_changingMonitors = leased;
    if (leased) {
      aSelf.m_previousMonitors = aSelf.m_monitors;
    }
    aSelf.m_monitors = std::move(aChosen);
  });
  m_changeStartedAt = aNow;
  m_nextHeartbeat = std::min(m_nextHeartbeat, aNow + kMinTickInterval);
  m_nextTick = std::min(m_nextTick, m_nextHeartbeat);
}

void
Membership::FinishMonitorChange()
{
  const TimePoint newPingAt =
    QuorumPingAt(m_self.m_monitors, m_self.m_monitorEpoch);
  if (newPingAt < m_changeStartedAt ||
      !HasQuorumApproval(m_self.m_previousMonitors)) {
    return;
  }
  ChangeSelf([](InstanceRecord& aSelf) {
    aSelf.m_changingMonitors = false;
    aSelf.m_previousMonitors.clear();
  });
}

TimePoint
Membership::QuorumPingAt(std::span<const InstanceRef> aMonitors,
                         uint32_t aEpoch) const
{
  const size_t quorum = LeaseQuorum(aMonitors.size());
  if (quorum == 0) {
    return m_lastTick;
  }
  std::vector<TimePoint> times;
  for (const InstanceRef& monitor : aMonitors) {
    const auto peer = m_peers.find(monitor.m_id);
    const bool counts =
      peer != m_peers.end() &&
      peer->second.m_record.m_incarnation == monitor.m_incarnation &&
      peer->second.m_suspectedEpoch < aEpoch;
    if (counts) {
      times.push_back(peer->second.m_ackedPingAt);
    }
  }
  if (times.size() < quorum) {
    return TimePoint::min();
  }
  std::ranges::sort(times, std::greater<>());
  return times[quorum - 1];
}

bool
Membership::HasQuorumApproval(std::span<const InstanceRef> aMonitors) const
{
  const auto approvals =
    std::ranges::count_if(aMonitors, [&](const InstanceRef& aRef) {
      const auto peer = m_peers.find(aRef.m_id);
      return peer != m_peers.end() &&
             peer->second.m_record.m_incarnation == aRef.m_incarnation &&
             peer->second.m_knownEpoch >= m_self.m_monitorEpoch &&
             peer->second.m_suspectedEpoch < m_self.m_monitorEpoch - 1;
    });
  return static_cast<size_t>(approvals) >= LeaseQuorum(aMonitors.size());
}

} // namespace ebonykeel
