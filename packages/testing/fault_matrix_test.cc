#include "testing/fault_matrix.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr char kMatrix[] = R"([[promise]]
id = "own answer"
text = "each caller gets its own answer"
seen_red = "none yet"
[[path]]
id = "query"
tests = ["packages/query"]
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

constexpr char kSource[] = "DOCTEST_TEST_CASE(\n  \"a long \"\n  \"name\")\n";

std::vector<TestFile>
Files(const std::string& aName)
{
  if (aName != "x_test") {
    return {};
  }
  return { { "packages/query/x_test.cc", kSource } };
}

DOCTEST_TEST_CASE("a matrix is read, counted and rendered")
{
  FaultMatrixResult result = ParseFaultMatrix(kMatrix, "m.toml");
  DOCTEST_REQUIRE(result.m_matrix);
  DOCTEST_CHECK(SummarizeFaultMatrix(*result.m_matrix) ==
                "fault matrix: 1 proved, 0 open, 1 not applicable");
  DOCTEST_CHECK(CheckTests(*result.m_matrix, Files, "").empty());
  std::string page = RenderFaultMatrix(*result.m_matrix);
  DOCTEST_CHECK(page.find("| crossed answers | proved | - |") !=
                std::string::npos);
}

DOCTEST_TEST_CASE("a test that is missing or known to fail proves nothing")
{
  FaultMatrixResult result = ParseFaultMatrix(kMatrix, "m.toml");
  DOCTEST_REQUIRE(result.m_matrix);
  auto none = [](const std::string&) { return std::vector<TestFile>(); };
  DOCTEST_CHECK(CheckTests(*result.m_matrix, none, "").size() == 1);
  DOCTEST_CHECK(
    CheckTests(*result.m_matrix, Files, "x_test: a long name\n").size() == 1);
}

// Guards against a cell that counts as proved by a test of another path.
DOCTEST_TEST_CASE("a test of another path proves nothing")
{
  FaultMatrixResult result = ParseFaultMatrix(kMatrix, "m.toml");
  DOCTEST_REQUIRE(result.m_matrix);
  std::vector<TestFile> files;
  DOCTEST_SUBCASE("the file lies elsewhere")
  {
    files = { { "packages/query_store/x_test.cc", kSource } };
  }
  DOCTEST_SUBCASE("two files have the name")
  {
    files = { { "packages/query/x_test.cc", kSource },
              { "platform/x_test.cc", kSource } };
  }
  auto find = [&](const std::string&) { return files; };
  DOCTEST_CHECK(CheckTests(*result.m_matrix, find, "").size() == 1);
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
  FaultMatrixResult undeclared =
    ParseFaultMatrix(std::string(kMatrix) + R"([[cell]]
path = "other"
step = "route"
fault = "crossed answers"
promise = "own answer"
status = "open"
)",
                     "m.toml");
  DOCTEST_CHECK(undeclared.m_findings.size() == 1);
}

} // namespace
} // namespace ebonykeel
