#include "core/forward/start_queue.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

// Regression: callers that returned right after a power loss were refused with
// a retry delay that the start did not need (haufiku-entries scale-2, seed 21).
DOCTEST_TEST_CASE("requests wait for the start and keep their order")
{
  StartQueue queue(kStart, {});
  DOCTEST_CHECK_FALSE(queue.NextTimer().has_value());
  DOCTEST_CHECK(queue.Add(1, kStart + Milliseconds(10)));
  DOCTEST_CHECK(queue.Add(2, kStart + Milliseconds(20)));
  DOCTEST_CHECK(queue.Add(3, kStart + Milliseconds(30)));
  queue.Remove(2);
  DOCTEST_CHECK(queue.NextTimer() == kStart + Milliseconds(400));
  DOCTEST_CHECK(queue.TakeAll() == std::vector<uint64_t>{ 1, 3 });
  DOCTEST_CHECK_FALSE(queue.NextTimer().has_value());
}

DOCTEST_TEST_CASE("no request waits once the start is over or takes too long")
{
  StartQueue late(kStart, {});
  DOCTEST_CHECK_FALSE(late.Add(1, kStart + Milliseconds(400)));
  StartQueue done(kStart, {});
  DOCTEST_CHECK(done.TakeAll().empty());
  DOCTEST_CHECK_FALSE(done.Add(1, kStart));
}

DOCTEST_TEST_CASE("the number of waiting requests is limited")
{
  StartQueue queue(kStart, { .m_maxWaiting = 2 });
  DOCTEST_CHECK(queue.Add(1, kStart));
  DOCTEST_CHECK(queue.Add(2, kStart));
  DOCTEST_CHECK_FALSE(queue.Add(3, kStart));
}

} // namespace
} // namespace ebonykeel
