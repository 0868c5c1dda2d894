// Groups the claims of many requests into few conditional writes of the store.
//
// A bucket of claims is one object. At most one call is outstanding for each
// bucket; what arrives meanwhile goes into the next write, so that the rate of
// writes is bounded by buckets over `m_writeSpacing`, however many requests
// there are. Several instances may write one bucket: only the store's
// conditional update decides who holds a claim.
//
//   ClaimBatcher batcher(settings, self, bitGen);
//   for (BatcherAction& action : batcher.Acquire(request, at)) { ... }
//   batcher.OnStoreReply({ .m_call = call, ... }, at);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "core/filing/claim.h"

namespace ebonykeel {

// Names one waiting request at one batcher. Never used twice.
using ClaimTicket = uint64_t;
// Names one call to the store. Never used twice by one batcher; another
// batcher, such as that of an earlier run of the process, uses the same.
using StoreCallId = uint64_t;

struct ClaimBatcherSettings
{
  // The same on every instance, and unchanged while claims are kept.
  uint32_t m_bucketCount = 64;
  // How long after its first issue a request may be claimed.
  std::chrono::milliseconds m_horizon = std::chrono::minutes(10);
  // The most by which the wall clock of an instance is wrong.
  std::chrono::milliseconds m_clockSkew = std::chrono::seconds(2);
  // The bound of one object.
  size_t m_maxBucketBytes = 1'000'000;
  // A longer result is not recorded: a repeat learns only that it ran.
  size_t m_maxResultBytes = 4'096;
  // Requests that wait for the store at most.
  size_t m_maxPending = 10'000;
  // A call without a reply for this long may or may not have happened.
  Duration m_callTimeout = Milliseconds(500);
  // The pause after a conflict or a failure, with jitter; it doubles.
  Duration m_minBackoff = Milliseconds(2);
  Duration m_maxBackoff = Milliseconds(500);
  // Writes of one bucket start at least this far apart, so that more requests
  // share one.
  Duration m_writeSpacing = Milliseconds(20);
  // How long a bucket is remembered without use.
  Duration m_cacheTtl = Seconds(10);
  // The name of a bucket's object is this and its number.
  std::string m_keyPrefix = "claims/";
};

struct ClaimRequest
{
  ClaimTicket m_ticket = 0;
  ClaimKey m_key;
  // Not zero, and fresh for each attempt.
  ClaimNonce m_nonce;
  std::string m_digest;
  WallTime m_issuedAt;
};

enum class ClaimReplyKind
{
  // This attempt, and no other, may dispatch the request.
  kGranted,
  // Another attempt holds the claim and has recorded no result.
  kHeldByOther,
  // The request ran; the result is in `m_found`.
  kAlreadyRan,
  // The same id was issued before with another payload or issue time.
  kMismatch,
  // The request was issued longer ago than the horizon.
  kExpired,
  // The bucket or the queue has no room.
  kFull,
  // The bucket's object is not readable as claims.
  kCorrupt,
};

struct ClaimReply
{
  ClaimReplyKind m_kind = ClaimReplyKind::kFull;
  // The claim that was found, for `kHeldByOther` and `kAlreadyRan`.
  Claim m_found;
};

struct RecordRequest
{
  ClaimTicket m_ticket = 0;
  ClaimKey m_key;
  ClaimNonce m_nonce;
  WallTime m_issuedAt;
  // `kRan` or `kNotRun`.
  ClaimState m_state = ClaimState::kNotRun;
  std::string m_result;
};

enum class StoreReplyKind
{
  // The read or write happened.
  kOk,
  // The object had another version; nothing was written.
  kConflict,
  // The read object does not exist.
  kNotFound,
  // No reply, or one that leaves open whether the write happened.
  kNoReply,
};

struct StoreReply
{
  StoreCallId m_call = 0;
  StoreReplyKind m_kind = StoreReplyKind::kNoReply;
  // The version that was read or written; grows with each write.
  uint64_t m_version = 0;
  // What was read.
  std::string m_value;
};

// Read this object.
struct BatcherRead
{
  StoreCallId m_call = 0;
  std::string m_key;
};

// Write this object if it still has this version; 0 means that it must not
// exist yet.
struct BatcherWrite
{
  StoreCallId m_call = 0;
  std::string m_key;
  uint64_t m_ifVersion = 0;
  std::string m_value;
};

// Answers `ClaimBatcher::Acquire`.
struct BatcherClaimDone
{
  ClaimTicket m_ticket = 0;
  ClaimReply m_reply;
};

// Answers `ClaimBatcher::Record`.
struct BatcherRecordDone
{
  ClaimTicket m_ticket = 0;
  // False when the claim is not there any more.
  bool m_recorded = false;
};

using BatcherAction =
  std::variant<BatcherRead, BatcherWrite, BatcherClaimDone, BatcherRecordDone>;
using BatcherActions = std::vector<BatcherAction>;

// Not thread safe. `aBitGen` has to outlive it.
class ClaimBatcher
{
public:
  ClaimBatcher(ClaimBatcherSettings aSettings,
               InstanceId aSelf,
               absl::BitGenRef aBitGen);

  // Claims a request. Answered by exactly one `BatcherClaimDone`, unless it is
  // given up before.
  [[nodiscard]] BatcherActions Acquire(const ClaimRequest& aRequest,
                                       const EventTime& aAt);

  // Nobody waits any more for the claim, and its holder will never dispatch.
  // A claim that was or will be written all the same is recorded as not run.
  [[nodiscard]] BatcherActions GiveUp(const ClaimKey& aKey,
                                      ClaimTicket aTicket,
                                      const EventTime& aAt);

  // Records the end of a granted claim. Tried until the claim expires.
  [[nodiscard]] BatcherActions Record(const RecordRequest& aRequest,
                                      const EventTime& aAt);

  // Replies to calls that are not outstanding are ignored.
  [[nodiscard]] BatcherActions OnStoreReply(const StoreReply& aReply,
                                            const EventTime& aAt);

  [[nodiscard]] BatcherActions OnTimer(const EventTime& aAt);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Requests that wait for the store.
  [[nodiscard]] size_t Pending() const;

private:
  // One claim or record on its way into a bucket.
  struct Operation
  {
    ClaimTicket m_ticket = 0;
    ClaimKey m_key;
    // What to write; `kClaimed` asks for the claim.
    Claim m_claim;
    TimePoint m_arrivedAt;
    // Answered or given up: only keeps the claim from staying behind.
    bool m_cleanupOnly = false;
    // Went into a write that was based on `m_writeBaseVersion`.
    bool m_writeIssued = false;
    uint64_t m_writeBaseVersion = 0;
  };

  // What is known of an object.
  struct Content
  {
    uint64_t m_version = 0;
    ClaimBucket m_claims;
    // It was current at some time not before this.
    TimePoint m_validAt;
  };

  struct Bucket
  {
    uint32_t m_number = 0;
    std::optional<Content> m_content;
    std::deque<Operation> m_operations;
    // The outstanding call, 0 when none is.
    StoreCallId m_call = 0;
    bool m_writing = false;
    TimePoint m_calledAt;
    // What the outstanding write holds.
    ClaimBucket m_writtenClaims;
    Duration m_backoff{ 0 };
    TimePoint m_blockedUntil;
    // A write has just succeeded: its requests can be answered at once.
    bool m_answersReady = false;
    TimePoint m_lastUsedAt;
    // Another instance writes this bucket too, so that it pays to read before
    // a write.
    bool m_writtenByOthers = false;
    uint64_t m_lastVersion = 0;
  };

  // What an operation asks of a bucket's content.
  enum class ApplyResult
  {
    // Answered; nothing to write.
    kDone,
    // Changed the content, which has to be written.
    kWrite,
    // The content may be too old to answer from.
    kStale,
  };

  // The claims of a bucket while operations are applied to them.
  struct Draft
  {
    uint64_t m_version = 0;
    TimePoint m_validAt;
    ClaimBucket m_claims;
    size_t m_bytes = 0;
    // Claims that the draft changes; not yet in the store.
    std::set<ClaimKey> m_changedKeys;
  };

  [[nodiscard]] Bucket& BucketFor(const ClaimKey& aKey, const EventTime& aAt);
  void Advance(Bucket& aBucket, const EventTime& aAt, BatcherActions& aActions);
  // Applies each operation and drops the answered ones. Returns whether one
  // needs newer content.
  [[nodiscard]] bool ApplyAll(Bucket& aBucket,
                              Draft& aDraft,
                              const EventTime& aAt,
                              BatcherActions& aActions) const;
  [[nodiscard]] Draft MakeDraft(const Content& aContent, WallTime aWall) const;
  void StartRead(Bucket& aBucket,
                 const EventTime& aAt,
                 BatcherActions& aActions);
  void StartWrite(Bucket& aBucket,
                  Draft aDraft,
                  const EventTime& aAt,
                  BatcherActions& aActions);
  void HandleReply(Bucket& aBucket,
                   const StoreReply& aReply,
                   const EventTime& aAt,
                   BatcherActions& aActions);
  void HandleContent(Bucket& aBucket,
                     const StoreReply& aReply,
                     BatcherActions& aActions);
  void Retry(Bucket& aBucket, const EventTime& aAt, BatcherActions& aActions);
  static void RefuseCorrupt(Bucket& aBucket, BatcherActions& aActions);
  [[nodiscard]] ApplyResult Apply(Operation& aOperation,
                                  Draft& aDraft,
                                  const EventTime& aAt,
                                  BatcherActions& aActions) const;
  [[nodiscard]] ApplyResult ApplyClaim(Operation& aOperation,
                                       Draft& aDraft,
                                       const EventTime& aAt,
                                       BatcherActions& aActions) const;
  [[nodiscard]] ApplyResult InsertClaim(Operation& aOperation,
                                        Draft& aDraft,
                                        BatcherActions& aActions) const;
  [[nodiscard]] static ApplyResult ApplyRecord(const Operation& aOperation,
                                               Draft& aDraft,
                                               BatcherActions& aActions);
  [[nodiscard]] static ApplyResult ApplyCleanup(const Operation& aOperation,
                                                Draft& aDraft);
  [[nodiscard]] static ApplyResult AnswerClaim(Operation& aOperation,
                                               ClaimReply aReply,
                                               Draft& aDraft,
                                               BatcherActions& aActions);
  [[nodiscard]] bool IsPastRetention(const Claim& aClaim, WallTime aWall) const;
  [[nodiscard]] size_t ReservedBytes(const ClaimKey& aKey,
                                     const Claim& aClaim) const;

  const ClaimBatcherSettings m_settings;
  const InstanceId m_self;
  absl::BitGenRef m_bitGen;
  std::map<uint32_t, Bucket> m_buckets;
  StoreCallId m_lastCall = 0;
};

} // namespace ebonykeel
