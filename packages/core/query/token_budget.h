// A budget for extra requests, earned as a share of the requests that are
// needed anyway, so that hedges and retries can never multiply the load.
//
//   TokenBudget budget(0.03, 20);
//   budget.Earn(98);             // 98 first attempts earn 2.94 tokens
//   if (budget.TryTake()) { ... }  // one extra request
#pragma once

#include <algorithm>

namespace ebonykeel {

// A token bucket that fills by work done instead of by time. Over any span in
// which N requests were earned, at most `aShare` * N + `aBurst` tokens are
// given out.
class TokenBudget
{
public:
  // `aShare` in [0, 1] is what one earned request adds. `aBurst` >= 0 is the
  // most that the bucket holds; it starts full.
  TokenBudget(double aShare, double aBurst)
    : m_share(aShare)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  // Changes the most that the bucket holds; what it holds beyond is lost.
  void SetBurst(double aBurst)
  {
    m_burst = aBurst;
    m_tokens = std::min(m_tokens, aBurst);
  }

  // Adds the share of `aRequests` first attempts.
  void Earn(double aRequests) { Add(m_share * aRequests); }

  // Adds tokens that were earned otherwise.
  void Add(double aTokens) { m_tokens = std::min(m_burst, m_tokens + aTokens); }

  // Takes one token. Returns false and takes nothing if there is none.
  [[nodiscard]] bool TryTake()
  {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  // The tokens left, in [0, aBurst].
  [[nodiscard]] double Tokens() const { return m_tokens; }

private:
  double m_share;
  double m_burst;
  double m_tokens;
};

} // namespace ebonykeel
