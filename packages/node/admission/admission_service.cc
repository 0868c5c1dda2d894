#include "node/admission/admission_service.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {

AdmissionPass::AdmissionPass(AdmissionService& aService, uint64_t aTicket)
  : m_service(aService)
  , m_ticket(aTicket)
{
}

AdmissionPass::~AdmissionPass()
{
  m_service.Release(m_ticket);
}

AdmissionService::AdmissionService(Loop& aLoop,
                                   const AdmissionOptions& aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_admission(aOptions)
  , m_alarm(aLoop.Clock(),
            [this]() { Perform(m_admission.OnTimer(m_loop.Clock().Now())); })
{
}

kj::Promise<AdmissionResult>
AdmissionService::RequestAdmission(AdmissionTicket aTicket)
{
  aTicket.m_id = ++m_lastTicket;
  AdmissionDecision decision = m_admission.Offer(aTicket, m_loop.Clock().Now());
  if (decision.m_verdict != AdmissionVerdict::kQueue) {
    Perform(decision.m_otherEvents);
    return decision.m_verdict == AdmissionVerdict::kAdmit
             ? Admit(aTicket.m_id)
             : Refuse(decision.m_reason);
  }
  ++m_totals.m_queued;
  auto paf = kj::newPromiseAndFulfiller<AdmissionResult>();
  m_waiting.emplace(aTicket.m_id, kj::mv(paf.fulfiller));
  Perform(decision.m_otherEvents);
  return kj::mv(paf.promise);
}

float
AdmissionService::Load() const
{
  return std::min(1.0F,
                  static_cast<float>(m_admission.RunningCost()) /
                    static_cast<float>(m_options.m_maxRunningCost));
}

void
AdmissionService::Release(uint64_t aTicket)
{
  Perform(m_admission.OnFinished(aTicket, m_loop.Clock().Now()));
}

void
AdmissionService::Perform(std::span<const AdmissionEvent> aEvents)
{
  for (const AdmissionEvent& event : aEvents) {
    auto found = m_waiting.find(event.m_id);
    if (found == m_waiting.end()) {
      continue;
    }
    auto fulfiller = kj::mv(found->second);
    m_waiting.erase(found);
    fulfiller->fulfill(event.m_verdict == AdmissionVerdict::kAdmit
                         ? Admit(event.m_id)
                         : Refuse(event.m_reason));
  }
  m_alarm.Set(m_admission.NextTimer());
}

AdmissionResult
AdmissionService::Admit(uint64_t aTicket)
{
  ++m_totals.m_admitted;
  return { .m_pass = kj::heap<AdmissionPass>(*this, aTicket) };
}

AdmissionResult
AdmissionService::Refuse(RefusalReason aReason)
{
  ++m_totals.m_refused;
  return { .m_reason = aReason };
}

} // namespace ebonykeel
