// Renders docs/FAULTS.md from docs/fault_matrix.toml, or checks that it is up
// to date. Also checks that every test named in the matrix exists.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

#include <docopt/docopt.h>

#include "testing/fault_matrix.h"

namespace {

using namespace ebonykeel; // NOLINT(google-build-using-namespace)

constexpr char kUsage[] = R"(Renders or checks the fault matrix.

Usage:
  fault_matrix (render | check) ROOT
  fault_matrix --help

Exit codes: 0 done, 1 findings, 2 wrong usage.
)";

std::optional<std::string>
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), {} };
}

// Returns the paths of the test files by their names without the extension.
std::multimap<std::string, std::filesystem::path>
FindTests(const std::filesystem::path& aRoot)
{
  std::multimap<std::string, std::filesystem::path> tests;
  for (const char* folder : { "packages", "platform" }) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(aRoot / folder)) {
      std::string name = entry.path().filename().string();
      if (name.ends_with("_test.cc")) {
        tests.emplace(entry.path().stem().string(), entry.path());
      }
    }
  }
  return tests;
}

// Returns the sources of all test files of one name; nullopt if there is none.
std::optional<std::string>
ReadTests(const std::multimap<std::string, std::filesystem::path>& aTests,
          const std::string& aName)
{
  auto [begin, end] = aTests.equal_range(aName);
  if (begin == end) {
    return std::nullopt;
  }
  std::string source;
  for (auto test = begin; test != end; ++test) {
    source += ReadFile(test->second).value_or("");
  }
  return source;
}

int
Run(const std::filesystem::path& aRoot, bool aCheck)
{
  FaultMatrixResult result =
    ParseFaultMatrix(ReadFile(aRoot / "docs/fault_matrix.toml").value_or(""),
                     "docs/fault_matrix.toml");
  if (!result.m_matrix) {
    std::cerr << FormatFindings(result.m_findings);
    return 1;
  }
  auto tests = FindTests(aRoot);
  Findings findings = CheckTests(
    *result.m_matrix,
    [&tests](const std::string& aName) { return ReadTests(tests, aName); },
    ReadFile(aRoot / "KNOWN-RED.txt").value_or(""));
  std::string page = RenderFaultMatrix(*result.m_matrix);
  std::filesystem::path target = aRoot / "docs/FAULTS.md";
  if (!aCheck) {
    std::ofstream(target, std::ios::binary) << page;
  } else if (ReadFile(target) != page) {
    findings.push_back({ .m_place = { "docs/FAULTS.md" },
                         .m_problem = "is not rendered; run "
                                      "make fault-matrix" });
  }
  std::cerr << FormatFindings(findings);
  std::cout << SummarizeFaultMatrix(*result.m_matrix) << "\n";
  return findings.empty() ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto arguments =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  return Run(arguments.at("ROOT").asString(), arguments.at("check").asBool());
}
