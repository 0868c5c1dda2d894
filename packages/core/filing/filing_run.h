// The life of one request that must run at most once, at the instance that a
// caller sent it to: claim it in the store, dispatch it once, record what came
// of it, answer.
//
// The instance carries out the returned actions in order:
//
//   FilingRun run(request, settings, guard);
//   for (FilingAction& action : run.Start(at)) { ... }
//   run.OnClaim(reply, at);
//   run.OnDispatched({ .m_outcome = Outcome::kRan, ... }, at);
//
// An answer of "not-run" is given only when the request was not dispatched, or
// when whoever dispatched it knows that no byte of it reached the upstream or
// that the upstream refused it; after that the run never dispatches.
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

// Why a filing got its answer.
enum class FilingReason
{
  kNone,
  // Issued longer ago than the horizon within which repeats are recognised.
  kTooOld,
  // Issued later than any clock may show.
  kIssuedInFuture,
  // The same id was issued before with another payload or issue time.
  kMismatch,
  // The store did not confirm the claim in time.
  kClaimUnresolved,
  // The store has no room for the claim, or holds an unreadable one.
  kClaimRefused,
  // Too little time was left to dispatch it.
  kDeadline,
  // This instance may not act at present.
  kNotAllowed,
  // The upstream or its owner refused it before it ran.
  kRefused,
  // It was dispatched, and no answer came.
  kNoAnswer,
  // Another attempt at the same request holds the claim and has not ended.
  kHeldByOther,
};

// Returns the stable name of `aReason`, such as "claim_unresolved".
[[nodiscard]] std::string_view
FilingReasonName(FilingReason aReason);

struct FilingRequest
{
  // The ticket under which the claim and its record are asked for.
  ClaimTicket m_ticket = 0;
  ClaimKey m_key;
  // Not zero, and fresh for each run.
  ClaimNonce m_nonce;
  // A digest of the payload.
  std::string m_digest;
  // When the caller first issued it; the same for each repeat.
  WallTime m_issuedAt;
  TimePoint m_deadline;
};

struct FilingSettings
{
  // As in `ClaimBatcherSettings`.
  std::chrono::milliseconds m_horizon = std::chrono::minutes(10);
  std::chrono::milliseconds m_clockSkew = std::chrono::seconds(2);
  // How long the claim may take; a later grant is handed back.
  Duration m_claimTimeout = Milliseconds(1000);
  // A request with less time left is not dispatched.
  Duration m_minDispatchTime = Milliseconds(5);
  // How long the answer waits for its record.
  Duration m_recordTimeout = Milliseconds(250);
  // How often a claim that another attempt holds is looked at. It doubles, up
  // to `m_maxPollInterval`.
  Duration m_minPollInterval = Milliseconds(20);
  Duration m_maxPollInterval = Milliseconds(500);
  // An attempt that has been claimed for longer is not waited for.
  std::chrono::milliseconds m_maxAttemptDuration = std::chrono::seconds(30);
};

// Says whether this instance may act; for example, that its own lease holds.
class DispatchGuard
{
public:
  virtual ~DispatchGuard() = default;
  [[nodiscard]] virtual bool MayDispatch(TimePoint aNow) const = 0;
};

// What came of the dispatch.
struct DispatchResult
{
  // `kNotRun` only when it is certain, and stays so.
  Outcome m_outcome = Outcome::kUnknown;
  // With `kNotRun`: why.
  MissingReason m_reason = MissingReason::kNone;
  // With `kRan`: the upstream's answer.
  std::string m_result;
};

struct FilingAnswer
{
  // Whether this attempt ran, or with `kRan` an earlier one.
  Outcome m_outcome = Outcome::kNotRun;
  FilingReason m_reason = FilingReason::kNone;
  // With `kRefused`: why.
  MissingReason m_refusal = MissingReason::kNone;
  std::string m_result;
  // It ran earlier, and `m_result` was recorded then.
  bool m_repeated = false;
  // False when the recorded result was too long to be kept.
  bool m_resultKept = true;
  // With `kNotRun`: no claim was read, so that an earlier attempt under the
  // same id, if there was one, may have run.
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

// Send the request to the upstream's owner, never again and not after
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

// Not thread safe. `aGuard` has to outlive it. Keep it after the answer until
// `Ended`, so that a late result is still recorded.
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
  // Answered, and nothing more can come of it.
  [[nodiscard]] bool Ended() const;

private:
  enum class State
  {
    kNew,
    // A claim is asked for.
    kClaiming,
    // Another attempt holds the claim; it is looked at again later.
    kPolling,
    // Sent, and no result yet.
    kDispatched,
    // The result is being recorded.
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
  // Changes with each claim that is asked for.
  ClaimNonce m_nonce;
  TimePoint m_claimDeadline;
  TimePoint m_nextPoll;
  Duration m_pollInterval{ 0 };
  TimePoint m_recordDeadline;
  FilingAnswer m_pendingAnswer;
};

} // namespace ebonykeel
