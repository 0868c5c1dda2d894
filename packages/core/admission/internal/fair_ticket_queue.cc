#include "core/admission/internal/fair_ticket_queue.h"

#include <algorithm>
#include <numeric>

namespace ebonykeel::internal {

bool
FairTicketQueue::Caller::Idle() const
{
  return std::ranges::all_of(
    m_queued, [](const auto& aTickets) { return aTickets.empty(); });
}

uint64_t
FairTicketQueue::Caller::FirstTicket() const
{
  auto found = std::ranges::find_if(
    m_queued, [](const auto& aTickets) { return !aTickets.empty(); });
  return found->front();
}

bool
FairTicketQueue::Group::Idle() const
{
  return std::ranges::all_of(
    m_callers, [](const auto& aEntry) { return aEntry.second.Idle(); });
}

double
FairTicketQueue::Group::Backlog() const
{
  return std::accumulate(m_callers.begin(),
                         m_callers.end(),
                         0.0,
                         [](double aSum, const auto& aEntry) {
                           return aSum + aEntry.second.m_backlog;
                         });
}

void
FairTicketQueue::Push(const AdmissionTicket& aTicket, TimePoint aNow)
{
  Group& group = m_groups[aTicket.m_group];
  if (group.Idle()) {
    group.m_startTag = std::max(group.m_startTag, m_virtualTime);
  }
  Caller& caller = group.m_callers[aTicket.m_caller];
  if (caller.Idle()) {
    caller.m_startTag = std::max(caller.m_startTag, group.m_virtualTime);
  }
  caller.m_backlog += aTicket.m_cost;
  caller.m_queued[static_cast<size_t>(aTicket.m_priority)].push_back(
    aTicket.m_id);
  m_tickets.emplace(aTicket.m_id, QueuedTicket{ aTicket, aNow });
  m_deadlines.emplace(aTicket.m_deadline, aTicket.m_id);
  ++m_sizeByCaller[aTicket.m_caller];
}

const QueuedTicket*
FairTicketQueue::NextEligible(Predicate aIsEligible) const
{
  const QueuedTicket* best = nullptr;
  double bestGroupTag = 0;
  double bestCallerTag = 0;
  for (const auto& [groupName, group] : m_groups) {
    if (best != nullptr && group.m_startTag >= bestGroupTag) {
      continue;
    }
    const QueuedTicket* first = nullptr;
    for (const auto& [callerName, caller] : group.m_callers) {
      bool later = first != nullptr && caller.m_startTag >= bestCallerTag;
      if (later || caller.Idle()) {
        continue;
      }
      const QueuedTicket& candidate = m_tickets.at(caller.FirstTicket());
      if (aIsEligible(candidate.m_ticket)) {
        first = &candidate;
        bestCallerTag = caller.m_startTag;
      }
    }
    if (first != nullptr) {
      best = first;
      bestGroupTag = group.m_startTag;
    }
  }
  return best;
}

QueuedTicket
FairTicketQueue::Start(uint64_t aId)
{
  QueuedTicket extracted = Extract(aId);
  Group& group = m_groups[extracted.m_ticket.m_group];
  Caller& caller = group.m_callers[extracted.m_ticket.m_caller];
  m_virtualTime = std::max(m_virtualTime, group.m_startTag);
  group.m_virtualTime = std::max(group.m_virtualTime, caller.m_startTag);
  // The tags are advanced from the virtual time, not from their old values, so
  // that a group or caller that was skipped as ineligible gains no credit.
  group.m_startTag = m_virtualTime + extracted.m_ticket.m_cost;
  caller.m_startTag = group.m_virtualTime + extracted.m_ticket.m_cost;
  return extracted;
}

std::optional<QueuedTicket>
FairTicketQueue::Remove(uint64_t aId)
{
  if (!Contains(aId)) {
    return std::nullopt;
  }
  return Extract(aId);
}

QueuedTicket
FairTicketQueue::Extract(uint64_t aId)
{
  auto entry = m_tickets.extract(aId);
  QueuedTicket extracted = std::move(entry.mapped());
  const AdmissionTicket& ticket = extracted.m_ticket;
  Caller& caller = m_groups[ticket.m_group].m_callers[ticket.m_caller];
  caller.m_backlog -= ticket.m_cost;
  std::erase(caller.m_queued[static_cast<size_t>(ticket.m_priority)], aId);
  auto [first, last] = m_deadlines.equal_range(ticket.m_deadline);
  m_deadlines.erase(std::find_if(
    first, last, [&](const auto& aEntry) { return aEntry.second == aId; }));
  auto size = m_sizeByCaller.find(ticket.m_caller);
  if (--size->second == 0) {
    m_sizeByCaller.erase(size);
  }
  return extracted;
}

// Returns the cost of the tickets that `aCaller` has queued up to and including
// `aTicket`.
double
FairTicketQueue::OwnCostThrough(const AdmissionTicket& aTicket,
                                const Caller& aCaller) const
{
  double cost = 0;
  auto priority = static_cast<size_t>(aTicket.m_priority);
  for (size_t level = 0; level <= priority; ++level) {
    for (uint64_t id : aCaller.m_queued[level]) {
      cost += m_tickets.at(id).m_ticket.m_cost;
      if (id == aTicket.m_id) {
        break;
      }
    }
  }
  return cost;
}

double
FairTicketQueue::CostThrough(uint64_t aId) const
{
  const AdmissionTicket& ticket = m_tickets.at(aId).m_ticket;
  const Group& group = m_groups.at(ticket.m_group);
  const Caller& caller = group.m_callers.at(ticket.m_caller);
  double ownCost = OwnCostThrough(ticket, caller);
  double groupCost = ownCost;
  for (const auto& [name, other] : group.m_callers) {
    groupCost += &other == &caller ? 0 : std::min(other.m_backlog, ownCost);
  }
  double totalCost = groupCost;
  for (const auto& [name, other] : m_groups) {
    totalCost += &other == &group ? 0 : std::min(other.Backlog(), groupCost);
  }
  return totalCost;
}

uint64_t
FairTicketQueue::TicketToShed(uint64_t aNewId) const
{
  uint64_t toShed = aNewId;
  for (size_t level = kPriorityCount; level-- > 0;) {
    double maxBacklog = 0;
    for (const auto& [groupName, group] : m_groups) {
      for (const auto& [callerName, caller] : group.m_callers) {
        const auto& queued = caller.m_queued[level];
        if (!queued.empty() && caller.m_backlog > maxBacklog) {
          maxBacklog = caller.m_backlog;
          toShed = queued.back();
        }
      }
    }
    if (maxBacklog > 0) {
      return toShed;
    }
  }
  return toShed;
}

void
FairTicketQueue::Prune()
{
  for (auto& entry : m_groups) {
    Group& group = entry.second;
    std::erase_if(group.m_callers, [&](const auto& aEntry) {
      return aEntry.second.Idle() &&
             aEntry.second.m_startTag <= group.m_virtualTime;
    });
  }
  std::erase_if(m_groups, [&](const auto& aEntry) {
    return aEntry.second.m_callers.empty() &&
           aEntry.second.m_startTag <= m_virtualTime;
  });
  bool idle = m_tickets.empty();
  if (idle) {
    m_groups.clear();
    m_virtualTime = 0;
  }
}

size_t
FairTicketQueue::SizeForCaller(const CallerName& aCaller) const
{
  auto found = m_sizeByCaller.find(aCaller);
  return found == m_sizeByCaller.end() ? 0 : found->second;
}

std::optional<TimePoint>
FairTicketQueue::EarliestDeadline() const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->first;
}

std::optional<uint64_t>
FairTicketQueue::FirstExpired(TimePoint aNow) const
{
  if (m_deadlines.empty() || m_deadlines.begin()->first > aNow) {
    return std::nullopt;
  }
  return m_deadlines.begin()->second;
}

size_t
FairTicketQueue::CallerCount() const
{
  return std::accumulate(m_groups.begin(),
                         m_groups.end(),
                         size_t{ 0 },
                         [](size_t aSum, const auto& aEntry) {
                           return aSum + aEntry.second.m_callers.size();
                         });
}

} // namespace ebonykeel::internal
