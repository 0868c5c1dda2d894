#include "runtime/metrics/latency_summary.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("an empty summary returns zero for all values")
{
  LatencySummary summary;
  DOCTEST_CHECK(summary.Count() == 0);
  DOCTEST_CHECK(summary.Mean() == 0);
  DOCTEST_CHECK(summary.Max() == 0);
  DOCTEST_CHECK(summary.Quantile(LatencySummary::kP99) == 0);
}

DOCTEST_TEST_CASE(
  "quantile estimates of uniformly distributed latencies are accurate to 5%")
{
  LatencySummary summary;
  // A permutation of 1..1008, since P² estimates depend on the order.
  constexpr int kCount = 1009;
  for (int i = 1; i < kCount; ++i) {
    summary.Add(Milliseconds(i * 500 % kCount));
  }
  DOCTEST_CHECK(summary.Count() == kCount - 1);
  DOCTEST_CHECK(summary.Max() == kCount - 1);
  DOCTEST_CHECK(summary.Mean() == doctest::Approx(504.5));
  DOCTEST_CHECK(summary.Quantile(LatencySummary::kP50) ==
                doctest::Approx(504).epsilon(0.05));
  DOCTEST_CHECK(summary.Quantile(LatencySummary::kP99) ==
                doctest::Approx(999).epsilon(0.05));
}

} // namespace
} // namespace ebonykeel
