#include "testing/fault_matrix.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr char kMatrix[] = R"([[promise]]
id = "own answer"
text = "each caller gets its own answer"
seen_red = "none yet"
[[cell]]
path = "query"
step = "answer"
fault = "crossed answers"
promise = "own answer"
status = "proved"
test = "x_test: a long name"
[[cell]]
path = "query"
step = "route"
fault = "crossed answers"
promise = "own answer"
status = "not_applicable"
note = "nothing is sent yet"
)";

std::optional<std::string>
Source(const std::string& aBinary)
{
  if (aBinary != "x_test") {
    return std::nullopt;
  }
  return "DOCTEST_TEST_CASE(\n  \"a long \"\n  \"name\")\n";
}

DOCTEST_TEST_CASE("a matrix is read, counted and rendered")
{
  FaultMatrixResult result = ParseFaultMatrix(kMatrix, "m.toml");
  DOCTEST_REQUIRE(result.m_matrix);
  DOCTEST_CHECK(SummarizeFaultMatrix(*result.m_matrix) ==
                "fault matrix: 1 proved, 0 open, 1 not applicable");
  DOCTEST_CHECK(CheckTests(*result.m_matrix, Source, "").empty());
  std::string page = RenderFaultMatrix(*result.m_matrix);
  DOCTEST_CHECK(page.find("| crossed answers | proved | - |") !=
                std::string::npos);
}

DOCTEST_TEST_CASE("a test that is missing or known to fail proves nothing")
{
  FaultMatrixResult result = ParseFaultMatrix(kMatrix, "m.toml");
  DOCTEST_REQUIRE(result.m_matrix);
  auto none = [](const std::string&) -> std::optional<std::string> {
    return std::nullopt;
  };
  DOCTEST_CHECK(CheckTests(*result.m_matrix, none, "").size() == 1);
  DOCTEST_CHECK(
    CheckTests(*result.m_matrix, Source, "x_test: a long name\n").size() == 1);
}

DOCTEST_TEST_CASE("incomplete and duplicate cells are reported")
{
  FaultMatrixResult twice = ParseFaultMatrix(std::string(kMatrix) + R"([[cell]]
path = "query"
step = "route"
fault = "crossed answers"
promise = "undeclared"
status = "proved"
)",
                                             "m.toml");
  DOCTEST_CHECK(!twice.m_matrix);
  DOCTEST_CHECK(twice.m_findings.size() == 3);
}

} // namespace
} // namespace ebonykeel
