#include "core/forward/extra_budget.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {
namespace {

// The fraction of the limit's share that is earned, and the part of a window
// for which it is kept. The extra requests of a window may have been earned
// during one and a quarter windows, so the share is cut by as much.
constexpr double kEarnedShare = 0.8;
constexpr int kEarnedLifetimesPerWindow = 4;
// The fractions of the limit's burst that may be held, and that are refilled
// over a window. Together they leave half unused: if the fleet is partitioned
// in two, each side counts itself as the whole fleet.
constexpr double kHeldBurst = 0.15;
constexpr double kRefilledBurst = 0.35;

} // namespace

ExtraBudget::ExtraBudget(ExtraBudgetLimit aLimit, std::string aHost)
  : m_limit(aLimit)
  , m_bursts({ .m_burst = aLimit.m_burst,
               .m_heldShare = kHeldBurst,
               .m_refilledShare = kRefilledBurst,
               .m_window = aLimit.m_window },
             std::move(aHost))
{
}

void
ExtraBudget::SetParticipants(std::set<std::string> aHosts, TimePoint aNow)
{
  m_bursts.SetParticipants(std::move(aHosts), aNow);
}

void
ExtraBudget::OnFirstAttempt(const std::string& aService, TimePoint aNow)
{
  auto [earned, isNew] = m_earned.try_emplace(
    aService, m_limit.m_window / kEarnedLifetimesPerWindow);
  earned->second.Add(m_limit.m_share * kEarnedShare, aNow);
  // Refills the burst, so that a later change of the participants does not lose
  // what was refilled before it.
  (void)m_bursts.Available(aService, aNow);
}

bool
ExtraBudget::TryTake(const std::string& aService, TimePoint aNow)
{
  auto [tokens, isNew] = m_earned.try_emplace(
    aService, m_limit.m_window / kEarnedLifetimesPerWindow);
  double earned = std::min(1.0, tokens->second.Available(aNow));
  if (earned + m_bursts.Available(aService, aNow) < 1) {
    return false;
  }
  tokens->second.Take(earned, aNow);
  m_bursts.Take(aService, 1 - earned, aNow);
  return true;
}

} // namespace ebonykeel
