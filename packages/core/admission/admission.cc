#include "core/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebonykeel {
namespace {

// The weight of one unit of cost in the moving average of run times.
constexpr double kRunTimeGain = 0.001;
// Finished requests between two looks for idle callers.
constexpr uint64_t kPruneEvery = 256;

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
  NoteActivity(aTicket.m_caller, aNow);
  if (aTicket.m_deadline <= aNow) {
    decision.m_verdict = Verdict::kRefuse;
    decision.m_reason = RefusalReason::kDeadlinePassed;
    return decision;
  }
  m_queue.Push(aTicket, aNow);
  Dispatch(aNow, decision.m_others);
  if (!m_queue.Contains(aTicket.m_id)) {
    std::erase_if(decision.m_others, [&](const AdmissionEvent& aEvent) {
      return aEvent.m_id == aTicket.m_id;
    });
    return decision;
  }
  decision.m_expectedWait = ExpectedWait(aTicket.m_id);
  decision.m_reason = ReasonToRefuse(aTicket, decision.m_expectedWait, aNow);
  if (decision.m_reason != RefusalReason::kNone) {
    decision.m_verdict = Verdict::kRefuse;
    m_queue.Remove(aTicket.m_id);
    return decision;
  }
  decision.m_verdict = Verdict::kQueue;
  if (m_queue.Size() > m_options.m_queueLength) {
    Refuse(m_queue.Victim(aTicket.m_id),
           RefusalReason::kShed,
           aNow,
           decision.m_others);
  }
  return decision;
}

RefusalReason
Admission::ReasonToRefuse(const AdmissionTicket& aTicket,
                          Duration aExpectedWait,
                          TimePoint aNow) const
{
  if (aNow + aExpectedWait >= aTicket.m_deadline) {
    return RefusalReason::kWouldMissDeadline;
  }
  auto longest = std::max(
    1.0, std::floor(m_options.m_callerQueueShare * m_options.m_queueLength));
  if (static_cast<double>(m_queue.SizeOf(aTicket.m_caller)) > longest) {
    return RefusalReason::kQueueFull;
  }
  bool full = m_queue.Size() > m_options.m_queueLength;
  if (full && m_queue.Victim(aTicket.m_id) == aTicket.m_id) {
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
  auto runTime = static_cast<double>((aNow - found->second.m_since).count());
  double gain = std::min(1.0, kRunTimeGain * ticket.m_cost);
  if (m_runTimeNanoseconds == 0) {
    gain = 1;
  }
  m_runTimeNanoseconds += gain * (runTime - m_runTimeNanoseconds);
  m_runningCost -= ticket.m_cost;
  auto caller = m_runningOf.find(ticket.m_caller);
  caller->second -= ticket.m_cost;
  if (caller->second == 0) {
    m_runningOf.erase(caller);
  }
  m_running.erase(found);
  ++m_finished;
  if (m_finished % kPruneEvery == 0) {
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
  while (std::optional<uint64_t> expired = m_queue.Expired(aNow)) {
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
Admission::NoteActivity(const CallerName& aCaller, TimePoint aNow)
{
  if (m_active[0].m_at.has_value() && m_active[0].m_caller != aCaller) {
    m_active[1] = std::exchange(m_active[0], Activity{});
  }
  m_active[0] = { aCaller, aNow };
}

bool
Admission::OthersActive(const CallerName& aCaller, TimePoint aNow) const
{
  return std::ranges::any_of(m_active, [&](const Activity& aActivity) {
    return aActivity.m_at.has_value() && aActivity.m_caller != aCaller &&
           aNow - *aActivity.m_at < m_options.m_activeFor;
  });
}

bool
Admission::CallerMayRun(const AdmissionTicket& aTicket, TimePoint aNow) const
{
  auto running = m_runningOf.find(aTicket.m_caller);
  if (running == m_runningOf.end() || !OthersActive(aTicket.m_caller, aNow)) {
    return true;
  }
  double most = m_options.m_callerRunningShare * m_options.m_runningCost;
  return running->second + aTicket.m_cost <= most;
}

bool
Admission::Fits(const AdmissionTicket& aTicket) const
{
  return m_runningCost == 0 ||
         m_runningCost + aTicket.m_cost <= m_options.m_runningCost;
}

Duration
Admission::ExpectedWait(uint64_t aId) const
{
  double perCost = m_runTimeNanoseconds / m_options.m_runningCost;
  return Duration(static_cast<int64_t>(m_queue.CostThrough(aId) * perCost));
}

void
Admission::Dispatch(TimePoint aNow, std::vector<AdmissionEvent>& aEvents)
{
  while (true) {
    const internal::QueuedTicket* next =
      m_queue.Next([&](const AdmissionTicket& aTicket) {
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
    m_runningCost += started.m_ticket.m_cost;
    m_runningOf[started.m_ticket.m_caller] += started.m_ticket.m_cost;
    m_running.emplace(id, Running{ started.m_ticket, aNow });
    aEvents.push_back({ .m_id = id, .m_waited = aNow - started.m_since });
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
                        .m_verdict = Verdict::kRefuse,
                        .m_reason = aReason,
                        .m_waited = aNow - refused->m_since });
  }
}

} // namespace ebonykeel
