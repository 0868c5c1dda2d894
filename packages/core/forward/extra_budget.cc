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
  size_t instances = std::max<size_t>(1, aCount);
  if (instances == m_instances) {
    return;
  }
  m_instances = instances;
  for (auto& [service, budget] : m_budgets) {
    budget.SetBurst(Burst());
  }
}

double
ExtraBudget::Burst() const
{
  return std::max(
    1.0, m_limit.m_burst * kUsedShare / static_cast<double>(m_instances));
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
    // An instance that starts again must not bring a new burst each time.
    TokenBudget budget(m_limit.m_share * kUsedShare, 1);
    budget.SetBurst(Burst());
    found = m_budgets.emplace(aService, budget).first;
  }
  return found->second;
}

} // namespace ebonykeel
