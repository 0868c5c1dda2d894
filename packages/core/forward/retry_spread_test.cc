#include "core/forward/retry_spread.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("retry delays are never shorter and differ from each other")
{
  RetrySpread spread;
  std::vector<Duration> delays(100);
  std::ranges::generate(delays, [&]() { return spread.Extend(Seconds(1)); });
  std::ranges::sort(delays);
  DOCTEST_CHECK(delays.front() >= Seconds(1));
  DOCTEST_CHECK(delays.back() < Milliseconds(1250));
  for (size_t i = 1; i < delays.size(); ++i) {
    DOCTEST_CHECK(delays[i] - delays[i - 1] < Milliseconds(10));
  }
}

DOCTEST_TEST_CASE("long and negative delays are bounded")
{
  RetrySpread spread;
  for (int i = 0; i < 100; ++i) {
    DOCTEST_CHECK(spread.Extend(Seconds(60)) < Milliseconds(60500));
    DOCTEST_CHECK(spread.Extend(Seconds(-1)) == Duration{});
  }
}

} // namespace
} // namespace ebonykeel
