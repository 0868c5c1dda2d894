// Compares what callers were told about their filings with what the searchers
// executed.
//
//   FilingCheck check = CheckFilings(filings, executions);
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/query/messages.h"

namespace ebonykeel {

// A filing and the last outcome that its caller was told.
struct FilingRecord
{
  std::string m_caller;
  std::string m_requestId;
  Outcome m_outcome = Outcome::kUnknown;
};

// How often a searcher executed a filing, under the name that reached it.
struct ExecutionRecord
{
  std::string m_caller;
  std::string m_requestId;
  uint64_t m_count = 0;
};

struct FilingCheck
{
  uint64_t m_executed = 0;
  // Filings that were executed more than once, over all searchers.
  uint64_t m_doubled = 0;
  // Filings that were refused as not run and executed all the same.
  uint64_t m_falseRefusals = 0;
  // Filings that were said to have run and were not executed.
  uint64_t m_falseSuccesses = 0;
};

// Returns the name under which nodes pass a filing on to a searcher.
[[nodiscard]] std::string
ForwardedFilingName(std::string_view aCaller, std::string_view aRequestId);

// Executions of filings that are not in `aFilings` are ignored.
[[nodiscard]] FilingCheck
CheckFilings(std::span<const FilingRecord> aFilings,
             std::span<const ExecutionRecord> aExecutions);

} // namespace ebonykeel
