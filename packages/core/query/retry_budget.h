// The budget for retries of failed sub-queries.
//
//   RetryBudget retries = MakeRetryBudget();
#pragma once

#include "core/query/token_budget.h"

namespace ebonykeel {

// Retries allowed for each first attempt.
inline constexpr double kRetryShare = 0.05;
// Retries allowed in a burst, such as after the loss of an instance or an
// upstream.
inline constexpr double kRetryBurst = 200;

// Shared by all queries of an instance.
using RetryBudget = TokenBudget;

// Returns a full budget with `kRetryShare` and `kRetryBurst`.
[[nodiscard]] inline RetryBudget
MakeRetryBudget()
{
  return { kRetryShare, kRetryBurst };
}

} // namespace ebonykeel
