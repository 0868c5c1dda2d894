#include "core/filing/filing_run.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {

std::string_view
FilingReasonName(FilingReason aReason)
{
  switch (aReason) {
    case FilingReason::kNone:
      return "none";
    case FilingReason::kTooOld:
      return "too_old";
    case FilingReason::kIssuedInFuture:
      return "issued_in_future";
    case FilingReason::kMismatch:
      return "mismatch";
    case FilingReason::kClaimUnresolved:
      return "claim_unresolved";
    case FilingReason::kClaimRefused:
      return "claim_refused";
    case FilingReason::kDeadline:
      return "deadline";
    case FilingReason::kNotAllowed:
      return "not_allowed";
    case FilingReason::kRefused:
      return "refused";
    case FilingReason::kNoAnswer:
      return "no_answer";
    case FilingReason::kHeldByOther:
      return "held_by_other";
  }
  return "none";
}

FilingRun::FilingRun(FilingRequest aRequest,
                     const FilingSettings& aSettings,
                     const DispatchGuard& aGuard)
  : m_request(std::move(aRequest))
  , m_settings(aSettings)
  , m_guard(aGuard)
  , m_nonce(m_request.m_nonce)
  , m_pollInterval(aSettings.m_minPollInterval)
{
}

FilingActions
FilingRun::Start(const EventTime& aAt)
{
  FilingActions actions;
  if (m_state != State::kNew) {
    return actions;
  }
  FilingReason obstacle = CheckDispatchAllowed(aAt);
  if (obstacle != FilingReason::kNone) {
    Refuse(obstacle, actions);
    return actions;
  }
  m_claimDeadline =
    std::min(aAt.m_monotonic + m_settings.m_claimTimeout, m_request.m_deadline);
  RequestClaim(aAt, actions);
  return actions;
}

FilingActions
FilingRun::OnClaim(const ClaimReply& aReply, const EventTime& aAt)
{
  FilingActions actions;
  bool granted = aReply.m_kind == ClaimReplyKind::kGranted;
  if (m_state != State::kClaiming) {
    // The run has already been answered, so the claim is released.
    if (granted && m_state == State::kEnded) {
      RecordThenAnswer(ClaimState::kNotRun, {}, aAt, actions);
    }
    return actions;
  }
  switch (aReply.m_kind) {
    case ClaimReplyKind::kGranted:
      Dispatch(aAt, actions);
      break;
    case ClaimReplyKind::kHeldByOther:
      HandleHeldByOther(aReply, aAt, actions);
      break;
    case ClaimReplyKind::kAlreadyRan:
      m_state = State::kEnded;
      Answer({ .m_outcome = Outcome::kRan,
               .m_result = aReply.m_found.m_result,
               .m_repeated = true,
               .m_resultKept = aReply.m_found.m_resultKept },
             actions);
      break;
    case ClaimReplyKind::kMismatch:
      Refuse(FilingReason::kMismatch, actions);
      break;
    case ClaimReplyKind::kExpired:
      Refuse(FilingReason::kTooOld, actions);
      break;
    case ClaimReplyKind::kFull:
    case ClaimReplyKind::kCorrupt:
      Refuse(FilingReason::kClaimRefused, actions);
      break;
  }
  return actions;
}

FilingActions
FilingRun::OnDispatched(const DispatchResult& aResult, const EventTime& aAt)
{
  FilingActions actions;
  if (m_state != State::kDispatched) {
    return actions;
  }
  switch (aResult.m_outcome) {
    case Outcome::kRan:
      RecordThenAnswer(
        ClaimState::kRan,
        { .m_outcome = Outcome::kRan, .m_result = aResult.m_result },
        aAt,
        actions);
      break;
    case Outcome::kNotRun:
      RecordThenAnswer(ClaimState::kNotRun,
                       { .m_outcome = Outcome::kNotRun,
                         .m_reason = FilingReason::kRefused,
                         .m_refusal = aResult.m_reason },
                       aAt,
                       actions);
      break;
    case Outcome::kUnknown:
      // The claim stays in the store, so that no repeated request runs a second
      // time.
      m_state = State::kEnded;
      Answer(
        { .m_outcome = Outcome::kUnknown, .m_reason = FilingReason::kNoAnswer },
        actions);
      break;
  }
  return actions;
}

FilingActions
FilingRun::OnRecorded(bool /*aRecorded*/, const EventTime& /*aAt*/)
{
  FilingActions actions;
  if (m_state != State::kRecording) {
    return actions;
  }
  // The outcome is certain even without a record; only a repeated request
  // learns less.
  m_state = State::kEnded;
  Answer(m_pendingAnswer, actions);
  return actions;
}

FilingActions
FilingRun::OnTimer(const EventTime& aAt)
{
  FilingActions actions;
  TimePoint now = aAt.m_monotonic;
  if (m_state == State::kClaiming && now >= m_claimDeadline) {
    actions.emplace_back(
      FilingGiveUpClaim{ m_request.m_key, m_request.m_ticket });
    Refuse(FilingReason::kClaimUnresolved, actions);
  } else if (m_state == State::kPolling && now >= m_request.m_deadline) {
    m_state = State::kEnded;
    Answer({ .m_outcome = Outcome::kUnknown,
             .m_reason = FilingReason::kHeldByOther },
           actions);
  } else if (m_state == State::kPolling && now >= m_nextPoll) {
    ++m_nonce.m_low;
    m_claimDeadline = m_request.m_deadline;
    RequestClaim(aAt, actions);
  } else if (m_state == State::kDispatched && now >= m_request.m_deadline) {
    Answer(
      { .m_outcome = Outcome::kUnknown, .m_reason = FilingReason::kNoAnswer },
      actions);
  } else if (m_state == State::kRecording && now >= m_recordDeadline) {
    Answer(m_pendingAnswer, actions);
  }
  return actions;
}

std::optional<TimePoint>
FilingRun::NextTimer() const
{
  switch (m_state) {
    case State::kClaiming:
      return m_claimDeadline;
    case State::kPolling:
      return std::min(m_nextPoll, m_request.m_deadline);
    case State::kDispatched:
      return m_answered ? std::nullopt : std::optional(m_request.m_deadline);
    case State::kRecording:
      return m_answered ? std::nullopt : std::optional(m_recordDeadline);
    case State::kNew:
    case State::kEnded:
      return std::nullopt;
  }
  return std::nullopt;
}

bool
FilingRun::Ended() const
{
  return m_state == State::kEnded;
}

void
FilingRun::RequestClaim(const EventTime& aAt, FilingActions& aActions)
{
  if (FilingReason problem = CheckIssueTime(aAt.m_wall);
      problem != FilingReason::kNone) {
    Refuse(problem, aActions);
    return;
  }
  m_state = State::kClaiming;
  aActions.emplace_back(FilingClaim{ { .m_ticket = m_request.m_ticket,
                                       .m_key = m_request.m_key,
                                       .m_nonce = m_nonce,
                                       .m_digest = m_request.m_digest,
                                       .m_issuedAt = m_request.m_issuedAt } });
}

void
FilingRun::Dispatch(const EventTime& aAt, FilingActions& aActions)
{
  // The process may have been paused since it requested the claim.
  FilingReason obstacle = CheckDispatchAllowed(aAt);
  if (obstacle != FilingReason::kNone) {
    RecordThenAnswer(ClaimState::kNotRun,
                     { .m_outcome = Outcome::kNotRun, .m_reason = obstacle },
                     aAt,
                     aActions);
    return;
  }
  m_state = State::kDispatched;
  aActions.emplace_back(FilingDispatch{ m_request.m_deadline });
}

void
FilingRun::HandleHeldByOther(const ClaimReply& aReply,
                             const EventTime& aAt,
                             FilingActions& aActions)
{
  bool tooOld =
    aAt.m_wall > aReply.m_found.m_claimedAt + m_settings.m_maxAttemptDuration;
  if (tooOld) {
    m_state = State::kEnded;
    Answer({ .m_outcome = Outcome::kUnknown,
             .m_reason = FilingReason::kHeldByOther },
           aActions);
    return;
  }
  m_state = State::kPolling;
  m_nextPoll = aAt.m_monotonic + m_pollInterval;
  m_pollInterval = std::min(m_pollInterval * 2, m_settings.m_maxPollInterval);
}

void
FilingRun::RecordThenAnswer(ClaimState aState,
                            FilingAnswer aAnswer,
                            const EventTime& aAt,
                            FilingActions& aActions)
{
  m_state = State::kRecording;
  m_recordDeadline = aAt.m_monotonic + m_settings.m_recordTimeout;
  aActions.emplace_back(FilingRecord{ { .m_ticket = m_request.m_ticket,
                                        .m_key = m_request.m_key,
                                        .m_nonce = m_nonce,
                                        .m_issuedAt = m_request.m_issuedAt,
                                        .m_state = aState,
                                        .m_result = aAnswer.m_result } });
  m_pendingAnswer = std::move(aAnswer);
}

void
FilingRun::Refuse(FilingReason aReason, FilingActions& aActions)
{
  m_state = State::kEnded;
  Answer({ .m_outcome = Outcome::kNotRun,
           .m_reason = aReason,
           .m_earlierUnknown = true },
         aActions);
}

void
FilingRun::Answer(FilingAnswer aAnswer, FilingActions& aActions)
{
  if (std::exchange(m_answered, true)) {
    return;
  }
  aActions.emplace_back(FilingFinish{ std::move(aAnswer) });
}

FilingReason
FilingRun::CheckDispatchAllowed(const EventTime& aAt) const
{
  if (FilingReason problem = CheckIssueTime(aAt.m_wall);
      problem != FilingReason::kNone) {
    return problem;
  }
  if (aAt.m_monotonic + m_settings.m_minDispatchTime > m_request.m_deadline) {
    return FilingReason::kDeadline;
  }
  if (!m_guard.MayDispatch(aAt.m_monotonic)) {
    return FilingReason::kNotAllowed;
  }
  return FilingReason::kNone;
}

FilingReason
FilingRun::CheckIssueTime(WallTime aWall) const
{
  if (aWall > m_request.m_issuedAt + m_settings.m_horizon) {
    return FilingReason::kTooOld;
  }
  if (m_request.m_issuedAt > aWall + 2 * m_settings.m_clockSkew) {
    return FilingReason::kIssuedInFuture;
  }
  return FilingReason::kNone;
}

} // namespace ebonykeel
