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

struct FaultMatrix
{
  std::vector<FaultPromise> m_promises;
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

// Returns the source of a test binary, or nullopt if there is none.
using TestSource =
  std::function<std::optional<std::string>(const std::string&)>;

// Reports the tests of proved cells that do not exist or are listed in
// `aKnownRed`.
[[nodiscard]] Findings
CheckTests(const FaultMatrix& aMatrix,
           const TestSource& aSource,
           std::string_view aKnownRed);

// Returns the matrix as a Markdown page.
[[nodiscard]] std::string
RenderFaultMatrix(const FaultMatrix& aMatrix);

// Returns "fault matrix: P proved, O open, N not applicable".
[[nodiscard]] std::string
SummarizeFaultMatrix(const FaultMatrix& aMatrix);

} // namespace ebonykeel
