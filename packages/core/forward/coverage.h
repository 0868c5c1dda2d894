// Counts how many of a request's services have an upstream that counts as
// reachable.
//
//   Coverage coverage(services, catalogue, load, noReplicaDelay, now);
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

// Returns when an upstream of the service may be tried again, which is
// `aNoReplicaDelay` from now if it has no upstream at all; nothing if one may
// be tried now.
[[nodiscard]] std::optional<TimePoint>
UnavailableUntil(const std::string& aService,
                 const ReplicaCatalogue& aCatalogue,
                 const ReplicaLoad& aLoad,
                 Duration aNoReplicaDelay,
                 TimePoint aNow);

// Returns how many of `aSubRequests` sub-requests have to be answered for a
// success; at least one.
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

  // Returns whether at least `aRequired` services are available.
  [[nodiscard]] bool HasAvailable(size_t aRequired) const;
  // Returns when `aRequired` services will be available. Must not be called if
  // they are available now.
  [[nodiscard]] TimePoint AvailableAt(size_t aRequired) const;
  [[nodiscard]] size_t UnavailableCount() const { return m_unavailable.size(); }

private:
  size_t m_services;
  // When each unavailable service may be tried again, soonest first.
  std::vector<TimePoint> m_unavailable;
};

} // namespace ebonykeel
