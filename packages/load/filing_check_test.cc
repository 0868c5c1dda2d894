#include <doctest/doctest.h>

#include <vector>

#include "load/filing_check.h"

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE(
  "filing outcomes are compared with the executions on all upstreams")
{
  std::vector<FilingRecord> filings = {
    { "c1", "ran", Outcome::kRan },       { "c1", "refused", Outcome::kNotRun },
    { "c1", "twice", Outcome::kUnknown }, { "c1", "lie", Outcome::kNotRun },
    { "c1", "lost", Outcome::kRan },      { "c2", "ran", Outcome::kNotRun },
  };
  std::vector<ExecutionRecord> executions = {
    { "c1", ForwardedFilingName("c1", "ran"), 1 },
    { "", ForwardedFilingName("c1", "twice"), 1 },
    { "c1", "twice", 1 },
    { "c1", "lie", 1 },
    { "c9", "other", 5 },
  };
  FilingCheck check = CheckFilings(filings, executions);
  DOCTEST_CHECK(check.m_executed == 3);
  DOCTEST_CHECK(check.m_doubled == 1);
  DOCTEST_CHECK(check.m_falseRefusals == 1);
  DOCTEST_CHECK(check.m_falseSuccesses == 1);
}

} // namespace
} // namespace ebonykeel
