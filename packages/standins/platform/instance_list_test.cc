#include <doctest/doctest.h>

#include "standins/platform/instance_list.h"

namespace ebonykeel::standins {
namespace {

constexpr TimePoint kStart = TimePoint(Seconds(100));

DOCTEST_TEST_CASE("a view contains the state that was last set before its time")
{
  InstanceList list;
  DOCTEST_CHECK(list.ViewAt(kStart).empty());
  list.Set(kStart, { .m_id = "n1" });
  list.Set(kStart + Seconds(1), { .m_id = "n1", .m_state = "leaving" });
  list.Remove(kStart + Seconds(2), "n1");
  DOCTEST_CHECK(list.ViewAt(kStart - Milliseconds(1)).empty());
  DOCTEST_CHECK(list.ViewAt(kStart).at("n1").m_state == "live");
  DOCTEST_CHECK(list.ViewAt(kStart + Seconds(1)).at("n1").m_state == "leaving");
  DOCTEST_CHECK(list.ViewAt(kStart + Seconds(2)).empty());
}

} // namespace
} // namespace ebonykeel::standins
