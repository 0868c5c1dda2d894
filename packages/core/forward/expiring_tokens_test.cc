#include "core/forward/expiring_tokens.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

DOCTEST_TEST_CASE("tokens expire after their lifetime")
{
  ExpiringTokens tokens(Seconds(1));
  tokens.Add(2, kStart);
  tokens.Add(3, kStart + Milliseconds(500));
  DOCTEST_CHECK(tokens.Available(kStart + Milliseconds(899)) == 5);
  DOCTEST_CHECK(tokens.Available(kStart + Milliseconds(1000)) == 3);
  DOCTEST_CHECK(tokens.Available(kStart + Milliseconds(1500)) == 0);
}

DOCTEST_TEST_CASE("the tokens that expire first are taken first")
{
  ExpiringTokens tokens(Seconds(1));
  tokens.Add(2, kStart);
  tokens.Add(3, kStart + Milliseconds(500));
  tokens.Take(1.5, kStart + Milliseconds(600));
  DOCTEST_CHECK(tokens.Available(kStart + Milliseconds(600)) == 3.5);
  DOCTEST_CHECK(tokens.Available(kStart + Milliseconds(1000)) == 3);
  tokens.Take(9, kStart + Milliseconds(1000));
  DOCTEST_CHECK(tokens.Available(kStart + Milliseconds(1000)) == 0);
}

DOCTEST_TEST_CASE("nothing is left after a long pause")
{
  ExpiringTokens tokens(Seconds(1));
  tokens.Add(2, kStart);
  DOCTEST_CHECK(tokens.Available(kStart + Seconds(3600)) == 0);
}

} // namespace
} // namespace ebonykeel
