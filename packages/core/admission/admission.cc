#include "core/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {
namespace {

// The weight that a finished ticket has in the average run time, for each unit
// of its cost.
constexpr double kRunTimeWeightPerCost = 0.001;
// The number of finished requests between two calls of `Prune`.
constexpr uint64_t kFinishedPerPrune = 256;
constexpr Duration kInactiveCheckInterval = Milliseconds(100);

} // namespace

std::string_view
RefusalReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kWouldMissDeadline:
      return "would_miss_deadline";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
  }
  return "none";
}

Admission::Admission(const AdmissionOptions& aOptions)
  : m_options(aOptions)
{
}

AdmissionDecision
Admission::Offer(const AdmissionTicket& aTicket, TimePoint aNow)
{
  AdmissionDecision decision;
  RecordActivity(aTicket.m_caller, aNow);
  if (aTicket.m_deadline <= aNow) {
    decision.m_verdict = AdmissionVerdict::kRefuse;
    decision.m_reason = RefusalReason::kDeadlinePassed;
    return decision;
  }
  m_queue.Push(aTicket, aNow);
  Dispatch(aNow, decision.m_otherEvents);
  if (!m_queue.Contains(aTicket.m_id)) {
    std::erase_if(decision.m_otherEvents, [&](const AdmissionEvent& aEvent) {
      return aEvent.m_id == aTicket.m_id;
    });
    return decision;
  }
  decision.m_expectedWait = ExpectedWait(aTicket.m_id);
  decision.m_reason = CheckRefusal(aTicket, decision.m_expectedWait, aNow);
  if (decision.m_reason != RefusalReason::kNone) {
    decision.m_verdict = AdmissionVerdict::kRefuse;
    m_queue.Remove(aTicket.m_id);
    return decision;
  }
  decision.m_verdict = AdmissionVerdict::kQueue;
  if (m_queue.Size() > m_options.m_maxQueueLength) {
    Refuse(m_queue.TicketToShed(aTicket.m_id),
           RefusalReason::kShed,
           aNow,
           decision.m_otherEvents);
  }
  return decision;
}

RefusalReason
Admission::CheckRefusal(const AdmissionTicket& aTicket,
                        Duration aExpectedWait,
                        TimePoint aNow) const
{
  if (aNow + aExpectedWait >= aTicket.m_deadline) {
    return RefusalReason::kWouldMissDeadline;
  }
  auto maxQueued = std::max(
    1.0,
    std::floor(m_options.m_maxCallerQueueShare * m_options.m_maxQueueLength));
  if (static_cast<double>(m_queue.SizeForCaller(aTicket.m_caller)) >
      maxQueued) {
    return RefusalReason::kQueueFull;
  }
  bool full = m_queue.Size() > m_options.m_maxQueueLength;
  if (full && m_queue.TicketToShed(aTicket.m_id) == aTicket.m_id) {
    return RefusalReason::kQueueFull;
  }
  return RefusalReason::kNone;
}

std::vector<AdmissionEvent>
Admission::OnFinished(uint64_t aId, TimePoint aNow)
{
  std::vector<AdmissionEvent> events;
  auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return events;
  }
  const AdmissionTicket& ticket = found->second.m_ticket;
  auto runTime =
    static_cast<double>((aNow - found->second.m_startedAt).count());
  double gain = std::min(1.0, kRunTimeWeightPerCost * ticket.m_cost);
  if (m_averageRunNanoseconds == 0) {
    gain = 1;
  }
  m_averageRunNanoseconds += gain * (runTime - m_averageRunNanoseconds);
  ChangeRunning(ticket.m_caller, -int64_t{ ticket.m_cost }, aNow);
  m_running.erase(found);
  ++m_finishedCount;
  if (m_finishedCount % kFinishedPerPrune == 0) {
    m_queue.Prune();
  }
  Dispatch(aNow, events);
  return events;
}

bool
Admission::Cancel(uint64_t aId)
{
  return m_queue.Remove(aId).has_value();
}

std::vector<AdmissionEvent>
Admission::OnTimer(TimePoint aNow)
{
  std::vector<AdmissionEvent> events;
  while (std::optional<uint64_t> expired = m_queue.FirstExpired(aNow)) {
    Refuse(*expired, RefusalReason::kDeadlinePassed, aNow, events);
  }
  Dispatch(aNow, events);
  return events;
}

std::optional<TimePoint>
Admission::NextTimer() const
{
  return m_queue.EarliestDeadline();
}

void
Admission::RecordActivity(const CallerName& aCaller, TimePoint aNow)
{
  m_usageByCaller[aCaller].m_lastOffer = aNow;
  if (aNow - m_inactiveCheckedAt >= kInactiveCheckInterval) {
    RemoveInactiveCallers(aNow);
  }
}

void
Admission::RemoveInactiveCallers(TimePoint aNow)
{
  m_inactiveCheckedAt = aNow;
  absl::erase_if(m_usageByCaller, [&](const auto& aEntry) {
    const Usage& usage = aEntry.second;
    return usage.m_running == 0 &&
           aNow - usage.m_lastOffer > m_options.m_callerActiveTimeout;
  });
}

void
Admission::ChangeRunning(const CallerName& aCaller,
                         int64_t aCostChange,
                         TimePoint aNow)
{
  Usage& usage = m_usageByCaller[aCaller];
  usage.m_average = AverageRunning(usage, aNow);
  usage.m_averageAt = aNow;
  usage.m_running = static_cast<uint32_t>(usage.m_running + aCostChange);
  m_runningCost = static_cast<uint32_t>(m_runningCost + aCostChange);
}

double
Admission::AverageRunning(const Usage& aUsage, TimePoint aNow) const
{
  double windows = std::chrono::duration<double>(aNow - aUsage.m_averageAt) /
                   std::chrono::duration<double>(m_options.m_usageWindow);
  double oldWeight = std::exp(-windows);
  return aUsage.m_average * oldWeight + aUsage.m_running * (1 - oldWeight);
}

// A caller over its share may run only while enough capacity stays free for the
// other callers.
bool
Admission::CallerMayRun(const AdmissionTicket& aTicket, TimePoint aNow) const
{
  auto usage = m_usageByCaller.find(aTicket.m_caller);
  bool alone = usage == m_usageByCaller.end() || m_usageByCaller.size() < 2;
  if (alone || m_runningCost == 0) {
    return true;
  }
  double maxCost = m_options.m_maxRunningCost;
  double share = maxCost / static_cast<double>(m_usageByCaller.size());
  double average = AverageRunning(usage->second, aNow);
  return average <= m_options.m_overShareFactor * share ||
         m_runningCost + aTicket.m_cost <=
           maxCost * (1 - m_options.m_reservedShare);
}

bool
Admission::Fits(const AdmissionTicket& aTicket) const
{
  return m_runningCost == 0 ||
         m_runningCost + aTicket.m_cost <= m_options.m_maxRunningCost;
}

Duration
Admission::ExpectedWait(uint64_t aId) const
{
  double perCost = m_averageRunNanoseconds / m_options.m_maxRunningCost;
  return Duration(static_cast<int64_t>(m_queue.CostThrough(aId) * perCost));
}

void
Admission::Dispatch(TimePoint aNow, std::vector<AdmissionEvent>& aEvents)
{
  while (true) {
    const internal::QueuedTicket* next =
      m_queue.NextEligible([&](const AdmissionTicket& aTicket) {
        return CallerMayRun(aTicket, aNow);
      });
    if (next == nullptr || !Fits(next->m_ticket)) {
      return;
    }
    uint64_t id = next->m_ticket.m_id;
    if (next->m_ticket.m_deadline <= aNow) {
      Refuse(id, RefusalReason::kDeadlinePassed, aNow, aEvents);
      continue;
    }
    internal::QueuedTicket started = m_queue.Start(id);
    ChangeRunning(
      started.m_ticket.m_caller, int64_t{ started.m_ticket.m_cost }, aNow);
    m_running.emplace(id, Running{ started.m_ticket, aNow });
    aEvents.push_back({ .m_id = id, .m_waited = aNow - started.m_queuedAt });
  }
}

void
Admission::Refuse(uint64_t aId,
                  RefusalReason aReason,
                  TimePoint aNow,
                  std::vector<AdmissionEvent>& aEvents)
{
  std::optional<internal::QueuedTicket> refused = m_queue.Remove(aId);
  if (refused) {
    aEvents.push_back({ .m_id = aId,
                        .m_verdict = AdmissionVerdict::kRefuse,
                        .m_reason = aReason,
                        .m_waited = aNow - refused->m_queuedAt });
  }
}

} // namespace ebonykeel
