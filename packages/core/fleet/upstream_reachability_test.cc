#include "core/fleet/upstream_reachability.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

DOCTEST_TEST_CASE("a lasting lack of searchers counts, a short one does not")
{
  UpstreamReachability reach;
  reach.Update(false, true, kStart);
  reach.Update(true, true, kStart + Milliseconds(100));
  reach.Update(false, true, kStart + Milliseconds(300));
  DOCTEST_CHECK_FALSE(reach.IsImpaired());
  reach.Update(false, true, kStart + Milliseconds(500));
  DOCTEST_CHECK(reach.IsImpaired());
}

// While callers are led elsewhere no request is sent, and searchers that count
// as down for two seconds look reachable again.
DOCTEST_TEST_CASE("an instance that is cut off stays impaired until it hears "
                  "other data centres")
{
  UpstreamReachability reach;
  reach.Update(false, true, kStart);
  reach.Update(false, false, kStart + Milliseconds(300));
  reach.Update(true, false, kStart + Seconds(6));
  DOCTEST_CHECK(reach.IsImpaired());
  reach.Update(true, true, kStart + Seconds(7));
  DOCTEST_CHECK_FALSE(reach.IsImpaired());
}

DOCTEST_TEST_CASE("searchers must have been tried again")
{
  UpstreamReachability reach;
  reach.Update(false, true, kStart);
  reach.Update(false, true, kStart + Milliseconds(300));
  reach.Update(true, true, kStart + Seconds(1));
  DOCTEST_CHECK(reach.IsImpaired());
  reach.Update(true, true, kStart + Seconds(3));
  DOCTEST_CHECK_FALSE(reach.IsImpaired());
}

} // namespace
} // namespace ebonykeel
