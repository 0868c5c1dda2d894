// Limits the extra requests (hedges and retries) to all upstreams of a service
// together.
//
//   ExtraBudget budget(
//     { .m_share = 0.2, .m_burst = 126, .m_window = Seconds(10) }, "10.1.0.9");
//   budget.SetParticipants({ "10.1.0.9", "10.2.0.21" }, now);
//   budget.OnFirstAttempt("shard-07", now);
//   if (budget.TryTake("shard-07", now)) { ... make an extra attempt ... }
#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/forward/expiring_tokens.h"
#include "core/quota/burst_share.h"

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
// - The burst is divided among the participants by `BurstShare`.
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
  ExtraBudgetLimit m_limit;
  BurstShare m_bursts;
  std::unordered_map<std::string, ExpiringTokens> m_earned;
};

} // namespace ebonykeel
