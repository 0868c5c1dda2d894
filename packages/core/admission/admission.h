// Which requests an instance runs now, which wait and which it refuses.
//
// Bounded work runs at once and a bounded queue waits for it, fairly between
// groups and between the callers of a group. When the queue is full, the
// lowest priority goes first, and of that the caller with most waiting. A
// request whose turn would come only after its deadline is refused at once.
// Nothing that is refused here was ever run.
//
//   Admission admission(options);
//   AdmissionDecision decision = admission.Offer(ticket, now);
//   Perform(decision.m_otherEvents);
//   if (decision.m_verdict == AdmissionVerdict::kAdmit) { ... run it ... }
//   ... when it is over:   Perform(admission.OnFinished(id, now));
//   ... at NextTimer():    Perform(admission.OnTimer(now));
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "core/admission/internal/fair_ticket_queue.h"
#include "core/admission/ticket.h"
#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

enum class AdmissionVerdict
{
  // Run it now.
  kAdmit,
  // It waits; an event will tell how it went on.
  kQueue,
  // It was not run and never will be.
  kRefuse,
};

enum class RefusalReason
{
  kNone,
  // The queue is full, and nothing in it matters less.
  kQueueFull,
  // It was given up for a request that matters more.
  kShed,
  // The queue alone would take longer than the deadline.
  kWouldMissDeadline,
  // The deadline passed while it waited.
  kDeadlinePassed,
};

// Returns the stable name of `aReason`, such as "queue_full".
[[nodiscard]] std::string_view
RefusalReasonName(RefusalReason aReason);

// How a ticket that had waited went on: `kAdmit` or `kRefuse`.
struct AdmissionEvent
{
  uint64_t m_id = 0;
  AdmissionVerdict m_verdict = AdmissionVerdict::kAdmit;
  RefusalReason m_reason = RefusalReason::kNone;
  // How long it had waited.
  Duration m_waited{ 0 };
};

// What becomes of a ticket that was offered.
struct AdmissionDecision
{
  AdmissionVerdict m_verdict = AdmissionVerdict::kAdmit;
  RefusalReason m_reason = RefusalReason::kNone;
  // How long the queue is expected to take; zero while nothing is known.
  Duration m_expectedWait{ 0 };
  // What becomes of tickets that had waited.
  std::vector<AdmissionEvent> m_otherEvents;
};

struct AdmissionOptions
{
  // The cost that runs at once. One ticket that costs more runs alone.
  uint32_t m_maxRunningCost = 2000;
  // Tickets that wait at once, of all callers.
  uint32_t m_maxQueueLength = 1000;
  // The part of the queue that one caller may fill, in (0, 1].
  double m_maxCallerQueueShare = 0.5;
  // A caller is over its share when it ran, on average over `m_usageWindow`,
  // more than this multiple of the running cost divided by the active callers.
  double m_overShareFactor = 1.25;
  Duration m_usageWindow = Seconds(2);
  // The part of the running cost, in [0, 1), that a caller over its share must
  // leave free for the others.
  double m_reservedShare = 0.3;
  // How long a caller counts as active after its last request.
  Duration m_callerActiveTimeout = Seconds(1);
};

class Admission
{
public:
  explicit Admission(const AdmissionOptions& aOptions);

  // Decides on a new request. `aTicket.m_id` must be neither queued nor
  // running.
  [[nodiscard]] AdmissionDecision Offer(const AdmissionTicket& aTicket,
                                        TimePoint aNow);

  // Tells that an admitted request is over; an unknown id changes nothing.
  [[nodiscard]] std::vector<AdmissionEvent> OnFinished(uint64_t aId,
                                                       TimePoint aNow);

  // Tells that the caller of a queued request has gone. Returns whether it was
  // still queued; if so, it was not run and no event follows.
  [[nodiscard]] bool Cancel(uint64_t aId);

  // Does what is due at `aNow`; may be called at any time.
  [[nodiscard]] std::vector<AdmissionEvent> OnTimer(TimePoint aNow);

  // Returns when `OnTimer` has to be called next.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] size_t Queued() const { return m_queue.Size(); }
  [[nodiscard]] uint32_t RunningCost() const { return m_runningCost; }
  // The callers remembered.
  [[nodiscard]] size_t TrackedCallers() const { return m_queue.CallerCount(); }

private:
  struct Running
  {
    AdmissionTicket m_ticket;
    TimePoint m_startedAt;
  };
  // What one caller has been running.
  struct Usage
  {
    uint32_t m_running = 0;
    // The moving average of the running cost, as of `m_averageAt`.
    double m_average = 0;
    TimePoint m_averageAt;
    TimePoint m_lastOffer;
  };

  void ChangeRunning(const CallerName& aCaller,
                     int64_t aCostChange,
                     TimePoint aNow);
  [[nodiscard]] double AverageRunning(const Usage& aUsage,
                                      TimePoint aNow) const;
  void RecordActivity(const CallerName& aCaller, TimePoint aNow);
  void RemoveInactiveCallers(TimePoint aNow);
  [[nodiscard]] bool CallerMayRun(const AdmissionTicket& aTicket,
                                  TimePoint aNow) const;
  [[nodiscard]] bool Fits(const AdmissionTicket& aTicket) const;
  [[nodiscard]] Duration ExpectedWait(uint64_t aId) const;
  [[nodiscard]] RefusalReason CheckRefusal(const AdmissionTicket& aTicket,
                                           Duration aExpectedWait,
                                           TimePoint aNow) const;
  void Dispatch(TimePoint aNow, std::vector<AdmissionEvent>& aEvents);
  void Refuse(uint64_t aId,
              RefusalReason aReason,
              TimePoint aNow,
              std::vector<AdmissionEvent>& aEvents);

  AdmissionOptions m_options;
  internal::FairTicketQueue m_queue;
  absl::flat_hash_map<uint64_t, Running> m_running;
  uint32_t m_runningCost = 0;
  // The active callers.
  absl::flat_hash_map<CallerName, Usage> m_usageByCaller;
  TimePoint m_inactiveCheckedAt;
  // The moving average of how long a unit of cost runs; zero if unknown.
  double m_averageRunNanoseconds = 0;
  uint64_t m_finishedCount = 0;
};

} // namespace ebonykeel
