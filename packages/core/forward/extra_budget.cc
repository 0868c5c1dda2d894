#include "core/forward/extra_budget.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// The part of the limit's share that is used.
constexpr double kUsedShare = 0.8;
// The parts of the limit's burst that may be held, and that come back over a
// window. Together they leave nearly half: each side of a fleet that is cut in
// two takes itself for the whole.
constexpr double kHeldBurst = 0.2;
constexpr double kRefilledBurst = 0.35;

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetLimit aLimit)
  : m_limit(aLimit)
{
}

void
ExtraBudget::SetPart(double aPart)
{
  if (aPart == m_part) {
    return;
  }
  m_part = aPart;
  for (auto& [service, account] : m_accounts) {
    account.m_tokens.SetBurst(Most());
  }
}

void
ExtraBudget::OnFirst(const std::string& aService, TimePoint aNow)
{
  Filled(aService, aNow).Earn(1);
}

bool
ExtraBudget::TryTake(const std::string& aService, TimePoint aNow)
{
  return Filled(aService, aNow).TryTake();
}

double
ExtraBudget::Most() const
{
  return std::max(1.0, m_limit.m_burst * kHeldBurst * m_part);
}

TokenBudget&
ExtraBudget::Filled(const std::string& aService, TimePoint aNow)
{
  auto found = m_accounts.find(aService);
  if (found == m_accounts.end()) {
    // An instance that starts again must not bring a new burst each time.
    TokenBudget tokens(m_limit.m_share * kUsedShare, 1);
    tokens.SetBurst(Most());
    found = m_accounts.emplace(aService, Account{ tokens, aNow }).first;
  }
  Account& account = found->second;
  double windows = static_cast<double>((aNow - account.m_filledTo).count()) /
                   static_cast<double>(m_limit.m_window.count());
  account.m_tokens.Add(windows * m_limit.m_burst * kRefilledBurst * m_part);
  account.m_filledTo = aNow;
  return account.m_tokens;
}

} // namespace ebonykeel
