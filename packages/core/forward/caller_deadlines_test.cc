#include "core/forward/caller_deadlines.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("the difference from the typical time budget is elapsed time")
{
  CallerDeadlines deadlines;
  for (int i = 0; i < 40; ++i) {
    deadlines.Add("r", Milliseconds(i % 3 == 0 ? 600 : 592));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(600)) == Duration{});
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(592)) ==
                Milliseconds(8));
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(400)) ==
                Milliseconds(200));
}

DOCTEST_TEST_CASE(
  "a few larger time budgets do not add elapsed time to the others")
{
  CallerDeadlines deadlines;
  for (int i = 0; i < 64; ++i) {
    deadlines.Add("r", Milliseconds(i % 16 == 0 ? 5000 : 600));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(600)) == Duration{});
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(5000)) == Duration{});
}

DOCTEST_TEST_CASE("elapsed time is zero for routes with a single sample")
{
  CallerDeadlines deadlines;
  deadlines.Add("r", Milliseconds(600));
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(500)) == Duration{});
  DOCTEST_CHECK(deadlines.ElapsedTime("other", Milliseconds(500)) ==
                Duration{});
}

// Regression: an instance of a large fleet gets one request of a route in a
// second or less, and answered them all too late until it had eight
// (tasalfombra-large quiet-1, seed 21: 20 of 40 late answers).
DOCTEST_TEST_CASE("two requests of a route are enough for an estimate")
{
  CallerDeadlines deadlines;
  deadlines.Add("r", Milliseconds(600));
  deadlines.Add("r", Milliseconds(586));
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(586)) ==
                Milliseconds(14));
  // The estimate of the instance's first callers corrects itself.
  deadlines.Add("r", Milliseconds(5000));
  for (int i = 0; i < 10; ++i) {
    deadlines.Add("r", Milliseconds(600));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(586)) ==
                Milliseconds(14));
}

DOCTEST_TEST_CASE("a lower time budget of all callers becomes the typical one")
{
  CallerDeadlines deadlines;
  for (int i = 0; i < 64; ++i) {
    deadlines.Add("r", Milliseconds(600));
  }
  for (int i = 0; i < 64; ++i) {
    deadlines.Add("r", Milliseconds(300));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(300)) == Duration{});
}

} // namespace
} // namespace ebonykeel
