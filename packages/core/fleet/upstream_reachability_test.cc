#include "core/fleet/upstream_reachability.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

DOCTEST_TEST_CASE(
  "a lasting lack of upstreams impairs an instance, a short one does not")
{
  UpstreamReachability reach;
  reach.Update(false, true, kStart);
  reach.Update(true, true, kStart + Milliseconds(100));
  reach.Update(false, true, kStart + Milliseconds(300));
  DOCTEST_CHECK_FALSE(reach.IsImpaired());
  reach.Update(false, true, kStart + Milliseconds(500));
  DOCTEST_CHECK(reach.IsImpaired());
}

// While callers are directed to other instances no request is sent, so
// upstreams that count as unreachable for two seconds appear reachable again.
DOCTEST_TEST_CASE(
  "an isolated instance stays impaired until it has remote contact")
{
  UpstreamReachability reach;
  reach.Update(false, true, kStart);
  reach.Update(false, false, kStart + Milliseconds(300));
  reach.Update(true, false, kStart + Seconds(6));
  DOCTEST_CHECK(reach.IsImpaired());
  reach.Update(true, true, kStart + Seconds(7));
  DOCTEST_CHECK_FALSE(reach.IsImpaired());
}

DOCTEST_TEST_CASE("an instance recovers only after its upstreams were retried")
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
