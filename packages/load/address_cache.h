// Caches the addresses that an instance returned to one caller, until their
// lifetime ends.
//
//   AddressCache cache;
//   if (!cache.IsFresh(now)) {
//     // Fetch the addresses from an instance.
//     cache.Set(now, addresses, lifetime);
//   }
//   const Endpoint* endpoint = cache.Pick(turn);
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "core/base/time.h"
#include "runtime/http/message.h"

namespace ebonykeel {

class AddressCache
{
public:
  void Set(TimePoint aNow,
           std::vector<Endpoint> aAddresses,
           Duration aLifetime);

  // Returns true if the lifetime has not ended and at least one address has not
  // failed.
  [[nodiscard]] bool IsFresh(TimePoint aNow) const;

  // Makes `Pick` avoid `aEndpoint` until the next `Set`.
  void MarkFailed(const Endpoint& aEndpoint);

  // Returns an address in round-robin order of `aTurn`, skipping failed ones
  // unless all have failed; null if there are no addresses. The pointer is
  // valid until the next `Set`.
  [[nodiscard]] const Endpoint* Pick(uint64_t aTurn) const;

private:
  std::vector<Endpoint> m_addresses;
  std::set<Endpoint> m_failed;
  TimePoint m_expiry;
};

} // namespace ebonykeel
