// Limits the extra requests (hedges and retries) to all upstreams of a service
// together.
//
//   ExtraBudget budget(
//     { .m_share = 0.2, .m_burst = 126, .m_window = Seconds(10) });
//   budget.SetBurstFraction(1.0 / 6);
//   budget.OnFirstAttempt("shard-07", now);
//   if (budget.TryTake("shard-07", now)) { ... make an extra attempt ... }
#pragma once

#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/query/token_budget.h"

namespace ebonykeel {

// The fleet's limit over any window of the given length.
struct ExtraBudgetLimit
{
  // The number of extra requests allowed for each first attempt.
  double m_share = 0.2;
  // The number of extra requests allowed to the whole fleet in addition to the
  // share.
  double m_burst = 100;
  Duration m_window = Seconds(10);
};

// One instance's part of the budget. Its own first attempts earn the share. The
// burst is refilled over the window and is divided among the instances that
// take callers, since the others do not use it.
class ExtraBudget
{
public:
  explicit ExtraBudget(ExtraBudgetLimit aLimit);

  // Sets this instance's fraction of the burst, in [0, 1]; 0 until it is known.
  void SetBurstFraction(double aFraction);
  void OnFirstAttempt(const std::string& aService, TimePoint aNow);
  // Takes one extra request; returns false if none is left.
  [[nodiscard]] bool TryTake(const std::string& aService, TimePoint aNow);

private:
  struct Bucket
  {
    TokenBudget m_tokens;
    // When the burst was last refilled.
    TimePoint m_refilledAt;
  };

  // Returns the maximum number of tokens in a bucket.
  [[nodiscard]] double BurstCapacity() const;
  // Returns the tokens of the bucket, refilled up to `aNow`.
  TokenBudget& RefilledBucket(const std::string& aService, TimePoint aNow);

  ExtraBudgetLimit m_limit;
  double m_burstFraction = 0;
  std::unordered_map<std::string, Bucket> m_buckets;
};

} // namespace ebonykeel
