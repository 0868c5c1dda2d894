// A queue that is fair between groups and, within a group, between callers.
//
// Start-time fair queueing on two levels. A flow's tag is the virtual time at
// which its next ticket starts; the flow with the lowest tag is next, and its
// tag then grows by the ticket's cost. A flow that was idle starts at the
// virtual time of its level, so it can neither save up nor owe much. Within a
// caller, priorities are strict and tickets of one priority in order.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include "core/admission/ticket.h"
#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel::internal {

// A ticket and since when it waits.
struct QueuedTicket
{
  AdmissionTicket m_ticket;
  TimePoint m_queuedAt;
};

class FairTicketQueue
{
public:
  using Predicate = absl::FunctionRef<bool(const AdmissionTicket&)>;

  // Adds a ticket, whose id must not be queued.
  void Push(const AdmissionTicket& aTicket, TimePoint aNow);

  // Returns the ticket that is next among the callers whose first ticket
  // `aIsEligible`; null if there is none. Valid until the queue changes.
  [[nodiscard]] const QueuedTicket* NextEligible(Predicate aIsEligible) const;

  // Removes the ticket `aId`, which must be queued, and charges its cost to its
  // caller and group, as it starts.
  QueuedTicket Start(uint64_t aId);

  // Removes the ticket `aId` without charge; nothing if it is not queued.
  std::optional<QueuedTicket> Remove(uint64_t aId);

  // Returns the cost that is served before the ticket `aId` and with it, if
  // nothing else arrives. `aId` must be queued.
  [[nodiscard]] double CostThrough(uint64_t aId) const;

  // Returns the ticket to give up for `aNewId`, which must be queued: the last
  // of the longest backlog of the lowest priority. May be `aNewId` itself.
  [[nodiscard]] uint64_t TicketToShed(uint64_t aNewId) const;

  // Forgets idle callers and groups whose tags no longer matter.
  void Prune();

  [[nodiscard]] size_t Size() const { return m_tickets.size(); }
  [[nodiscard]] size_t SizeForCaller(const CallerName& aCaller) const;
  [[nodiscard]] bool Contains(uint64_t aId) const
  {
    return m_tickets.contains(aId);
  }
  // Returns the earliest deadline of all queued tickets.
  [[nodiscard]] std::optional<TimePoint> EarliestDeadline() const;
  // Returns a ticket whose deadline is at or before `aNow`.
  [[nodiscard]] std::optional<uint64_t> FirstExpired(TimePoint aNow) const;
  // The callers remembered, idle ones included.
  [[nodiscard]] size_t CallerCount() const;

private:
  struct Caller
  {
    double m_startTag = 0;
    double m_backlog = 0;
    std::array<std::deque<uint64_t>, kPriorityCount> m_queued;

    [[nodiscard]] bool Idle() const;
    [[nodiscard]] uint64_t FirstTicket() const;
  };
  struct Group
  {
    double m_startTag = 0;
    double m_virtualTime = 0;
    std::map<CallerName, Caller> m_callers;

    [[nodiscard]] bool Idle() const;
    [[nodiscard]] double Backlog() const;
  };

  [[nodiscard]] double OwnCostThrough(const AdmissionTicket& aTicket,
                                      const Caller& aCaller) const;
  QueuedTicket Extract(uint64_t aId);

  double m_virtualTime = 0;
  std::map<GroupName, Group> m_groups;
  absl::flat_hash_map<uint64_t, QueuedTicket> m_tickets;
  absl::flat_hash_map<CallerName, size_t> m_sizeByCaller;
  std::multimap<TimePoint, uint64_t> m_deadlines;
};

} // namespace ebonykeel::internal
