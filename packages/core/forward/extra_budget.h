// Limits the extra requests (hedges and retries) to all upstreams of a service
// together.
//
//   ExtraBudget budget(
//     { .m_share = 0.2, .m_burst = 126, .m_window = Seconds(10) }, "10.1.0.9");
//   budget.SetParticipants({ "10.1.0.9", "10.2.0.21" }, now);
//   budget.OnFirstAttempt("shard-07", now);
//   if (budget.TryTake("shard-07", now)) { ... make an extra attempt ... }
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/forward/expiring_tokens.h"

namespace ebonykeel {

// The fleet's limit over any window of the given length.
struct ExtraBudgetLimit
{
  // The number of extra requests allowed for each first attempt.
  double m_share = 0.2;
  // The number of extra requests allowed to the whole fleet in addition to the
  // share.
  double m_burst = 100;
  Duration m_window = Seconds(10);
};

// One instance's part of the budget, without communication between instances:
//
// - Each first attempt earns a part of the share for its own instance. What is
//   not used soon expires, so that no instance saves it up.
// - The burst is divided among the participants. It is divided into whole
//   requests: if there are more participants than requests that may be held,
//   only some of them get a part, chosen for each service by a hash.
//
// So the sum over all instances does not depend on their number.
class ExtraBudget
{
public:
  // `aHost` is the address of this instance, as in `SetParticipants`.
  ExtraBudget(ExtraBudgetLimit aLimit, std::string aHost);

  // Sets the hosts of the instances that share the burst; none until it is
  // called.
  void SetParticipants(std::set<std::string> aHosts, TimePoint aNow);
  void OnFirstAttempt(const std::string& aService, TimePoint aNow);
  // Takes one extra request; returns false if none is left.
  [[nodiscard]] bool TryTake(const std::string& aService, TimePoint aNow);

private:
  // This instance's part of a service's burst.
  struct BurstPart
  {
    // The number of requests that may be held.
    double m_capacity = 0;
    // The number of requests that are added over a window.
    double m_refillPerWindow = 0;
  };
  struct Account
  {
    ExpiringTokens m_earned;
    double m_burstTokens = 0;
    // When the burst was last refilled.
    TimePoint m_refilledAt;
    BurstPart m_part;
    // The participants for which `m_part` was computed.
    uint64_t m_participantsVersion = 0;
  };

  [[nodiscard]] BurstPart PartOf(const std::string& aService) const;
  // Returns the account of the service, refilled up to `aNow`.
  Account& RefilledAccount(const std::string& aService, TimePoint aNow);

  ExtraBudgetLimit m_limit;
  std::string m_host;
  std::set<std::string> m_participants;
  // Counts the changes of `m_participants`.
  uint64_t m_participantsVersion = 0;
  TimePoint m_participantsChangedAt;
  std::unordered_map<std::string, Account> m_accounts;
};

} // namespace ebonykeel
