// The routing answer of one caller, kept for its lifetime.
//
//   AddressCache cache;
//   if (!cache.IsFresh(now)) { ask a node; cache.Set(now, addresses, lifetime);
//   } const Endpoint* endpoint = cache.Pick(request);
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

  // Returns whether the answer may still be used and names an address that
  // has not failed.
  [[nodiscard]] bool IsFresh(TimePoint aNow) const;

  // Avoids `aEndpoint` until the next answer.
  void MarkFailed(const Endpoint& aEndpoint);

  // Returns one of the addresses by turns, those that failed last; null when
  // there is none. The pointer lives until the next `Set`.
  [[nodiscard]] const Endpoint* Pick(uint64_t aTurn) const;

private:
  std::vector<Endpoint> m_addresses;
  std::set<Endpoint> m_failed;
  TimePoint m_expiry;
};

} // namespace ebonykeel
