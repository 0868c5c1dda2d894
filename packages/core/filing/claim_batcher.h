// Batches the claims of many requests into few conditional writes to the object
// store.
//
// A bucket of claims is one object. Each bucket has at most one outstanding
// call; operations that arrive meanwhile go into the next write. The rate of
// writes is therefore bounded by the number of buckets divided by
// `m_writeSpacing`, whatever the number of requests. Several instances may
// write the same bucket: only the conditional update of the store decides which
// attempt holds a claim.
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

// Identifies a waiting request at one batcher. Never reused.
using ClaimTicket = uint64_t;
// Identifies a call to the store. Never reused by the same batcher; other
// batchers, such as that of an earlier process run, use the same ids.
using StoreCallId = uint64_t;

struct ClaimBatcherSettings
{
  // Must be the same on every instance, and must not change while claims are
  // retained.
  uint32_t m_bucketCount = 64;
  // The time after its first issue during which a request may be claimed.
  std::chrono::milliseconds m_horizon = std::chrono::minutes(10);
  // The maximum error of the wall clock of an instance.
  std::chrono::milliseconds m_clockSkew = std::chrono::seconds(2);
  // The maximum size of one object.
  size_t m_maxBucketBytes = 1'000'000;
  // A longer result is not recorded; a repeated request then learns only that
  // the request ran.
  size_t m_maxResultBytes = 4'096;
  // The maximum number of operations that wait for the store.
  size_t m_maxPending = 10'000;
  // A call without a reply for this long has an unknown result: it may or may
  // not have taken effect.
  Duration m_callTimeout = Milliseconds(500);
  // The pause after a conflict or a failure, with jitter. It doubles with each
  // consecutive one.
  Duration m_minBackoff = Milliseconds(2);
  Duration m_maxBackoff = Milliseconds(500);
  // The minimum time between the starts of two writes of one bucket, so that
  // more requests share a write.
  Duration m_writeSpacing = Milliseconds(20);
  // The time after which the content of an unused bucket is dropped from
  // memory.
  Duration m_cacheTtl = Seconds(10);
  // The key of a bucket is this prefix followed by its number.
  std::string m_keyPrefix = "claims/";
};

struct ClaimRequest
{
  ClaimTicket m_ticket = 0;
  ClaimKey m_key;
  // Not zero, and new for each attempt.
  ClaimNonce m_nonce;
  std::string m_digest;
  WallTime m_issuedAt;
};

enum class ClaimReplyKind
{
  // This attempt, and no other, may dispatch the request.
  kGranted,
  // Another attempt holds the claim and has recorded no outcome.
  kHeldByOther,
  // The request ran; its claim is in `m_found`.
  kAlreadyRan,
  // The same id was issued before with another payload or issue time.
  kMismatch,
  // The request was issued longer ago than the horizon.
  kExpired,
  // The bucket or the queue is full.
  kFull,
  // The object of the bucket cannot be decoded.
  kCorrupt,
};

struct ClaimReply
{
  ClaimReplyKind m_kind = ClaimReplyKind::kFull;
  // The existing claim, for `kHeldByOther` and `kAlreadyRan`.
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
  // The read or write succeeded.
  kOk,
  // The object had another version, and nothing was written.
  kConflict,
  // The object to read does not exist.
  kNotFound,
  // There was no reply, or one that leaves open whether the write took effect.
  kNoReply,
};

struct StoreReply
{
  StoreCallId m_call = 0;
  StoreReplyKind m_kind = StoreReplyKind::kNoReply;
  // The version that was read or written. It grows with each write.
  uint64_t m_version = 0;
  // The value that was read.
  std::string m_value;
};

// Read this object.
struct BatcherRead
{
  StoreCallId m_call = 0;
  std::string m_key;
};

// Write this object if it still has the version `m_ifVersion`; 0 means that it
// must not exist.
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
  // False if the outcome was not recorded, for example because the bucket no
  // longer holds the claim.
  bool m_recorded = false;
};

using BatcherAction =
  std::variant<BatcherRead, BatcherWrite, BatcherClaimDone, BatcherRecordDone>;
using BatcherActions = std::vector<BatcherAction>;

// Not thread safe. `aBitGen` must outlive the batcher.
class ClaimBatcher
{
public:
  ClaimBatcher(ClaimBatcherSettings aSettings,
               InstanceId aSelf,
               absl::BitGenRef aBitGen);

  // Claims a request. Exactly one `BatcherClaimDone` follows, unless `GiveUp`
  // is called before.
  [[nodiscard]] BatcherActions Acquire(const ClaimRequest& aRequest,
                                       const EventTime& aAt);

  // Called when the claim is no longer needed and its request will never be
  // dispatched. A claim that was written, or is written later, is recorded as
  // not run.
  [[nodiscard]] BatcherActions GiveUp(const ClaimKey& aKey,
                                      ClaimTicket aTicket,
                                      const EventTime& aAt);

  // Records the outcome of a granted claim. Retried until the claim is past its
  // retention.
  [[nodiscard]] BatcherActions Record(const RecordRequest& aRequest,
                                      const EventTime& aAt);

  // Ignores replies to calls that are not outstanding.
  [[nodiscard]] BatcherActions OnStoreReply(const StoreReply& aReply,
                                            const EventTime& aAt);

  [[nodiscard]] BatcherActions OnTimer(const EventTime& aAt);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Returns the number of operations that wait for the store.
  [[nodiscard]] size_t Pending() const;

private:
  // One claim or outcome to be written into a bucket.
  struct Operation
  {
    ClaimTicket m_ticket = 0;
    ClaimKey m_key;
    // The claim to write. The state `kClaimed` requests the claim, the other
    // states record its outcome.
    Claim m_claim;
    TimePoint m_arrivedAt;
    // Already answered or given up. The operation only ensures that no claim of
    // this attempt stays open in the bucket.
    bool m_cleanupOnly = false;
    // The operation was part of a write based on `m_writeBaseVersion`.
    bool m_writeIssued = false;
    uint64_t m_writeBaseVersion = 0;
  };

  // The content of an object, as far as it is known.
  struct Content
  {
    uint64_t m_version = 0;
    ClaimBucket m_claims;
    // The content was current at this time or later.
    TimePoint m_validAt;
  };

  struct Bucket
  {
    uint32_t m_number = 0;
    std::optional<Content> m_content;
    std::deque<Operation> m_operations;
    // The outstanding call; 0 if there is none.
    StoreCallId m_call = 0;
    bool m_writing = false;
    TimePoint m_calledAt;
    // The claims that the outstanding write contains.
    ClaimBucket m_writtenClaims;
    Duration m_backoff{ 0 };
    TimePoint m_blockedUntil;
    // A write has just succeeded, so its operations can be answered despite the
    // write spacing.
    bool m_answersReady = false;
    TimePoint m_lastUsedAt;
    // Another instance writes this bucket too, so it is worth reading the
    // bucket before a write.
    bool m_writtenByOthers = false;
    uint64_t m_lastVersion = 0;
  };

  // The result of applying an operation to the content of a bucket.
  enum class ApplyResult
  {
    // The operation is answered, and there is nothing to write.
    kDone,
    // The operation has changed the content, which must be written.
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
    // The claims that the draft has changed and that are not yet in the store.
    std::set<ClaimKey> m_changedKeys;
  };

  [[nodiscard]] Bucket& BucketFor(const ClaimKey& aKey, const EventTime& aAt);
  void Advance(Bucket& aBucket, const EventTime& aAt, BatcherActions& aActions);
  // Applies each operation and removes the answered ones. Returns true if one
  // of them needs newer content.
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
