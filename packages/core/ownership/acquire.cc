// How an upstream changes its owner: the responses to acquire requests, and how
// the requester processes them.
#include <algorithm>

#include "core/ownership/ownership_manager.h"

namespace ebonykeel {
namespace {

constexpr size_t kMaxContacts = 8;

} // namespace

bool
OwnershipManager::IsDeadOrSuperseded(const InstanceRef& aRef) const
{
  const auto found = m_records.find(aRef.m_id);
  if (found == m_records.end()) {
    return false;
  }
  const InstanceRecord& record = found->second;
  return record.m_incarnation > aRef.m_incarnation ||
         (record.m_incarnation == aRef.m_incarnation &&
          record.m_state == InstanceState::kDead);
}

std::vector<OwnershipManager::Contact>
OwnershipManager::MissingResponses(const Entry& aEntry, TimePoint aNow) const
{
  std::vector<Contact> missing;
  const auto require = [&](const InstanceRef& aRef,
                           const std::string& aAddress) {
    const bool known =
      std::ranges::find(missing, aRef, &Contact::m_instance) != missing.end();
    if (!known && aRef.m_id != m_self && !aEntry.m_responded.contains(aRef) &&
        !IsDeadOrSuperseded(aRef)) {
      missing.push_back({ .m_instance = aRef, .m_peerAddress = aAddress });
    }
  };
  for (const Contact& contact : aEntry.m_contacts) {
    require(contact.m_instance, contact.m_peerAddress);
  }
  if (aEntry.m_released) {
    return missing;
  }
  // A joining instance may have become active meanwhile. If it does not respond
  // in time, it is assumed never to have become active.
  const bool joiningTimedOut =
    aNow - aEntry.m_attemptStartedAt >= m_settings.m_joiningTimeout;
  const auto region = m_regionOf.find(aEntry.m_dataCentre);
  const Region& upstreamRegion =
    region == m_regionOf.end() ? m_region : region->second;
  for (const auto& [id, record] : m_records) {
    const bool canHold = record.m_state == InstanceState::kJoining
                           ? !joiningTimedOut
                           : record.m_state != InstanceState::kDead;
    const bool relevant = record.m_region == m_region ||
                          record.m_region == upstreamRegion ||
                          id == aEntry.m_formerOwner;
    if (canHold && relevant) {
      require({ id, record.m_incarnation }, record.m_peerAddress);
    }
  }
  return missing;
}

void
OwnershipManager::RememberContact(Entry& aEntry, const Contact& aContact)
{
  const auto known =
    std::ranges::find_if(aEntry.m_contacts, [&](const Contact& aKnown) {
      return aKnown.m_instance.m_id == aContact.m_instance.m_id;
    });
  if (known != aEntry.m_contacts.end()) {
    if (known->m_instance.m_incarnation > aContact.m_instance.m_incarnation) {
      return;
    }
    aEntry.m_contacts.erase(known);
  }
  aEntry.m_contacts.push_back(aContact);
  if (aEntry.m_contacts.size() > kMaxContacts) {
    aEntry.m_contacts.erase(aEntry.m_contacts.begin());
  }
}

void
OwnershipManager::RemoveExpiredContacts(Entry& aEntry, TimePoint aNow) const
{
  std::erase_if(aEntry.m_contacts, [&](const Contact& aContact) {
    return aNow - aContact.m_seenAt >= m_settings.m_requesterRetention ||
           IsDeadOrSuperseded(aContact.m_instance);
  });
}

AcquireResponse
OwnershipManager::OnAcquire(const AcquireRequest& aRequest, TimePoint aNow)
{
  AcquireResponse response{ .m_responder = { m_self, m_incarnation },
                            .m_requesterIncarnation =
                              aRequest.m_requester.m_incarnation,
                            .m_viewVersion = m_viewVersion };
  for (const AcquireRequestItem& item : aRequest.m_items) {
    response.m_items.push_back(MakeResponseItem(aRequest, item, aNow));
  }
  return response;
}

AcquireResponseItem
OwnershipManager::MakeResponseItem(const AcquireRequest& aRequest,
                                   const AcquireRequestItem& aItem,
                                   TimePoint aNow)
{
  if (IsDeadOrSuperseded(aRequest.m_requester)) {
    // The requester will learn that it was superseded or declared dead, and
    // repeat the request.
    return { .m_upstream = aItem.m_upstream,
             .m_attempt = aItem.m_attempt,
             .m_outcome = AcquireOutcome::kRefused };
  }
  Entry& entry = m_entries[aItem.m_upstream];
  const uint64_t epochBefore = entry.m_epoch;
  AcquireResponseItem responseItem{ .m_upstream = aItem.m_upstream,
                                    .m_attempt = aItem.m_attempt,
                                    .m_outcome =
                                      DecideOutcome(entry, aRequest, aItem) };
  entry.m_epoch = std::max(entry.m_epoch, aItem.m_epoch);
  responseItem.m_epoch = responseItem.m_outcome == AcquireOutcome::kReleased
                           ? std::max(epochBefore, aItem.m_epoch)
                           : entry.m_epoch;
  responseItem.m_inFlight = entry.m_inFlight;
  // Without a request in flight, m_latestDeadline may be TimePoint::min(), and
  // the subtraction would overflow.
  if (entry.m_inFlight > 0) {
    responseItem.m_remaining =
      std::max(Duration{}, entry.m_latestDeadline - aNow);
  }
  responseItem.m_coldStartState = entry.m_coldStartState;
  RemoveExpiredContacts(entry, aNow);
  for (const Contact& contact : entry.m_contacts) {
    if (contact.m_instance.m_id != aRequest.m_requester.m_id) {
      responseItem.m_otherRequesters.push_back(
        { .m_instance = contact.m_instance,
          .m_peerAddress = contact.m_peerAddress,
          .m_age = aNow - contact.m_seenAt });
    }
  }
  RememberContact(entry,
                  { .m_instance = aRequest.m_requester,
                    .m_peerAddress = aRequest.m_requesterPeerAddress,
                    .m_seenAt = aNow });
  return responseItem;
}

AcquireOutcome
OwnershipManager::DecideOutcome(Entry& aEntry,
                                const AcquireRequest& aRequest,
                                const AcquireRequestItem& aItem) const
{
  const bool ownedHere =
    m_active && m_owners->OwnerOf(aItem.m_upstream) == m_self;
  if (ownedHere && (aEntry.m_held || aEntry.m_wanted)) {
    return AcquireOutcome::kRefused;
  }
  CancelAttempt(aEntry);
  if (aEntry.m_held) {
    aEntry.m_held = false;
    aEntry.m_releasedTo = aRequest.m_requester;
    aEntry.m_releasedToEpoch = aEntry.m_heldEpoch;
    return AcquireOutcome::kReleased;
  }
  const bool alreadyReleased = aEntry.m_releasedTo == aRequest.m_requester &&
                               aItem.m_heldEpoch <= aEntry.m_releasedToEpoch;
  if (alreadyReleased) {
    return AcquireOutcome::kReleased;
  }
  aEntry.m_releasedTo = InstanceRef();
  return AcquireOutcome::kNotHeld;
}

void
OwnershipManager::OnResponse(const AcquireResponse& aResponse, TimePoint aNow)
{
  if (aResponse.m_requesterIncarnation != m_incarnation) {
    return;
  }
  for (const AcquireResponseItem& item : aResponse.m_items) {
    HandleResponseItem(aResponse, item, aNow);
  }
}

void
OwnershipManager::HandleResponseItem(const AcquireResponse& aResponse,
                                     const AcquireResponseItem& aItem,
                                     TimePoint aNow)
{
  const auto found = m_entries.find(aItem.m_upstream);
  if (found == m_entries.end() || found->second.m_attempt != aItem.m_attempt) {
    return;
  }
  Entry& entry = found->second;
  if (entry.m_held) {
    // The predecessor reports its requests in flight.
    if (aResponse.m_responder == entry.m_releasedBy) {
      entry.m_predecessorInFlight = aItem.m_inFlight;
      const uint32_t reserved = std::min(aItem.m_inFlight, entry.m_slots);
      entry.m_rampSlots = entry.m_slots - reserved;
    }
    return;
  }
  entry.m_epoch = std::max(entry.m_epoch, aItem.m_epoch);
  for (const OtherRequester& other : aItem.m_otherRequesters) {
    const bool known =
      std::ranges::any_of(entry.m_contacts, [&](const Contact& aContact) {
        return aContact.m_instance.m_id == other.m_instance.m_id &&
               aContact.m_instance.m_incarnation >=
                 other.m_instance.m_incarnation;
      });
    if (!known && other.m_instance.m_id != m_self) {
      RememberContact(entry,
                      { .m_instance = other.m_instance,
                        .m_peerAddress = other.m_peerAddress,
                        .m_seenAt = aNow - other.m_age });
      entry.m_nextRequestAt = aNow;
    }
  }
  if (aItem.m_outcome == AcquireOutcome::kRefused) {
    return;
  }
  entry.m_responded.insert(aResponse.m_responder);
  if (aItem.m_outcome == AcquireOutcome::kReleased) {
    entry.m_released = true;
    entry.m_releasedBy = aResponse.m_responder;
    entry.m_predecessorInFlight = aItem.m_inFlight;
    entry.m_predecessorDeadline = aNow + aItem.m_remaining;
    entry.m_coldStartState = aItem.m_coldStartState;
  }
  if (entry.m_wanted && MissingResponses(entry, aNow).empty()) {
    StartHolding(entry, aNow);
  }
}

} // namespace ebonykeel
