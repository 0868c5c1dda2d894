#include "core/query/hedge_policy.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

const ServiceName kService("heats");

DOCTEST_TEST_CASE(
  "the hedge delay is a latency quantile, known after enough samples")
{
  QuantileHedging hedges({ .m_quantile = 0.97, .m_minSamples = 100 });
  DOCTEST_CHECK(!hedges.Delay(kService, false).has_value());
  for (int sample = 1; sample <= 100; ++sample) {
    hedges.OnLatency(kService, Milliseconds(sample));
  }
  Duration delay = *hedges.Delay(kService, false);
  DOCTEST_CHECK(delay >= Milliseconds(97));
  DOCTEST_CHECK(delay <= Milliseconds(103));
  DOCTEST_CHECK(*hedges.Delay(kService, true) < delay);
}

DOCTEST_TEST_CASE("a quantile estimate follows a change of latency")
{
  DecayingHistogram histogram(100);
  for (int sample = 0; sample < 10'000; ++sample) {
    histogram.Add(Milliseconds(50));
  }
  for (int sample = 0; sample < 1'000; ++sample) {
    histogram.Add(Milliseconds(2));
  }
  DOCTEST_CHECK(histogram.Quantile(0.97) < Milliseconds(3));
}

DOCTEST_TEST_CASE("hedges are bounded over all queries and for each query")
{
  QuantileHedging hedges({ .m_budgetShare = 0.03,
                           .m_budgetBurst = 2,
                           .m_queryCapShare = 0.1,
                           .m_minQueryCap = 2 });
  DOCTEST_CHECK(!hedges.TryTake(4, 40));
  DOCTEST_CHECK(hedges.TryTake(0, 40));
  DOCTEST_CHECK(hedges.TryTake(1, 40));
  DOCTEST_CHECK(!hedges.TryTake(0, 40));
  hedges.OnFirstAttempts(40);
  DOCTEST_CHECK(hedges.TryTake(0, 40));
  DOCTEST_CHECK(!hedges.TryTake(0, 40));
}

} // namespace
} // namespace ebonykeel
