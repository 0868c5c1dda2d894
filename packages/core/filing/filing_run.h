// Runs one request that must run at most once, at the instance that the caller
// sent it to: claims it in the store, dispatches it once, records its outcome
// and answers the caller.
//
// The instance carries out the returned actions in order:
//
//   FilingRun run(request, settings, guard);
//   for (FilingAction& action : run.Start(at)) { ... }
//   run.OnClaim(reply, at);
//   run.OnDispatched({ .m_outcome = Outcome::kRan, ... }, at);
//
// "not-run" is answered only if the request was not dispatched, or if its
// dispatch is known to have sent no byte to the upstream or to have been
// refused by the upstream. After such an answer the run never dispatches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/time.h"
#include "core/filing/claim.h"
#include "core/filing/claim_batcher.h"
#include "core/query/messages.h"

namespace ebonykeel {

// The reason for the answer to a filing.
enum class FilingReason
{
  kNone,
  // The request was issued longer ago than the horizon within which repeated
  // requests are recognised.
  kTooOld,
  // The request has an issue time in the future, by more than the clock skew
  // allows.
  kIssuedInFuture,
  // The same id was issued before with another payload or issue time.
  kMismatch,
  // The store did not confirm the claim in time.
  kClaimUnresolved,
  // The store has no room for the claim, or the bucket of the claim cannot be
  // decoded.
  kClaimRefused,
  // Too little time remained to dispatch the request.
  kDeadline,
  // This instance is currently not allowed to dispatch.
  kNotAllowed,
  // The upstream or its owner refused the request before it ran.
  kRefused,
  // The request was dispatched, and no answer arrived.
  kNoAnswer,
  // Another attempt at the same request holds the claim and has not ended.
  kHeldByOther,
};

// Returns the stable name of `aReason`, such as "claim_unresolved".
[[nodiscard]] std::string_view
FilingReasonName(FilingReason aReason);

struct FilingRequest
{
  // The ticket for the claim and for its record.
  ClaimTicket m_ticket = 0;
  ClaimKey m_key;
  // Not zero, and new for each run.
  ClaimNonce m_nonce;
  // A digest of the payload.
  std::string m_digest;
  // When the caller first issued the request; the same for each repeated
  // request.
  WallTime m_issuedAt;
  TimePoint m_deadline;
};

struct FilingSettings
{
  // As in `ClaimBatcherSettings`.
  std::chrono::milliseconds m_horizon = std::chrono::minutes(10);
  std::chrono::milliseconds m_clockSkew = std::chrono::seconds(2);
  // The maximum time to wait for the claim. A claim that is granted later is
  // released as not run.
  Duration m_claimTimeout = Milliseconds(1000);
  // A request with less remaining time is not dispatched.
  Duration m_minDispatchTime = Milliseconds(5);
  // The maximum time that the answer waits for its record.
  Duration m_recordTimeout = Milliseconds(250);
  // The interval at which a claim that another attempt holds is read again. It
  // doubles, up to `m_maxPollInterval`.
  Duration m_minPollInterval = Milliseconds(20);
  Duration m_maxPollInterval = Milliseconds(500);
  // An attempt that claimed the request longer ago than this is not waited for.
  std::chrono::milliseconds m_maxAttemptDuration = std::chrono::seconds(30);
};

// Says whether this instance may dispatch, for example because its own lease is
// valid.
class DispatchGuard
{
public:
  virtual ~DispatchGuard() = default;
  [[nodiscard]] virtual bool MayDispatch(TimePoint aNow) const = 0;
};

// The result of the dispatch.
struct DispatchResult
{
  // `kNotRun` only if it is certain that the request did not run and will not
  // run.
  Outcome m_outcome = Outcome::kUnknown;
  // The reason for `kNotRun`.
  MissingReason m_reason = MissingReason::kNone;
  // The answer of the upstream, for `kRan`.
  std::string m_result;
};

struct FilingAnswer
{
  // The outcome of this attempt; `kRan` may also be that of an earlier one.
  Outcome m_outcome = Outcome::kNotRun;
  FilingReason m_reason = FilingReason::kNone;
  // The reason for `FilingReason::kRefused`.
  MissingReason m_refusal = MissingReason::kNone;
  std::string m_result;
  // The request ran in an earlier attempt, and `m_result` is the result
  // recorded then.
  bool m_repeated = false;
  // False if the result was too long to be recorded.
  bool m_resultKept = true;
  // For `kNotRun`: no claim was read, so an earlier attempt with the same id
  // may have run.
  bool m_earlierUnknown = false;
};

// Call `ClaimBatcher::Acquire`.
struct FilingClaim
{
  ClaimRequest m_request;
};

// Call `ClaimBatcher::GiveUp`.
struct FilingGiveUpClaim
{
  ClaimKey m_key;
  ClaimTicket m_ticket = 0;
};

// Send the request to the owner of the upstream, exactly once and not after
// `m_notAfter`.
struct FilingDispatch
{
  TimePoint m_notAfter;
};

// Call `ClaimBatcher::Record`.
struct FilingRecord
{
  RecordRequest m_request;
};

// Answer the caller.
struct FilingFinish
{
  FilingAnswer m_answer;
};

using FilingAction = std::variant<FilingClaim,
                                  FilingGiveUpClaim,
                                  FilingDispatch,
                                  FilingRecord,
                                  FilingFinish>;
using FilingActions = std::vector<FilingAction>;

// Not thread safe. `aGuard` must outlive the run. Keep the run after its answer
// until `Ended`, so that a late result is still recorded.
class FilingRun
{
public:
  FilingRun(FilingRequest aRequest,
            const FilingSettings& aSettings,
            const DispatchGuard& aGuard);

  [[nodiscard]] FilingActions Start(const EventTime& aAt);
  [[nodiscard]] FilingActions OnClaim(const ClaimReply& aReply,
                                      const EventTime& aAt);
  [[nodiscard]] FilingActions OnDispatched(const DispatchResult& aResult,
                                           const EventTime& aAt);
  [[nodiscard]] FilingActions OnRecorded(bool aRecorded, const EventTime& aAt);
  [[nodiscard]] FilingActions OnTimer(const EventTime& aAt);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] bool Answered() const { return m_answered; }
  // Returns true if the run has been answered and waits neither for a result
  // nor for a record.
  [[nodiscard]] bool Ended() const;

private:
  enum class State
  {
    kNew,
    // The claim was requested.
    kClaiming,
    // Another attempt holds the claim, which is read again later.
    kPolling,
    // The request was dispatched and has no result yet.
    kDispatched,
    // The outcome is being recorded.
    kRecording,
    kEnded,
  };

  void RequestClaim(const EventTime& aAt, FilingActions& aActions);
  void Dispatch(const EventTime& aAt, FilingActions& aActions);
  void HandleHeldByOther(const ClaimReply& aReply,
                         const EventTime& aAt,
                         FilingActions& aActions);
  void RecordThenAnswer(ClaimState aState,
                        FilingAnswer aAnswer,
                        const EventTime& aAt,
                        FilingActions& aActions);
  void Refuse(FilingReason aReason, FilingActions& aActions);
  void Answer(FilingAnswer aAnswer, FilingActions& aActions);
  [[nodiscard]] FilingReason CheckDispatchAllowed(const EventTime& aAt) const;
  [[nodiscard]] FilingReason CheckIssueTime(WallTime aWall) const;

  const FilingRequest m_request;
  const FilingSettings m_settings;
  const DispatchGuard& m_guard;

  State m_state = State::kNew;
  bool m_answered = false;
  // Changes with each claim that is requested.
  ClaimNonce m_nonce;
  TimePoint m_claimDeadline;
  TimePoint m_nextPoll;
  Duration m_pollInterval{ 0 };
  TimePoint m_recordDeadline;
  FilingAnswer m_pendingAnswer;
};

} // namespace ebonykeel
