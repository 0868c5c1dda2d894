#include "core/quota/burst_share.h"

#include <algorithm>
#include <utility>

#include "core/base/stable_hash.h"

namespace ebonykeel {

BurstShare::BurstShare(BurstShareOptions aOptions, std::string aHost)
  : m_options(aOptions)
  , m_host(std::move(aHost))
{
}

void
BurstShare::SetParticipants(std::set<std::string> aHosts, TimePoint aNow)
{
  if (aHosts == m_participants) {
    return;
  }
  m_participants = std::move(aHosts);
  m_participantsChangedAt = aNow;
  ++m_participantsVersion;
}

double
BurstShare::Available(const std::string& aKey, TimePoint aNow)
{
  return RefilledAccount(aKey, aNow).m_tokens;
}

void
BurstShare::Take(const std::string& aKey, double aCount, TimePoint aNow)
{
  RefilledAccount(aKey, aNow).m_tokens -= aCount;
}

std::optional<Duration>
BurstShare::UntilAvailable(const std::string& aKey, TimePoint aNow)
{
  const Account& account = RefilledAccount(aKey, aNow);
  if (account.m_tokens >= 1) {
    return Duration{};
  }
  if (account.m_part.m_capacity < 1 || account.m_part.m_refillPerWindow <= 0) {
    return std::nullopt;
  }
  double windows = (1 - account.m_tokens) / account.m_part.m_refillPerWindow;
  return std::chrono::ceil<Duration>(
    windows * std::chrono::duration<double, std::nano>(m_options.m_window));
}

BurstShare::Part
BurstShare::PartOf(const std::string& aKey) const
{
  double held = m_options.m_burst * m_options.m_heldShare;
  size_t holders = std::min(m_participants.size(), static_cast<size_t>(held));
  if (holders == 0 || !m_participants.contains(m_host)) {
    return {};
  }
  auto scoreOf = [&](const std::string& aHost) {
    return StableHash(aHost, StableHash(aKey));
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
           .m_refillPerWindow =
             m_options.m_burst * m_options.m_refilledShare / parts };
}

BurstShare::Account&
BurstShare::RefilledAccount(const std::string& aKey, TimePoint aNow)
{
  // A new account is empty: an instance that restarts must not add to the burst
  // each time.
  Account& account = m_accounts[aKey];
  if (account.m_participantsVersion != m_participantsVersion) {
    account.m_participantsVersion = m_participantsVersion;
    account.m_part = PartOf(aKey);
    // Other instances may have had this part before.
    account.m_refilledAt = m_participantsChangedAt;
  }
  double windows = static_cast<double>((aNow - account.m_refilledAt).count()) /
                   static_cast<double>(m_options.m_window.count());
  account.m_tokens =
    std::min(account.m_part.m_capacity,
             account.m_tokens + windows * account.m_part.m_refillPerWindow);
  account.m_refilledAt = aNow;
  return account;
}

} // namespace ebonykeel
