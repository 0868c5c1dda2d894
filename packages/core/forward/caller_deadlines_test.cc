#include "core/forward/caller_deadlines.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("what is missing from the usual time was spent on the way")
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

DOCTEST_TEST_CASE("a few patient callers do not make the others look late")
{
  CallerDeadlines deadlines;
  for (int i = 0; i < 64; ++i) {
    deadlines.Add("r", Milliseconds(i % 16 == 0 ? 5000 : 600));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(600)) == Duration{});
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(5000)) == Duration{});
}

DOCTEST_TEST_CASE("nothing is concluded from few requests or another route's")
{
  CallerDeadlines deadlines;
  for (int i = 0; i < 4; ++i) {
    deadlines.Add("r", Milliseconds(600));
  }
  DOCTEST_CHECK(deadlines.ElapsedTime("r", Milliseconds(500)) == Duration{});
  DOCTEST_CHECK(deadlines.ElapsedTime("other", Milliseconds(500)) ==
                Duration{});
}

DOCTEST_TEST_CASE("callers that start with less time become the usual ones")
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
