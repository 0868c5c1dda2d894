// Admits requests in a fair order, or refuses them before they run.
//
//   service.RequestAdmission(ticket).then([](AdmissionResult result) {
//     if (result.m_reason != RefusalReason::kNone) { ... refuse ... }
//     ... run; destroying `result.m_pass` releases the capacity ...
//   });
#pragma once

#include <map>
#include <span>

#include <kj/async.h>

#include "core/admission/admission.h"
#include "runtime/loop/alarm.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {

class AdmissionService;

// Holds the capacity of one admitted request and releases it when destroyed.
// Must not outlive the service.
class AdmissionPass
{
public:
  AdmissionPass(AdmissionService& aService, uint64_t aTicket);
  ~AdmissionPass();
  AdmissionPass(const AdmissionPass&) = delete;
  AdmissionPass& operator=(const AdmissionPass&) = delete;

private:
  AdmissionService& m_service;
  uint64_t m_ticket;
};

// The result of a request for admission. If there is no pass, the request was
// refused and no part of it has run.
struct AdmissionResult
{
  kj::Maybe<kj::Own<AdmissionPass>> m_pass;
  RefusalReason m_reason = RefusalReason::kNone;
};

struct AdmissionTotals
{
  uint64_t m_admitted = 0;
  uint64_t m_queued = 0;
  uint64_t m_refused = 0;
};

// The loop must outlive the service.
class AdmissionService
{
public:
  AdmissionService(Loop& aLoop, const AdmissionOptions& aOptions);

  // Requests admission for `aTicket`. Sets its id.
  [[nodiscard]] kj::Promise<AdmissionResult> RequestAdmission(
    AdmissionTicket aTicket);

  [[nodiscard]] const AdmissionTotals& Totals() const { return m_totals; }
  [[nodiscard]] size_t Queued() const { return m_admission.Queued(); }
  // Returns the cost of the running requests as a share of the limit, in [0,
  // 1].
  [[nodiscard]] float Load() const;

private:
  friend class AdmissionPass;
  using FulfillerMap =
    std::map<uint64_t, kj::Own<kj::PromiseFulfiller<AdmissionResult>>>;

  void Release(uint64_t aTicket);
  void Perform(std::span<const AdmissionEvent> aEvents);
  [[nodiscard]] AdmissionResult Admit(uint64_t aTicket);
  [[nodiscard]] AdmissionResult Refuse(RefusalReason aReason);

  Loop& m_loop;
  AdmissionOptions m_options;
  Admission m_admission;
  uint64_t m_lastTicket = 0;
  FulfillerMap m_waiting;
  AdmissionTotals m_totals;
  Alarm m_alarm;
};

} // namespace ebonykeel
