#include "core/forward/extra_budget.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// The fraction of the limit's share that is used.
constexpr double kUsedShare = 0.8;
// The fractions of the limit's burst that may be held, and that are refilled
// over a window. Together they leave nearly half unused: if the fleet is
// partitioned in two, each side counts itself as the whole fleet.
constexpr double kMaxHeldBurst = 0.2;
constexpr double kRefilledBurst = 0.35;

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetLimit aLimit)
  : m_limit(aLimit)
{
}

void
ExtraBudget::SetBurstFraction(double aFraction)
{
  if (aFraction == m_burstFraction) {
    return;
  }
  m_burstFraction = aFraction;
  for (auto& [service, bucket] : m_buckets) {
    bucket.m_tokens.SetBurst(BurstCapacity());
  }
}

void
ExtraBudget::OnFirstAttempt(const std::string& aService, TimePoint aNow)
{
  RefilledBucket(aService, aNow).Earn(1);
}

bool
ExtraBudget::TryTake(const std::string& aService, TimePoint aNow)
{
  return RefilledBucket(aService, aNow).TryTake();
}

double
ExtraBudget::BurstCapacity() const
{
  return std::max(1.0, m_limit.m_burst * kMaxHeldBurst * m_burstFraction);
}

TokenBudget&
ExtraBudget::RefilledBucket(const std::string& aService, TimePoint aNow)
{
  auto found = m_buckets.find(aService);
  if (found == m_buckets.end()) {
    // A new bucket starts with at most one token: an instance that restarts
    // must not add a new burst each time.
    TokenBudget tokens(m_limit.m_share * kUsedShare, 1);
    tokens.SetBurst(BurstCapacity());
    found = m_buckets.emplace(aService, Bucket{ tokens, aNow }).first;
  }
  Bucket& bucket = found->second;
  double windows = static_cast<double>((aNow - bucket.m_refilledAt).count()) /
                   static_cast<double>(m_limit.m_window.count());
  bucket.m_tokens.Add(windows * m_limit.m_burst * kRefilledBurst *
                      m_burstFraction);
  bucket.m_refilledAt = aNow;
  return bucket.m_tokens;
}

} // namespace ebonykeel
