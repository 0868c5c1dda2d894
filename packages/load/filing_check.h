// Compares the outcomes that callers received for their filings with the
// executions on the upstreams.
//
//   FilingCheck check = CheckFilings(filings, executions);
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/query/messages.h"

namespace ebonykeel {

// A filing and the last outcome that its caller received.
struct FilingRecord
{
  std::string m_caller;
  std::string m_requestId;
  Outcome m_outcome = Outcome::kUnknown;
};

// How often an upstream executed a filing, under the caller and request id that
// the upstream received.
struct ExecutionRecord
{
  std::string m_caller;
  std::string m_requestId;
  uint64_t m_count = 0;
};

struct FilingCheck
{
  uint64_t m_executed = 0;
  // Filings that were executed more than once, over all upstreams.
  uint64_t m_doubled = 0;
  // Filings that were refused as not run, but were executed.
  uint64_t m_falseRefusals = 0;
  // Filings that were reported as run, but were not executed.
  uint64_t m_falseSuccesses = 0;
};

// Returns the request id under which an instance forwards a filing to an
// upstream.
[[nodiscard]] std::string
ForwardedFilingName(std::string_view aCaller, std::string_view aRequestId);

// Compares filings and executions. Executions of filings that are not in
// `aFilings` are ignored.
[[nodiscard]] FilingCheck
CheckFilings(std::span<const FilingRecord> aFilings,
             std::span<const ExecutionRecord> aExecutions);

} // namespace ebonykeel
