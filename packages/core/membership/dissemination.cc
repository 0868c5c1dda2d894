// Dissemination of records, suspicions and statuses. Each update is sent with
// O(log n) messages, and views that still differ are compared part by part.
#include <algorithm>
#include <bit>

#include "absl/random/distributions.h"

#include "core/base/stable_hash.h"
#include "core/membership/membership.h"

namespace ebonykeel {
namespace {

constexpr size_t kMaxRecordUpdates = 6;
constexpr size_t kMaxSuspicionUpdates = 8;
constexpr size_t kMaxStatusUpdates = 8;
constexpr size_t kMaxDifferingRecords = 16;
constexpr size_t kMaxSeedsPinged = 3;
constexpr size_t kMaxRequestedPings = 4;
constexpr uint32_t kExtraTransmissions = 3;
constexpr uint32_t kStatusTransmissions = 4;

size_t
PartOf(const InstanceId& aId)
{
  return StableHash(aId.View()) % Membership::kDigestParts;
}

// Returns whether `aRecord` announces that an instance stops, which the whole
// fleet should learn soon.
bool
IsUrgent(const InstanceRecord& aRecord)
{
  return aRecord.m_state == InstanceState::kLeaving ||
         aRecord.m_state == InstanceState::kDead;
}

// Returns the keys of the up to `aLimit` updates that are to be sent most often
// still, and counts one transmission of each.
template<typename Key>
std::vector<Key>
TakePendingUpdates(std::map<Key, uint32_t>& aPending, size_t aLimit)
{
  std::vector<std::pair<uint32_t, Key>> byCount;
  byCount.reserve(aPending.size());
  for (const auto& [key, count] : aPending) {
    byCount.emplace_back(count, key);
  }
  const size_t limit = std::min(aLimit, byCount.size());
  std::ranges::partial_sort(byCount, byCount.begin() + limit, std::greater<>());
  std::vector<Key> keys;
  for (const auto& [count, key] : std::span(byCount).first(limit)) {
    keys.push_back(key);
    if (--aPending[key] == 0) {
      aPending.erase(key);
    }
  }
  return keys;
}

} // namespace

uint64_t
Membership::Digest() const
{
  uint64_t digest = 0;
  for (const uint64_t part : m_partDigests) {
    digest = MixBits(digest ^ part);
  }
  return digest;
}

void
Membership::ToggleDigest(const InstanceRecord& aRecord)
{
  if (aRecord.m_state == InstanceState::kDead) {
    return;
  }
  const uint64_t hash = StableHash(
    aRecord.m_id.View(), MixBits(aRecord.m_incarnation) ^ aRecord.m_sequence);
  m_partDigests[PartOf(aRecord.m_id)] ^= hash;
}

uint32_t
Membership::TransmissionCount() const
{
  return std::bit_width(m_peers.size() + 1) / 2 + kExtraTransmissions;
}

void
Membership::QueueRecordUpdate(const InstanceId& aId)
{
  m_pendingRecords[aId] = TransmissionCount();
}

void
Membership::OnMembersChanged()
{
  ++m_viewVersion;
  m_viewStale = true;
  m_membersChanged = true;
}

void
Membership::ChangeSelf(const std::function<void(InstanceRecord&)>& aChange)
{
  ToggleDigest(m_self);
  aChange(m_self);
  ++m_self.m_sequence;
  ToggleDigest(m_self);
  QueueRecordUpdate(m_self.m_id);
  m_viewStale = true;
}

const InstanceRecord*
Membership::FindRecord(const InstanceId& aId) const
{
  if (aId == m_self.m_id) {
    return &m_self;
  }
  const auto found = m_peers.find(aId);
  return found == m_peers.end() ? nullptr : &found->second.m_record;
}

Gossip
Membership::MakeGossip(const Peer* aPeer)
{
  Gossip gossip{ .m_sender = { m_self.m_id, m_self.m_incarnation },
                 .m_senderSequence = m_self.m_sequence,
                 .m_senderState = m_self.m_state,
                 .m_statusSequence = m_self.m_statusSequence,
                 .m_generation = m_self.m_generation,
                 .m_load = m_self.m_load,
                 .m_digest = Digest() };
  if (aPeer != nullptr) {
    const InstanceRecord& record = aPeer->m_record;
    gossip.m_ackedIncarnation = record.m_incarnation;
    gossip.m_knownSequence = record.m_sequence;
    gossip.m_knownEpoch = record.m_monitorEpoch;
    const auto watch = m_watches.find(record.m_id);
    if (watch != m_watches.end()) {
      gossip.m_suspectedEpoch = watch->second.m_suspectedEpoch;
    }
  }
  const bool receiverHasCurrentRecord =
    aPeer != nullptr && aPeer->m_ackIncarnation == m_self.m_incarnation &&
    aPeer->m_knownSequence >= m_self.m_sequence;
  if (!receiverHasCurrentRecord) {
    gossip.m_records.push_back(m_self);
  }
  // An instance that was declared dead needs the record to refute it.
  if (aPeer != nullptr && aPeer->m_record.m_state == InstanceState::kDead) {
    gossip.m_records.push_back(aPeer->m_record);
  }
  AddPendingUpdates(gossip);
  return gossip;
}

void
Membership::AddPendingUpdates(Gossip& aGossip)
{
  for (const InstanceId& id :
       TakePendingUpdates(m_pendingRecords, kMaxRecordUpdates)) {
    AddRecord(aGossip, id);
  }
  for (const auto& [target, monitor] :
       TakePendingUpdates(m_pendingSuspicions, kMaxSuspicionUpdates)) {
    const auto votes = m_suspicions.find(target);
    if (votes != m_suspicions.end() && votes->second.contains(monitor)) {
      aGossip.m_suspicions.push_back(votes->second.at(monitor));
    }
  }
  for (const InstanceId& id :
       TakePendingUpdates(m_pendingStatuses, kMaxStatusUpdates)) {
    const InstanceRecord* record = FindRecord(id);
    if (record != nullptr) {
      aGossip.m_statuses.push_back(
        { .m_instance = { id, record->m_incarnation },
          .m_statusSequence = record->m_statusSequence,
          .m_generation = record->m_generation,
          .m_load = record->m_load });
    }
  }
}

void
Membership::AddRecord(Gossip& aGossip, const InstanceId& aId) const
{
  const InstanceRecord* record = FindRecord(aId);
  const bool present =
    std::ranges::find(aGossip.m_records, aId, &InstanceRecord::m_id) !=
    aGossip.m_records.end();
  if (record != nullptr && !present) {
    aGossip.m_records.push_back(*record);
  }
}

bool
Membership::ShouldSync(InstanceState aOtherState) const
{
  // Views are expected to differ while updates are being disseminated.
  return m_pendingRecords.empty() || aOtherState == InstanceState::kJoining ||
         m_self.m_state == InstanceState::kJoining;
}

void
Membership::AddDifferingRecords(Gossip& aGossip,
                                std::span<const uint64_t> aOtherParts)
{
  aGossip.m_partDigests = m_partDigests;
  if (aOtherParts.size() != m_partDigests.size()) {
    return;
  }
  std::vector<InstanceId> differing;
  const auto consider = [&](const InstanceId& aId) {
    const size_t part = PartOf(aId);
    if (m_partDigests[part] != aOtherParts[part]) {
      differing.push_back(aId);
    }
  };
  consider(m_self.m_id);
  for (const auto& [id, peer] : m_peers) {
    consider(id);
  }
  // Start at a random record, so that repeated messages cover all of them.
  if (differing.size() > kMaxDifferingRecords) {
    const size_t start = absl::Uniform<size_t>(m_bitGen, 0, differing.size());
    const auto middle = differing.begin() + static_cast<std::ptrdiff_t>(start);
    std::rotate(differing.begin(), middle, differing.end());
    differing.resize(kMaxDifferingRecords);
  }
  for (const InstanceId& id : differing) {
    AddRecord(aGossip, id);
  }
}

void
Membership::ApplyGossip(const Gossip& aGossip, TimePoint aNow)
{
  // Records that repair a difference between two views are new to few
  // instances, so they are not disseminated further.
  const bool disseminate = aGossip.m_partDigests.empty();
  for (const InstanceRecord& record : aGossip.m_records) {
    ApplyRecord(record, disseminate, aNow);
  }
  ApplyStatus({ .m_instance = aGossip.m_sender,
                .m_statusSequence = aGossip.m_statusSequence,
                .m_generation = aGossip.m_generation,
                .m_load = aGossip.m_load });
  for (const StatusUpdate& status : aGossip.m_statuses) {
    ApplyStatus(status);
  }
  for (const Suspicion& suspicion : aGossip.m_suspicions) {
    AddSuspicion(suspicion);
  }
  const auto found = m_peers.find(aGossip.m_sender.m_id);
  if (found != m_peers.end()) {
    Peer& peer = found->second;
    peer.m_ackIncarnation = aGossip.m_ackedIncarnation;
    peer.m_knownSequence = aGossip.m_knownSequence;
    peer.m_avoidUntil = TimePoint::min();
  }
  DeclareDeadByVotes(aNow);
}

void
Membership::ApplyRecord(const InstanceRecord& aRecord,
                        bool aDisseminate,
                        TimePoint aNow)
{
  if (aRecord.m_id == m_self.m_id) {
    RefuteOwnRecord(aRecord, aNow);
    return;
  }
  const auto found = m_peers.find(aRecord.m_id);
  if (found == m_peers.end()) {
    if (aRecord.m_state == InstanceState::kDead) {
      return;
    }
    m_peers[aRecord.m_id] = Peer{ .m_record = aRecord, .m_changedAt = aNow };
    OnMembersChanged();
  } else {
    if (!IsNewer(aRecord, found->second.m_record)) {
      return;
    }
    ReplaceRecord(found->second, aRecord, aNow);
  }
  ToggleDigest(aRecord);
  if (aDisseminate || IsUrgent(aRecord)) {
    QueueRecordUpdate(aRecord.m_id);
  }
  m_viewStale = true;
  UpdateWatch(aRecord, aNow);
}

void
Membership::ReplaceRecord(Peer& aPeer,
                          const InstanceRecord& aRecord,
                          TimePoint aNow)
{
  const InstanceRecord old = std::move(aPeer.m_record);
  ToggleDigest(old);
  aPeer.m_record = aRecord;
  const bool newIncarnation = old.m_incarnation != aRecord.m_incarnation;
  if (!newIncarnation && old.m_statusSequence > aRecord.m_statusSequence) {
    aPeer.m_record.m_statusSequence = old.m_statusSequence;
    aPeer.m_record.m_generation = old.m_generation;
    aPeer.m_record.m_load = old.m_load;
  }
  if (newIncarnation) {
    ClearAcks(aPeer);
    aPeer.m_consecutiveFailures = 0;
    aPeer.m_avoidUntil = TimePoint::min();
  }
  if (newIncarnation || aRecord.m_state == InstanceState::kDead) {
    m_suspicions.erase(aRecord.m_id);
  }
  if (newIncarnation || old.m_state != aRecord.m_state) {
    aPeer.m_changedAt = aNow;
    OnMembersChanged();
  }
}

void
Membership::RefuteOwnRecord(const InstanceRecord& aRecord, TimePoint aNow)
{
  if (m_self.m_state == InstanceState::kDead) {
    return;
  }
  const bool newer = std::pair(aRecord.m_incarnation, aRecord.m_sequence) >
                     std::pair(m_self.m_incarnation, m_self.m_sequence);
  const bool dead = aRecord.m_incarnation == m_self.m_incarnation &&
                    aRecord.m_state == InstanceState::kDead;
  if (newer || dead) {
    StartNewIncarnation(aRecord.m_incarnation, aNow);
  }
}

void
Membership::ApplyStatus(const StatusUpdate& aStatus)
{
  const auto found = m_peers.find(aStatus.m_instance.m_id);
  if (found == m_peers.end()) {
    return;
  }
  InstanceRecord& record = found->second.m_record;
  if (record.m_incarnation != aStatus.m_instance.m_incarnation ||
      record.m_statusSequence >= aStatus.m_statusSequence) {
    return;
  }
  if (record.m_generation != aStatus.m_generation) {
    m_pendingStatuses[record.m_id] = kStatusTransmissions;
  }
  record.m_statusSequence = aStatus.m_statusSequence;
  record.m_generation = aStatus.m_generation;
  record.m_load = aStatus.m_load;
  m_viewStale = true;
}

void
Membership::PingPeer(const InstanceId& aId,
                     Peer& aPeer,
                     std::vector<PingAction>& aActions)
{
  const bool alreadyPinged =
    std::ranges::find(aActions, aId, &PingAction::m_target) != aActions.end();
  if (alreadyPinged) {
    return;
  }
  PingAction action{ .m_target = aId,
                     .m_peerAddress = aPeer.m_record.m_peerAddress,
                     .m_gossip = MakeGossip(&aPeer) };
  if (!aPeer.m_partDigests.empty()) {
    AddDifferingRecords(action.m_gossip, aPeer.m_partDigests);
    aPeer.m_partDigests.clear();
  }
  aPeer.m_sentParts = !action.m_gossip.m_partDigests.empty();
  aPeer.m_pingRequested = false;
  aActions.push_back(std::move(action));
}

void
Membership::PingMonitors(std::vector<PingAction>& aActions)
{
  for (auto& [id, peer] : m_peers) {
    const InstanceRef ref{ id, peer.m_record.m_incarnation };
    if (IsMonitorOf(m_self, ref)) {
      PingPeer(id, peer, aActions);
    }
  }
}

void
Membership::PingRandom(std::vector<PingAction>& aActions)
{
  std::vector<InstanceId> others;
  for (const auto& [id, peer] : m_peers) {
    const InstanceRef ref{ id, peer.m_record.m_incarnation };
    if (peer.m_record.m_state != InstanceState::kDead &&
        !IsMonitorOf(m_self, ref)) {
      others.push_back(id);
    }
  }
  if (others.empty()) {
    return;
  }
  const size_t index = absl::Uniform<size_t>(m_bitGen, 0, others.size());
  PingPeer(others[index], m_peers.at(others[index]), aActions);
}

void
Membership::PingSeeds(std::vector<PingAction>& aActions)
{
  std::vector<InstanceId> notContacted;
  for (const auto& [id, seed] : m_seeds) {
    const auto peer = m_peers.find(id);
    if (peer == m_peers.end() ||
        peer->second.m_record.m_state == InstanceState::kDead) {
      notContacted.push_back(id);
    }
  }
  for (size_t count = 0; count < kMaxSeedsPinged && !notContacted.empty();
       ++count) {
    const size_t index =
      absl::Uniform<size_t>(m_bitGen, 0, notContacted.size());
    const InstanceId id = notContacted[index];
    notContacted.erase(notContacted.begin() +
                       static_cast<std::ptrdiff_t>(index));
    const auto peer = m_peers.find(id);
    aActions.push_back({ .m_target = id,
                         .m_peerAddress = m_seeds.at(id).m_peerAddress,
                         .m_gossip = MakeGossip(
                           peer == m_peers.end() ? nullptr : &peer->second) });
  }
}

void
Membership::PingRequestedPeers(std::vector<PingAction>& aActions)
{
  size_t count = 0;
  for (auto& [id, peer] : m_peers) {
    const bool due = peer.m_pingRequested && count < kMaxRequestedPings &&
                     peer.m_record.m_state != InstanceState::kDead;
    if (due) {
      PingPeer(id, peer, aActions);
      ++count;
    }
  }
}

TimePoint
Membership::NextRequestedPing(TimePoint aNow) const
{
  const bool requested = std::ranges::any_of(m_peers, [](const auto& aEntry) {
    return aEntry.second.m_pingRequested &&
           aEntry.second.m_record.m_state != InstanceState::kDead;
  });
  return requested ? aNow + kMinTickInterval : m_nextHeartbeat;
}

} // namespace ebonykeel
