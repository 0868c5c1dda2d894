// A budget for extra requests, such as hedges and retries. It is earned as a
// share of the first attempts, so that extra requests cannot multiply the load.
//
//   TokenBudget budget(0.03, 20);
//   budget.Earn(98);             // 98 first attempts earn 2.94 tokens
//   if (budget.TryTake()) { ... }  // one extra request
#pragma once

#include <algorithm>

namespace ebonykeel {

// A token bucket that is refilled by requests instead of by time. While N
// requests are earned, at most `aShare` * N + `aBurst` tokens are taken.
class TokenBudget
{
public:
  // `aShare`, in [0, 1], is the number of tokens that one earned request adds.
  // `aBurst`, >= 0, is the capacity of the bucket. The bucket starts full.
  TokenBudget(double aShare, double aBurst)
    : m_share(aShare)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  // Changes the capacity of the bucket. Tokens beyond the new capacity are
  // lost.
  void SetBurst(double aBurst)
  {
    m_burst = aBurst;
    m_tokens = std::min(m_tokens, aBurst);
  }

  // Adds the tokens earned by `aRequests` first attempts.
  void Earn(double aRequests) { Add(m_share * aRequests); }

  // Adds `aTokens` tokens, up to the capacity.
  void Add(double aTokens) { m_tokens = std::min(m_burst, m_tokens + aTokens); }

  // Takes one token. Returns false if less than one token is left.
  [[nodiscard]] bool TryTake()
  {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  // Returns the number of tokens left, in [0, aBurst].
  [[nodiscard]] double Tokens() const { return m_tokens; }

private:
  double m_share;
  double m_burst;
  double m_tokens;
};

} // namespace ebonykeel
