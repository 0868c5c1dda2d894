#include "testing/fault_matrix.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <utility>

#include <toml++/toml.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr std::string_view kProved = "proved";
constexpr std::string_view kOpen = "open";
constexpr std::string_view kNotApplicable = "not_applicable";

// Reads one table and records a finding for each missing key.
class TableReader
{
public:
  TableReader(const toml::table& aTable,
              std::string_view aFile,
              Findings& aFindings)
    : m_table(aTable)
    , m_file(aFile)
    , m_findings(aFindings)
  {
  }

  std::string Text(std::string_view aKey, bool aRequired = true)
  {
    std::string text = m_table[aKey].value_or(std::string());
    if (text.empty() && aRequired) {
      AddFinding(aKey, "is missing");
    }
    return text;
  }

  std::vector<std::string> Texts(std::string_view aKey)
  {
    std::vector<std::string> texts;
    if (const toml::array* array = m_table[aKey].as_array()) {
      for (const toml::node& node : *array) {
        texts.push_back(node.value_or(std::string()));
      }
    }
    if (texts.empty()) {
      AddFinding(aKey, "is missing");
    }
    return texts;
  }

  void AddFinding(std::string_view aKey, std::string_view aProblem)
  {
    m_findings.push_back({ .m_place = { m_file, m_table.source().begin.line },
                           .m_key = std::string(aKey),
                           .m_problem = std::string(aProblem) });
  }

private:
  const toml::table& m_table;
  std::string m_file;
  Findings& m_findings;
};

FaultCell
ReadCell(TableReader& aTable)
{
  FaultCell cell{ .m_path = aTable.Text("path"),
                  .m_step = aTable.Text("step"),
                  .m_fault = aTable.Text("fault"),
                  .m_promise = aTable.Text("promise") };
  std::string status = aTable.Text("status");
  cell.m_test = aTable.Text("test", status == kProved);
  cell.m_note = aTable.Text("note", status == kNotApplicable);
  if (status == kProved) {
    cell.m_status = CellStatus::kProved;
  } else if (status == kNotApplicable) {
    cell.m_status = CellStatus::kNotApplicable;
  } else if (status != kOpen) {
    aTable.AddFinding("status", "is not one of proved, open, not_applicable");
  }
  if (status != kProved && !cell.m_test.empty()) {
    aTable.AddFinding("test", "is named by a cell that is not proved");
  }
  return cell;
}

// Calls `aRead` with each table of the array `aKey`.
template<typename Read>
void
ForEachTable(const toml::table& aRoot, std::string_view aKey, Read aRead)
{
  const toml::array* array = aRoot[aKey].as_array();
  if (array == nullptr) {
    return;
  }
  for (const toml::node& node : *array) {
    if (const toml::table* table = node.as_table()) {
      aRead(*table);
    }
  }
}

// Joins adjacent string literals of C++ source.
std::string
JoinLiterals(std::string_view aSource)
{
  std::string joined;
  for (size_t at = 0; at < aSource.size(); ++at) {
    if (aSource[at] == '"') {
      size_t next = aSource.find_first_not_of(" \t\n", at + 1);
      if (next != std::string_view::npos && next > at + 1 &&
          aSource[next] == '"') {
        at = next;
        continue;
      }
    }
    joined.push_back(aSource[at]);
  }
  return joined;
}

// Returns whether `aSource` declares the test case `aName`.
bool
DeclaresTestCase(std::string_view aSource, std::string_view aName)
{
  std::string joined = JoinLiterals(aSource);
  size_t at = joined.find("\"" + std::string(aName) + "\")");
  if (at == std::string::npos || at == 0) {
    return false;
  }
  size_t last = joined.find_last_not_of(" \t\n", at - 1);
  return last != std::string::npos &&
         joined.substr(0, last + 1).ends_with("DOCTEST_TEST_CASE(");
}

std::vector<std::string>
TestFoldersOf(const FaultMatrix& aMatrix, std::string_view aPath)
{
  auto path = std::ranges::find(aMatrix.m_paths, aPath, &FaultPath::m_id);
  return path == aMatrix.m_paths.end() ? std::vector<std::string>()
                                       : path->m_testFolders;
}

// Returns why the test of a proved cell proves nothing, or an empty string.
std::string
FindTestProblem(const FaultCell& aCell,
                std::span<const std::string> aFolders,
                const TestFiles& aFiles)
{
  size_t colon = aCell.m_test.find(": ");
  std::vector<TestFile> files = aFiles(aCell.m_test.substr(0, colon));
  if (files.size() > 1) {
    return "stands for several files";
  }
  if (colon == std::string::npos || files.empty() ||
      !DeclaresTestCase(files.front().m_source,
                        aCell.m_test.substr(colon + 2))) {
    return "is not a test case";
  }
  bool belongs = std::ranges::any_of(aFolders, [&](const std::string& aFolder) {
    return files.front().m_path.starts_with(aFolder + "/");
  });
  return belongs ? ""
                 : absl::StrCat("does not belong to the path ", aCell.m_path);
}

size_t
CountStatus(const FaultMatrix& aMatrix, CellStatus aStatus)
{
  return std::ranges::count(aMatrix.m_cells, aStatus, &FaultCell::m_status);
}

std::string_view
RenderedStatus(CellStatus aStatus)
{
  switch (aStatus) {
    case CellStatus::kProved:
      return "proved";
    case CellStatus::kOpen:
      return "**open**";
    case CellStatus::kNotApplicable:
      return "-";
  }
  return "";
}

// Returns the distinct values of a cell member in order of appearance.
std::vector<std::string>
DistinctValues(const std::vector<FaultCell>& aCells,
               std::string FaultCell::*aMember)
{
  std::vector<std::string> values;
  for (const FaultCell& cell : aCells) {
    if (std::ranges::find(values, cell.*aMember) == values.end()) {
      values.push_back(cell.*aMember);
    }
  }
  return values;
}

void
RenderTable(const std::vector<FaultCell>& aCells, std::string& aPage)
{
  std::map<std::pair<std::string, std::string>, CellStatus> statuses;
  for (const FaultCell& cell : aCells) {
    statuses[{ cell.m_fault, cell.m_step }] = cell.m_status;
  }
  std::vector<std::string> steps = DistinctValues(aCells, &FaultCell::m_step);
  absl::StrAppend(&aPage, "| fault |");
  for (const std::string& step : steps) {
    absl::StrAppend(&aPage, " ", step, " |");
  }
  absl::StrAppend(&aPage, "\n|---|");
  for (size_t i = 0; i < steps.size(); ++i) {
    absl::StrAppend(&aPage, "---|");
  }
  for (const std::string& fault : DistinctValues(aCells, &FaultCell::m_fault)) {
    absl::StrAppend(&aPage, "\n| ", fault, " |");
    for (const std::string& step : steps) {
      auto found = statuses.find({ fault, step });
      std::string mark = found == statuses.end()
                           ? ""
                           : std::string(RenderedStatus(found->second));
      absl::StrAppend(&aPage, " ", mark, " |");
    }
  }
  absl::StrAppend(&aPage, "\n\n");
}

// Lists the cells of one status, grouped by test and note.
void
RenderList(const std::vector<FaultCell>& aCells,
           CellStatus aStatus,
           std::string_view aTitle,
           std::string& aPage)
{
  std::vector<std::string> texts;
  std::map<std::string, std::string> places;
  for (const FaultCell& cell : aCells) {
    if (cell.m_status != aStatus) {
      continue;
    }
    std::string text = cell.m_test.empty() ? "" : "`" + cell.m_test + "`";
    if (!cell.m_note.empty()) {
      absl::StrAppend(&text, text.empty() ? "" : "; ", cell.m_note);
    }
    if (text.empty()) {
      text = "no test yet";
    }
    auto [entry, added] = places.emplace(text, "");
    if (added) {
      texts.push_back(text);
    }
    absl::StrAppend(&entry->second,
                    added ? "" : ", ",
                    cell.m_fault,
                    " / ",
                    cell.m_step,
                    " (",
                    cell.m_promise,
                    ")");
  }
  if (texts.empty()) {
    return;
  }
  absl::StrAppend(&aPage, std::string(aTitle), ":\n\n");
  for (const std::string& text : texts) {
    absl::StrAppend(&aPage, "- ", text, ": ", places[text], "\n");
  }
  absl::StrAppend(&aPage, "\n");
}

} // namespace

FaultMatrixResult
ParseFaultMatrix(std::string_view aText, std::string_view aFileName)
{
  FaultMatrixResult result;
  std::string file(aFileName);
  toml::parse_result parsed = toml::parse(aText, file);
  if (!parsed) {
    result.m_findings.push_back(
      { .m_place = { file, parsed.error().source().begin.line },
        .m_problem = std::string(parsed.error().description()) });
    return result;
  }
  FaultMatrix matrix;
  std::set<std::string> promises;
  ForEachTable(parsed.table(), "promise", [&](const toml::table& aTable) {
    TableReader table(aTable, file, result.m_findings);
    matrix.m_promises.push_back({ .m_id = table.Text("id"),
                                  .m_text = table.Text("text"),
                                  .m_seenRed = table.Text("seen_red") });
    promises.insert(matrix.m_promises.back().m_id);
  });
  ForEachTable(parsed.table(), "path", [&](const toml::table& aTable) {
    TableReader table(aTable, file, result.m_findings);
    matrix.m_paths.push_back(
      { .m_id = table.Text("id"), .m_testFolders = table.Texts("tests") });
  });
  std::set<std::tuple<std::string, std::string, std::string>> places;
  ForEachTable(parsed.table(), "cell", [&](const toml::table& aTable) {
    TableReader table(aTable, file, result.m_findings);
    FaultCell cell = ReadCell(table);
    if (!promises.contains(cell.m_promise)) {
      table.AddFinding("promise", "is not declared");
    }
    if (std::ranges::find(matrix.m_paths, cell.m_path, &FaultPath::m_id) ==
        matrix.m_paths.end()) {
      table.AddFinding("path", "is not declared");
    }
    if (!places.emplace(cell.m_path, cell.m_step, cell.m_fault).second) {
      table.AddFinding("cell", "is a duplicate");
    }
    matrix.m_cells.push_back(std::move(cell));
  });
  if (result.m_findings.empty()) {
    result.m_matrix = std::move(matrix);
  }
  return result;
}

Findings
CheckTests(const FaultMatrix& aMatrix,
           const TestFiles& aFiles,
           std::string_view aKnownRed)
{
  Findings findings;
  std::set<std::pair<std::string, std::string>> checked;
  for (const FaultCell& cell : aMatrix.m_cells) {
    if (cell.m_status != CellStatus::kProved ||
        !checked.emplace(cell.m_path, cell.m_test).second) {
      continue;
    }
    std::string problem =
      FindTestProblem(cell, TestFoldersOf(aMatrix, cell.m_path), aFiles);
    if (problem.empty() && aKnownRed.find(cell.m_test) != std::string::npos) {
      problem = "is known to fail";
    }
    if (!problem.empty()) {
      findings.push_back(
        { .m_key = cell.m_test, .m_problem = std::move(problem) });
    }
  }
  return findings;
}

std::string
RenderFaultMatrix(const FaultMatrix& aMatrix)
{
  std::string page = "# Fault matrix\n\n"
                     "Rendered from docs/fault_matrix.toml by `make "
                     "fault-matrix`. A cell is proved when the named test "
                     "injects that fault at that step and checks the "
                     "promise; what nothing proves is open.\n\n";
  absl::StrAppend(&page, SummarizeFaultMatrix(aMatrix), "\n\n## Promises\n\n");
  absl::StrAppend(&page, "| promise | meaning | seen red |\n|---|---|---|\n");
  for (const FaultPromise& promise : aMatrix.m_promises) {
    absl::StrAppend(&page,
                    "| ",
                    promise.m_id,
                    " | ",
                    promise.m_text,
                    " | ",
                    promise.m_seenRed,
                    " |\n");
  }
  for (const std::string& path :
       DistinctValues(aMatrix.m_cells, &FaultCell::m_path)) {
    std::vector<FaultCell> cells;
    std::ranges::copy_if(
      aMatrix.m_cells, std::back_inserter(cells), [&](const FaultCell& aCell) {
        return aCell.m_path == path;
      });
    absl::StrAppend(&page, "\n## ", path, "\n\n");
    RenderTable(cells, page);
    RenderList(cells, CellStatus::kOpen, "Open", page);
    RenderList(cells, CellStatus::kProved, "Proved by", page);
    RenderList(cells, CellStatus::kNotApplicable, "Not applicable", page);
  }
  while (page.ends_with("\n\n")) {
    page.pop_back();
  }
  return page;
}

std::string
SummarizeFaultMatrix(const FaultMatrix& aMatrix)
{
  return absl::StrCat("fault matrix: ",
                      CountStatus(aMatrix, CellStatus::kProved),
                      " proved, ",
                      CountStatus(aMatrix, CellStatus::kOpen),
                      " open, ",
                      CountStatus(aMatrix, CellStatus::kNotApplicable),
                      " not applicable");
}

} // namespace ebonykeel
