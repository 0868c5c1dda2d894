#include "runtime/log/events.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("an event is one line with its number, name and fields")
{
  std::array<EventField, 2> fields = { EventField{ "id", "entry-01" },
                                       EventField{ "public", "a b" } };
  DOCTEST_CHECK(FormatEvent(Event::kInstanceStarted, fields) ==
                "EK1001 node_started id=entry-01 public=\"a b\"");
}

DOCTEST_TEST_CASE("a line break in a value is escaped")
{
  std::array<EventField, 1> fields = { EventField{ "id", "x\ny=\"z\"" } };
  std::string line = FormatEvent(Event::kInstanceStarted, fields);
  DOCTEST_CHECK(line.find('\n') == std::string::npos);
}

DOCTEST_TEST_CASE("event numbers are in ascending order and names are unique")
{
  std::set<std::string_view> names;
  int last = 0;
  for (const EventInfo& info : EventCatalogue()) {
    DOCTEST_CHECK(static_cast<int>(info.m_event) > last);
    last = static_cast<int>(info.m_event);
    DOCTEST_CHECK(names.insert(info.m_name).second);
  }
}

DOCTEST_TEST_CASE("docs/EVENTS.md is the rendered catalogue")
{
  std::ifstream file(EBONYKEEL_EVENTS_PAGE);
  std::string page{ std::istreambuf_iterator<char>(file), {} };
  DOCTEST_CHECK(page == RenderEventCatalogue());
}

} // namespace
} // namespace ebonykeel
