#include "core/base/finding.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE(
  "a finding is formatted with place, key, problem and allowed values")
{
  Finding finding{ .m_place = { "desk.toml", 4, 9 },
                   .m_key = "slots",
                   .m_problem = "is 0",
                   .m_allowed = "1 to 64" };
  DOCTEST_CHECK(FormatFinding(finding) ==
                "desk.toml:4:9: slots: is 0 (allowed: 1 to 64)");
}

DOCTEST_TEST_CASE("unknown parts of a place are left out")
{
  Finding finding{ .m_place = { "desk.toml" }, .m_problem = "x" };
  DOCTEST_CHECK(FormatFinding(finding) == "desk.toml: x");
  finding.m_place = {};
  DOCTEST_CHECK(FormatFinding(finding) == "x");
}

DOCTEST_TEST_CASE("every finding is formatted on its own line")
{
  Findings findings{ { .m_place = { "a", 1, 1 }, .m_problem = "x" },
                     { .m_place = { "b", 2, 3 }, .m_problem = "y" } };
  DOCTEST_CHECK(FormatFindings(findings) == "a:1:1: x\nb:2:3: y\n");
}

} // namespace
} // namespace ebonykeel
