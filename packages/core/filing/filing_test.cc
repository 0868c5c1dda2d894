#include "core/filing/claim.h"
#include "core/filing/claim_batcher.h"
#include "core/filing/filing_run.h"

#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

const EventTime kStart{ TimePoint(Seconds(1000)),
                        WallTime(std::chrono::seconds(5000)) };
const ClaimKey kKey{ CallerName("desk"), RequestId("r-\"1\"\n\xff") };

EventTime
AfterStart(Duration aElapsed)
{
  return { kStart.m_monotonic + aElapsed,
           kStart.m_wall +
             std::chrono::duration_cast<std::chrono::milliseconds>(aElapsed) };
}

ClaimRequest
RequestOf(uint64_t aNumber)
{
  return { .m_ticket = aNumber,
           .m_key = kKey,
           .m_nonce = { aNumber, 1 },
           .m_digest = "d",
           .m_issuedAt = kStart.m_wall };
}

template<typename T, typename Actions>
T
OnlyOne(const Actions& aActions)
{
  DOCTEST_REQUIRE(aActions.size() == 1);
  const T* match = std::get_if<T>(&aActions.front());
  DOCTEST_REQUIRE(match != nullptr);
  return *match;
}

ClaimBatcherSettings
OneBucket()
{
  return { .m_bucketCount = 1,
           .m_maxBucketBytes = 20'000,
           .m_writeSpacing = Duration{ 0 } };
}

// A batcher whose store replies are given by each test.
struct Fixture
{
  explicit Fixture(const ClaimBatcherSettings& aSettings = OneBucket())
    : m_batcher(aSettings, InstanceId("n1"), m_bitGen)
  {
  }

  // Replies to the read that `aActions` contains that the object does not
  // exist.
  BatcherActions ReplyNotFound(const BatcherActions& aActions)
  {
    StoreCallId call = OnlyOne<BatcherRead>(aActions).m_call;
    return m_batcher.OnStoreReply(
      { .m_call = call, .m_kind = StoreReplyKind::kNotFound }, kStart);
  }

  BatcherActions ReplyWritten(const BatcherWrite& aWrite,
                              EventTime aAt = kStart)
  {
    return m_batcher.OnStoreReply({ .m_call = aWrite.m_call,
                                    .m_kind = StoreReplyKind::kOk,
                                    .m_version = aWrite.m_ifVersion + 1 },
                                  aAt);
  }

  ClaimReplyKind ReplyKindOf(const BatcherActions& aActions)
  {
    return OnlyOne<BatcherClaimDone>(aActions).m_reply.m_kind;
  }

  // Claims the request `aNumber` and checks that the claim is granted.
  void Grant(uint64_t aNumber)
  {
    auto write = OnlyOne<BatcherWrite>(
      ReplyNotFound(m_batcher.Acquire(RequestOf(aNumber), kStart)));
    DOCTEST_REQUIRE(ReplyKindOf(ReplyWritten(write)) ==
                    ClaimReplyKind::kGranted);
  }

  std::mt19937_64 m_bitGen{ 1 };
  ClaimBatcher m_batcher;
};

class OpenGuard : public DispatchGuard
{
public:
  [[nodiscard]] bool MayDispatch(TimePoint /*aNow*/) const override
  {
    return true;
  }
};

DOCTEST_TEST_CASE("a bucket decodes to the value that was encoded")
{
  ClaimBucket bucket{ { kKey,
                        Claim{ .m_nonce = { ~0ULL, 5 },
                               .m_state = ClaimState::kRan,
                               .m_owner = InstanceId("n1"),
                               .m_digest = "ab",
                               .m_issuedAt = kStart.m_wall,
                               .m_claimedAt = kStart.m_wall,
                               .m_result = std::string("\0{\"\xfe", 4),
                               .m_resultKept = true } } };
  std::string text = EncodeBucket(bucket);
  auto decoded = DecodeBucket(text);
  DOCTEST_REQUIRE(decoded.ok());
  DOCTEST_CHECK(*decoded == bucket);
  const auto& [key, claim] = *bucket.begin();
  DOCTEST_CHECK(text.size() <=
                EncodedSizeBound(key, claim) + EncodeBucket({}).size());
}

DOCTEST_TEST_CASE("malformed buckets are rejected")
{
  const char* kClaim = R"(["a","b",1,2,0,"n","d",3,4,"",true])";
  auto bucket = [](const std::string& aClaims) {
    return R"({"claims":[)" + aClaims + R"(],"format":1})";
  };
  DOCTEST_REQUIRE(DecodeBucket(bucket(kClaim)).ok());
  std::vector<std::string> malformed{
    "",
    "[]",
    R"({"claims":[],"format":2})",
    R"({"claims":[],"format":1,"more":0})",
    R"({"claims":{},"format":1})",
    bucket("[]"),
    bucket(std::string(kClaim) + "," + kClaim),
    bucket(R"(["a","b",1,2,3,"n","d",3,4,"",true])"),
    bucket(R"(["a","b",-1,2,0,"n","d",3,4,"",true])"),
    bucket(R"(["a","b",1,2,0,"n","d",3.5,4,"",true])"),
    bucket(R"(["a\\","b",1,2,0,"n","d",3,4,"",true])"),
    bucket(R"(["a","b",1,2,0,"n","d",3,4,"?",true])"),
    bucket(kClaim).substr(0, 20),
  };
  for (const std::string& text : malformed) {
    DOCTEST_CAPTURE(text);
    DOCTEST_CHECK_FALSE(DecodeBucket(text).ok());
  }
}

DOCTEST_TEST_CASE(
  "the bucket number of a claim does not change between releases")
{
  DOCTEST_CHECK(BucketOf({ CallerName("desk"), RequestId("r1") }, 64) == 49);
  DOCTEST_CHECK(BucketOf({ CallerName("des"), RequestId("kr1") }, 64) == 39);
}

DOCTEST_TEST_CASE("a repeated request gets the recorded result")
{
  Fixture fixture;
  fixture.Grant(1);
  RecordRequest record{ .m_ticket = 1,
                        .m_key = kKey,
                        .m_nonce = { 1, 1 },
                        .m_issuedAt = kStart.m_wall,
                        .m_state = ClaimState::kRan,
                        .m_result = "certificate" };
  auto write = OnlyOne<BatcherWrite>(fixture.m_batcher.Record(record, kStart));
  DOCTEST_CHECK(
    OnlyOne<BatcherRecordDone>(fixture.ReplyWritten(write)).m_recorded);
  ClaimRequest repeat = RequestOf(2);
  DOCTEST_SUBCASE("with the same payload")
  {
    auto done =
      OnlyOne<BatcherClaimDone>(fixture.m_batcher.Acquire(repeat, kStart));
    DOCTEST_CHECK(done.m_reply.m_kind == ClaimReplyKind::kAlreadyRan);
    DOCTEST_CHECK(done.m_reply.m_found.m_result == "certificate");
  }
  DOCTEST_SUBCASE("but not with another payload")
  {
    repeat.m_digest = "other";
    DOCTEST_CHECK(fixture.ReplyKindOf(fixture.m_batcher.Acquire(
                    repeat, kStart)) == ClaimReplyKind::kMismatch);
  }
  DOCTEST_SUBCASE("but not with another issue time")
  {
    repeat.m_issuedAt += std::chrono::milliseconds(1);
    DOCTEST_CHECK(fixture.ReplyKindOf(fixture.m_batcher.Acquire(
                    repeat, kStart)) == ClaimReplyKind::kMismatch);
  }
  DOCTEST_SUBCASE("but not after the horizon")
  {
    DOCTEST_CHECK(
      fixture.ReplyKindOf(fixture.m_batcher.Acquire(
        repeat, AfterStart(std::chrono::minutes(10) + Milliseconds(1)))) ==
      ClaimReplyKind::kExpired);
  }
}

DOCTEST_TEST_CASE("a request recorded as not run can be claimed again")
{
  Fixture fixture;
  fixture.Grant(1);
  RecordRequest record{ .m_ticket = 1, .m_key = kKey, .m_nonce = { 1, 1 } };
  auto write = OnlyOne<BatcherWrite>(fixture.m_batcher.Record(record, kStart));
  (void)fixture.ReplyWritten(write);
  auto secondWrite =
    OnlyOne<BatcherWrite>(fixture.m_batcher.Acquire(RequestOf(2), kStart));
  DOCTEST_CHECK(fixture.ReplyKindOf(fixture.ReplyWritten(secondWrite)) ==
                ClaimReplyKind::kGranted);
}

DOCTEST_TEST_CASE("the late write of a given-up claim is prevented or undone")
{
  Fixture fixture;
  auto write = OnlyOne<BatcherWrite>(
    fixture.ReplyNotFound(fixture.m_batcher.Acquire(RequestOf(1), kStart)));
  DOCTEST_CHECK(fixture.m_batcher.GiveUp(kKey, 1, kStart).empty());
  EventTime later = AfterStart(Milliseconds(600));
  (void)fixture.m_batcher.OnTimer(later);
  later = AfterStart(Seconds(2));
  auto read = OnlyOne<BatcherRead>(fixture.m_batcher.OnTimer(later));
  StoreReply found{ .m_call = read.m_call };
  DOCTEST_SUBCASE("the write has not happened yet")
  {
    found.m_kind = StoreReplyKind::kNotFound;
    auto fence =
      OnlyOne<BatcherWrite>(fixture.m_batcher.OnStoreReply(found, later));
    DOCTEST_CHECK(fence.m_ifVersion == write.m_ifVersion);
    DOCTEST_CHECK(DecodeBucket(fence.m_value)->empty());
    DOCTEST_CHECK(fixture.ReplyWritten(fence, later).empty());
  }
  DOCTEST_SUBCASE("the write has happened")
  {
    found.m_kind = StoreReplyKind::kOk;
    found.m_version = 1;
    found.m_value = write.m_value;
    auto undo =
      OnlyOne<BatcherWrite>(fixture.m_batcher.OnStoreReply(found, later));
    DOCTEST_CHECK(DecodeBucket(undo.m_value)->at(kKey).m_state ==
                  ClaimState::kNotRun);
    DOCTEST_CHECK(fixture.ReplyWritten(undo, later).empty());
  }
  DOCTEST_CHECK(fixture.m_batcher.Pending() == 0);
}

DOCTEST_TEST_CASE(
  "requests that arrive during or soon after a write share the next write")
{
  Fixture fixture({ .m_bucketCount = 1, .m_writeSpacing = Milliseconds(20) });
  auto first = OnlyOne<BatcherWrite>(
    fixture.ReplyNotFound(fixture.m_batcher.Acquire(RequestOf(1), kStart)));
  for (uint64_t number : { 2U, 3U, 4U }) {
    ClaimRequest request = RequestOf(number);
    request.m_key.m_request = RequestId(std::to_string(number));
    EventTime at = AfterStart(Milliseconds(3 * static_cast<int64_t>(number)));
    DOCTEST_CHECK(fixture.m_batcher.Acquire(request, at).empty());
    if (number == 2) {
      // The reply to the write answers the first request at once.
      DOCTEST_CHECK(fixture.ReplyKindOf(fixture.ReplyWritten(first, at)) ==
                    ClaimReplyKind::kGranted);
    }
  }
  EventTime due = AfterStart(Milliseconds(20));
  DOCTEST_REQUIRE(fixture.m_batcher.NextTimer() == due.m_monotonic);
  auto second = OnlyOne<BatcherWrite>(fixture.m_batcher.OnTimer(due));
  DOCTEST_CHECK(DecodeBucket(second.m_value)->size() == 4);
  DOCTEST_CHECK(fixture.ReplyWritten(second, due).size() == 3);
}

DOCTEST_TEST_CASE(
  "claims in a full or unreadable bucket are refused without a write")
{
  Fixture fixture;
  auto read =
    OnlyOne<BatcherRead>(fixture.m_batcher.Acquire(RequestOf(1), kStart));
  StoreReply reply{ .m_call = read.m_call,
                    .m_kind = StoreReplyKind::kOk,
                    .m_version = 9 };
  DOCTEST_SUBCASE("full")
  {
    ClaimBucket bucket;
    Claim claim{ .m_issuedAt = kStart.m_wall, .m_claimedAt = kStart.m_wall };
    for (int i = 0; i < 3; ++i) {
      bucket[{ CallerName("desk"), RequestId(std::to_string(i)) }] = claim;
    }
    reply.m_value = EncodeBucket(bucket);
    DOCTEST_CHECK(fixture.ReplyKindOf(fixture.m_batcher.OnStoreReply(
                    reply, kStart)) == ClaimReplyKind::kFull);
  }
  DOCTEST_SUBCASE("unreadable")
  {
    reply.m_value = "{";
    DOCTEST_CHECK(fixture.ReplyKindOf(fixture.m_batcher.OnStoreReply(
                    reply, kStart)) == ClaimReplyKind::kCorrupt);
  }
}

DOCTEST_TEST_CASE(
  "a claim granted after the refusal is released and not dispatched")
{
  OpenGuard guard;
  FilingRequest request{ .m_ticket = 1,
                         .m_key = kKey,
                         .m_nonce = { 1, 1 },
                         .m_issuedAt = kStart.m_wall,
                         .m_deadline = kStart.m_monotonic + Seconds(5) };
  FilingRun run(request, {}, guard);
  (void)run.Start(kStart);
  auto refused = run.OnTimer(AfterStart(Seconds(1)));
  DOCTEST_REQUIRE(refused.size() == 2);
  DOCTEST_CHECK(std::get<FilingFinish>(refused[1]).m_answer.m_outcome ==
                Outcome::kNotRun);
  auto record = OnlyOne<FilingRecord>(run.OnClaim(
    { .m_kind = ClaimReplyKind::kGranted }, AfterStart(Seconds(2))));
  DOCTEST_CHECK(record.m_request.m_state == ClaimState::kNotRun);
}

} // namespace
} // namespace ebonykeel
