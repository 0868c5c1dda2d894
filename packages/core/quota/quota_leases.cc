#include "core/quota/quota_leases.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ebonykeel {
namespace {

// The time constant of the rate of arrivals.
constexpr std::chrono::duration<double> kRateTime{ 0.5 };
// A lease is asked for if the tokens that are valid after `kRenewalLead` are
// fewer than the requests expected until then; it covers `kLeaseSpan`.
constexpr Duration kRenewalLead = Milliseconds(150);
constexpr Duration kLeaseSpan = Milliseconds(300);
// The same for tokens that are asked for in a message which is sent anyway.
constexpr Duration kSharedRenewalLead = Milliseconds(250);
// Tokens that expire within this time and are not expected to be spent are
// given back with the next request.
constexpr Duration kReturnLead = Milliseconds(200);
// At fewer expected requests in `kLeaseSpan`, each request asks for itself:
// tokens ahead of need would mostly expire.
constexpr double kMinExpectedForRenewal = 1;
// After a round that found no token, the granters are not asked again for half
// the time in which a bucket fills, within these bounds: more often costs
// messages, less often lets buckets overflow.
constexpr Duration kMinPause = Milliseconds(10);
constexpr Duration kMaxPause = Milliseconds(100);
// The delay that is stated to callers if no granter answers and this instance
// has no reserve: about the time until another granter takes over.
constexpr Duration kTakeoverTime = Seconds(3);
// How long a workspace without requests is remembered.
constexpr Duration kAccountRetention = Seconds(60);
// The most tokens that are asked for at once.
constexpr double kMaxWanted = 100'000;

double
InSeconds(Duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

QuotaLeases::QuotaLeases(const QuotaPolicy& aPolicy,
                         QuotaLeasesOptions aOptions)
  : m_policy(aPolicy)
  , m_options(std::move(aOptions))
  , m_reserve(aPolicy.Reserve(), m_options.m_host)
{
}

void
QuotaLeases::SetGranters(std::vector<QuotaGranters> aGranters)
{
  m_granters = std::move(aGranters);
}

void
QuotaLeases::SetReserveSharers(std::set<std::string> aHosts, TimePoint aNow)
{
  m_reserve.SetParticipants(std::move(aHosts), aNow);
}

QuotaDecision
QuotaLeases::Admit(const Workspace& aWorkspace,
                   uint64_t aId,
                   Duration aMaxWait,
                   TimePoint aNow)
{
  WorkspaceHash hash = HashWorkspace(aWorkspace.m_name);
  if (aWorkspace.m_ratePerSecond <= 0) {
    return {};
  }
  Account& account = m_accounts[hash];
  account.m_name = aWorkspace.m_name;
  account.m_limit =
    m_policy.DataCentreLimit(aWorkspace.m_ratePerSecond, aWorkspace.m_burst);
  CountArrival(account, aNow);
  DropExpired(account, aNow);
  if (account.m_waiters.empty()) {
    if (std::optional<TimePoint> expiresAt = TakeToken(account, aNow)) {
      RenewAhead(
        hash, account, kRenewalLead, m_options.m_renewalInterval, aNow);
      return { .m_tokenExpiresAt = expiresAt };
    }
  }
  if (aNow < account.m_refusedUntil) {
    return account.m_unanswered ? DecideWithoutGranter(account, aNow)
                                : DecideWithoutToken(account, aNow);
  }
  if (m_granters.empty() || m_waitingIn.size() >= m_options.m_maxWaiting) {
    return DecideWithoutGranter(account, aNow);
  }
  account.m_waiters.push_back(
    { aId, aNow + std::min(aMaxWait, m_options.m_maxWait) });
  m_waitingIn[aId] = hash;
  ++m_counters.m_waited;
  if (!account.m_round) {
    StartRound(hash, account);
  }
  return { .m_outcome = QuotaOutcome::kWaiting };
}

void
QuotaLeases::Cancel(uint64_t aId)
{
  auto found = m_waitingIn.extract(aId);
  if (!found.empty()) {
    std::erase_if(m_accounts[found.mapped()].m_waiters,
                  [&](const Waiter& aWaiter) { return aWaiter.m_id == aId; });
  }
}

void
QuotaLeases::GiveBack(const std::string& aWorkspace,
                      TimePoint aTokenExpiresAt,
                      TimePoint aNow)
{
  auto found = m_accounts.find(HashWorkspace(aWorkspace));
  if (found == m_accounts.end() || aTokenExpiresAt <= aNow) {
    return;
  }
  Account& account = found->second;
  auto after = std::ranges::find_if(account.m_lots, [&](const Lot& aLot) {
    return aLot.m_expiresAt >= aTokenExpiresAt;
  });
  account.m_lots.insert(after, { aTokenExpiresAt, 1 });
  ServeWaiters(account, aNow);
}

void
QuotaLeases::OnGrant(const QuotaGrant& aGrant, TimePoint aNow)
{
  if (aGrant.m_processStart != m_options.m_processStart) {
    return;
  }
  auto found = m_exchanges.find(aGrant.m_sequence);
  if (found == m_exchanges.end()) {
    return;
  }
  Exchange exchange = found->second;
  MarkPending(exchange.m_group);
  if (!aGrant.m_isGranter) {
    if (exchange.m_open) {
      found->second.m_open = false;
      OnSilence(found->second, aNow);
    }
    return;
  }
  m_exchanges.erase(found);
  m_silentUntil.erase(exchange.m_message.m_host);
  TimePoint expiresAt = exchange.m_firstSentAt + m_policy.LeaseLifetime();
  for (const QuotaGrantEntry& entry : aGrant.m_entries) {
    auto accountAt = m_accounts.find(entry.m_workspace);
    bool wasAsked =
      std::ranges::any_of(exchange.m_message.m_request.m_entries,
                          [&](const QuotaRequestEntry& aEntry) {
                            return aEntry.m_workspace == entry.m_workspace &&
                                   entry.m_granted <= aEntry.m_wanted;
                          });
    if (accountAt == m_accounts.end() || !wasAsked) {
      continue;
    }
    Account& account = accountAt->second;
    if (entry.m_granted > 0 && expiresAt > aNow) {
      auto after = std::ranges::find_if(account.m_lots, [&](const Lot& aLot) {
        return aLot.m_expiresAt >= expiresAt;
      });
      account.m_lots.insert(after, { expiresAt, entry.m_granted });
      m_counters.m_granted += entry.m_granted;
    }
    ServeWaiters(account, aNow);
    if (!account.m_round || account.m_round->m_sequence != aGrant.m_sequence) {
      continue;
    }
    Round& round = *account.m_round;
    round.m_sequence = 0;
    round.m_anyAnswered = true;
    if (entry.m_granted < round.m_wanted) {
      round.m_availableIn = std::min(
        round.m_availableIn.value_or(entry.m_availableIn), entry.m_availableIn);
      ++round.m_position;
    }
    Advance(account, aNow);
  }
}

void
QuotaLeases::OnTimer(TimePoint aNow)
{
  std::vector<uint64_t> silent;
  for (auto& [sequence, exchange] : m_exchanges) {
    if (!exchange.m_open || aNow < exchange.m_dueAt) {
      continue;
    }
    if (!exchange.m_repeated) {
      exchange.m_repeated = true;
      exchange.m_dueAt = aNow + m_options.m_repeatInterval;
      m_outgoing.push_back(exchange.m_message);
    } else {
      exchange.m_open = false;
      silent.push_back(sequence);
    }
  }
  for (uint64_t sequence : silent) {
    OnSilence(m_exchanges.at(sequence), aNow);
  }
  std::erase_if(m_exchanges, [&](const auto& aEntry) {
    const Exchange& exchange = aEntry.second;
    return !exchange.m_open &&
           aNow - exchange.m_firstSentAt >= m_policy.LeaseLifetime();
  });
  std::erase_if(m_silentUntil,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    const Account& account = aEntry.second;
    return account.m_waiters.empty() && !account.m_round &&
           aNow - account.m_arrivalsAt >= kAccountRetention;
  });
  for (auto& [hash, account] : m_accounts) {
    DropExpired(account, aNow);
    if (!account.m_waiters.empty() && !account.m_round &&
        aNow >= account.m_tokenAt) {
      StartRound(hash, account);
    }
    while (!account.m_waiters.empty() &&
           account.m_waiters.front().m_deadline <= aNow) {
      uint64_t id = account.m_waiters.front().m_id;
      account.m_waiters.pop_front();
      m_waitingIn.erase(id);
      bool answered = account.m_round && account.m_round->m_anyAnswered;
      if (answered) {
        account.m_tokenAt =
          aNow + account.m_round->m_availableIn.value_or(kMaxPause);
      }
      m_decisions.emplace_back(id,
                               answered ? DecideWithoutToken(account, aNow)
                                        : DecideWithoutGranter(account, aNow));
    }
  }
}

std::optional<TimePoint>
QuotaLeases::NextTimer() const
{
  std::optional<TimePoint> next;
  auto consider = [&next](TimePoint aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  for (const auto& [sequence, exchange] : m_exchanges) {
    if (exchange.m_open) {
      consider(exchange.m_dueAt);
    }
  }
  if (!m_waitingIn.empty()) {
    for (const auto& [hash, account] : m_accounts) {
      if (!account.m_waiters.empty()) {
        consider(account.m_waiters.front().m_deadline);
        if (!account.m_round) {
          consider(account.m_tokenAt);
        }
      }
    }
  }
  return next;
}

std::vector<OutgoingQuotaRequest>
QuotaLeases::TakeMessages(TimePoint aNow)
{
  QuotaGroupSet pending = std::exchange(m_pendingGroups, QuotaGroupSet{ 0 });
  for (uint32_t group = 0; group < kQuotaGroups; ++group) {
    if ((pending & (1U << group)) == 0) {
      continue;
    }
    for (size_t position = 0; position < m_granters.size(); ++position) {
      SendNext(group, position, aNow);
    }
  }
  return std::exchange(m_outgoing, {});
}

std::vector<std::pair<uint64_t, QuotaDecision>>
QuotaLeases::TakeDecisions()
{
  return std::exchange(m_decisions, {});
}

uint64_t
QuotaLeases::Held(TimePoint aNow) const
{
  return std::accumulate(m_accounts.begin(),
                         m_accounts.end(),
                         uint64_t{ 0 },
                         [&](uint64_t aSum, const auto& aEntry) {
                           return aSum + TokensValidAt(aEntry.second, aNow);
                         });
}

uint64_t
QuotaLeases::HeldBy(const std::string& aWorkspace, TimePoint aNow) const
{
  auto found = m_accounts.find(HashWorkspace(aWorkspace));
  return found == m_accounts.end() ? 0 : TokensValidAt(found->second, aNow);
}

void
QuotaLeases::CountArrival(Account& aAccount, TimePoint aNow)
{
  double age = InSeconds(aNow - aAccount.m_arrivalsAt) / kRateTime.count();
  aAccount.m_arrivals = aAccount.m_arrivals * std::exp(-age) + 1;
  aAccount.m_arrivalsAt = aNow;
}

double
QuotaLeases::ExpectedArrivals(const Account& aAccount,
                              Duration aSpan,
                              TimePoint aNow) const
{
  double age = InSeconds(aNow - aAccount.m_arrivalsAt) / kRateTime.count();
  // The latest arrival counts no more than others: without it, the mean over
  // the times of arrivals is the rate.
  double rate = (aAccount.m_arrivals - 1) * std::exp(-age) / kRateTime.count();
  return rate * InSeconds(aSpan);
}

void
QuotaLeases::DropExpired(Account& aAccount, TimePoint aNow)
{
  while (!aAccount.m_lots.empty() &&
         aAccount.m_lots.front().m_expiresAt <= aNow) {
    m_counters.m_expired += aAccount.m_lots.front().m_tokens;
    aAccount.m_lots.pop_front();
  }
}

std::optional<TimePoint>
QuotaLeases::TakeToken(Account& aAccount, TimePoint aNow)
{
  DropExpired(aAccount, aNow);
  if (aAccount.m_lots.empty()) {
    return std::nullopt;
  }
  Lot& lot = aAccount.m_lots.front();
  TimePoint expiresAt = lot.m_expiresAt;
  if (--lot.m_tokens == 0) {
    aAccount.m_lots.pop_front();
  }
  return expiresAt;
}

uint32_t
QuotaLeases::TokensValidAt(const Account& aAccount, TimePoint aTime) const
{
  return std::accumulate(
    aAccount.m_lots.begin(),
    aAccount.m_lots.end(),
    uint32_t{ 0 },
    [&](uint32_t aSum, const Lot& aLot) {
      return aSum + (aLot.m_expiresAt > aTime ? aLot.m_tokens : 0);
    });
}

QuotaDecision
QuotaLeases::DecideWithoutGranter(Account& aAccount, TimePoint aNow)
{
  if (TakeFromReserve(aAccount, aNow)) {
    return {};
  }
  std::optional<Duration> wait =
    m_reserve.UntilAvailable(aAccount.m_name, aNow);
  aAccount.m_tokenAt =
    aNow + std::min(wait.value_or(kTakeoverTime), kTakeoverTime);
  return Refuse(aAccount, aNow);
}

QuotaDecision
QuotaLeases::DecideWithoutToken(Account& aAccount, TimePoint aNow)
{
  if (IsWithinShare(aAccount, aNow) && TakeFromReserve(aAccount, aNow)) {
    return {};
  }
  return Refuse(aAccount, aNow);
}

bool
QuotaLeases::TakeFromReserve(const Account& aAccount, TimePoint aNow)
{
  std::optional<Duration> wait =
    m_reserve.UntilAvailable(aAccount.m_name, aNow);
  if (!wait || *wait > Duration{}) {
    return false;
  }
  m_reserve.Take(aAccount.m_name, 1, aNow);
  ++m_counters.m_fromReserve;
  return true;
}

bool
QuotaLeases::IsWithinShare(const Account& aAccount, TimePoint aNow) const
{
  return ExpectedArrivals(aAccount, Seconds(1), aNow) <=
         aAccount.m_limit.m_rate;
}

QuotaDecision
QuotaLeases::Refuse(Account& aAccount, TimePoint aNow)
{
  ++m_counters.m_refused;
  return { .m_outcome = QuotaOutcome::kRefused,
           .m_retryAfter = std::max(Duration{}, aAccount.m_tokenAt - aNow) };
}

void
QuotaLeases::StartRound(WorkspaceHash aHash, Account& aAccount)
{
  aAccount.m_round = Round{};
  MarkPending(QuotaGroupOf(aHash));
}

void
QuotaLeases::MarkPending(uint32_t aGroup)
{
  m_pendingGroups |= static_cast<QuotaGroupSet>(1U << aGroup);
}

void
QuotaLeases::RenewAhead(WorkspaceHash aHash,
                        Account& aAccount,
                        Duration aLead,
                        Duration aMinInterval,
                        TimePoint aNow)
{
  if (!aAccount.m_round && aNow >= aAccount.m_refusedUntil &&
      aNow - aAccount.m_lastRenewal >= aMinInterval &&
      ExpectedArrivals(aAccount, kLeaseSpan, aNow) >= kMinExpectedForRenewal &&
      TokensValidAt(aAccount, aNow + aLead) <
        ExpectedArrivals(aAccount, aLead, aNow)) {
    StartRound(aHash, aAccount);
  }
}

void
QuotaLeases::Advance(Account& aAccount, TimePoint aNow)
{
  if (aAccount.m_round && (IsSatisfied(aAccount, aNow) ||
                           aAccount.m_round->m_position >= m_granters.size())) {
    EndRound(aAccount, aNow);
  }
}

void
QuotaLeases::EndRound(Account& aAccount, TimePoint aNow)
{
  Round round = *aAccount.m_round;
  aAccount.m_round.reset();
  if (IsSatisfied(aAccount, aNow)) {
    return;
  }
  aAccount.m_unanswered = !round.m_anyAnswered;
  double halfFilled =
    std::min(aAccount.m_limit.m_capacity / (2 * aAccount.m_limit.m_rate),
             InSeconds(kMaxPause));
  Duration pause = std::max(kMinPause,
                            std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(halfFilled)));
  Duration availableIn = round.m_availableIn.value_or(pause);
  aAccount.m_tokenAt = aNow + availableIn;
  // Requests that this instance can expect to serve are worth asking again for
  // as soon as a token comes; those of a workspace beyond its limit are not.
  bool isWithinShare = round.m_anyAnswered && IsWithinShare(aAccount, aNow);
  if (isWithinShare) {
    pause = std::min(pause, availableIn);
  }
  aAccount.m_refusedUntil = aNow + pause;
  std::deque<Waiter> waiters = std::exchange(aAccount.m_waiters, {});
  for (const Waiter& waiter : waiters) {
    if (isWithinShare && waiter.m_deadline > aAccount.m_tokenAt) {
      aAccount.m_waiters.push_back(waiter);
      continue;
    }
    m_waitingIn.erase(waiter.m_id);
    m_decisions.emplace_back(waiter.m_id,
                             round.m_anyAnswered
                               ? DecideWithoutToken(aAccount, aNow)
                               : DecideWithoutGranter(aAccount, aNow));
  }
}

void
QuotaLeases::ServeWaiters(Account& aAccount, TimePoint aNow)
{
  while (!aAccount.m_waiters.empty()) {
    std::optional<TimePoint> expiresAt = TakeToken(aAccount, aNow);
    if (!expiresAt) {
      return;
    }
    uint64_t id = aAccount.m_waiters.front().m_id;
    aAccount.m_waiters.pop_front();
    m_waitingIn.erase(id);
    m_decisions.emplace_back(id,
                             QuotaDecision{ .m_tokenExpiresAt = expiresAt });
  }
}

bool
QuotaLeases::IsSatisfied(const Account& aAccount, TimePoint aNow) const
{
  return aAccount.m_waiters.empty() &&
         TokensValidAt(aAccount, aNow + kRenewalLead) >=
           std::floor(ExpectedArrivals(aAccount, kRenewalLead, aNow));
}

void
QuotaLeases::SendNext(uint32_t aGroup, size_t aPosition, TimePoint aNow)
{
  bool busy = std::ranges::any_of(m_exchanges, [&](const auto& aEntry) {
    const Exchange& exchange = aEntry.second;
    return exchange.m_open && exchange.m_group == aGroup &&
           exchange.m_position == aPosition;
  });
  if (busy) {
    return;
  }
  const std::string& host = m_granters[aPosition][aGroup];
  auto silent = m_silentUntil.find(host);
  bool skipped =
    host.empty() || (silent != m_silentUntil.end() && silent->second > aNow);
  QuotaRequest request{ .m_group = aGroup,
                        .m_processStart = m_options.m_processStart,
                        .m_sequence = m_sequence + 1 };
  for (auto& [hash, account] : m_accounts) {
    if (QuotaGroupOf(hash) != aGroup) {
      continue;
    }
    // A message that is sent anyway also asks for what will be due soon.
    if (aPosition == 0 && !skipped) {
      RenewAhead(hash,
                 account,
                 kSharedRenewalLead,
                 m_options.m_renewalInterval / 2,
                 aNow);
    }
    if (!account.m_round || account.m_round->m_sequence != 0 ||
        account.m_round->m_position != aPosition) {
      continue;
    }
    if (skipped) {
      ++account.m_round->m_position;
      Advance(account, aNow);
    } else if (request.m_entries.size() < kMaxQuotaEntries) {
      account.m_round->m_sequence = request.m_sequence;
      request.m_entries.push_back(MakeEntry(hash, account, aNow));
    }
  }
  if (request.m_entries.empty()) {
    return;
  }
  m_sequence = request.m_sequence;
  Exchange exchange{ .m_group = aGroup,
                     .m_position = aPosition,
                     .m_firstSentAt = aNow,
                     .m_dueAt = aNow + m_options.m_repeatInterval,
                     .m_message = { host, std::move(request) } };
  m_outgoing.push_back(exchange.m_message);
  m_exchanges.emplace(m_sequence, std::move(exchange));
}

QuotaRequestEntry
QuotaLeases::MakeEntry(WorkspaceHash aHash, Account& aAccount, TimePoint aNow)
{
  // Only tokens of the first granter are given back: it granted most of them.
  uint32_t returned = 0;
  if (aAccount.m_round->m_position == 0) {
    auto needed = static_cast<uint32_t>(
      std::ceil(ExpectedArrivals(aAccount, kReturnLead, aNow)));
    for (Lot& lot : aAccount.m_lots) {
      if (lot.m_expiresAt > aNow + kReturnLead) {
        break;
      }
      uint32_t kept = std::min(lot.m_tokens, needed);
      needed -= kept;
      returned += lot.m_tokens - kept;
      lot.m_tokens = kept;
    }
    std::erase_if(aAccount.m_lots,
                  [](const Lot& aLot) { return aLot.m_tokens == 0; });
  }
  m_counters.m_returned += returned;
  aAccount.m_lastRenewal = aNow;
  double held = TokensValidAt(aAccount, aNow + kRenewalLead);
  double wanted = static_cast<double>(aAccount.m_waiters.size()) +
                  ExpectedArrivals(aAccount, kLeaseSpan, aNow) - held;
  if (aAccount.m_waiters.empty() ||
      ExpectedArrivals(aAccount, kLeaseSpan, aNow) < kMinExpectedForRenewal) {
    wanted = std::floor(wanted);
  }
  wanted =
    std::clamp(std::ceil(wanted),
               std::max(1.0, static_cast<double>(aAccount.m_waiters.size())),
               kMaxWanted);
  aAccount.m_round->m_wanted = static_cast<uint32_t>(wanted);
  return { .m_workspace = aHash,
           .m_wanted = aAccount.m_round->m_wanted,
           .m_returned = returned };
}

void
QuotaLeases::OnSilence(Exchange& aExchange, TimePoint aNow)
{
  MarkPending(aExchange.m_group);
  m_silentUntil[aExchange.m_message.m_host] = aNow + m_options.m_silenceTimeout;
  for (const QuotaRequestEntry& entry :
       aExchange.m_message.m_request.m_entries) {
    auto found = m_accounts.find(entry.m_workspace);
    if (found == m_accounts.end() || !found->second.m_round ||
        found->second.m_round->m_sequence !=
          aExchange.m_message.m_request.m_sequence) {
      continue;
    }
    found->second.m_round->m_sequence = 0;
    ++found->second.m_round->m_position;
    Advance(found->second, aNow);
  }
}

} // namespace ebonykeel
