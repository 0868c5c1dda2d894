#include "core/ownership/ownership_manager.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {
namespace {

// How long a handover notice keeps an upstream wanted until the view names this
// instance as its owner.
constexpr Duration kHandOverNoticeTtl = Seconds(5);

} // namespace

std::string_view
OwnershipStateName(OwnershipState aState)
{
  switch (aState) {
    case OwnershipState::kReleased:
      return "released";
    case OwnershipState::kAcquiring:
      return "acquiring";
    case OwnershipState::kRamping:
      return "ramping";
    case OwnershipState::kHeld:
      return "held";
  }
  return "unknown";
}

std::string_view
AcquireOutcomeName(AcquireOutcome aOutcome)
{
  switch (aOutcome) {
    case AcquireOutcome::kNotHeld:
      return "not-held";
    case AcquireOutcome::kReleased:
      return "released";
    case AcquireOutcome::kRefused:
      return "refused";
  }
  return "unknown";
}

OwnershipManager::OwnershipManager(OwnershipSettings aSettings,
                                   InstanceId aSelf)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_owners(std::make_shared<const OwnerMap>())
{
}

void
OwnershipManager::OnView(std::shared_ptr<const OwnerMap> aOwners,
                         const MembershipView& aView,
                         const Configuration& aConfiguration,
                         TimePoint aNow)
{
  const InstanceRecord* self = aView.Find(m_self);
  if (self == nullptr) {
    return;
  }
  if (self->m_incarnation != m_incarnation) {
    ReleaseAll();
    m_incarnation = self->m_incarnation;
  }
  m_active = self->m_state == InstanceState::kActive;
  m_region = self->m_region;
  m_peerAddress = self->m_peerAddress;
  m_viewVersion = aView.m_version;
  m_records.clear();
  for (const InstanceRecord& record : aView.m_records) {
    m_records.emplace(record.m_id, record);
    m_regionOf[record.m_dataCentre] = record.m_region;
  }
  m_generation = aConfiguration.m_generation;
  const std::shared_ptr<const OwnerMap> formerOwners =
    std::exchange(m_owners, std::move(aOwners));
  UpdateEntries(*formerOwners, aConfiguration, aNow);
}

void
OwnershipManager::UpdateEntries(const OwnerMap& aFormerOwners,
                                const Configuration& aConfiguration,
                                TimePoint aNow)
{
  std::set<UpstreamId> configured;
  for (const ServiceConfig& service : aConfiguration.m_services) {
    for (const ShardConfig& shard : service.m_shards) {
      for (const UpstreamConfig& upstream : shard.m_replicas) {
        configured.insert(upstream.m_id);
        Entry& entry = m_entries[upstream.m_id];
        entry.m_slots = service.m_slots;
        entry.m_dataCentre = upstream.m_dataCentre;
        entry.m_maxDeadline = service.m_deadline;
        const InstanceId& formerOwner = aFormerOwners.OwnerOf(upstream.m_id);
        if (!formerOwner.empty() &&
            formerOwner != m_owners->OwnerOf(upstream.m_id)) {
          entry.m_formerOwner = formerOwner;
        }
        UpdateWanted(upstream.m_id, entry, aNow);
      }
    }
  }
  for (auto& [id, entry] : m_entries) {
    if (!configured.contains(id)) {
      entry.m_held = false;
      CancelAttempt(entry);
    }
  }
}

void
OwnershipManager::UpdateWanted(const UpstreamId& aId,
                               Entry& aEntry,
                               TimePoint aNow)
{
  const bool named = m_owners->OwnerOf(aId) == m_self;
  const bool wanted = m_active && (named || aNow < aEntry.m_noticeExpiresAt);
  if (wanted == aEntry.m_wanted) {
    return;
  }
  if (!wanted) {
    CancelAttempt(aEntry);
    return;
  }
  aEntry.m_wanted = true;
  StartAttempt(aEntry, aNow);
}

void
OwnershipManager::ReleaseAll()
{
  for (auto& [id, entry] : m_entries) {
    entry.m_held = false;
    entry.m_releasedTo = InstanceRef();
    CancelAttempt(entry);
  }
}

void
OwnershipManager::StartAttempt(Entry& aEntry, TimePoint aNow) const
{
  ++aEntry.m_attempt;
  aEntry.m_attemptStartedAt = aNow;
  aEntry.m_nextRequestAt = aNow;
  aEntry.m_responded.clear();
  aEntry.m_released = false;
}

void
OwnershipManager::CancelAttempt(Entry& aEntry)
{
  ++aEntry.m_attempt;
  aEntry.m_wanted = false;
  aEntry.m_responded.clear();
  aEntry.m_released = false;
}

std::vector<AcquireAction>
OwnershipManager::Tick(TimePoint aNow)
{
  RequestMap requests;
  for (auto& [id, entry] : m_entries) {
    UpdateWanted(id, entry, aNow);
    if (entry.m_held) {
      PollPredecessor(id, entry, aNow, requests);
    } else if (entry.m_wanted) {
      RequestOrStart(id, entry, aNow, requests);
    }
  }
  std::vector<AcquireAction> actions;
  actions.reserve(requests.size());
  for (auto& [target, action] : requests) {
    actions.push_back(std::move(action));
  }
  return actions;
}

void
OwnershipManager::RequestOrStart(const UpstreamId& aId,
                                 Entry& aEntry,
                                 TimePoint aNow,
                                 RequestMap& aRequests)
{
  RemoveExpiredContacts(aEntry, aNow);
  if (aNow - aEntry.m_attemptStartedAt >= m_settings.m_attemptTimeout) {
    StartAttempt(aEntry, aNow);
  }
  const std::vector<Contact> missing = MissingResponses(aEntry, aNow);
  if (missing.empty()) {
    StartHolding(aEntry, aNow);
    PollPredecessor(aId, aEntry, aNow, aRequests);
    return;
  }
  if (aNow < aEntry.m_nextRequestAt) {
    return;
  }
  aEntry.m_nextRequestAt = aNow + m_settings.m_requestInterval;
  for (const Contact& contact : missing) {
    AddRequest(aId, aEntry, contact, aRequests);
  }
}

void
OwnershipManager::PollPredecessor(const UpstreamId& aId,
                                  Entry& aEntry,
                                  TimePoint aNow,
                                  RequestMap& aRequests) const
{
  const bool due = aEntry.m_released && aEntry.m_predecessorInFlight > 0 &&
                   aNow < aEntry.m_rampUntil && aNow >= aEntry.m_nextRequestAt;
  const auto record = m_records.find(aEntry.m_releasedBy.m_id);
  if (!due || record == m_records.end()) {
    return;
  }
  aEntry.m_nextRequestAt = aNow + m_settings.m_pollInterval;
  AddRequest(aId,
             aEntry,
             { .m_instance = aEntry.m_releasedBy,
               .m_peerAddress = record->second.m_peerAddress },
             aRequests);
}

void
OwnershipManager::AddRequest(const UpstreamId& aId,
                             const Entry& aEntry,
                             const Contact& aTarget,
                             RequestMap& aRequests) const
{
  AcquireAction& action = aRequests[aTarget.m_instance.m_id];
  action.m_target = aTarget.m_instance.m_id;
  action.m_peerAddress = aTarget.m_peerAddress;
  action.m_request.m_requester = { m_self, m_incarnation };
  action.m_request.m_requesterPeerAddress = m_peerAddress;
  action.m_request.m_viewVersion = m_viewVersion;
  action.m_request.m_generation = m_generation;
  action.m_request.m_items.push_back({ .m_upstream = aId,
                                       .m_attempt = aEntry.m_attempt,
                                       .m_epoch = aEntry.m_epoch,
                                       .m_heldEpoch = aEntry.m_heldEpoch });
}

void
OwnershipManager::StartHolding(Entry& aEntry, TimePoint aNow) const
{
  aEntry.m_held = true;
  ++aEntry.m_epoch;
  aEntry.m_heldEpoch = aEntry.m_epoch;
  aEntry.m_releasedTo = InstanceRef();
  aEntry.m_nextRequestAt = aNow;
  if (!aEntry.m_released) {
    aEntry.m_rampSlots = std::min(m_settings.m_rampSlots, aEntry.m_slots);
    aEntry.m_rampUntil = aNow + aEntry.m_maxDeadline;
    return;
  }
  const uint32_t reserved =
    std::min(aEntry.m_predecessorInFlight, aEntry.m_slots);
  aEntry.m_rampSlots = aEntry.m_slots - reserved;
  aEntry.m_rampUntil =
    reserved == 0 ? TimePoint::min() : aEntry.m_predecessorDeadline;
}

std::vector<HandOverAction>
OwnershipManager::MakeHandOverNotices() const
{
  std::map<InstanceId, HandOverAction> notices;
  for (const auto& [id, entry] : m_entries) {
    const InstanceId& successor = m_owners->OwnerOf(id);
    const auto record = m_records.find(successor);
    if (!entry.m_held || successor == m_self || record == m_records.end()) {
      continue;
    }
    HandOverAction& action = notices[successor];
    action.m_target = successor;
    action.m_peerAddress = record->second.m_peerAddress;
    action.m_notice.m_sender = { m_self, m_incarnation };
    action.m_notice.m_senderPeerAddress = m_peerAddress;
    action.m_notice.m_upstreams.push_back(id);
  }
  std::vector<HandOverAction> actions;
  actions.reserve(notices.size());
  for (auto& [target, action] : notices) {
    actions.push_back(std::move(action));
  }
  return actions;
}

void
OwnershipManager::OnHandOver(const HandOverNotice& aNotice, TimePoint aNow)
{
  for (const UpstreamId& id : aNotice.m_upstreams) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      continue;
    }
    Entry& entry = found->second;
    entry.m_noticeExpiresAt = aNow + kHandOverNoticeTtl;
    RememberContact(entry,
                    { .m_instance = aNotice.m_sender,
                      .m_peerAddress = aNotice.m_senderPeerAddress,
                      .m_seenAt = aNow });
    UpdateWanted(id, entry, aNow);
  }
}

uint32_t
OwnershipManager::AllowedSlots(const UpstreamId& aUpstream,
                               const Lease& aLease,
                               TimePoint aNow) const
{
  const auto found = m_entries.find(aUpstream);
  if (found == m_entries.end() || !found->second.m_held ||
      aLease.m_incarnation != m_incarnation || aNow >= aLease.m_until) {
    return 0;
  }
  const Entry& entry = found->second;
  return aNow < entry.m_rampUntil ? entry.m_rampSlots : entry.m_slots;
}

uint32_t
OwnershipManager::PredecessorWork(const UpstreamId& aUpstream,
                                  TimePoint aNow) const
{
  const auto found = m_entries.find(aUpstream);
  if (found == m_entries.end() || !found->second.m_held ||
      aNow >= found->second.m_rampUntil) {
    return 0;
  }
  const Entry& entry = found->second;
  return entry.m_slots - std::min(entry.m_slots, entry.m_rampSlots);
}

void
OwnershipManager::OnSent(const UpstreamId& aUpstream, TimePoint aDeadline)
{
  Entry& entry = m_entries[aUpstream];
  ++entry.m_inFlight;
  entry.m_latestDeadline = std::max(entry.m_latestDeadline, aDeadline);
}

void
OwnershipManager::OnFinished(const UpstreamId& aUpstream)
{
  const auto found = m_entries.find(aUpstream);
  if (found != m_entries.end() && found->second.m_inFlight > 0) {
    --found->second.m_inFlight;
  }
}

uint32_t
OwnershipManager::InFlight(const UpstreamId& aUpstream) const
{
  const auto found = m_entries.find(aUpstream);
  return found == m_entries.end() ? 0 : found->second.m_inFlight;
}

uint64_t
OwnershipManager::EpochOf(const UpstreamId& aUpstream) const
{
  const auto found = m_entries.find(aUpstream);
  return found == m_entries.end() ? 0 : found->second.m_epoch;
}

OwnershipState
OwnershipManager::StateOf(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const auto found = m_entries.find(aUpstream);
  if (found == m_entries.end()) {
    return OwnershipState::kReleased;
  }
  const Entry& entry = found->second;
  if (entry.m_held) {
    return aNow < entry.m_rampUntil ? OwnershipState::kRamping
                                    : OwnershipState::kHeld;
  }
  return entry.m_wanted ? OwnershipState::kAcquiring
                        : OwnershipState::kReleased;
}

void
OwnershipManager::SetColdStartState(const UpstreamId& aUpstream,
                                    const ColdStartState& aColdStartState)
{
  m_entries[aUpstream].m_coldStartState = aColdStartState;
}

ColdStartState
OwnershipManager::ColdStartStateOf(const UpstreamId& aUpstream) const
{
  const auto found = m_entries.find(aUpstream);
  return found == m_entries.end() ? ColdStartState()
                                  : found->second.m_coldStartState;
}

TimePoint
OwnershipManager::NextTick() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [id, entry] : m_entries) {
    const bool pollsPredecessor = entry.m_held && entry.m_released &&
                                  entry.m_predecessorInFlight > 0 &&
                                  entry.m_nextRequestAt < entry.m_rampUntil;
    if (pollsPredecessor || (entry.m_wanted && !entry.m_held)) {
      next = std::min(next, entry.m_nextRequestAt);
    }
  }
  return next;
}

} // namespace ebonykeel
