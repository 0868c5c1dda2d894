// Checks what a node answers against the promises that a caller can see.
//
//   QueryCheck check = CheckQueryAnswer("r-1", "red", body);
//   if (!check.m_violations.empty()) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/query/messages.h"

namespace ebonykeel {

// A promise that an answer broke.
enum class Violation
{
  // The answer is another request's, or its hits belong to another query.
  kForeignAnswer,
  // A hit belongs to another index version than the answer states, or to
  // another service.
  kMixedSnapshot,
  // The counts of shards do not agree with the list of missing ones, or with
  // the hits.
  kFalseCoverage,
  // An answer with status 200 that cannot be read.
  kUnreadable,
  // A filing was executed more than once.
  kDoubledFiling,
  // A filing that was refused as not run was executed.
  kFalseRefusal,
  // A filing that was said to have run was not executed.
  kFalseSuccess,
};

// Returns the stable name of `aViolation`, such as "mixed_snapshot".
[[nodiscard]] std::string_view
ViolationName(Violation aViolation);

struct QueryCheck
{
  std::vector<Violation> m_violations;
  uint64_t m_shards = 0;
  uint64_t m_answered = 0;
};

// Checks the body of a query answered with status 200.
[[nodiscard]] QueryCheck
CheckQueryAnswer(std::string_view aRequestId,
                 std::string_view aQuery,
                 std::string_view aBody);

// What a refusal or a filing's answer says.
struct StatedOutcome
{
  Outcome m_outcome = Outcome::kUnknown;
  // The error's code; empty when there is none.
  std::string m_code;
  std::string m_requestId;
};

// Reads the outcome out of a body; `kUnknown` when it states none.
[[nodiscard]] StatedOutcome
ReadOutcome(std::string_view aBody);

} // namespace ebonykeel
