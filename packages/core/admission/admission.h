// Decides which requests an instance runs now, which it queues and which it
// refuses.
//
// Requests run at once up to a bounded total cost. Further requests wait in a
// bounded queue, which is fair between groups and between the callers of a
// group. When the queue is full, the lowest priority is shed first, and within
// that priority the caller with the largest backlog. A request whose expected
// wait exceeds its deadline is refused at once. A refused request was never
// run.
//
//   Admission admission(options);
//   AdmissionDecision decision = admission.Offer(ticket, now);
//   Perform(decision.m_otherEvents);
//   if (decision.m_verdict == AdmissionVerdict::kAdmit) { ... run it ... }
//   ... when the request has finished: Perform(admission.OnFinished(id, now));
//   ... at NextTimer(): Perform(admission.OnTimer(now));
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
  // The request may run now.
  kAdmit,
  // The request waits; an `AdmissionEvent` follows unless it is cancelled.
  kQueue,
  // The request was not run and never will be.
  kRefuse,
};

enum class RefusalReason
{
  kNone,
  // The queue is full and holds no request that would be shed before this one,
  // or the caller has filled its part of the queue.
  kQueueFull,
  // The request was removed from the full queue to make room for another one.
  kShed,
  // The expected wait in the queue exceeds the deadline.
  kWouldMissDeadline,
  // The deadline has passed, on arrival or in the queue.
  kDeadlinePassed,
};

// Returns the stable name of `aReason`, such as "queue_full".
[[nodiscard]] std::string_view
RefusalReasonName(RefusalReason aReason);

// The decision on a ticket that was queued: `kAdmit` or `kRefuse`.
struct AdmissionEvent
{
  uint64_t m_id = 0;
  AdmissionVerdict m_verdict = AdmissionVerdict::kAdmit;
  RefusalReason m_reason = RefusalReason::kNone;
  // The time that the ticket spent in the queue.
  Duration m_waited{ 0 };
};

// The decision on a ticket that was offered.
struct AdmissionDecision
{
  AdmissionVerdict m_verdict = AdmissionVerdict::kAdmit;
  RefusalReason m_reason = RefusalReason::kNone;
  // The expected wait in the queue; 0 until a first request has finished.
  Duration m_expectedWait{ 0 };
  // Decisions on other tickets, which were queued before.
  std::vector<AdmissionEvent> m_otherEvents;
};

struct AdmissionOptions
{
  // The maximum total cost of running tickets. A ticket that costs more runs
  // alone.
  uint32_t m_maxRunningCost = 2000;
  // The maximum number of queued tickets, over all callers.
  uint32_t m_maxQueueLength = 1000;
  // The part of the queue that one caller may fill, in (0, 1].
  double m_maxCallerQueueShare = 0.5;
  // A caller is over its share when its running cost, averaged over
  // `m_usageWindow`, exceeds this multiple of `m_maxRunningCost` divided by the
  // number of active callers.
  double m_overShareFactor = 1.25;
  Duration m_usageWindow = Seconds(2);
  // The part of `m_maxRunningCost`, in [0, 1), that a caller over its share
  // must leave free for other callers.
  double m_reservedShare = 0.3;
  // A caller stays active for this long after its last request, and while one
  // of its requests runs.
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

  // Called when an admitted request has finished. Unknown ids are ignored.
  [[nodiscard]] std::vector<AdmissionEvent> OnFinished(uint64_t aId,
                                                       TimePoint aNow);

  // Called when the caller of a queued request no longer waits for it. Returns
  // true if the request was still queued; it was then not run, and no event
  // follows.
  [[nodiscard]] bool Cancel(uint64_t aId);

  // Refuses queued requests whose deadline has passed and admits those that may
  // run now. May be called at any time.
  [[nodiscard]] std::vector<AdmissionEvent> OnTimer(TimePoint aNow);

  // Returns when `OnTimer` must be called next, or nothing if no request is
  // queued.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] size_t Queued() const { return m_queue.Size(); }
  [[nodiscard]] uint32_t RunningCost() const { return m_runningCost; }
  // Returns the number of callers that the queue keeps state for, idle ones
  // included.
  [[nodiscard]] size_t TrackedCallers() const { return m_queue.CallerCount(); }

private:
  struct Running
  {
    AdmissionTicket m_ticket;
    TimePoint m_startedAt;
  };
  // The running cost of one caller, now and on average.
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
  // The active callers. Those that have become inactive are removed from time
  // to time.
  absl::flat_hash_map<CallerName, Usage> m_usageByCaller;
  TimePoint m_inactiveCheckedAt;
  // The moving average of the run time of a ticket, weighted by cost; 0 until a
  // first ticket has finished.
  double m_averageRunNanoseconds = 0;
  uint64_t m_finishedCount = 0;
};

} // namespace ebonykeel
