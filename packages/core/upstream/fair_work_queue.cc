#include "core/upstream/fair_work_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace ebonykeel {

FairWorkQueue::FairWorkQueue(double aQuantum)
  : m_quantum(aQuantum)
{
}

void
FairWorkQueue::Push(const WorkItem& aItem)
{
  CallerQueue& caller = m_callers[aItem.m_caller];
  if (caller.m_entries.empty()) {
    caller.m_virtualTime = std::max(caller.m_virtualTime, m_virtualTime);
  }
  caller.m_entries.insert(
    { aItem.m_priority, aItem.m_deadline, aItem.m_id, aItem.m_cost });
  caller.m_queuedCost += aItem.m_cost;
  m_callerByWork.emplace(aItem.m_id, aItem.m_caller);
  m_deadlines.insert(aItem.m_deadline);
}

std::optional<WorkItem>
FairWorkQueue::Pop()
{
  auto caller = NextCaller();
  if (caller == m_callers.end()) {
    return std::nullopt;
  }
  m_virtualTime = std::max(m_virtualTime, MinVirtualTime());
  WorkItem item = RemoveEntry(caller, caller->second.m_entries.begin());
  caller->second.m_virtualTime += item.m_cost;
  RemoveIdleCallers();
  return item;
}

bool
FairWorkQueue::Remove(WorkId aId)
{
  auto found = m_callerByWork.find(aId);
  if (found == m_callerByWork.end()) {
    return false;
  }
  auto caller = m_callers.find(found->second);
  auto entry = std::ranges::find(caller->second.m_entries, aId, &Entry::m_id);
  (void)RemoveEntry(caller, entry);
  RemoveIdleCallers();
  return true;
}

std::vector<WorkItem>
FairWorkQueue::RemoveDueBy(TimePoint aTime)
{
  std::vector<WorkItem> due;
  if (m_deadlines.empty() || *m_deadlines.begin() > aTime) {
    return due;
  }
  for (auto caller = m_callers.begin(); caller != m_callers.end(); ++caller) {
    auto& entries = caller->second.m_entries;
    for (auto entry = entries.begin(); entry != entries.end();) {
      auto current = entry++;
      if (current->m_deadline <= aTime) {
        due.push_back(RemoveEntry(caller, current));
      }
    }
  }
  RemoveIdleCallers();
  return due;
}

std::vector<WorkItem>
FairWorkQueue::RemoveAll()
{
  return RemoveDueBy(TimePoint::max());
}

std::optional<WorkItem>
FairWorkQueue::EvictFor(const CallerName& aCaller)
{
  auto size = [](const auto& aEntry) { return aEntry.second.m_entries.size(); };
  auto largest = std::ranges::max_element(m_callers, {}, size);
  if (largest == m_callers.end()) {
    return std::nullopt;
  }
  auto own = m_callers.find(aCaller);
  size_t ownSize = own == m_callers.end() ? 0 : size(*own);
  if (size(*largest) <= ownSize + 1) {
    return std::nullopt;
  }
  WorkItem evicted =
    RemoveEntry(largest, std::prev(largest->second.m_entries.end()));
  RemoveIdleCallers();
  return evicted;
}

double
FairWorkQueue::CostAheadOf(const WorkItem& aItem) const
{
  Entry entry{ aItem.m_priority, aItem.m_deadline, aItem.m_id, aItem.m_cost };
  double virtualTime = m_virtualTime;
  double ownCost = 0;
  if (auto caller = m_callers.find(aItem.m_caller); caller != m_callers.end()) {
    virtualTime = std::max(virtualTime, caller->second.m_virtualTime);
    for (const Entry& earlier : caller->second.m_entries) {
      ownCost += earlier < entry ? earlier.m_cost : 0;
    }
  }
  double costAhead = ownCost;
  for (const auto& [name, other] : m_callers) {
    if (name == aItem.m_caller) {
      continue;
    }
    double share = virtualTime + ownCost + m_quantum - other.m_virtualTime;
    costAhead += std::clamp(share, 0.0, other.m_queuedCost);
  }
  return costAhead;
}

std::optional<TimePoint>
FairWorkQueue::EarliestDeadline() const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return *m_deadlines.begin();
}

FairWorkQueue::CallerMap::iterator
FairWorkQueue::NextCaller()
{
  double limit = MinVirtualTime() + m_quantum;
  auto best = m_callers.end();
  for (auto caller = m_callers.begin(); caller != m_callers.end(); ++caller) {
    const CallerQueue& queue = caller->second;
    if (queue.m_entries.empty() || queue.m_virtualTime > limit) {
      continue;
    }
    if (best == m_callers.end() ||
        *queue.m_entries.begin() < *best->second.m_entries.begin()) {
      best = caller;
    }
  }
  return best;
}

double
FairWorkQueue::MinVirtualTime() const
{
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [name, queue] : m_callers) {
    if (!queue.m_entries.empty()) {
      lowest = std::min(lowest, queue.m_virtualTime);
    }
  }
  return lowest;
}

WorkItem
FairWorkQueue::RemoveEntry(CallerMap::iterator aCaller,
                           std::set<Entry>::iterator aEntry)
{
  WorkItem item{ .m_id = aEntry->m_id,
                 .m_deadline = aEntry->m_deadline,
                 .m_priority = aEntry->m_priority,
                 .m_caller = aCaller->first,
                 .m_cost = aEntry->m_cost };
  aCaller->second.m_queuedCost -= item.m_cost;
  aCaller->second.m_entries.erase(aEntry);
  m_callerByWork.erase(item.m_id);
  m_deadlines.erase(m_deadlines.find(item.m_deadline));
  return item;
}

void
FairWorkQueue::RemoveIdleCallers()
{
  std::erase_if(m_callers, [this](const auto& aEntry) {
    const CallerQueue& queue = aEntry.second;
    return queue.m_entries.empty() && queue.m_virtualTime <= m_virtualTime;
  });
}

} // namespace ebonykeel
