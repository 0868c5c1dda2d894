// Checks the answers of an instance against the guarantees that a caller can
// verify.
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

// A guarantee that was violated.
enum class Violation
{
  // The answer belongs to another request, or its hits to another query.
  kForeignAnswer,
  // A hit belongs to a different index version or service than the answer
  // states.
  kMixedSnapshot,
  // The shard counts contradict the list of missing shards, or a hit belongs to
  // a shard that is listed as missing.
  kFalseCoverage,
  // An answer with status 200 cannot be parsed.
  kUnreadable,
  // A filing was executed more than once.
  kDoubledFiling,
  // A filing was executed although it was refused as not run.
  kFalseRefusal,
  // A filing was not executed although it was reported as run.
  kFalseSuccess,
};

// Returns the name of `aViolation` in results, such as "mixed_snapshot".
[[nodiscard]] std::string_view
ViolationName(Violation aViolation);

struct QueryCheck
{
  std::vector<Violation> m_violations;
  uint64_t m_shards = 0;
  uint64_t m_answered = 0;
};

// Checks the body of an answer to a query with status 200.
[[nodiscard]] QueryCheck
CheckQueryAnswer(std::string_view aRequestId,
                 std::string_view aQuery,
                 std::string_view aBody);

// The outcome that a refusal or the answer to a filing states.
struct StatedOutcome
{
  Outcome m_outcome = Outcome::kUnknown;
  // The error code; empty if there is none.
  std::string m_code;
  std::string m_requestId;
};

// Parses the outcome from a body; `kUnknown` if the body states none.
[[nodiscard]] StatedOutcome
ReadOutcome(std::string_view aBody);

} // namespace ebonykeel
