// Tests that a run sends nothing to upstreams that push back or are leaving,
// and what callers get meanwhile.
#include "core/forward/forward_run_fixture.h"

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr Duration kDelay = Seconds(2);

class Fixture : public ForwardRunFixture
{
public:
  using ForwardRunFixture::ForwardRunFixture;

  // Returns the replica with the ID "s<shard><name>".
  [[nodiscard]] ReplicaPtr Find(const std::string& aId) const
  {
    std::string service = aId.substr(0, aId.size() - 1);
    for (const ReplicaPtr& replica : m_catalogue.Usable(service)) {
      if (replica->m_id == aId) {
        return replica;
      }
    }
    return nullptr;
  }
  void PushBack(const std::string& aId, Duration aDelay = kDelay)
  {
    m_load.Pushback().OnRejected(*Find(aId), aDelay, m_port.m_now);
  }
  // The upstream of an attempt rejects it and asks for no requests for a while.
  void Reject(uint32_t aSubRequest, uint32_t aAttempt, const std::string& aId)
  {
    m_load.OnFailed(*Find(aId), kStart, m_port.m_now);
    PushBack(aId);
    Fail(aSubRequest, aAttempt, AttemptOutcome::kNotExecuted);
  }
  [[nodiscard]] bool WasSentTo(const std::string& aId) const
  {
    return std::ranges::any_of(m_port.m_sent, [&](const SentAttempt& aSent) {
      return aSent.m_replica == aId;
    });
  }
  void CheckRefusedPushedBack() const
  {
    DOCTEST_REQUIRE(m_port.m_result.has_value());
    const ForwardResult& result = *m_port.m_result;
    DOCTEST_CHECK(result.m_status == ForwardStatus::kRefused);
    DOCTEST_CHECK(result.m_reason == "pushed-back");
    // True, and spread over a quarter of the delay; the instance's own spread
    // adds as much.
    DOCTEST_CHECK(result.m_retryAfter >= kDelay);
    DOCTEST_CHECK(result.m_retryAfter <= kDelay * 25 / 16);
  }
};

DOCTEST_TEST_CASE("first attempts avoid an upstream that pushes back")
{
  Fixture fixture(1, RouteTarget::kService);
  fixture.PushBack("s0a");
  fixture.Start();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 1);
  DOCTEST_CHECK(fixture.m_port.m_sent[0].m_replica == "s0b");
}

// Guards against requests that wait at this instance, or are sent and rejected,
// while it is known that no upstream takes them.
DOCTEST_TEST_CASE(
  "a request is refused at once if all upstreams of its service push back")
{
  Fixture fixture(1, RouteTarget::kService);
  fixture.PushBack("s0a");
  fixture.PushBack("s0b", kDelay * 2);
  fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent.empty());
  fixture.CheckRefusedPushedBack();
}

DOCTEST_TEST_CASE("a rejected request is retried at another upstream, and "
                  "refused once all push back")
{
  Fixture fixture(1, RouteTarget::kService);
  fixture.Start();
  fixture.Reject(0, 0, "s0a");
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 2);
  DOCTEST_CHECK(fixture.m_port.m_sent[1].m_replica == "s0b");
  fixture.Reject(0, 1, "s0b");
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 2);
  fixture.CheckRefusedPushedBack();
}

DOCTEST_TEST_CASE(
  "a gathered request is answered without a shard that pushes back")
{
  Fixture fixture(4);
  fixture.PushBack("s3a");
  fixture.PushBack("s3b");
  fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 3);
  for (uint32_t subRequest = 0; subRequest < 3; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  DOCTEST_REQUIRE(fixture.m_port.m_result.has_value());
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
  DOCTEST_CHECK(fixture.m_port.m_result->m_missing == 1);
}

DOCTEST_TEST_CASE("a shard that pushes back later is not waited for")
{
  Fixture fixture(4);
  fixture.PushBack("s3b");
  fixture.Start();
  for (uint32_t subRequest = 0; subRequest < 3; ++subRequest) {
    fixture.Succeed(subRequest);
  }
  fixture.Reject(3, 0, "s3a");
  DOCTEST_REQUIRE(fixture.m_port.m_result.has_value());
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kPartial);
}

DOCTEST_TEST_CASE(
  "a gathered request is refused at once if too many shards push back")
{
  Fixture fixture(4);
  for (const char* id : { "s2a", "s2b", "s3a", "s3b" }) {
    fixture.PushBack(id);
  }
  fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent.empty());
  fixture.CheckRefusedPushedBack();
}

DOCTEST_TEST_CASE("a late attempt is not hedged at an upstream that pushes "
                  "back or is leaving")
{
  for (bool isLeaving : { false, true }) {
    Fixture fixture(1);
    fixture.Start();
    DOCTEST_CHECK(fixture.m_port.m_sent[0].m_replica == "s0a");
    if (isLeaving) {
      fixture.m_catalogue.SetLeaving(*fixture.Find("s0b"));
    } else {
      fixture.PushBack("s0b");
    }
    fixture.SetTime(Milliseconds(30));
    fixture.RunTimer();
    DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
  }
}

// Guards against requests that were placed before the announcement and are sent
// after it.
DOCTEST_TEST_CASE("a waiting request is not sent to an upstream that pushed "
                  "back or announced its end meanwhile")
{
  for (bool isLeaving : { false, true }) {
    Fixture fixture(1);
    ReplicaPtr near = fixture.Find("s0a");
    ReplicaPtr far = fixture.Find("s0b");
    for (int i = 0; i < 6; ++i) {
      fixture.m_load.OnSent(*near, kStart);
      fixture.m_load.OnSent(*far, kStart);
    }
    fixture.Start();
    DOCTEST_CHECK(fixture.m_port.m_sent.empty());
    if (isLeaving) {
      fixture.m_catalogue.SetLeaving(*near);
    } else {
      fixture.PushBack("s0a");
    }
    fixture.m_load.OnAttemptCancelled(*near, kStart);
    fixture.SetTime(Milliseconds(10));
    fixture.RunTimer();
    DOCTEST_CHECK(fixture.m_port.m_sent.empty());
    fixture.m_load.OnAttemptCancelled(*far, kStart);
    fixture.SetTime(Milliseconds(20));
    fixture.RunTimer();
    DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 1);
    DOCTEST_CHECK(fixture.m_port.m_sent[0].m_replica == "s0b");
  }
}

DOCTEST_TEST_CASE("the answer of a leaving upstream is used, and a failure is "
                  "retried elsewhere")
{
  Fixture fixture(2);
  fixture.m_route.m_minShare = 1;
  fixture.Start();
  fixture.m_catalogue.SetLeaving(*fixture.Find("s0a"));
  fixture.m_catalogue.SetLeaving(*fixture.Find("s1a"));
  fixture.Succeed(0);
  fixture.Fail(1, 0, AttemptOutcome::kFailure);
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 3);
  DOCTEST_CHECK(fixture.m_port.m_sent[2].m_replica == "s1b");
  fixture.Succeed(1, 1);
  DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kWhole);
}

DOCTEST_TEST_CASE(
  "a request is refused at once if all upstreams of its service are leaving")
{
  Fixture fixture(1, RouteTarget::kService);
  ReplicaPtr near = fixture.Find("s0a");
  fixture.m_catalogue.SetLeaving(*fixture.Find("s0b"));
  fixture.m_catalogue.SetLeaving(*near);
  fixture.Start();
  DOCTEST_CHECK(fixture.m_port.m_sent.empty());
  DOCTEST_CHECK(fixture.m_port.m_result->m_reason == "no-replica");
}

} // namespace
} // namespace ebonykeel
