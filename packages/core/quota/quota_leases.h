// An instance's tokens: spends the leases that granters granted to it, and asks
// for more.
//
// A request takes a token of a lease, without a message. If there is none, it
// waits until the granters were asked: that of the own data centre, then those
// of the others in turn. Tokens are asked for ahead of need while requests
// arrive. If no granter answers, or the workspace is within its limit
// here although they have no token, the request takes one of the reserve.
//
//   QuotaLeases leases(policy, options, now);
//   leases.SetGranters(granters);
//   QuotaDecision decision = leases.Admit(workspace, id, maxWait, now);
//   for (auto& outgoing : leases.TakeMessages(now)) { ... send it ... }
//   for (auto& [id, decision] : leases.TakeDecisions()) { ... }
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/quota/burst_share.h"
#include "core/quota/quota_message.h"
#include "core/quota/quota_policy.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

struct QuotaLeasesOptions
{
  // The address of this instance.
  std::string m_host;
  uint64_t m_processStart = 0;
  // How long a request may wait for a token.
  Duration m_maxWait = Milliseconds(20);
  size_t m_maxWaiting = 512;
  // An unanswered message is repeated once after this time, and counts as lost
  // after twice this time.
  Duration m_repeatInterval = Milliseconds(8);
  // The interval between messages ahead of need for one workspace.
  Duration m_renewalInterval = Milliseconds(200);
  // A granter that did not answer is not asked for this long.
  Duration m_silenceTimeout = Milliseconds(200);
};

// The granters of each group in one data centre; an empty host is none.
using QuotaGranters = std::array<std::string, kQuotaGroups>;

enum class QuotaOutcome : uint8_t
{
  kAdmitted,
  kWaiting,
  kRefused,
};

struct QuotaDecision
{
  QuotaOutcome m_outcome = QuotaOutcome::kAdmitted;
  // For a refusal: the time until a token comes.
  Duration m_retryAfter{};
  // For an admission: until when the token can be given back; nothing if it
  // cannot.
  std::optional<TimePoint> m_tokenExpiresAt;
};

struct OutgoingQuotaRequest
{
  std::string m_host;
  QuotaRequest m_request;
};

struct QuotaCounters
{
  uint64_t m_granted = 0;
  // Tokens that expired unspent.
  uint64_t m_expired = 0;
  uint64_t m_returned = 0;
  uint64_t m_refused = 0;
  uint64_t m_waited = 0;
  uint64_t m_fromReserve = 0;
};

class QuotaLeases
{
public:
  QuotaLeases(const QuotaPolicy& aPolicy, QuotaLeasesOptions aOptions);

  // Sets the granters of the data centres, in the order in which they are
  // asked: the own data centre first.
  void SetGranters(std::vector<QuotaGranters> aGranters);
  // Sets the instances that share the reserve of this data centre.
  void SetReserveSharers(std::set<std::string> aHosts, TimePoint aNow);

  // Decides on a request. If it has to wait, `TakeDecisions` returns the
  // decision under `aId` later, after at most `aMaxWait`.
  [[nodiscard]] QuotaDecision Admit(const Workspace& aWorkspace,
                                    uint64_t aId,
                                    Duration aMaxWait,
                                    TimePoint aNow);
  // Called when the caller of a waiting request disconnected.
  void Cancel(uint64_t aId);
  // Gives back the token of a request that was refused later without having
  // run.
  void GiveBack(const std::string& aWorkspace,
                TimePoint aTokenExpiresAt,
                TimePoint aNow);
  void OnGrant(const QuotaGrant& aGrant, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  // Returns the messages that are to be sent now.
  [[nodiscard]] std::vector<OutgoingQuotaRequest> TakeMessages(TimePoint aNow);
  // Returns the decisions on requests that waited.
  [[nodiscard]] std::vector<std::pair<uint64_t, QuotaDecision>> TakeDecisions();

  [[nodiscard]] const QuotaCounters& Counters() const { return m_counters; }
  [[nodiscard]] uint64_t Held(TimePoint aNow) const;
  // Returns how many of the tokens are the workspace's.
  [[nodiscard]] uint64_t HeldBy(const std::string& aWorkspace,
                                TimePoint aNow) const;
  [[nodiscard]] size_t WaitingCount() const { return m_waitingIn.size(); }

private:
  // Tokens that expire at the same time.
  struct Lot
  {
    TimePoint m_expiresAt;
    uint32_t m_tokens = 0;
  };
  struct Waiter
  {
    uint64_t m_id = 0;
    TimePoint m_deadline;
  };
  // A round of requests to the granters, one after the other.
  struct Round
  {
    // The position of the granter that is to be asked or was asked.
    size_t m_position = 0;
    // The message that is on its way; 0 if none is.
    uint64_t m_sequence = 0;
    uint32_t m_wanted = 0;
    bool m_anyAnswered = false;
    // The shortest time until a granter has a token.
    std::optional<Duration> m_availableIn;
  };
  struct Account
  {
    std::string m_name;
    TokenLimit m_limit;
    // Ordered by expiry.
    std::deque<Lot> m_lots;
    std::deque<Waiter> m_waiters;
    std::optional<Round> m_round;
    // Until when requests without a token are refused without asking, and when
    // a token comes.
    TimePoint m_refusedUntil;
    TimePoint m_tokenAt;
    // Whether the last round ended without any granter's answer.
    bool m_unanswered = false;
    TimePoint m_lastRenewal;
    // Arrivals, each weighted by its age, as of `m_arrivalsAt`.
    double m_arrivals = 0;
    TimePoint m_arrivalsAt;
  };
  struct Exchange
  {
    uint32_t m_group = 0;
    size_t m_position = 0;
    TimePoint m_firstSentAt;
    TimePoint m_dueAt;
    bool m_repeated = false;
    // Whether the answer is still awaited. Tokens of a later one are taken too.
    bool m_open = true;
    OutgoingQuotaRequest m_message;
  };

  void CountArrival(Account& aAccount, TimePoint aNow);
  // Returns the expected number of requests in `aSpan`.
  [[nodiscard]] double ExpectedArrivals(const Account& aAccount,
                                        Duration aSpan,
                                        TimePoint aNow) const;
  void DropExpired(Account& aAccount, TimePoint aNow);
  [[nodiscard]] std::optional<TimePoint> TakeToken(Account& aAccount,
                                                   TimePoint aNow);
  [[nodiscard]] uint32_t TokensValidAt(const Account& aAccount,
                                       TimePoint aTime) const;
  // Takes a token of the reserve, or refuses.
  [[nodiscard]] QuotaDecision DecideWithoutGranter(Account& aAccount,
                                                   TimePoint aNow);
  // Called when the granters have no token. The reserve serves a workspace that
  // is within its limit here: its tokens are held by other instances, or its
  // burst came to this data centre alone.
  [[nodiscard]] QuotaDecision DecideWithoutToken(Account& aAccount,
                                                 TimePoint aNow);
  // Returns whether the reserve had a token.
  [[nodiscard]] bool TakeFromReserve(const Account& aAccount, TimePoint aNow);
  // Returns whether this instance alone gets no more requests of a workspace
  // than its data centre's part of the rate.
  [[nodiscard]] bool IsWithinShare(const Account& aAccount,
                                   TimePoint aNow) const;
  [[nodiscard]] QuotaDecision Refuse(Account& aAccount, TimePoint aNow);
  void StartRound(WorkspaceHash aHash, Account& aAccount);
  // Notes that messages of the group may be due.
  void MarkPending(uint32_t aGroup);
  // Starts a round if tokens run out within `aLead` and none was started within
  // `aMinInterval`.
  void RenewAhead(WorkspaceHash aHash,
                  Account& aAccount,
                  Duration aLead,
                  Duration aMinInterval,
                  TimePoint aNow);
  void Advance(Account& aAccount, TimePoint aNow);
  void EndRound(Account& aAccount, TimePoint aNow);
  void ServeWaiters(Account& aAccount, TimePoint aNow);
  [[nodiscard]] bool IsSatisfied(const Account& aAccount, TimePoint aNow) const;
  void SendNext(uint32_t aGroup, size_t aPosition, TimePoint aNow);
  [[nodiscard]] QuotaRequestEntry MakeEntry(WorkspaceHash aHash,
                                            Account& aAccount,
                                            TimePoint aNow);
  void OnSilence(Exchange& aExchange, TimePoint aNow);

  QuotaPolicy m_policy;
  QuotaLeasesOptions m_options;
  std::vector<QuotaGranters> m_granters;
  BurstShare m_reserve;
  std::unordered_map<WorkspaceHash, Account> m_accounts;
  std::unordered_map<uint64_t, WorkspaceHash> m_waitingIn;
  QuotaGroupSet m_pendingGroups = 0;
  uint64_t m_sequence = 0;
  std::map<uint64_t, Exchange> m_exchanges;
  // Granters that did not answer, and until when they are not asked.
  std::map<std::string, TimePoint> m_silentUntil;
  std::vector<OutgoingQuotaRequest> m_outgoing;
  std::vector<std::pair<uint64_t, QuotaDecision>> m_decisions;
  QuotaCounters m_counters;
};

} // namespace ebonykeel
