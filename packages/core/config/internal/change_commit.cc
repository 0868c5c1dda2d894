#include "core/config/internal/change_commit.h"

#include <algorithm>
#include <utility>

#include "core/config/configuration_json.h"

namespace ebonykeel::internal {
namespace {

// Returns the history record of the change `aChangeId`, or null.
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

ChangeCommit::ChangeCommit(ChangeRequest aRequest)
  : m_request(std::move(aRequest))
{
  m_reply.m_request = m_request.m_request;
}

CommitCall
ChangeCommit::NextCall() const
{
  switch (m_phase) {
    case Phase::kWritingHistory:
      return { true,
               ConfigurationHistoryKey(m_base->m_generation),
               EncodeConfiguration(*m_base),
               0 };
    case Phase::kWriting:
      return { true,
               std::string(kCurrentConfigurationKey),
               EncodeConfiguration(*m_next),
               m_baseVersion };
    case Phase::kReadingBase:
    case Phase::kConfirming:
      break;
  }
  return { false, std::string(kCurrentConfigurationKey), "", 0 };
}

void
ChangeCommit::OnCallStarted()
{
  m_writeInFlight = m_phase == Phase::kWriting;
}

CommitStep
ChangeCommit::OnRead(const CurrentRead& aRead, Generation aInForce)
{
  if (aRead.m_status == CurrentRead::Status::kFailed) {
    m_timeoutOutcome = ChangeOutcome::kStoreUnreachable;
    return CommitStep::kCallLater;
  }
  if (aRead.m_status == CurrentRead::Status::kUnreadable) {
    m_timeoutOutcome = ChangeOutcome::kStoreUnreadable;
    return CommitStep::kCallLater;
  }
  if (m_phase == Phase::kConfirming) {
    return OnConfirmationRead(aRead);
  }
  Generation found =
    aRead.m_configuration ? aRead.m_configuration->m_generation : 0;
  if (found < aInForce) {
    m_timeoutOutcome = ChangeOutcome::kStoreBehind;
    return CommitStep::kCallLater;
  }
  return ApplyChange(aRead);
}

CommitStep
ChangeCommit::ApplyChange(const CurrentRead& aRead)
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
  m_writeMayTakeEffect = false;
  m_phase = aRead.m_configuration ? Phase::kWritingHistory : Phase::kWriting;
  return CommitStep::kCall;
}

CommitStep
ChangeCommit::OnWrite(StoreStatus aStatus)
{
  m_writeInFlight = false;
  return m_phase == Phase::kWritingHistory ? OnHistoryWritten(aStatus)
                                           : OnConfigurationWritten(aStatus);
}

CommitStep
ChangeCommit::OnHistoryWritten(StoreStatus aStatus)
{
  bool written =
    aStatus == StoreStatus::kOk || aStatus == StoreStatus::kConflict;
  if (!written) {
    m_timeoutOutcome = ChangeOutcome::kStoreUnreachable;
    return CommitStep::kCallLater;
  }
  m_phase = Phase::kWriting;
  return CommitStep::kCall;
}

CommitStep
ChangeCommit::OnConfigurationWritten(StoreStatus aStatus)
{
  if (aStatus == StoreStatus::kOk) {
    m_accepted = m_next;
    return Finish(ChangeOutcome::kAccepted, m_next->m_generation);
  }
  if (aStatus == StoreStatus::kRefused) {
    m_timeoutOutcome = ChangeOutcome::kStoreUnreachable;
    return CommitStep::kCallLater;
  }
  m_writeMayTakeEffect =
    m_writeMayTakeEffect || aStatus != StoreStatus::kConflict;
  m_phase = Phase::kConfirming;
  if (aStatus == StoreStatus::kConflict) {
    m_timeoutOutcome = ChangeOutcome::kConflict;
    return CommitStep::kCall;
  }
  return CommitStep::kCallLater;
}

CommitStep
ChangeCommit::OnConfirmationRead(const CurrentRead& aRead)
{
  if (aRead.m_configuration) {
    return OnConfirmationFound(aRead);
  }
  // The store has no configuration, so the write of the first one has not taken
  // effect yet.
  m_phase = Phase::kWriting;
  return CommitStep::kCallLater;
}

CommitStep
ChangeCommit::OnConfirmationFound(const CurrentRead& aRead)
{
  const Configuration& current = *aRead.m_configuration;
  if (const ChangeRecord* record = FindChange(current, m_request.m_changeId)) {
    return Finish(ChangeOutcome::kAccepted, record->m_generation);
  }
  if (current.m_generation < m_next->m_generation) {
    // The write has not taken effect. It can be retried safely: the expected
    // version is gone once one of the writes takes effect.
    m_phase = Phase::kWriting;
    return CommitStep::kCallLater;
  }
  if (!ListsGeneration(current, m_next->m_generation)) {
    // So many changes have followed that the history no longer shows which
    // change produced this generation.
    return Finish(m_writeMayTakeEffect ? ChangeOutcome::kUnknown
                                       : ChangeOutcome::kConflict,
                  current.m_generation);
  }
  // Another change produced this generation, so the write of this one can no
  // longer take effect.
  m_writeMayTakeEffect = false;
  if (m_request.m_onConflict == OnConflict::kReapply) {
    return ApplyChange(aRead);
  }
  return Finish(ChangeOutcome::kConflict, current.m_generation);
}

void
ChangeCommit::GiveUp()
{
  bool mayTakeEffect = m_writeMayTakeEffect || m_writeInFlight;
  (void)Finish(mayTakeEffect ? ChangeOutcome::kUnknown : m_timeoutOutcome, 0);
}

CommitStep
ChangeCommit::Finish(ChangeOutcome aOutcome, Generation aGeneration)
{
  m_reply.m_outcome = aOutcome;
  m_reply.m_generation = aGeneration;
  return CommitStep::kDone;
}

} // namespace ebonykeel::internal
