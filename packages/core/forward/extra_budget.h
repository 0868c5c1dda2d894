// Bounds the requests that searchers get beyond the first of each, for all of a
// service's searchers together.
//
//   ExtraBudget budget(
//     { .m_share = 0.2, .m_burst = 126, .m_window = Seconds(10) });
//   budget.SetBurstFraction(1.0 / 6);
//   budget.OnFirstAttempt("shard-07", now);
//   if (budget.TryTake("shard-07", now)) { ... send once more ... }
#pragma once

#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/query/token_budget.h"

namespace ebonykeel {

// The fleet's limit over any window of the given length.
struct ExtraBudgetLimit
{
  // Extra requests for each first one.
  double m_share = 0.2;
  // Extra requests of the whole fleet beside the share.
  double m_burst = 100;
  Duration m_window = Seconds(10);
};

// One instance's part of the budget: its own first requests earn the share. The
// burst comes back over the window and is divided among the instances that take
// callers; the others have no use for it.
class ExtraBudget
{
public:
  explicit ExtraBudget(ExtraBudgetLimit aLimit);

  // Sets this instance's part of the burst, in [0, 1]; 0 until it is known.
  void SetBurstFraction(double aFraction);
  void OnFirstAttempt(const std::string& aService, TimePoint aNow);
  // Takes one extra request; returns false if none is left.
  [[nodiscard]] bool TryTake(const std::string& aService, TimePoint aNow);

private:
  struct Bucket
  {
    TokenBudget m_tokens;
    // Until when the burst's part was added.
    TimePoint m_refilledAt;
  };

  // The most that an bucket holds.
  [[nodiscard]] double BurstCapacity() const;
  // Returns the bucket with all that it has got until now.
  TokenBudget& RefilledBucket(const std::string& aService, TimePoint aNow);

  ExtraBudgetLimit m_limit;
  double m_burstFraction = 0;
  std::unordered_map<std::string, Bucket> m_buckets;
};

} // namespace ebonykeel
