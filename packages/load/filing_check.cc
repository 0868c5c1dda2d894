#include "load/filing_check.h"

#include <map>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

std::string
ForwardedFilingName(std::string_view aCaller, std::string_view aRequestId)
{
  return absl::StrCat(absl::WebSafeBase64Escape(ToAbsl(aCaller)),
                      ".",
                      absl::WebSafeBase64Escape(ToAbsl(aRequestId)));
}

FilingCheck
CheckFilings(std::span<const FilingRecord> aFilings,
             std::span<const ExecutionRecord> aExecutions)
{
  std::map<std::string, uint64_t> counts;
  for (const ExecutionRecord& execution : aExecutions) {
    // An instance forwards a filing under a request id derived from the caller
    // and its request id. A caller that contacts an upstream directly sends
    // both unchanged.
    counts[execution.m_requestId] += execution.m_count;
    counts[ForwardedFilingName(execution.m_caller, execution.m_requestId)] +=
      execution.m_count;
  }
  FilingCheck check;
  for (const FilingRecord& filing : aFilings) {
    auto found =
      counts.find(ForwardedFilingName(filing.m_caller, filing.m_requestId));
    uint64_t count = found == counts.end() ? 0 : found->second;
    check.m_executed += count > 0;
    check.m_doubled += count > 1;
    check.m_falseRefusals += filing.m_outcome == Outcome::kNotRun && count > 0;
    check.m_falseSuccesses += filing.m_outcome == Outcome::kRan && count == 0;
  }
  return check;
}

} // namespace ebonykeel
