#include "core/forward/capacity_queue.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// How long a kind of request counts as one that others leave places to after
// its latest request.
constexpr Duration kUrgentMemory = Seconds(1);
// The first in rank is computed anew after this time, since ranks change with
// time. Computing it for each call would cost a time that grows with the square
// of the queue.
constexpr Duration kFirstLifetime = Milliseconds(4);

} // namespace

void
CapacityQueue::OnRequest(const std::string& aService,
                         uint32_t aPriority,
                         TimePoint aNow)
{
  UrgentKind& urgent =
    m_urgentKinds.try_emplace(aService, UrgentKind{ aPriority, aNow })
      .first->second;
  if (aPriority <= urgent.m_priority ||
      aNow - urgent.m_seenAt > kUrgentMemory) {
    urgent = { aPriority, aNow };
  }
}

bool
CapacityQueue::MayStart(const std::string& aService,
                        const WaitingRank& aRank,
                        TimePoint aNow)
{
  auto service = m_services.find(aService);
  if (service != m_services.end()) {
    FindFirst(service->second, aNow);
  }
  return WouldStart(aService, aRank, aNow);
}

bool
CapacityQueue::WouldStart(const std::string& aService,
                          const WaitingRank& aRank,
                          TimePoint aNow) const
{
  auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return true;
  }
  const Service& service = found->second;
  uint64_t first =
    IsFirstKnown(service, aNow) ? service.m_first : ComputeFirst(service, aNow);
  return first == 0 ||
         !GoesBefore(service.m_entries.at(first).m_rank, aRank, aNow);
}

uint64_t
CapacityQueue::Enter(const std::string& aService,
                     const WaitingRank& aRank,
                     CapacityWaiter& aWaiter,
                     TimePoint aNow)
{
  m_latest = std::max(m_latest, aNow);
  uint64_t ticket = m_nextTicket++;
  Service& service = m_services[aService];
  auto first = service.m_entries.find(service.m_first);
  if (first != service.m_entries.end() &&
      !GoesBefore(first->second.m_rank, aRank, aNow)) {
    service.m_first = ticket;
  }
  service.m_entries.emplace(ticket,
                            Entry{ .m_rank = aRank, .m_waiter = &aWaiter });
  return ticket;
}

void
CapacityQueue::Leave(const std::string& aService, uint64_t aTicket)
{
  auto service = m_services.find(aService);
  if (service == m_services.end() ||
      service->second.m_entries.erase(aTicket) == 0) {
    return;
  }
  if (service->second.m_entries.empty()) {
    m_services.erase(service);
    return;
  }
  if (service->second.m_first == aTicket) {
    service->second.m_first = 0;
  }
  CallFirst(service->second, m_latest);
}

bool
CapacityQueue::IsNext(const std::string& aService,
                      uint64_t aTicket,
                      TimePoint aNow)
{
  m_latest = std::max(m_latest, aNow);
  Service& service = m_services.at(aService);
  if (FindFirst(service, aNow) == aTicket) {
    return true;
  }
  // A call that is out of date must not be the only one.
  Entry& entry = service.m_entries.at(aTicket);
  if (entry.m_isCalled) {
    entry.m_isCalled = false;
    CallFirst(service, aNow);
  }
  return false;
}

void
CapacityQueue::OnTurnUnused(const std::string& aService,
                            uint64_t aTicket,
                            bool aIsCapacityLeft,
                            TimePoint aUntil,
                            TimePoint aNow)
{
  m_latest = std::max(m_latest, aNow);
  Service& service = m_services.at(aService);
  Entry& entry = service.m_entries.at(aTicket);
  entry.m_isCalled = false;
  if (aIsCapacityLeft) {
    entry.m_passedOverUntil = aUntil;
    service.m_first = 0;
    CallFirst(service, aNow);
  }
}

void
CapacityQueue::OnCapacity(const std::string& aService, TimePoint aNow)
{
  m_latest = std::max(m_latest, aNow);
  auto service = m_services.find(aService);
  if (service != m_services.end()) {
    CallFirst(service->second, aNow);
  }
}

bool
CapacityQueue::LeavesPlaces(const std::string& aService,
                            uint32_t aPriority,
                            bool aUsesWorkspaces,
                            TimePoint aNow) const
{
  if (!aUsesWorkspaces && !m_services.contains(aService)) {
    return false;
  }
  auto urgent = m_urgentKinds.find(aService);
  return urgent != m_urgentKinds.end() &&
         urgent->second.m_priority < aPriority &&
         aNow - urgent->second.m_seenAt <= kUrgentMemory;
}

size_t
CapacityQueue::CountAhead(const std::string& aService, uint32_t aPriority) const
{
  auto service = m_services.find(aService);
  if (service == m_services.end()) {
    return 0;
  }
  return static_cast<size_t>(
    std::ranges::count_if(service->second.m_entries, [&](const auto& aEntry) {
      return aEntry.second.m_rank.m_priority <= aPriority;
    }));
}

bool
CapacityQueue::GoesBefore(const WaitingRank& aLeft,
                          const WaitingRank& aRight,
                          TimePoint aNow) const
{
  if (aLeft.m_priority != aRight.m_priority) {
    return aLeft.m_priority < aRight.m_priority;
  }
  bool leftInTime = aNow <= aLeft.m_inTimeUntil;
  bool rightInTime = aNow <= aRight.m_inTimeUntil;
  if (leftInTime != rightInTime) {
    return leftInTime;
  }
  return aLeft.m_workspace == aRight.m_workspace ||
         UsageOf(aLeft, aNow) <= UsageOf(aRight, aNow);
}

double
CapacityQueue::UsageOf(const WaitingRank& aRank, TimePoint aNow) const
{
  return m_usage.At(aRank.m_workspace, aNow) +
         ToMillisecondsF(aRank.m_uncountedWork) / 1000;
}

bool
CapacityQueue::IsFirstKnown(const Service& aService, TimePoint aNow)
{
  return aService.m_first != 0 && aNow - aService.m_firstAt < kFirstLifetime;
}

uint64_t
CapacityQueue::FindFirst(Service& aService, TimePoint aNow)
{
  if (!IsFirstKnown(aService, aNow)) {
    aService.m_first = ComputeFirst(aService, aNow);
    aService.m_firstAt = aNow;
  }
  return aService.m_first;
}

uint64_t
CapacityQueue::ComputeFirst(const Service& aService, TimePoint aNow) const
{
  const Entry* first = nullptr;
  uint64_t firstTicket = 0;
  for (const auto& [ticket, entry] : aService.m_entries) {
    if (aNow < entry.m_passedOverUntil) {
      continue;
    }
    if (first == nullptr || !GoesBefore(first->m_rank, entry.m_rank, aNow)) {
      first = &entry;
      firstTicket = ticket;
    }
  }
  return firstTicket;
}

void
CapacityQueue::CallFirst(Service& aService, TimePoint aNow)
{
  uint64_t ticket = FindFirst(aService, aNow);
  if (ticket == 0) {
    return;
  }
  Entry& entry = aService.m_entries.at(ticket);
  if (!entry.m_isCalled) {
    entry.m_isCalled = true;
    entry.m_waiter->OnTurn(ticket);
  }
}

} // namespace ebonykeel
