// The fault matrix: which test proves that a promise holds under a fault at a
// step of a path.
//
//   FaultMatrixResult result = ParseFaultMatrix(text);
//   Findings findings = CheckTests(*result.m_matrix, sources, knownRed);
//   std::string page = RenderFaultMatrix(*result.m_matrix);
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/finding.h"

namespace ebonykeel {

enum class CellStatus
{
  kProved,
  kOpen,
  kNotApplicable,
};

// One fault at one step of one path.
struct FaultCell
{
  std::string m_path;
  std::string m_step;
  std::string m_fault;
  std::string m_promise;
  CellStatus m_status = CellStatus::kOpen;
  // The test of a proved cell, as "binary: test case".
  std::string m_test;
  // A remark. Required for a cell that does not apply: the reason.
  std::string m_note;
};

struct FaultPromise
{
  std::string m_id;
  std::string m_text;
  // The runs in which the promise's tests failed with the mechanism disabled.
  std::string m_seenRed;
};

// A path through the system.
struct FaultPath
{
  std::string m_id;
  // The folders whose tests play this path. A test of another folder proves
  // nothing of it.
  std::vector<std::string> m_testFolders;
};

struct FaultMatrix
{
  std::vector<FaultPromise> m_promises;
  std::vector<FaultPath> m_paths;
  std::vector<FaultCell> m_cells;
};

// Either a matrix or at least one finding.
struct FaultMatrixResult
{
  std::optional<FaultMatrix> m_matrix;
  Findings m_findings;
};

// Reads and checks the TOML text `aText` of the file `aFileName`.
[[nodiscard]] FaultMatrixResult
ParseFaultMatrix(std::string_view aText, std::string_view aFileName);

struct TestFile
{
  // Relative to the root of the repository, with slashes.
  std::string m_path;
  std::string m_source;
};

// Returns the test files of a name without its extension.
using TestFiles = std::function<std::vector<TestFile>(const std::string&)>;

// Reports the tests of proved cells that do not exist, are listed in
// `aKnownRed`, stand for several files, or lie outside the folders of the
// cell's path.
[[nodiscard]] Findings
CheckTests(const FaultMatrix& aMatrix,
           const TestFiles& aFiles,
           std::string_view aKnownRed);

// Returns the matrix as a Markdown page.
[[nodiscard]] std::string
RenderFaultMatrix(const FaultMatrix& aMatrix);

// Returns "fault matrix: P proved, O open, N not applicable".
[[nodiscard]] std::string
SummarizeFaultMatrix(const FaultMatrix& aMatrix);

} // namespace ebonykeel
