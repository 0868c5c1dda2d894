// Renders docs/FAULTS.md from docs/fault_matrix.toml, or checks that it is up
// to date. Also checks that every test named in the matrix exists.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

// Returns the test files by their names without the extension.
std::multimap<std::string, TestFile>
ReadTests(const std::filesystem::path& aRoot)
{
  std::multimap<std::string, TestFile> tests;
  for (const char* folder : { "packages", "platform" }) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(aRoot / folder)) {
      const std::filesystem::path& path = entry.path();
      if (path.filename().string().ends_with("_test.cc")) {
        tests.emplace(path.stem().string(),
                      TestFile{ path.lexically_relative(aRoot).generic_string(),
                                ReadFile(path).value_or("") });
      }
    }
  }
  return tests;
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
  std::multimap<std::string, TestFile> tests = ReadTests(aRoot);
  Findings findings = CheckTests(
    *result.m_matrix,
    [&tests](const std::string& aName) {
      std::vector<TestFile> files;
      auto [begin, end] = tests.equal_range(aName);
      std::transform(begin,
                     end,
                     std::back_inserter(files),
                     [](const auto& aTest) { return aTest.second; });
      return files;
    },
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
