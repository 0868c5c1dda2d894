// Divides a burst that a fleet may use among its instances, without
// communication between them.
//
//   BurstShare share({ .m_burst = 100, .m_heldShare = 0.15,
//                      .m_refilledShare = 0.35, .m_window = Seconds(10) },
//                    "10.1.0.9");
//   share.SetParticipants({ "10.1.0.9", "10.2.0.21" }, now);
//   if (share.Available("shard-07", now) >= 1) share.Take("shard-07", 1, now);
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/base/time.h"

namespace ebonykeel {

struct BurstShareOptions
{
  // The number of requests that the whole fleet may add in any window, for each
  // key.
  double m_burst = 0;
  // The fractions of the burst that may be held, and that are refilled over a
  // window.
  double m_heldShare = 0;
  double m_refilledShare = 0;
  Duration m_window = Seconds(10);
};

// The burst is divided into whole requests: if there are more participants than
// requests that may be held, only some of them get a part, chosen for each key
// by a hash. So the sum over all instances does not depend on their number.
class BurstShare
{
public:
  // `aHost` is the address of this instance, as in `SetParticipants`.
  BurstShare(BurstShareOptions aOptions, std::string aHost);

  // Sets the hosts of the instances that share the burst; none until it is
  // called.
  void SetParticipants(std::set<std::string> aHosts, TimePoint aNow);
  // Returns this instance's number of requests of a key, which may be a
  // fraction.
  [[nodiscard]] double Available(const std::string& aKey, TimePoint aNow);
  // Takes `aCount`, which must be available.
  void Take(const std::string& aKey, double aCount, TimePoint aNow);
  // Returns the time until one request is available; nothing if this instance
  // has no part.
  [[nodiscard]] std::optional<Duration> UntilAvailable(const std::string& aKey,
                                                       TimePoint aNow);

private:
  // This instance's part of a key's burst.
  struct Part
  {
    // The number of requests that may be held.
    double m_capacity = 0;
    // The number of requests that are added over a window.
    double m_refillPerWindow = 0;
  };
  struct Account
  {
    double m_tokens = 0;
    TimePoint m_refilledAt;
    Part m_part;
    // The participants for which `m_part` was computed.
    uint64_t m_participantsVersion = 0;
  };

  [[nodiscard]] Part PartOf(const std::string& aKey) const;
  // Returns the account of the key, refilled up to `aNow`.
  Account& RefilledAccount(const std::string& aKey, TimePoint aNow);

  BurstShareOptions m_options;
  std::string m_host;
  std::set<std::string> m_participants;
  // Counts the changes of `m_participants`.
  uint64_t m_participantsVersion = 0;
  TimePoint m_participantsChangedAt;
  std::unordered_map<std::string, Account> m_accounts;
};

} // namespace ebonykeel
