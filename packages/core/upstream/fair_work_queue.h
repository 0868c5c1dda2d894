// A queue that serves callers in equal shares and, within those shares, the
// earliest deadline first.
//
// Each caller has a virtual time that grows by the cost of its served work.
// A caller is eligible while it is at most a quantum ahead of the caller that
// was served least; among the eligible ones the highest priority and then the
// earliest deadline is served.
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
// that wait.
class FairWorkQueue
{
public:
  // `aQuantum` is the cost by which one caller may be ahead of another, above
  // 0. More of it prefers early deadlines, less of it prefers equal shares.
  explicit FairWorkQueue(double aQuantum);

  void Push(const WorkItem& aItem);

  // Removes and returns the work to serve next, and charges its caller.
  [[nodiscard]] std::optional<WorkItem> Pop();

  // Removes the work `aId`. Returns false when it is not queued.
  bool Remove(WorkId aId);

  // Removes and returns all work whose deadline is not after `aTime`.
  [[nodiscard]] std::vector<WorkItem> RemoveDueBy(TimePoint aTime);

  [[nodiscard]] std::vector<WorkItem> RemoveAll();

  // Removes and returns the latest deadline of the caller that has most work
  // waiting, or nothing if no caller has more than `aCaller`.
  [[nodiscard]] std::optional<WorkItem> EvictFor(const CallerName& aCaller);

  // Returns the cost of the queued work that would be served before `aItem`
  // if that were pushed now.
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
  // The virtual time of the caller that was served last, before its charge.
  double m_virtualTime = 0;
  CallerMap m_callers;
  std::map<WorkId, CallerName> m_callerByWork;
  std::multiset<TimePoint> m_deadlines;
};

} // namespace ebonykeel
