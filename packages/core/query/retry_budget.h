// The budget for sub-queries that are sent again after a failure.
//
//   RetryBudget retries = MakeRetryBudget();
#pragma once

#include "core/query/token_budget.h"

namespace ebonykeel {

// Retries for each first attempt.
inline constexpr double kRetryShare = 0.05;
// Retries that may follow each other at once after a quiet time, such as when
// an instance or an upstream is lost.
inline constexpr double kRetryBurst = 200;

// One for each instance; shared by all its queries.
using RetryBudget = TokenBudget;

// Returns a full budget with the standard share and burst.
[[nodiscard]] inline RetryBudget
MakeRetryBudget()
{
  return { kRetryShare, kRetryBurst };
}

} // namespace ebonykeel
