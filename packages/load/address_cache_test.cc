#include <doctest/doctest.h>

#include "load/address_cache.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(100));

DOCTEST_TEST_CASE(
  "addresses are picked round-robin and failed ones are skipped")
{
  AddressCache cache;
  DOCTEST_CHECK(cache.Pick(0) == nullptr);
  Endpoint first{ "127.0.0.1", 1 };
  Endpoint second{ "127.0.0.1", 2 };
  cache.Set(kStart, { first, second }, Seconds(1));
  DOCTEST_CHECK(*cache.Pick(0) == first);
  DOCTEST_CHECK(*cache.Pick(1) == second);
  cache.MarkFailed(first);
  DOCTEST_CHECK(*cache.Pick(0) == second);
  DOCTEST_CHECK(cache.IsFresh(kStart));
  DOCTEST_CHECK_FALSE(cache.IsFresh(kStart + Seconds(1)));
  cache.MarkFailed(second);
  DOCTEST_CHECK_FALSE(cache.IsFresh(kStart));
  DOCTEST_CHECK(*cache.Pick(0) == first);
}

} // namespace
} // namespace ebonykeel
