#include "core/forward/record_merge.h"

#include <array>
#include <string_view>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

using namespace std::string_view_literals;

DOCTEST_TEST_CASE(
  "merging returns the greatest records of all parts, greatest first")
{
  TopRecordsMerger merger(2, 3);
  std::array parts{ "aacc"sv, "bbdd"sv };
  DOCTEST_CHECK(merger.Merge(parts) == "ddccbb");
}

DOCTEST_TEST_CASE("equal records are all kept")
{
  TopRecordsMerger merger(2, 3);
  std::array parts{ "zzaa"sv, "zz"sv };
  DOCTEST_CHECK(merger.Merge(parts) == "zzzzaa");
}

DOCTEST_TEST_CASE("a remainder is ignored and bytes compare unsigned")
{
  TopRecordsMerger merger(2, 5);
  std::array parts{ "aab"sv, "\xff\x01"sv };
  DOCTEST_CHECK(merger.Merge(parts) == "\xff\x01"
                                       "aa");
}

DOCTEST_TEST_CASE("merging no parts gives an empty body")
{
  TopRecordsMerger merger(16, 5);
  DOCTEST_CHECK(merger.Merge({}).empty());
}

} // namespace
} // namespace ebonykeel
