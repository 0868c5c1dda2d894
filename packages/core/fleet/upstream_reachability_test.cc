#include "core/fleet/upstream_reachability.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

DOCTEST_TEST_CASE(
  "a lasting lack of upstreams impairs an instance, a short one does not")
{
  UpstreamReachability reachability;
  reachability.Update(false, true, kStart);
  reachability.Update(true, true, kStart + Milliseconds(100));
  reachability.Update(false, true, kStart + Milliseconds(300));
  DOCTEST_CHECK_FALSE(reachability.IsImpaired());
  reachability.Update(false, true, kStart + Milliseconds(500));
  DOCTEST_CHECK(reachability.IsImpaired());
}

// While callers are directed to other instances no request is sent, so
// upstreams that count as unreachable for two seconds appear reachable again.
DOCTEST_TEST_CASE(
  "an isolated instance stays impaired until it has remote contact")
{
  UpstreamReachability reachability;
  reachability.Update(false, true, kStart);
  reachability.Update(false, false, kStart + Milliseconds(300));
  reachability.Update(true, false, kStart + Seconds(6));
  DOCTEST_CHECK(reachability.IsImpaired());
  reachability.Update(true, true, kStart + Seconds(7));
  DOCTEST_CHECK_FALSE(reachability.IsImpaired());
}

DOCTEST_TEST_CASE("an instance recovers only after its upstreams were retried")
{
  UpstreamReachability reachability;
  reachability.Update(false, true, kStart);
  reachability.Update(false, true, kStart + Milliseconds(300));
  reachability.Update(true, true, kStart + Seconds(1));
  DOCTEST_CHECK(reachability.IsImpaired());
  reachability.Update(true, true, kStart + Seconds(3));
  DOCTEST_CHECK_FALSE(reachability.IsImpaired());
}

} // namespace
} // namespace ebonykeel
