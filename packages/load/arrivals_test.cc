#include <doctest/doctest.h>

#include <random>

#include "load/arrivals.h"

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE(
  "both kinds of arrivals have the configured rate and are in order")
{
  for (ArrivalKind kind : { ArrivalKind::kConstant, ArrivalKind::kPoisson }) {
    std::mt19937_64 random(7);
    ArrivalSchedule schedule(kind, 1000, random);
    Duration last = Duration::zero();
    for (int i = 0; i < 20'000; ++i) {
      Duration next = schedule.Next();
      DOCTEST_REQUIRE(next >= last);
      last = next;
    }
    DOCTEST_CHECK(ToMillisecondsF(last) ==
                  doctest::Approx(20'000).epsilon(0.03));
  }
}

} // namespace
} // namespace ebonykeel
