// The fault matrix: which test proves which fault at which step of which path.
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
  // "binary: test case" of a proved cell.
  std::string m_test;
  // What else is to be known; the reason of a cell that does not apply.
  std::string m_note;
};

struct FaultPromise
{
  std::string m_id;
  std::string m_text;
  // The runs in which its tests failed with the mechanism switched off.
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

// Returns the source of a test binary; nothing if there is none.
using TestSource =
  std::function<std::optional<std::string>(const std::string&)>;

// Finds proved cells whose test does not exist or stands in `aKnownRed`.
[[nodiscard]] Findings
CheckTests(const FaultMatrix& aMatrix,
           const TestSource& aSource,
           std::string_view aKnownRed);

// Returns the page for readers.
[[nodiscard]] std::string
RenderFaultMatrix(const FaultMatrix& aMatrix);

// Returns "fault matrix: P proved, O open, N not applicable".
[[nodiscard]] std::string
SummarizeFaultMatrix(const FaultMatrix& aMatrix);

} // namespace ebonykeel
