#include <doctest/doctest.h>

#include "load/latency_histogram.h"

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("quantiles are within two per cent at any magnitude")
{
  for (int64_t scale : { 1, 100, 10'000, 1'000'000 }) {
    LatencyHistogram histogram;
    for (int64_t i = 1; i <= 1000; ++i) {
      histogram.Add(std::chrono::microseconds(i * scale));
    }
    for (double share : { 0.5, 0.99, 0.999, 1.0 }) {
      double expected = share * 1000 * static_cast<double>(scale) / 1000;
      DOCTEST_CHECK(ToMillisecondsF(histogram.Quantile(share)) ==
                    doctest::Approx(expected).epsilon(0.02));
    }
    DOCTEST_CHECK(histogram.Count() == 1000);
    DOCTEST_CHECK(histogram.Max() == std::chrono::microseconds(1000 * scale));
  }
}

DOCTEST_TEST_CASE("an empty histogram has zero quantiles and no buckets")
{
  LatencyHistogram histogram;
  DOCTEST_CHECK(histogram.Quantile(0.99) == Duration::zero());
  DOCTEST_CHECK(histogram.Buckets().empty());
}

DOCTEST_TEST_CASE(
  "one slow request in a thousand changes only the highest quantile")
{
  LatencyHistogram histogram;
  for (int i = 0; i < 999; ++i) {
    histogram.Add(Milliseconds(1));
  }
  histogram.Add(Seconds(5));
  DOCTEST_CHECK(ToMilliseconds(histogram.Quantile(0.99)) == 1);
  DOCTEST_CHECK(histogram.Quantile(1.0) == Seconds(5));
}

} // namespace
} // namespace ebonykeel
