#include <doctest/doctest.h>

#include <random>

#include "standins/relay/relay_policy.h"

namespace ebonykeel::standins {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(100));

DOCTEST_TEST_CASE(
  "silence drops the bytes of one direction or of earlier connections")
{
  std::mt19937_64 random(7);
  RelayPolicy policy(random);
  DOCTEST_CHECK_FALSE(policy.ShouldDrop(Direction::kToTarget, 1));
  policy.SetMode(RelayMode::kSilenceTo);
  DOCTEST_CHECK(policy.ShouldDrop(Direction::kToTarget, 1));
  DOCTEST_CHECK_FALSE(policy.ShouldDrop(Direction::kFromTarget, 1));
  policy.SetMode(RelayMode::kPass);
  policy.SilenceConnectionsUpTo(2);
  DOCTEST_CHECK(policy.ShouldDrop(Direction::kToTarget, 2));
  DOCTEST_CHECK(policy.ShouldDrop(Direction::kFromTarget, 1));
  DOCTEST_CHECK_FALSE(policy.ShouldDrop(Direction::kToTarget, 3));
}

DOCTEST_TEST_CASE("jitter does not reorder bytes")
{
  std::mt19937_64 random(7);
  RelayPolicy policy(random);
  policy.SetDelay(Milliseconds(1), Milliseconds(5));
  TimePoint previous = kStart;
  for (int i = 0; i < 1000; ++i) {
    TimePoint now = kStart + std::chrono::microseconds(10 * i);
    TimePoint release = policy.ReleaseTime(now, previous);
    DOCTEST_CHECK(release >= previous);
    DOCTEST_CHECK(release >= now + Milliseconds(1));
    previous = release;
  }
}

DOCTEST_TEST_CASE("a mode is parsed from its name")
{
  DOCTEST_CHECK(ParseRelayMode("silence_from") == RelayMode::kSilenceFrom);
  DOCTEST_CHECK_FALSE(ParseRelayMode("slow").has_value());
}

} // namespace
} // namespace ebonykeel::standins
