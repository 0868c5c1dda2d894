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

DOCTEST_TEST_CASE("elapsed time is zero for routes with too few samples")
{
  CallerDeadlines deadlines;
  for (int i = 0; i < 4; ++i) {
    deadlines.Add("r", Milliseconds(600));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(500)) == Duration{});
  DOCTEST_CHECK(deadlines.ElapsedTime("other", Milliseconds(500)) ==
                Duration{});
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
