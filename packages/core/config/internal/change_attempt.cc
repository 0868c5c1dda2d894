#include "core/config/internal/change_attempt.h"

#include <algorithm>
#include <utility>

#include "core/config/configuration_json.h"

namespace ebonykeel::internal {
namespace {

// Returns the record of the change `aChangeId`, or null.
const ChangeRecord*
FindChange(const Configuration& aConfiguration, const std::string& aChangeId)
{
  auto found = std::ranges::find(
    aConfiguration.m_history, aChangeId, &ChangeRecord::m_changeId);
  return found == aConfiguration.m_history.end() ? nullptr : &*found;
}

bool
ListsGeneration(const Configuration& aConfiguration, Generation aGeneration)
{
  return std::ranges::find(aConfiguration.m_history,
                           aGeneration,
                           &ChangeRecord::m_generation) !=
         aConfiguration.m_history.end();
}

} // namespace

ChangeAttempt::ChangeAttempt(ChangeRequest aRequest)
  : m_request(std::move(aRequest))
{
  m_reply.m_request = m_request.m_request;
}

AttemptCall
ChangeAttempt::NextCall() const
{
  switch (m_phase) {
    case Phase::kKeeping:
      return { true,
               ConfigurationHistoryKey(m_base->m_generation),
               EncodeConfiguration(*m_base),
               0 };
    case Phase::kWriting:
      return { true,
               std::string(kCurrentConfigurationKey),
               EncodeConfiguration(*m_next),
               m_baseVersion };
    case Phase::kReading:
    case Phase::kConfirming:
      break;
  }
  return { false, std::string(kCurrentConfigurationKey), "", 0 };
}

void
ChangeAttempt::OnCalled()
{
  m_inFlight = m_phase == Phase::kWriting;
}

AttemptStep
ChangeAttempt::OnRead(const CurrentRead& aRead, Generation aInForce)
{
  if (aRead.m_status == CurrentRead::Status::kFailed) {
    m_obstacle = ChangeOutcome::kStoreUnreachable;
    return AttemptStep::kCallLater;
  }
  if (aRead.m_status == CurrentRead::Status::kUnreadable) {
    m_obstacle = ChangeOutcome::kStoreUnreadable;
    return AttemptStep::kCallLater;
  }
  if (m_phase == Phase::kConfirming) {
    return Confirm(aRead);
  }
  Generation found =
    aRead.m_configuration ? aRead.m_configuration->m_generation : 0;
  if (found < aInForce) {
    m_obstacle = ChangeOutcome::kStoreBehind;
    return AttemptStep::kCallLater;
  }
  return Begin(aRead);
}

AttemptStep
ChangeAttempt::Begin(const CurrentRead& aRead)
{
  m_base = aRead.m_configuration ? aRead.m_configuration
                                 : std::make_shared<const Configuration>();
  m_baseVersion = aRead.m_version;
  if (const ChangeRecord* record = FindChange(*m_base, m_request.m_changeId)) {
    return Finish(ChangeOutcome::kAccepted, record->m_generation);
  }
  if (m_request.m_baseGeneration &&
      *m_request.m_baseGeneration != m_base->m_generation) {
    return Finish(ChangeOutcome::kConflict, m_base->m_generation);
  }
  ChangeResult result = m_request.m_apply(*m_base);
  if (!result.m_next) {
    m_reply.m_refusal = result.m_refusal;
    m_reply.m_findings = std::move(result.m_findings);
    return Finish(ChangeOutcome::kRefused, m_base->m_generation);
  }
  m_next = std::make_shared<const Configuration>(*std::move(result.m_next));
  m_mayLand = false;
  m_phase = aRead.m_configuration ? Phase::kKeeping : Phase::kWriting;
  return AttemptStep::kCall;
}

AttemptStep
ChangeAttempt::OnWrite(StoreStatus aStatus)
{
  m_inFlight = false;
  return m_phase == Phase::kKeeping ? OnKept(aStatus) : OnWritten(aStatus);
}

AttemptStep
ChangeAttempt::OnKept(StoreStatus aStatus)
{
  bool kept = aStatus == StoreStatus::kOk || aStatus == StoreStatus::kConflict;
  if (!kept) {
    m_obstacle = ChangeOutcome::kStoreUnreachable;
    return AttemptStep::kCallLater;
  }
  m_phase = Phase::kWriting;
  return AttemptStep::kCall;
}

AttemptStep
ChangeAttempt::OnWritten(StoreStatus aStatus)
{
  if (aStatus == StoreStatus::kOk) {
    m_accepted = m_next;
    return Finish(ChangeOutcome::kAccepted, m_next->m_generation);
  }
  if (aStatus == StoreStatus::kRefused) {
    m_obstacle = ChangeOutcome::kStoreUnreachable;
    return AttemptStep::kCallLater;
  }
  m_mayLand = m_mayLand || aStatus != StoreStatus::kConflict;
  m_phase = Phase::kConfirming;
  if (aStatus == StoreStatus::kConflict) {
    m_obstacle = ChangeOutcome::kConflict;
    return AttemptStep::kCall;
  }
  return AttemptStep::kCallLater;
}

AttemptStep
ChangeAttempt::Confirm(const CurrentRead& aRead)
{
  if (aRead.m_configuration) {
    return ConfirmFound(aRead);
  }
  // Still absent: the first configuration has not been written yet.
  m_phase = Phase::kWriting;
  return AttemptStep::kCallLater;
}

AttemptStep
ChangeAttempt::ConfirmFound(const CurrentRead& aRead)
{
  const Configuration& current = *aRead.m_configuration;
  if (const ChangeRecord* record = FindChange(current, m_request.m_changeId)) {
    return Finish(ChangeOutcome::kAccepted, record->m_generation);
  }
  if (current.m_generation < m_next->m_generation) {
    // The write has not landed. The same write again is harmless: the version
    // that it asks for exists only until one of them lands.
    m_phase = Phase::kWriting;
    return AttemptStep::kCallLater;
  }
  if (!ListsGeneration(current, m_next->m_generation)) {
    // Too many changes have followed to tell whose the generation is.
    return Finish(m_mayLand ? ChangeOutcome::kUnknown
                            : ChangeOutcome::kConflict,
                  current.m_generation);
  }
  // Another change has this generation, so that ours can never land.
  m_mayLand = false;
  if (m_request.m_onConflict == OnConflict::kReapply) {
    return Begin(aRead);
  }
  return Finish(ChangeOutcome::kConflict, current.m_generation);
}

void
ChangeAttempt::GiveUp()
{
  bool mayLand = m_mayLand || m_inFlight;
  (void)Finish(mayLand ? ChangeOutcome::kUnknown : m_obstacle, 0);
}

AttemptStep
ChangeAttempt::Finish(ChangeOutcome aOutcome, Generation aGeneration)
{
  m_reply.m_outcome = aOutcome;
  m_reply.m_generation = aGeneration;
  return AttemptStep::kDone;
}

} // namespace ebonykeel::internal
