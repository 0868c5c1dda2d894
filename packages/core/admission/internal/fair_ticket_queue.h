// A queue that is fair between groups and, within a group, between callers.
//
// Uses start-time fair queueing on two levels: groups, and the callers of each
// group. The start tag of a group or caller is the virtual time at which its
// next ticket starts. The lowest start tag is served first and is then set to
// the virtual time plus the cost of the ticket. A group or caller that was idle
// starts at the virtual time of its level at the earliest, so that it gains no
// credit while idle. Within a caller, tickets are served by strict priority,
// and in order of arrival within a priority.
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

  // Returns the ticket to serve next among the callers whose first ticket
  // satisfies `aIsEligible`, or null if there is none. The pointer is valid
  // until the queue changes.
  [[nodiscard]] const QueuedTicket* NextEligible(Predicate aIsEligible) const;

  // Removes the ticket `aId`, which must be queued, and charges its cost to its
  // caller and group.
  QueuedTicket Start(uint64_t aId);

  // Removes the ticket `aId` without charge; nothing if it is not queued.
  std::optional<QueuedTicket> Remove(uint64_t aId);

  // Estimates the cost that is served up to and including the ticket `aId` if
  // no further ticket arrives. `aId` must be queued.
  [[nodiscard]] double CostThrough(uint64_t aId) const;

  // Returns the ticket to remove when the new ticket `aNewId`, which must be
  // queued, has made the queue too long: among the callers with tickets of the
  // lowest queued priority, the last such ticket of the caller with the largest
  // backlog. This may be `aNewId` itself.
  [[nodiscard]] uint64_t TicketToShed(uint64_t aNewId) const;

  // Removes idle callers and groups whose start tags no longer affect the
  // order.
  void Prune();

  [[nodiscard]] size_t Size() const { return m_tickets.size(); }
  [[nodiscard]] size_t SizeForCaller(const CallerName& aCaller) const;
  [[nodiscard]] bool Contains(uint64_t aId) const
  {
    return m_tickets.contains(aId);
  }
  // Returns the earliest deadline of all queued tickets.
  [[nodiscard]] std::optional<TimePoint> EarliestDeadline() const;
  // Returns the ticket with the earliest deadline if that is at or before
  // `aNow`.
  [[nodiscard]] std::optional<uint64_t> FirstExpired(TimePoint aNow) const;
  // Returns the number of callers with state, over all groups, idle ones
  // included.
  [[nodiscard]] size_t CallerCount() const;

private:
  struct Caller
  {
    double m_startTag = 0;
    // The total cost of the queued tickets.
    double m_backlog = 0;
    // Ticket ids by priority, in order of arrival.
    std::array<std::deque<uint64_t>, kPriorityCount> m_queued;

    [[nodiscard]] bool Idle() const;
    [[nodiscard]] uint64_t FirstTicket() const;
  };
  struct Group
  {
    double m_startTag = 0;
    // The virtual time of the callers.
    double m_virtualTime = 0;
    std::map<CallerName, Caller> m_callers;

    [[nodiscard]] bool Idle() const;
    [[nodiscard]] double Backlog() const;
  };

  [[nodiscard]] double OwnCostThrough(const AdmissionTicket& aTicket,
                                      const Caller& aCaller) const;
  QueuedTicket Extract(uint64_t aId);

  // The virtual time of the groups.
  double m_virtualTime = 0;
  std::map<GroupName, Group> m_groups;
  absl::flat_hash_map<uint64_t, QueuedTicket> m_tickets;
  absl::flat_hash_map<CallerName, size_t> m_sizeByCaller;
  std::multimap<TimePoint, uint64_t> m_deadlines;
};

} // namespace ebonykeel::internal
