#include "core/filing/claim_batcher.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"

namespace ebonykeel {

ClaimBatcher::ClaimBatcher(ClaimBatcherSettings aSettings,
                           InstanceId aSelf,
                           absl::BitGenRef aBitGen)
  : m_settings(std::move(aSettings))
  , m_self(std::move(aSelf))
  , m_bitGen(aBitGen)
{
}

BatcherActions
ClaimBatcher::Acquire(const ClaimRequest& aRequest, const EventTime& aAt)
{
  BatcherActions actions;
  if (Pending() >= m_settings.m_maxPending) {
    actions.emplace_back(
      BatcherClaimDone{ aRequest.m_ticket, { ClaimReplyKind::kFull, {} } });
    return actions;
  }
  Bucket& bucket = BucketFor(aRequest.m_key, aAt);
  Claim claim{ .m_nonce = aRequest.m_nonce,
               .m_owner = m_self,
               .m_digest = aRequest.m_digest,
               .m_issuedAt = aRequest.m_issuedAt,
               .m_claimedAt = aAt.m_wall };
  bucket.m_operations.push_back({ .m_ticket = aRequest.m_ticket,
                                  .m_key = aRequest.m_key,
                                  .m_claim = std::move(claim),
                                  .m_arrivedAt = aAt.m_monotonic });
  Advance(bucket, aAt, actions);
  return actions;
}

BatcherActions
ClaimBatcher::GiveUp(const ClaimKey& aKey,
                     ClaimTicket aTicket,
                     const EventTime& aAt)
{
  BatcherActions actions;
  Bucket& bucket = BucketFor(aKey, aAt);
  auto operation = std::ranges::find_if(
    bucket.m_operations, [aTicket](const Operation& aOperation) {
      return aOperation.m_ticket == aTicket && !aOperation.m_cleanupOnly &&
             aOperation.m_claim.m_state == ClaimState::kClaimed;
    });
  if (operation == bucket.m_operations.end()) {
    return actions;
  }
  if (operation->m_writeIssued) {
    operation->m_cleanupOnly = true;
  } else {
    bucket.m_operations.erase(operation);
  }
  Advance(bucket, aAt, actions);
  return actions;
}

BatcherActions
ClaimBatcher::Record(const RecordRequest& aRequest, const EventTime& aAt)
{
  BatcherActions actions;
  Bucket& bucket = BucketFor(aRequest.m_key, aAt);
  bool resultFits = aRequest.m_result.size() <= m_settings.m_maxResultBytes;
  Claim claim{ .m_nonce = aRequest.m_nonce,
               .m_state = aRequest.m_state,
               .m_owner = m_self,
               .m_issuedAt = aRequest.m_issuedAt,
               .m_claimedAt = aAt.m_wall,
               .m_result = resultFits ? aRequest.m_result : std::string(),
               .m_resultKept = resultFits };
  bucket.m_operations.push_back({ .m_ticket = aRequest.m_ticket,
                                  .m_key = aRequest.m_key,
                                  .m_claim = std::move(claim),
                                  .m_arrivedAt = aAt.m_monotonic });
  Advance(bucket, aAt, actions);
  return actions;
}

BatcherActions
ClaimBatcher::OnStoreReply(const StoreReply& aReply, const EventTime& aAt)
{
  BatcherActions actions;
  auto bucket = std::ranges::find_if(m_buckets, [&aReply](const auto& aEntry) {
    return aEntry.second.m_call == aReply.m_call;
  });
  if (aReply.m_call == 0 || bucket == m_buckets.end()) {
    return actions;
  }
  HandleReply(bucket->second, aReply, aAt, actions);
  Advance(bucket->second, aAt, actions);
  return actions;
}

BatcherActions
ClaimBatcher::OnTimer(const EventTime& aAt)
{
  BatcherActions actions;
  for (auto& [number, bucket] : m_buckets) {
    bool overdue =
      bucket.m_call != 0 &&
      aAt.m_monotonic >= bucket.m_calledAt + m_settings.m_callTimeout;
    if (overdue) {
      HandleReply(bucket, { .m_call = bucket.m_call }, aAt, actions);
    }
    Advance(bucket, aAt, actions);
    bool idle = bucket.m_call == 0 && bucket.m_operations.empty();
    if (idle &&
        aAt.m_monotonic >= bucket.m_lastUsedAt + m_settings.m_cacheTtl) {
      bucket.m_content.reset();
    }
  }
  return actions;
}

std::optional<TimePoint>
ClaimBatcher::NextTimer() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [number, bucket] : m_buckets) {
    if (bucket.m_call != 0) {
      next = std::min(next, bucket.m_calledAt + m_settings.m_callTimeout);
    } else if (!bucket.m_operations.empty()) {
      next = std::min(next, bucket.m_blockedUntil);
    } else if (bucket.m_content) {
      next = std::min(next, bucket.m_lastUsedAt + m_settings.m_cacheTtl);
    }
  }
  if (next == TimePoint::max()) {
    return std::nullopt;
  }
  return next;
}

size_t
ClaimBatcher::Pending() const
{
  size_t pending = 0;
  for (const auto& [number, bucket] : m_buckets) {
    pending += bucket.m_operations.size();
  }
  return pending;
}

ClaimBatcher::Bucket&
ClaimBatcher::BucketFor(const ClaimKey& aKey, const EventTime& aAt)
{
  uint32_t number = BucketOf(aKey, m_settings.m_bucketCount);
  auto [entry, inserted] = m_buckets.try_emplace(number);
  if (inserted) {
    entry->second.m_number = number;
    entry->second.m_blockedUntil = aAt.m_monotonic;
  }
  entry->second.m_lastUsedAt = aAt.m_monotonic;
  return entry->second;
}

void
ClaimBatcher::Advance(Bucket& aBucket,
                      const EventTime& aAt,
                      BatcherActions& aActions)
{
  bool blocked = aAt.m_monotonic < aBucket.m_blockedUntil;
  bool answersReady = std::exchange(aBucket.m_answersReady, false);
  if (aBucket.m_call != 0 || aBucket.m_operations.empty() ||
      (blocked && !answersReady)) {
    return;
  }
  bool tooOld =
    aBucket.m_writtenByOthers && aBucket.m_content && !answersReady &&
    aBucket.m_content->m_validAt < aBucket.m_operations.back().m_arrivedAt;
  if (!aBucket.m_content || tooOld) {
    StartRead(aBucket, aAt, aActions);
    return;
  }
  Draft draft = MakeDraft(*aBucket.m_content, aAt.m_wall);
  bool stale = ApplyAll(aBucket, draft, aAt, aActions);
  if (blocked) {
    return;
  }
  if (!draft.m_changedKeys.empty()) {
    StartWrite(aBucket, std::move(draft), aAt, aActions);
  } else if (stale) {
    StartRead(aBucket, aAt, aActions);
  }
}

bool
ClaimBatcher::ApplyAll(Bucket& aBucket,
                       Draft& aDraft,
                       const EventTime& aAt,
                       BatcherActions& aActions) const
{
  bool stale = false;
  std::erase_if(aBucket.m_operations, [&](Operation& aOperation) {
    // The store may reject the changes of the draft, so no other operation on
    // the same claim is applied before they are written.
    if (aDraft.m_changedKeys.contains(aOperation.m_key)) {
      return false;
    }
    ApplyResult result = Apply(aOperation, aDraft, aAt, aActions);
    if (result == ApplyResult::kWrite) {
      aDraft.m_changedKeys.insert(aOperation.m_key);
    }
    stale = stale || result == ApplyResult::kStale;
    return result == ApplyResult::kDone;
  });
  return stale;
}

ClaimBatcher::Draft
ClaimBatcher::MakeDraft(const Content& aContent, WallTime aWall) const
{
  Draft draft{ .m_version = aContent.m_version,
               .m_validAt = aContent.m_validAt,
               .m_claims = aContent.m_claims };
  std::erase_if(draft.m_claims, [&](const auto& aEntry) {
    return IsPastRetention(aEntry.second, aWall);
  });
  for (const auto& [key, claim] : draft.m_claims) {
    draft.m_bytes += ReservedBytes(key, claim);
  }
  return draft;
}

void
ClaimBatcher::StartRead(Bucket& aBucket,
                        const EventTime& aAt,
                        BatcherActions& aActions)
{
  aBucket.m_call = ++m_lastCall;
  aBucket.m_writing = false;
  aBucket.m_calledAt = aAt.m_monotonic;
  aActions.emplace_back(BatcherRead{
    aBucket.m_call, absl::StrCat(m_settings.m_keyPrefix, aBucket.m_number) });
}

void
ClaimBatcher::StartWrite(Bucket& aBucket,
                         Draft aDraft,
                         const EventTime& aAt,
                         BatcherActions& aActions)
{
  aBucket.m_call = ++m_lastCall;
  aBucket.m_writing = true;
  aBucket.m_calledAt = aAt.m_monotonic;
  aBucket.m_writtenClaims = std::move(aDraft.m_claims);
  for (Operation& operation : aBucket.m_operations) {
    if (aDraft.m_changedKeys.contains(operation.m_key)) {
      operation.m_writeIssued = true;
      operation.m_writeBaseVersion = aDraft.m_version;
    }
  }
  aActions.emplace_back(BatcherWrite{
    .m_call = aBucket.m_call,
    .m_key = absl::StrCat(m_settings.m_keyPrefix, aBucket.m_number),
    .m_ifVersion = aDraft.m_version,
    .m_value = EncodeBucket(aBucket.m_writtenClaims) });
}

void
ClaimBatcher::HandleReply(Bucket& aBucket,
                          const StoreReply& aReply,
                          const EventTime& aAt,
                          BatcherActions& aActions)
{
  aBucket.m_call = 0;
  aBucket.m_lastUsedAt = aAt.m_monotonic;
  if (aReply.m_kind == StoreReplyKind::kNoReply) {
    Retry(aBucket, aAt, aActions);
    return;
  }
  if (aReply.m_kind == StoreReplyKind::kConflict) {
    aBucket.m_writtenByOthers = true;
    Retry(aBucket, aAt, aActions);
    return;
  }
  aBucket.m_backoff = Duration{ 0 };
  if (!aBucket.m_writing) {
    HandleContent(aBucket, aReply, aActions);
    return;
  }
  aBucket.m_lastVersion = aReply.m_version;
  aBucket.m_answersReady = true;
  aBucket.m_blockedUntil = aBucket.m_calledAt + m_settings.m_writeSpacing;
  aBucket.m_content = Content{ .m_version = aReply.m_version,
                               .m_claims = std::move(aBucket.m_writtenClaims),
                               .m_validAt = aBucket.m_calledAt };
}

void
ClaimBatcher::HandleContent(Bucket& aBucket,
                            const StoreReply& aReply,
                            BatcherActions& aActions)
{
  bool exists = aReply.m_kind == StoreReplyKind::kOk;
  uint64_t version = exists ? aReply.m_version : 0;
  absl::StatusOr<ClaimBucket> claims =
    exists ? DecodeBucket(aReply.m_value) : ClaimBucket{};
  if (!claims.ok()) {
    RefuseCorrupt(aBucket, aActions);
    return;
  }
  aBucket.m_writtenByOthers =
    aBucket.m_writtenByOthers && version != aBucket.m_lastVersion;
  aBucket.m_lastVersion = version;
  aBucket.m_content = Content{ .m_version = version,
                               .m_claims = *std::move(claims),
                               .m_validAt = aBucket.m_calledAt };
}

void
ClaimBatcher::Retry(Bucket& aBucket,
                    const EventTime& aAt,
                    BatcherActions& aActions)
{
  // The content of the object is unknown until the next read.
  aBucket.m_content.reset();
  aBucket.m_backoff = std::clamp(
    aBucket.m_backoff * 2, m_settings.m_minBackoff, m_settings.m_maxBackoff);
  int64_t maxPause = aBucket.m_backoff.count();
  aBucket.m_blockedUntil =
    aAt.m_monotonic +
    Duration(
      absl::Uniform(absl::IntervalClosed, m_bitGen, maxPause / 2, maxPause));
  std::erase_if(aBucket.m_operations, [&](const Operation& aOperation) {
    bool isRecord = aOperation.m_claim.m_state != ClaimState::kClaimed;
    bool hasWaitingCaller = !isRecord && !aOperation.m_cleanupOnly;
    if (hasWaitingCaller || !IsPastRetention(aOperation.m_claim, aAt.m_wall)) {
      return false;
    }
    if (isRecord) {
      aActions.emplace_back(BatcherRecordDone{ aOperation.m_ticket, false });
    }
    return true;
  });
}

void
ClaimBatcher::RefuseCorrupt(Bucket& aBucket, BatcherActions& aActions)
{
  for (const Operation& operation : aBucket.m_operations) {
    if (operation.m_claim.m_state != ClaimState::kClaimed) {
      aActions.emplace_back(BatcherRecordDone{ operation.m_ticket, false });
    } else if (!operation.m_cleanupOnly) {
      aActions.emplace_back(BatcherClaimDone{
        operation.m_ticket, { ClaimReplyKind::kCorrupt, {} } });
    }
  }
  aBucket.m_operations.clear();
  aBucket.m_content.reset();
}

ClaimBatcher::ApplyResult
ClaimBatcher::Apply(Operation& aOperation,
                    Draft& aDraft,
                    const EventTime& aAt,
                    BatcherActions& aActions) const
{
  if (aOperation.m_claim.m_state != ClaimState::kClaimed) {
    return ApplyRecord(aOperation, aDraft, aActions);
  }
  if (aOperation.m_cleanupOnly) {
    return ApplyCleanup(aOperation, aDraft);
  }
  return ApplyClaim(aOperation, aDraft, aAt, aActions);
}

ClaimBatcher::ApplyResult
ClaimBatcher::ApplyClaim(Operation& aOperation,
                         Draft& aDraft,
                         const EventTime& aAt,
                         BatcherActions& aActions) const
{
  const Claim& requested = aOperation.m_claim;
  auto answer = [&](ClaimReplyKind aKind, const Claim& aFound) {
    return AnswerClaim(aOperation, { aKind, aFound }, aDraft, aActions);
  };
  // Claims are removed only later than this, so no claim is granted in place of
  // one that was removed.
  if (aAt.m_wall > requested.m_issuedAt + m_settings.m_horizon) {
    return answer(ClaimReplyKind::kExpired, {});
  }
  auto entry = aDraft.m_claims.find(aOperation.m_key);
  if (entry == aDraft.m_claims.end()) {
    return InsertClaim(aOperation, aDraft, aActions);
  }
  const Claim& found = entry->second;
  if (found.m_nonce == requested.m_nonce &&
      found.m_state == ClaimState::kClaimed) {
    return answer(ClaimReplyKind::kGranted, {});
  }
  if (found.m_digest != requested.m_digest ||
      found.m_issuedAt != requested.m_issuedAt) {
    return answer(ClaimReplyKind::kMismatch, {});
  }
  if (found.m_state == ClaimState::kRan) {
    return answer(ClaimReplyKind::kAlreadyRan, found);
  }
  if (found.m_state == ClaimState::kNotRun) {
    return InsertClaim(aOperation, aDraft, aActions);
  }
  if (aDraft.m_validAt < aOperation.m_arrivedAt) {
    return ApplyResult::kStale;
  }
  return answer(ClaimReplyKind::kHeldByOther, found);
}

ClaimBatcher::ApplyResult
ClaimBatcher::InsertClaim(Operation& aOperation,
                          Draft& aDraft,
                          BatcherActions& aActions) const
{
  size_t bytes = ReservedBytes(aOperation.m_key, aOperation.m_claim);
  if (aDraft.m_bytes + bytes > m_settings.m_maxBucketBytes) {
    return AnswerClaim(
      aOperation, { ClaimReplyKind::kFull, {} }, aDraft, aActions);
  }
  aDraft.m_bytes += bytes;
  aDraft.m_claims.insert_or_assign(aOperation.m_key, aOperation.m_claim);
  return ApplyResult::kWrite;
}

ClaimBatcher::ApplyResult
ClaimBatcher::ApplyRecord(const Operation& aOperation,
                          Draft& aDraft,
                          BatcherActions& aActions)
{
  const Claim& requested = aOperation.m_claim;
  auto entry = aDraft.m_claims.find(aOperation.m_key);
  bool isOwn = entry != aDraft.m_claims.end() &&
               entry->second.m_nonce == requested.m_nonce;
  if (!isOwn || entry->second.m_state != ClaimState::kClaimed) {
    bool recorded = isOwn && entry->second.m_state == requested.m_state;
    aActions.emplace_back(BatcherRecordDone{ aOperation.m_ticket, recorded });
    return ApplyResult::kDone;
  }
  entry->second.m_state = requested.m_state;
  entry->second.m_result = requested.m_result;
  entry->second.m_resultKept = requested.m_resultKept;
  return ApplyResult::kWrite;
}

ClaimBatcher::ApplyResult
ClaimBatcher::ApplyCleanup(const Operation& aOperation, Draft& aDraft)
{
  auto entry = aDraft.m_claims.find(aOperation.m_key);
  bool isOwn = entry != aDraft.m_claims.end() &&
               entry->second.m_nonce == aOperation.m_claim.m_nonce;
  if (isOwn && entry->second.m_state == ClaimState::kClaimed) {
    entry->second.m_state = ClaimState::kNotRun;
    return ApplyResult::kWrite;
  }
  // A write without a reply can still take effect while the object has the
  // version that the write expects. Any other write to the object rules that
  // out.
  bool writeMayHappen =
    !isOwn && aDraft.m_version == aOperation.m_writeBaseVersion;
  return writeMayHappen ? ApplyResult::kWrite : ApplyResult::kDone;
}

ClaimBatcher::ApplyResult
ClaimBatcher::AnswerClaim(Operation& aOperation,
                          ClaimReply aReply,
                          Draft& aDraft,
                          BatcherActions& aActions)
{
  bool granted = aReply.m_kind == ClaimReplyKind::kGranted;
  aActions.emplace_back(
    BatcherClaimDone{ aOperation.m_ticket, std::move(aReply) });
  aOperation.m_cleanupOnly = true;
  if (granted || !aOperation.m_writeIssued) {
    return ApplyResult::kDone;
  }
  return ApplyCleanup(aOperation, aDraft);
}

bool
ClaimBatcher::IsPastRetention(const Claim& aClaim, WallTime aWall) const
{
  WallTime latest = std::max(aClaim.m_issuedAt, aClaim.m_claimedAt);
  return aWall > latest + m_settings.m_horizon + 2 * m_settings.m_clockSkew;
}

size_t
ClaimBatcher::ReservedBytes(const ClaimKey& aKey, const Claim& aClaim) const
{
  size_t bytes = EncodedSizeBound(aKey, aClaim);
  bool isOpen = aClaim.m_state == ClaimState::kClaimed;
  return isOpen ? bytes + (m_settings.m_maxResultBytes * 4 / 3) : bytes;
}

} // namespace ebonykeel
