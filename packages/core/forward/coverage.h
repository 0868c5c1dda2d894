// How many of a request's services have a searcher that counts as reachable.
//
//   Coverage coverage(services, catalogue, load, absent, now);
//   if (!coverage.HasAvailable(required)) {
//     Refuse(coverage.AvailableAt(required) - now);
//   }
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/replica/replica_catalogue.h"
#include "core/replica/replica_load.h"

namespace ebonykeel {

// Returns when the first searcher of a service may be tried again,
// `aNoReplicaDelay` from now if it has none at all; nothing if one may be tried
// now.
[[nodiscard]] std::optional<TimePoint>
UnavailableUntil(const std::string& aService,
                 const ReplicaCatalogue& aCatalogue,
                 const ReplicaLoad& aLoad,
                 Duration aNoReplicaDelay,
                 TimePoint aNow);

// Returns how many of `aSubRequests` services an answer needs; at least one.
[[nodiscard]] uint32_t
RequiredSubRequests(double aMinShare, size_t aSubRequests);

class Coverage
{
public:
  // Arguments as in `UnavailableUntil`.
  Coverage(std::span<const std::string> aServices,
           const ReplicaCatalogue& aCatalogue,
           const ReplicaLoad& aLoad,
           Duration aNoReplicaDelay,
           TimePoint aNow);

  // Returns whether at least `aRequired` services are not blocked.
  [[nodiscard]] bool HasAvailable(size_t aRequired) const;
  // Returns when that will be so, if it is not now.
  [[nodiscard]] TimePoint AvailableAt(size_t aRequired) const;
  [[nodiscard]] size_t UnavailableCount() const { return m_unavailable.size(); }

private:
  size_t m_services;
  // When each blocked service may be tried again, the soonest first.
  std::vector<TimePoint> m_unavailable;
};

} // namespace ebonykeel
