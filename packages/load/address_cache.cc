#include "load/address_cache.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {

void
AddressCache::Set(TimePoint aNow,
                  std::vector<Endpoint> aAddresses,
                  Duration aLifetime)
{
  m_addresses = std::move(aAddresses);
  m_failed.clear();
  m_expiry = aNow + aLifetime;
}

bool
AddressCache::IsFresh(TimePoint aNow) const
{
  return aNow < m_expiry && m_failed.size() < m_addresses.size();
}

void
AddressCache::MarkFailed(const Endpoint& aEndpoint)
{
  if (std::ranges::count(m_addresses, aEndpoint) > 0) {
    m_failed.insert(aEndpoint);
  }
}

const Endpoint*
AddressCache::Pick(uint64_t aTurn) const
{
  if (m_addresses.empty()) {
    return nullptr;
  }
  for (uint64_t i = 0; i < m_addresses.size(); ++i) {
    const Endpoint& candidate = m_addresses[(aTurn + i) % m_addresses.size()];
    if (!m_failed.contains(candidate)) {
      return &candidate;
    }
  }
  return &m_addresses[aTurn % m_addresses.size()];
}

} // namespace ebonykeel
