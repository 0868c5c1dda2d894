#include "core/forward/extra_budget.h"

#include <algorithm>
#include <utility>

#include "core/base/stable_hash.h"

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
  , m_host(std::move(aHost))
{
}

void
ExtraBudget::SetParticipants(std::set<std::string> aHosts, TimePoint aNow)
{
  if (aHosts == m_participants) {
    return;
  }
  m_participants = std::move(aHosts);
  m_participantsChangedAt = aNow;
  ++m_participantsVersion;
}

void
ExtraBudget::OnFirstAttempt(const std::string& aService, TimePoint aNow)
{
  RefilledAccount(aService, aNow)
    .m_earned.Add(m_limit.m_share * kEarnedShare, aNow);
}

bool
ExtraBudget::TryTake(const std::string& aService, TimePoint aNow)
{
  Account& account = RefilledAccount(aService, aNow);
  double earned = std::min(1.0, account.m_earned.Available(aNow));
  if (earned + account.m_burstTokens < 1) {
    return false;
  }
  account.m_earned.Take(earned, aNow);
  account.m_burstTokens -= 1 - earned;
  return true;
}

ExtraBudget::BurstPart
ExtraBudget::PartOf(const std::string& aService) const
{
  double held = m_limit.m_burst * kHeldBurst;
  size_t holders = std::min(m_participants.size(), static_cast<size_t>(held));
  if (holders == 0 || !m_participants.contains(m_host)) {
    return {};
  }
  auto scoreOf = [&](const std::string& aHost) {
    return StableHash(aHost, StableHash(aService));
  };
  if (holders < m_participants.size()) {
    uint64_t own = scoreOf(m_host);
    auto before =
      std::ranges::count_if(m_participants, [&](const std::string& aHost) {
        return scoreOf(aHost) > own;
      });
    if (static_cast<size_t>(before) >= holders) {
      return {};
    }
  }
  auto parts = static_cast<double>(holders);
  return { .m_capacity = held / parts,
           .m_refillPerWindow = m_limit.m_burst * kRefilledBurst / parts };
}

ExtraBudget::Account&
ExtraBudget::RefilledAccount(const std::string& aService, TimePoint aNow)
{
  auto found = m_accounts.find(aService);
  if (found == m_accounts.end()) {
    // A new account is empty: an instance that restarts must not add to the
    // burst each time.
    Account account{ .m_earned = ExpiringTokens(m_limit.m_window /
                                                kEarnedLifetimesPerWindow) };
    found = m_accounts.emplace(aService, account).first;
  }
  Account& account = found->second;
  if (account.m_participantsVersion != m_participantsVersion) {
    account.m_participantsVersion = m_participantsVersion;
    account.m_part = PartOf(aService);
    // Other instances may have had this part before.
    account.m_refilledAt = m_participantsChangedAt;
  }
  double windows = static_cast<double>((aNow - account.m_refilledAt).count()) /
                   static_cast<double>(m_limit.m_window.count());
  account.m_burstTokens = std::min(
    account.m_part.m_capacity,
    account.m_burstTokens + windows * account.m_part.m_refillPerWindow);
  account.m_refilledAt = aNow;
  return account;
}

} // namespace ebonykeel
