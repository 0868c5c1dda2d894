#include "core/replica/replica_pushback.h"

#include <algorithm>
#include <set>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

struct Fixture
{
  Replica m_replica{ .m_id = "a", .m_startUnixMs = 1, .m_slots = 2 };
  ReplicaPushback m_pushback{ { .m_seed = 7, .m_spreadShare = 0 } };
};

DOCTEST_TEST_CASE("an upstream gets nothing until its delay is over")
{
  Fixture fixture;
  DOCTEST_CHECK_FALSE(
    fixture.m_pushback.Until(fixture.m_replica, kStart).has_value());
  DOCTEST_CHECK(
    fixture.m_pushback.OnRejected(fixture.m_replica, Seconds(2), kStart));
  DOCTEST_CHECK(fixture.m_pushback.Until(fixture.m_replica, kStart) ==
                kStart + Seconds(2));
  DOCTEST_CHECK(fixture.m_pushback.Count(kStart) == 1);
  DOCTEST_CHECK_FALSE(
    fixture.m_pushback.Until(fixture.m_replica, kStart + Seconds(2))
      .has_value());
}

// Guards against a rejection of a request in flight that ends the time which
// the upstream stated before.
DOCTEST_TEST_CASE("a shorter delay does not end an earlier one")
{
  Fixture fixture;
  fixture.m_pushback.OnRejected(fixture.m_replica, Seconds(2), kStart);
  DOCTEST_CHECK_FALSE(fixture.m_pushback.OnRejected(
    fixture.m_replica, Milliseconds(100), kStart + Milliseconds(10)));
  DOCTEST_CHECK(fixture.m_pushback.Until(fixture.m_replica, kStart) ==
                kStart + Seconds(2));
  fixture.m_pushback.OnRejected(
    fixture.m_replica, Seconds(3), kStart + Milliseconds(20));
  DOCTEST_CHECK(fixture.m_pushback.Until(fixture.m_replica, kStart) ==
                kStart + Milliseconds(3020));
}

DOCTEST_TEST_CASE("a delay that cannot be meant changes nothing or is cut")
{
  Fixture fixture;
  for (Duration delay : { Duration{}, Duration(-1), Seconds(-5) }) {
    DOCTEST_CHECK_FALSE(
      fixture.m_pushback.OnRejected(fixture.m_replica, delay, kStart));
  }
  DOCTEST_CHECK(fixture.m_pushback.Count(kStart) == 0);
  fixture.m_pushback.OnRejected(fixture.m_replica, Duration::max(), kStart);
  DOCTEST_CHECK(fixture.m_pushback.Until(fixture.m_replica, kStart) ==
                kStart + Seconds(60));
}

DOCTEST_TEST_CASE("a new start of the upstream is not held back")
{
  Fixture fixture;
  fixture.m_pushback.OnRejected(fixture.m_replica, Seconds(2), kStart);
  DOCTEST_CHECK_FALSE(fixture.m_pushback.OnRegistered(fixture.m_replica));
  Replica restarted = fixture.m_replica;
  restarted.m_startUnixMs = 2;
  DOCTEST_CHECK_FALSE(fixture.m_pushback.Until(restarted, kStart).has_value());
  DOCTEST_CHECK(fixture.m_pushback.OnRegistered(restarted));
  DOCTEST_CHECK(fixture.m_pushback.Count(kStart) == 0);
  DOCTEST_CHECK(fixture.m_pushback.TakeEnded(kStart + Seconds(9)).empty());
}

DOCTEST_TEST_CASE("the end of a delay is reported once")
{
  Fixture fixture;
  fixture.m_pushback.OnRejected(fixture.m_replica, Seconds(2), kStart);
  DOCTEST_CHECK(
    fixture.m_pushback.TakeEnded(kStart + Milliseconds(1999)).empty());
  DOCTEST_CHECK(fixture.m_pushback.TakeEnded(kStart + Seconds(2)) ==
                std::vector<std::string>{ "a" });
  DOCTEST_CHECK(fixture.m_pushback.TakeEnded(kStart + Seconds(3)).empty());
}

DOCTEST_TEST_CASE("after the delay an upstream resumes until it has answered")
{
  Fixture fixture;
  DOCTEST_CHECK_FALSE(fixture.m_pushback.IsResuming(fixture.m_replica, kStart));
  fixture.m_pushback.OnRejected(fixture.m_replica, Seconds(2), kStart);
  DOCTEST_CHECK_FALSE(
    fixture.m_pushback.IsResuming(fixture.m_replica, kStart + Seconds(1)));
  // The answer to a request that was sent before.
  fixture.m_pushback.OnAnswered(fixture.m_replica, kStart + Seconds(1));
  TimePoint end = kStart + Seconds(2);
  DOCTEST_CHECK(fixture.m_pushback.IsResuming(fixture.m_replica, end));
  DOCTEST_CHECK(fixture.m_pushback.TakeEnded(end).size() == 1);
  fixture.m_pushback.OnAnswered(fixture.m_replica, end);
  DOCTEST_CHECK_FALSE(fixture.m_pushback.IsResuming(fixture.m_replica, end));
}

// Guards against a rush: all instances that an upstream rejected at the same
// time would otherwise return at the same time.
DOCTEST_TEST_CASE("instances return spread over a part of the delay")
{
  constexpr uint64_t kInstances = 139;
  constexpr Duration kDelay = Seconds(2);
  Replica replica{ .m_id = "a", .m_startUnixMs = 1 };
  std::vector<TimePoint> returns;
  for (uint64_t instance = 0; instance < kInstances; ++instance) {
    ReplicaPushback pushback({ .m_seed = instance });
    pushback.OnRejected(replica, kDelay, kStart);
    returns.push_back(*pushback.Until(replica, kStart));
  }
  std::ranges::sort(returns);
  DOCTEST_CHECK(returns.front() >= kStart + kDelay);
  DOCTEST_CHECK(returns.back() <= kStart + kDelay + kDelay / 4);
  // No tenth of the spread has more than a quarter of the instances.
  for (TimePoint from : returns) {
    auto together = std::ranges::count_if(returns, [&](TimePoint aReturn) {
      return aReturn >= from && aReturn < from + kDelay / 40;
    });
    DOCTEST_CHECK(together < static_cast<int64_t>(kInstances / 4));
  }
}

} // namespace
} // namespace ebonykeel
