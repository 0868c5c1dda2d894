#include "core/forward/extra_budget.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// The part of the fleet's limit that is used: other instances' view of the
// fleet's size may lag behind.
constexpr double kUsedShare = 0.8;

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetLimit aLimit)
  : m_limit(aLimit)
{
}

void
ExtraBudget::SetInstances(size_t aCount)
{
  m_instances = std::max<size_t>(1, aCount);
}

void
ExtraBudget::OnFirst(const std::string& aService)
{
  Of(aService).Earn(1);
}

bool
ExtraBudget::TryTake(const std::string& aService)
{
  return Of(aService).TryTake();
}

TokenBudget&
ExtraBudget::Of(const std::string& aService)
{
  auto found = m_budgets.find(aService);
  if (found == m_budgets.end()) {
    double burst = std::max(
      1.0, m_limit.m_burst * kUsedShare / static_cast<double>(m_instances));
    found =
      m_budgets
        .emplace(aService, TokenBudget(m_limit.m_share * kUsedShare, burst))
        .first;
  }
  return found->second;
}

} // namespace ebonykeel
