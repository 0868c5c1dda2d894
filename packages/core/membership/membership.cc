#include "core/membership/membership.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ebonykeel {
namespace {

// A joining instance sends heartbeats this many times as often.
constexpr int64_t kJoiningHeartbeatFactor = 4;

// Returns whether the sender of `aPing` had an older incarnation or sequence
// than `aRecord`, a record of the same instance.
bool
IsFromOlderRecord(const Gossip& aPing, const InstanceRecord& aRecord)
{
  return std::pair(aPing.m_sender.m_incarnation, aPing.m_senderSequence) <
         std::pair(aRecord.m_incarnation, aRecord.m_sequence);
}

// The number of failed pings in a row after which an instance is not chosen as
// a monitor for a while.
constexpr uint32_t kAvoidAfterFailures = 2;

} // namespace

const InstanceRecord*
MembershipView::Find(const InstanceId& aId) const
{
  const auto found =
    std::ranges::lower_bound(m_records, aId, {}, &InstanceRecord::m_id);
  const bool present = found != m_records.end() && found->m_id == aId;
  return present ? &*found : nullptr;
}

size_t
LeaseQuorum(size_t aMonitors)
{
  return (aMonitors + 1) / 2;
}

size_t
DeathQuorum(size_t aMonitors)
{
  return aMonitors - LeaseQuorum(aMonitors) + 1;
}

Membership::Membership(MembershipSettings aSettings,
                       InstanceRecord aSelf,
                       absl::BitGenRef aBitGen,
                       TimePoint aNow)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_bitGen(aBitGen)
  , m_joinedAt(aNow)
  , m_lastTick(aNow)
  , m_nextHeartbeat(aNow)
  , m_nextTick(aNow)
  , m_partDigests(kDigestParts, 0)
{
  m_self.m_state = InstanceState::kJoining;
  m_self.m_sequence = 1;
  m_self.m_statusSequence = 1;
  m_self.m_monitorEpoch = 0;
  m_self.m_changingMonitors = false;
  m_self.m_monitors.clear();
  m_self.m_previousMonitors.clear();
  ToggleDigest(m_self);
}

void
Membership::OnInstanceList(std::span<const ListedInstance> aListed,
                           TimePoint aNow)
{
  m_listReceivedAt = aNow;
  std::map<InstanceId, ListedInstance> seeds;
  for (const ListedInstance& listed : aListed) {
    if (listed.m_id != m_self.m_id) {
      seeds[listed.m_id] = listed;
    }
  }
  m_seeds = std::move(seeds);
  RemoveExpiredDead(aNow);
}

std::vector<PingAction>
Membership::Tick(TimePoint aNow)
{
  std::vector<PingAction> actions;
  HandleLeaseExpiry(aNow);
  AdjustWatchesAfterPause(aNow);
  m_lastTick = aNow;
  if (m_self.m_state != InstanceState::kDead) {
    SuspectSilentTargets(aNow);
    DeclareDeadByVotes(aNow);
    if (aNow >= m_nextHeartbeat || MonitorsNeedReview()) {
      ReviewMonitors(aNow);
    }
    ActivateIfLeased(aNow);
  }
  if (aNow >= m_nextHeartbeat) {
    Heartbeat(aNow, actions);
  }
  PingRequestedPeers(actions);
  ScheduleTick(aNow);
  return actions;
}

void
Membership::Heartbeat(TimePoint aNow, std::vector<PingAction>& aActions)
{
  const bool joining = m_self.m_state == InstanceState::kJoining;
  const Duration interval = joining
                              ? m_settings.m_heartbeat / kJoiningHeartbeatFactor
                              : m_settings.m_heartbeat;
  m_nextHeartbeat = aNow + interval;
  ++m_heartbeats;
  DeclareOrphansDead(aNow);
  RemoveExpiredDead(aNow);
  PingMonitors(aActions);
  if (joining || m_heartbeats % m_settings.m_heartbeatsPerExchange == 0) {
    PingRandom(aActions);
  }
  PingSeeds(aActions);
}

void
Membership::ScheduleTick(TimePoint aNow)
{
  m_nextTick = m_nextHeartbeat;
  for (const auto& [id, watch] : m_watches) {
    const auto peer = m_peers.find(id);
    if (peer == m_peers.end() ||
        watch.m_suspectedEpoch >= peer->second.m_record.m_monitorEpoch) {
      continue;
    }
    m_nextTick = std::min(m_nextTick, watch.m_lastHeard + DetectionDelay());
  }
  if (m_self.m_state == InstanceState::kActive) {
    m_nextTick = std::min(m_nextTick, LeaseUntil());
  }
  m_nextTick = std::max(m_nextTick, aNow + kMinTickInterval);
}

Gossip
Membership::OnPing(const Gossip& aPing, TimePoint aNow)
{
  HandleLeaseExpiry(aNow);
  ApplyGossip(aPing, aNow);
  const auto peer = m_peers.find(aPing.m_sender.m_id);
  if (peer == m_peers.end()) {
    return MakeGossip(nullptr);
  }
  RecordPing(peer->second, aPing, aNow);
  if (MonitorsNeedReview()) {
    ReviewMonitors(aNow);
  }
  Gossip ack = MakeGossip(&peer->second);
  if (IsFromOlderRecord(aPing, peer->second.m_record)) {
    // This instance has a newer record of the sender's id, so another process
    // used the id. The sender needs that record to refute it.
    AddRecord(ack, aPing.m_sender.m_id);
  }
  if (aPing.m_digest != ack.m_digest && ShouldSync(aPing.m_senderState)) {
    AddDifferingRecords(ack, aPing.m_partDigests);
  }
  m_nextTick = std::min(m_nextTick, NextRequestedPing(aNow));
  return ack;
}

void
Membership::OnAck(const InstanceId& aFrom,
                  TimePoint aPingSentAt,
                  const Gossip& aAck,
                  TimePoint aNow)
{
  HandleLeaseExpiry(aNow);
  const uint64_t digestBefore = Digest();
  ApplyGossip(aAck, aNow);
  const auto found = m_peers.find(aFrom);
  if (found == m_peers.end() || aAck.m_sender.m_id != aFrom) {
    return;
  }
  Peer& peer = found->second;
  peer.m_consecutiveFailures = 0;
  const bool current =
    aAck.m_ackedIncarnation == m_self.m_incarnation &&
    aAck.m_sender.m_incarnation == peer.m_record.m_incarnation;
  if (current) {
    peer.m_ackedPingAt = std::max(peer.m_ackedPingAt, aPingSentAt);
    peer.m_knownEpoch = std::max(peer.m_knownEpoch, aAck.m_knownEpoch);
    peer.m_suspectedEpoch =
      std::max(peer.m_suspectedEpoch, aAck.m_suspectedEpoch);
  }
  if (aAck.m_digest != Digest() && !aAck.m_partDigests.empty()) {
    const bool progress = digestBefore != Digest();
    peer.m_partDigests = aAck.m_partDigests;
    peer.m_pingRequested |= progress || !peer.m_sentParts;
  }
  if (MonitorsNeedReview()) {
    ReviewMonitors(aNow);
  }
  ActivateIfLeased(aNow);
  m_nextTick = std::min(m_nextTick, NextRequestedPing(aNow));
}

void
Membership::OnPingFailed(const InstanceId& aTarget, TimePoint aNow)
{
  const auto found = m_peers.find(aTarget);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  ++peer.m_consecutiveFailures;
  if (peer.m_consecutiveFailures >= kAvoidAfterFailures) {
    peer.m_avoidUntil = aNow + m_settings.m_monitorAvoidTime;
  }
}

void
Membership::SetSelfState(InstanceState aState, TimePoint aNow)
{
  const bool leaving =
    aState == InstanceState::kLeaving && m_self.m_state != InstanceState::kDead;
  if (!leaving && aState != InstanceState::kDead) {
    return;
  }
  ChangeSelf([&](InstanceRecord& aSelf) { aSelf.m_state = aState; });
  OnMembersChanged();
  for (auto& [id, peer] : m_peers) {
    peer.m_pingRequested |=
      IsMonitorOf(m_self, InstanceRef{ id, peer.m_record.m_incarnation });
  }
  m_nextTick = aNow;
}

void
Membership::SetGeneration(Generation aGeneration)
{
  if (m_self.m_generation == aGeneration) {
    return;
  }
  m_self.m_generation = aGeneration;
  ++m_self.m_statusSequence;
  m_viewStale = true;
}

void
Membership::SetLoad(float aLoad)
{
  m_self.m_load = aLoad;
  ++m_self.m_statusSequence;
  m_viewStale = true;
}

bool
Membership::StateAllowsLease() const
{
  return m_self.m_state == InstanceState::kActive ||
         m_self.m_state == InstanceState::kLeaving;
}

bool
Membership::HoldsLease(TimePoint aNow) const
{
  return StateAllowsLease() && aNow < LeaseUntil();
}

Lease
Membership::CurrentLease() const
{
  return { .m_incarnation = m_self.m_incarnation,
           .m_until = StateAllowsLease() ? LeaseUntil() : TimePoint::min() };
}

TimePoint
Membership::LeaseUntil() const
{
  TimePoint pingAt = QuorumPingAt(m_self.m_monitors, m_self.m_monitorEpoch);
  if (m_self.m_changingMonitors) {
    // The new monitors do not vote until a lease and the margin after
    // m_changeStartedAt, since they cannot have received the record earlier.
    pingAt = std::max(pingAt, m_changeStartedAt);
    pingAt = std::min(
      pingAt,
      QuorumPingAt(m_self.m_previousMonitors, m_self.m_monitorEpoch - 1));
  }
  return pingAt == TimePoint::min() ? pingAt : pingAt + m_settings.m_lease;
}

const MembershipView&
Membership::View() const
{
  if (!m_viewStale) {
    return m_view;
  }
  m_view.m_version = m_viewVersion;
  m_view.m_records.clear();
  for (const auto& [id, peer] : m_peers) {
    m_view.m_records.push_back(peer.m_record);
  }
  m_view.m_records.push_back(m_self);
  std::ranges::sort(m_view.m_records, {}, &InstanceRecord::m_id);
  m_viewStale = false;
  return m_view;
}

Membership::NewestGeneration
Membership::FindNewestGeneration() const
{
  NewestGeneration newest{ m_self.m_generation, InstanceId() };
  for (const auto& [id, peer] : m_peers) {
    const bool live = peer.m_record.m_state != InstanceState::kDead;
    if (live && peer.m_record.m_generation > newest.m_generation) {
      newest = { peer.m_record.m_generation, id };
    }
  }
  return newest;
}

void
Membership::HandleLeaseExpiry(TimePoint aNow)
{
  if (!StateAllowsLease() || aNow < LeaseUntil()) {
    return;
  }
  if (m_self.m_state == InstanceState::kLeaving) {
    SetSelfState(InstanceState::kDead, aNow);
    return;
  }
  StartNewIncarnation(m_self.m_incarnation, aNow);
}

void
Membership::StartNewIncarnation(BootId aSeenIncarnation, TimePoint aNow)
{
  ChangeSelf([&](InstanceRecord& aSelf) {
    aSelf.m_incarnation = std::max(aSelf.m_incarnation, aSeenIncarnation) + 1;
    aSelf.m_state = InstanceState::kJoining;
    aSelf.m_monitorEpoch = 0;
    aSelf.m_changingMonitors = false;
    aSelf.m_monitors.clear();
    aSelf.m_previousMonitors.clear();
  });
  m_joinedAt = aNow;
  m_nextHeartbeat = aNow;
  m_nextTick = aNow;
  m_watches.clear();
  for (auto& [id, peer] : m_peers) {
    ClearAcks(peer);
  }
  OnMembersChanged();
}

void
Membership::ClearAcks(Peer& aPeer)
{
  aPeer.m_ackedPingAt = TimePoint::min();
  aPeer.m_knownEpoch = 0;
  aPeer.m_suspectedEpoch = 0;
}

void
Membership::ActivateIfLeased(TimePoint aNow)
{
  if (m_self.m_state != InstanceState::kJoining) {
    return;
  }
  const bool leased =
    m_self.m_monitors.empty() ? CanRunAlone(aNow) : aNow < LeaseUntil();
  if (!leased) {
    return;
  }
  ChangeSelf(
    [](InstanceRecord& aSelf) { aSelf.m_state = InstanceState::kActive; });
  m_lastTick = aNow;
  OnMembersChanged();
}

bool
Membership::CanRunAlone(TimePoint aNow) const
{
  const bool waited = aNow - m_joinedAt >= m_settings.m_joinDelay &&
                      m_listReceivedAt > m_joinedAt;
  if (!waited) {
    return false;
  }
  const bool hasLivePeer =
    std::ranges::any_of(m_peers, [&](const auto& aEntry) {
      const InstanceRecord& record = aEntry.second.m_record;
      return record.m_region == m_self.m_region &&
             record.m_state != InstanceState::kDead;
    });
  const bool listed = std::ranges::any_of(m_seeds, [&](const auto& aEntry) {
    const ListedInstance& seed = aEntry.second;
    const auto peer = m_peers.find(aEntry.first);
    const bool hasEnded = seed.m_leaving && peer != m_peers.end() &&
                          peer->second.m_record.m_state == InstanceState::kDead;
    return seed.m_region == m_self.m_region && !hasEnded;
  });
  return !hasLivePeer && !listed;
}

} // namespace ebonykeel
