#include "core/feed/unreadable_objects.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE(
  "an unreadable object is reported once, until it was readable")
{
  UnreadableObjects unreadable;
  DOCTEST_CHECK(unreadable.Add("a"));
  DOCTEST_CHECK_FALSE(unreadable.Add("a"));
  unreadable.Remove("a");
  DOCTEST_CHECK(unreadable.Count() == 0);
  DOCTEST_CHECK(unreadable.Add("a"));
}

DOCTEST_TEST_CASE("a list forgets the objects that it does not name")
{
  UnreadableObjects unreadable;
  unreadable.Add("a");
  unreadable.Add("b");
  unreadable.BeginList();
  DOCTEST_CHECK_FALSE(unreadable.Add("b"));
  DOCTEST_CHECK(unreadable.Add("c"));
  unreadable.EndList();
  DOCTEST_CHECK(unreadable.Count() == 2);
  DOCTEST_CHECK(unreadable.Add("a"));
}

DOCTEST_TEST_CASE("the number of remembered objects is bounded")
{
  UnreadableObjects unreadable;
  for (size_t i = 0; i < UnreadableObjects::kMaxObjects; ++i) {
    DOCTEST_CHECK(unreadable.Add(std::to_string(i)));
  }
  DOCTEST_CHECK_FALSE(unreadable.Add("one more"));
  DOCTEST_CHECK(unreadable.Count() == UnreadableObjects::kMaxObjects);
}

} // namespace
} // namespace ebonykeel
