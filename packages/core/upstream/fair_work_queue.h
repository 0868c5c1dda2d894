// A queue that gives callers equal shares and, within those shares, serves the
// earliest deadline first.
//
// Each caller has a virtual time that grows by the cost of its served work. A
// caller is eligible while its virtual time is at most a quantum above the
// lowest one of all callers with queued work. Among the eligible callers, the
// item with the highest priority is served, and among those the one with the
// earliest deadline.
//
//   FairWorkQueue queue(2.0);
//   queue.Push(item);
//   std::optional<WorkItem> next = queue.Pop();
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "core/upstream/work.h"

namespace ebonykeel {

// Not thread safe. Each operation takes time linear in the number of callers
// with queued work.
class FairWorkQueue
{
public:
  // `aQuantum`, above 0, is the cost by which one caller may be ahead of
  // another. A larger quantum favours early deadlines, a smaller one equal
  // shares.
  explicit FairWorkQueue(double aQuantum);

  void Push(const WorkItem& aItem);

  // Removes and returns the work to serve next, and charges its cost to its
  // caller.
  [[nodiscard]] std::optional<WorkItem> Pop();

  // Removes the work `aId`. Returns false if it is not queued.
  bool Remove(WorkId aId);

  // Removes and returns all work whose deadline is at or before `aTime`.
  [[nodiscard]] std::vector<WorkItem> RemoveDueBy(TimePoint aTime);

  [[nodiscard]] std::vector<WorkItem> RemoveAll();

  // Removes and returns the last item, by priority and then deadline, of the
  // caller with most queued items. Returns nothing unless that caller has at
  // least two items more than `aCaller`.
  [[nodiscard]] std::optional<WorkItem> EvictFor(const CallerName& aCaller);

  // Estimates the cost of the queued work that would be served before `aItem`
  // if `aItem` were pushed now.
  [[nodiscard]] double CostAheadOf(const WorkItem& aItem) const;

  [[nodiscard]] std::optional<TimePoint> EarliestDeadline() const;
  [[nodiscard]] size_t size() const { return m_callerByWork.size(); }
  [[nodiscard]] bool empty() const { return m_callerByWork.empty(); }

private:
  struct Entry
  {
    WorkPriority m_priority;
    TimePoint m_deadline;
    WorkId m_id;
    double m_cost;

    friend bool operator<(const Entry& aLeft, const Entry& aRight)
    {
      return std::tie(aLeft.m_priority, aLeft.m_deadline, aLeft.m_id) <
             std::tie(aRight.m_priority, aRight.m_deadline, aRight.m_id);
    }
  };

  struct CallerQueue
  {
    std::set<Entry> m_entries;
    double m_virtualTime = 0;
    double m_queuedCost = 0;
  };

  using CallerMap = std::map<CallerName, CallerQueue>;

  [[nodiscard]] CallerMap::iterator NextCaller();
  [[nodiscard]] double MinVirtualTime() const;
  [[nodiscard]] WorkItem RemoveEntry(CallerMap::iterator aCaller,
                                     std::set<Entry>::iterator aEntry);
  void RemoveIdleCallers();

  const double m_quantum;
  // The lowest virtual time of all callers with queued work, as of the last
  // `Pop`. Never decreases.
  double m_virtualTime = 0;
  CallerMap m_callers;
  // The caller of each queued piece of work.
  std::map<WorkId, CallerName> m_callerByWork;
  std::multiset<TimePoint> m_deadlines;
};

} // namespace ebonykeel
