// Failure detection: how a monitor votes on a silent target, how votes are
// counted, and how orphans are declared dead.
#include <algorithm>
#include <set>

#include "absl/random/distributions.h"

#include "core/membership/membership.h"

namespace ebonykeel {
namespace {

// The number of failed pings in a row after which an unlisted instance counts
// as silent.
constexpr uint32_t kSilentAfterFailures = 2;
// The number of pings that the whole fleet together sends to an unlisted
// instance per heartbeat, on average.
constexpr double kVerificationPings = 8;
// The number of detection delays that an instance must be an orphan before it
// is declared dead.
constexpr int64_t kOrphanDelays = 2;

} // namespace

bool
Membership::IsMonitorOf(const InstanceRecord& aTarget, const InstanceRef& aRef)
{
  const auto includes = [&](const std::vector<InstanceRef>& aSet) {
    return std::ranges::find(aSet, aRef) != aSet.end();
  };
  return includes(aTarget.m_monitors) || includes(aTarget.m_previousMonitors);
}

Duration
Membership::DetectionDelay() const
{
  return m_settings.m_lease + m_settings.m_margin;
}

void
Membership::AdjustWatchesAfterPause(TimePoint aNow)
{
  const Duration gap = aNow - m_lastTick;
  if (gap <= m_settings.m_heartbeat + m_settings.m_heartbeat / 2) {
    return;
  }
  for (auto& [id, watch] : m_watches) {
    watch.m_lastHeard = std::min(aNow, watch.m_lastHeard + gap);
  }
}

void
Membership::UpdateWatch(const InstanceRecord& aTarget, TimePoint aNow)
{
  const InstanceRef self{ m_self.m_id, m_self.m_incarnation };
  const bool watched =
    aTarget.m_state != InstanceState::kDead && IsMonitorOf(aTarget, self);
  if (!watched) {
    m_watches.erase(aTarget.m_id);
    return;
  }
  const auto found = m_watches.find(aTarget.m_id);
  if (found == m_watches.end() ||
      found->second.m_incarnation != aTarget.m_incarnation) {
    m_watches[aTarget.m_id] = Watch{ .m_incarnation = aTarget.m_incarnation,
                                     .m_lastHeard = aNow,
                                     .m_ackedEpoch = aTarget.m_monitorEpoch };
  } else if (found->second.m_suspectedEpoch > 0 &&
             found->second.m_suspectedEpoch < aTarget.m_monitorEpoch) {
    found->second.m_lastHeard = aNow;
  }
  m_nextTick = std::min(m_nextTick, aNow + DetectionDelay());
}

void
Membership::RecordPing(const Peer& aPeer, const Gossip& aPing, TimePoint aNow)
{
  const InstanceRecord& record = aPeer.m_record;
  const auto found = m_watches.find(record.m_id);
  if (found == m_watches.end() ||
      aPing.m_sender.m_incarnation != found->second.m_incarnation ||
      found->second.m_suspectedEpoch >= record.m_monitorEpoch) {
    return;
  }
  found->second.m_lastHeard = aNow;
  found->second.m_ackedEpoch = record.m_monitorEpoch;
}

void
Membership::SuspectSilentTargets(TimePoint aNow)
{
  std::vector<Suspicion> newSuspicions;
  for (auto& [id, watch] : m_watches) {
    const auto found = m_peers.find(id);
    if (found == m_peers.end()) {
      continue;
    }
    const InstanceRecord& target = found->second.m_record;
    if (watch.m_suspectedEpoch >= target.m_monitorEpoch ||
        aNow < watch.m_lastHeard + DetectionDelay()) {
      continue;
    }
    watch.m_suspectedEpoch = target.m_monitorEpoch;
    newSuspicions.push_back(
      { .m_monitor = { m_self.m_id, m_self.m_incarnation },
        .m_target = { id, watch.m_incarnation },
        .m_fromEpoch = watch.m_ackedEpoch,
        .m_toEpoch = watch.m_suspectedEpoch });
  }
  for (const Suspicion& suspicion : newSuspicions) {
    AddSuspicion(suspicion);
    PingFellowMonitors(suspicion.m_target.m_id);
  }
}

void
Membership::PingFellowMonitors(const InstanceId& aTarget)
{
  const InstanceRecord& target = m_peers.at(aTarget).m_record;
  for (auto& [id, peer] : m_peers) {
    const InstanceRef ref{ id, peer.m_record.m_incarnation };
    peer.m_pingRequested |= id != aTarget && IsMonitorOf(target, ref);
  }
}

void
Membership::AddSuspicion(const Suspicion& aSuspicion)
{
  const auto found = m_peers.find(aSuspicion.m_target.m_id);
  if (found == m_peers.end()) {
    return;
  }
  const InstanceRecord& target = found->second.m_record;
  if (target.m_incarnation != aSuspicion.m_target.m_incarnation ||
      target.m_state == InstanceState::kDead) {
    return;
  }
  auto& votes = m_suspicions[target.m_id];
  const auto vote = votes.find(aSuspicion.m_monitor);
  const bool known =
    vote != votes.end() && vote->second.m_toEpoch >= aSuspicion.m_toEpoch;
  if (known) {
    return;
  }
  votes[aSuspicion.m_monitor] = aSuspicion;
  m_pendingSuspicions[{ target.m_id, aSuspicion.m_monitor }] =
    TransmissionCount();
}

void
Membership::DeclareDeadByVotes(TimePoint aNow)
{
  std::vector<InstanceId> dead;
  for (const auto& [id, votes] : m_suspicions) {
    const auto found = m_peers.find(id);
    if (found != m_peers.end() && IsDeadByVotes(found->second.m_record, aNow)) {
      dead.push_back(id);
    }
  }
  for (const InstanceId& id : dead) {
    DeclareDead(id, aNow);
  }
}

void
Membership::DeclareOrphansDead(TimePoint aNow)
{
  const std::set<InstanceId> orphans = FindOrphans(aNow);
  std::vector<InstanceId> dead;
  for (auto& [id, peer] : m_peers) {
    if (!orphans.contains(id)) {
      peer.m_orphanedSince = TimePoint::max();
      continue;
    }
    peer.m_orphanedSince = std::min(peer.m_orphanedSince, aNow);
    if (aNow - peer.m_orphanedSince >= kOrphanDelays * DetectionDelay()) {
      dead.push_back(id);
    }
  }
  for (const InstanceId& id : dead) {
    DeclareDead(id, aNow);
  }
}

std::set<InstanceId>
Membership::FindOrphans(TimePoint aNow)
{
  std::set<InstanceId> silent;
  if (m_listReceivedAt == TimePoint::min()) {
    return silent;
  }
  const double verificationShare =
    std::min(1.0, kVerificationPings / static_cast<double>(m_peers.size() + 1));
  for (auto& [id, peer] : m_peers) {
    const bool unlisted =
      !m_seeds.contains(id) &&
      aNow - peer.m_changedAt >= kOrphanDelays * DetectionDelay();
    if (peer.m_record.m_state == InstanceState::kDead || !unlisted) {
      continue;
    }
    // Each instance pings with this probability, so that the fleet together
    // sends about kVerificationPings.
    peer.m_pingRequested |= absl::Bernoulli(m_bitGen, verificationShare);
    if (peer.m_consecutiveFailures >= kSilentAfterFailures) {
      silent.insert(id);
    }
  }
  // An instance is no orphan while it has a monitor that can still vote.
  const auto hasMonitorLeft = [&](const InstanceId& aId) {
    const InstanceRecord& record = m_peers.at(aId).m_record;
    return record.m_state != InstanceState::kJoining &&
           std::ranges::any_of(record.m_monitors, [&](const InstanceRef& aRef) {
             return !silent.contains(aRef.m_id) && !IsGone(aRef, aNow);
           });
  };
  while (std::erase_if(silent, hasMonitorLeft) > 0) {
  }
  return silent;
}

void
Membership::DeclareDead(const InstanceId& aId, TimePoint aNow)
{
  InstanceRecord dead = m_peers.at(aId).m_record;
  dead.m_state = InstanceState::kDead;
  dead.m_changingMonitors = false;
  dead.m_monitors.clear();
  dead.m_previousMonitors.clear();
  ApplyRecord(dead, true, aNow);
}

bool
Membership::IsDeadByVotes(const InstanceRecord& aTarget, TimePoint aNow) const
{
  const bool canBeDeclaredDead = aTarget.m_state == InstanceState::kActive ||
                                 aTarget.m_state == InstanceState::kLeaving;
  if (!canBeDeclaredDead) {
    // A joining instance owns nothing, and may change its monitors without the
    // approval of the previous ones.
    return false;
  }
  const bool current =
    VotesSuffice(aTarget, aTarget.m_monitors, aTarget.m_monitorEpoch, aNow);
  const bool previous =
    aTarget.m_changingMonitors &&
    VotesSuffice(
      aTarget, aTarget.m_previousMonitors, aTarget.m_monitorEpoch - 1, aNow);
  return current || previous;
}

bool
Membership::VotesSuffice(const InstanceRecord& aTarget,
                         std::span<const InstanceRef> aMonitors,
                         uint32_t aEpoch,
                         TimePoint aNow) const
{
  const auto found = m_suspicions.find(aTarget.m_id);
  if (found == m_suspicions.end() || aMonitors.empty()) {
    return false;
  }
  size_t votes = 0;
  size_t gone = 0;
  for (const InstanceRef& monitor : aMonitors) {
    const auto vote = found->second.find(monitor);
    const bool counts =
      vote != found->second.end() &&
      vote->second.m_target.m_incarnation == aTarget.m_incarnation &&
      vote->second.m_fromEpoch <= aEpoch && aEpoch <= vote->second.m_toEpoch;
    if (counts) {
      ++votes;
    } else if (IsGone(monitor, aNow)) {
      ++gone;
    }
  }
  const bool allVotedOrGone = votes > 0 && votes + gone == aMonitors.size();
  return votes >= DeathQuorum(aMonitors.size()) || allVotedOrGone;
}

bool
Membership::IsGone(const InstanceRef& aRef, TimePoint aNow) const
{
  if (aRef.m_id == m_self.m_id) {
    return aRef.m_incarnation != m_self.m_incarnation &&
           aNow - m_joinedAt >= DetectionDelay();
  }
  const auto found = m_peers.find(aRef.m_id);
  if (found == m_peers.end()) {
    // The record was removed, unless this instance joined too recently to have
    // received it.
    return m_self.m_state == InstanceState::kActive &&
           aNow - m_joinedAt >= 2 * DetectionDelay();
  }
  const InstanceRecord& record = found->second.m_record;
  const bool deadOrSuperseded = record.m_incarnation > aRef.m_incarnation ||
                                (record.m_incarnation == aRef.m_incarnation &&
                                 record.m_state == InstanceState::kDead);
  return deadOrSuperseded &&
         aNow - found->second.m_changedAt >= DetectionDelay();
}

bool
Membership::IsSuspected(const InstanceId& aId) const
{
  const auto found = m_suspicions.find(aId);
  const auto peer = m_peers.find(aId);
  if (found == m_suspicions.end() || peer == m_peers.end()) {
    return false;
  }
  const InstanceRecord& record = peer->second.m_record;
  return std::ranges::any_of(found->second, [&](const auto& aEntry) {
    const Suspicion& vote = aEntry.second;
    return vote.m_target.m_incarnation == record.m_incarnation &&
           vote.m_toEpoch >= record.m_monitorEpoch;
  });
}

void
Membership::RemoveExpiredDead(TimePoint aNow)
{
  std::erase_if(m_peers, [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return peer.m_record.m_state == InstanceState::kDead &&
           !m_seeds.contains(aEntry.first) &&
           aNow - peer.m_changedAt >= m_settings.m_deadRetention;
  });
  m_viewStale = true;
}

} // namespace ebonykeel
