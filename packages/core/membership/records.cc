#include "core/membership/records.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace ebonykeel {
namespace {

// Cap'n Proto's packed encoding has one tag byte for each word of eight bytes,
// followed by the non-zero bytes of the word.
constexpr size_t kWordBytes = 8;
constexpr size_t kPointerBytes = 5;

size_t
TextBytes(std::string_view aText)
{
  if (aText.empty()) {
    return 1;
  }
  const size_t words = aText.size() / kWordBytes + 1;
  return kPointerBytes + words + aText.size();
}

size_t
NumberBytes(uint64_t aNumber)
{
  const size_t bits = std::bit_width(aNumber);
  return 1 + (bits + 7) / 8;
}

// Returns the size of the overhead of a list of structs: its pointer and the
// tag word that describes the elements.
size_t
ListBytes(size_t aCount)
{
  return aCount == 0 ? 1 : kPointerBytes + 4;
}

size_t
RefBytes(const InstanceRef& aRef)
{
  return TextBytes(aRef.m_id.View()) + NumberBytes(aRef.m_incarnation);
}

size_t
RecordBytes(const InstanceRecord& aRecord)
{
  size_t bytes =
    TextBytes(aRecord.m_id.View()) + NumberBytes(aRecord.m_incarnation) +
    TextBytes(aRecord.m_publicAddress) + TextBytes(aRecord.m_adminAddress) +
    TextBytes(aRecord.m_peerAddress) + TextBytes(aRecord.m_dataCentre.View()) +
    TextBytes(aRecord.m_region.View()) + NumberBytes(aRecord.m_sequence) +
    NumberBytes(aRecord.m_statusSequence) + NumberBytes(aRecord.m_generation);
  // State, epoch, flag and load share two words.
  bytes += 2 + 9;
  bytes += ListBytes(aRecord.m_monitors.size());
  for (const InstanceRef& monitor : aRecord.m_monitors) {
    bytes += RefBytes(monitor);
  }
  bytes += ListBytes(aRecord.m_previousMonitors.size());
  for (const InstanceRef& monitor : aRecord.m_previousMonitors) {
    bytes += RefBytes(monitor);
  }
  return bytes;
}

size_t
SuspicionBytes(const Suspicion& aSuspicion)
{
  return RefBytes(aSuspicion.m_monitor) + RefBytes(aSuspicion.m_target) + 5;
}

size_t
StatusBytes(const StatusUpdate& aStatus)
{
  return RefBytes(aStatus.m_instance) + NumberBytes(aStatus.m_statusSequence) +
         NumberBytes(aStatus.m_generation) + 5;
}

} // namespace

std::string_view
InstanceStateName(InstanceState aState)
{
  switch (aState) {
    case InstanceState::kJoining:
      return "joining";
    case InstanceState::kActive:
      return "active";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kDead:
      return "dead";
  }
  return "unknown";
}

bool
IsNewer(const InstanceRecord& aLeft, const InstanceRecord& aRight)
{
  const auto rank = [](const InstanceRecord& aRecord) {
    return std::tuple(aRecord.m_incarnation,
                      aRecord.m_state == InstanceState::kDead,
                      aRecord.m_sequence);
  };
  return rank(aLeft) > rank(aRight);
}

size_t
EstimateBytes(const Gossip& aGossip)
{
  size_t bytes =
    RefBytes(aGossip.m_sender) + NumberBytes(aGossip.m_senderSequence) +
    NumberBytes(aGossip.m_statusSequence) + NumberBytes(aGossip.m_generation) +
    NumberBytes(aGossip.m_digest) + NumberBytes(aGossip.m_ackedIncarnation) +
    NumberBytes(aGossip.m_knownSequence);
  // State and load, then the two epochs.
  bytes += 6 + 5;
  bytes += ListBytes(aGossip.m_partDigests.size()) +
           aGossip.m_partDigests.size() * (kWordBytes + 1);
  bytes += ListBytes(aGossip.m_records.size());
  for (const InstanceRecord& record : aGossip.m_records) {
    bytes += RecordBytes(record);
  }
  bytes += ListBytes(aGossip.m_suspicions.size());
  for (const Suspicion& suspicion : aGossip.m_suspicions) {
    bytes += SuspicionBytes(suspicion);
  }
  bytes += ListBytes(aGossip.m_statuses.size());
  for (const StatusUpdate& status : aGossip.m_statuses) {
    bytes += StatusBytes(status);
  }
  return bytes;
}

} // namespace ebonykeel
