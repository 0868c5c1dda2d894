#include "core/quota/token_bucket.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr TokenLimit kLimit{ .m_rate = 10, .m_capacity = 5 };

TokenBucket
FilledBucket()
{
  TokenBucket bucket({}, kStart);
  bucket.SetLimit(kLimit, kStart);
  return bucket;
}

} // namespace

// Guards against a burst for each new granter.
DOCTEST_TEST_CASE("a bucket is empty at first and fills up to its capacity")
{
  TokenBucket bucket = FilledBucket();
  DOCTEST_CHECK(bucket.Take(1, kStart) == 0);
  DOCTEST_CHECK(bucket.UntilAvailable(kStart) == Milliseconds(100));
  DOCTEST_CHECK(bucket.Take(9, kStart + Milliseconds(250)) == 2);
  DOCTEST_CHECK(bucket.Take(9, kStart + Seconds(60)) == 5);
  bucket.Clear(kStart + Seconds(70));
  DOCTEST_CHECK(bucket.Take(9, kStart + Seconds(70)) == 0);
}

// Guards against a retry delay that promises a token which never comes.
DOCTEST_TEST_CASE("a bucket without a rate or capacity promises nothing soon")
{
  TokenBucket bucket({}, kStart);
  DOCTEST_CHECK(bucket.UntilAvailable(kStart) == Seconds(5));
  bucket.SetLimit({ .m_rate = 10, .m_capacity = 0.5 }, kStart);
  DOCTEST_CHECK(bucket.UntilAvailable(kStart + Seconds(9)) == Seconds(5));
}

// Guards against returned tokens that push others out of a full bucket, or are
// added although the tokens that came meanwhile have filled it.
DOCTEST_TEST_CASE("a returned token fits only if there was room all the time")
{
  TokenBucket bucket = FilledBucket();
  TimePoint now = kStart + Seconds(10);
  DOCTEST_CHECK(bucket.Take(5, now) == 5);
  // The room before the taking is not known to be free yet.
  DOCTEST_CHECK(bucket.Return(3, now) == 0);
  for (int i = 0; i < 20; ++i) {
    now += Milliseconds(100);
    DOCTEST_REQUIRE(bucket.Take(1, now) == 1);
  }
  DOCTEST_CHECK(bucket.Return(3, now) == 3);
  DOCTEST_CHECK(bucket.Return(3, now) <= 1);
  now += Seconds(1);
  DOCTEST_CHECK(bucket.Return(3, now) == 0);
}

// Guards against limits that take effect late, and against a burst for each
// change of a limit that is lowered and raised in turn.
DOCTEST_TEST_CASE("a limit takes effect at once, its burst only once")
{
  TokenBucket bucket = FilledBucket();
  TimePoint now = kStart + Seconds(10);
  DOCTEST_CHECK(bucket.Take(5, now) == 5);
  bucket.SetLimit({ .m_rate = 10, .m_capacity = 9 }, now);
  DOCTEST_CHECK(bucket.Take(9, now) == 4);
  for (int i = 0; i < 5; ++i) {
    bucket.SetLimit(kLimit, now);
    bucket.SetLimit({ .m_rate = 10, .m_capacity = 9 }, now);
    DOCTEST_CHECK(bucket.Take(9, now) == 0);
  }
  now += Seconds(10);
  bucket.SetLimit({ .m_rate = 10, .m_capacity = 2 }, now);
  DOCTEST_CHECK(bucket.Take(9, now) == 2);
}

// Guards against an added burst in a bucket that was cleared because an earlier
// granter may have added it already.
DOCTEST_TEST_CASE(
  "a bucket that was cleared lately does not add a higher burst")
{
  TokenBucket bucket = FilledBucket();
  bucket.Clear(kStart + Seconds(10));
  bucket.SetLimit({ .m_rate = 10, .m_capacity = 500 }, kStart + Seconds(11));
  DOCTEST_CHECK(bucket.Take(500, kStart + Seconds(11)) == 5);
}

// Guards against tokens that stay alive because they are returned and taken
// again: those that are kept must fit the limit as if the others had never been
// taken.
DOCTEST_TEST_CASE("kept tokens are within the limit in any time")
{
  bool held = rc::check([]() {
    TokenBucket bucket({ .m_returnHorizon = Milliseconds(500) }, kStart);
    bucket.SetLimit(kLimit, kStart);
    TimePoint now = kStart + Seconds(5);
    std::vector<TimePoint> taken;
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 400)));
    for (auto [action, ms] : steps) {
      now += Milliseconds(ms);
      if (action < 6) {
        uint32_t count = bucket.Take(static_cast<uint32_t>(action), now);
        taken.insert(taken.end(), count, now);
      } else {
        auto recent = std::ranges::find_if(
          taken, [&](TimePoint aAt) { return now - aAt < Milliseconds(500); });
        auto most = static_cast<uint32_t>(taken.end() - recent);
        uint32_t count =
          bucket.Return(std::min(most, static_cast<uint32_t>(action - 5)), now);
        taken.erase(recent, recent + count);
      }
    }
    for (size_t i = 0; i < taken.size(); ++i) {
      for (size_t j = i; j < taken.size(); ++j) {
        double seconds =
          std::chrono::duration<double>(taken[j] - taken[i]).count();
        RC_ASSERT(static_cast<double>(j - i + 1) <=
                  kLimit.m_capacity + kLimit.m_rate * seconds + 1e-6);
      }
    }
  });
  DOCTEST_CHECK(held);
}

} // namespace ebonykeel
