// Counts how many of a request's services have an upstream that may get
// requests: one that counts as reachable and does not push back.
//
//   ServiceCoverage coverage(services, catalogue, load, noReplicaDelay, now);
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

// Returns when an upstream of the service may get requests again, which is
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

class ServiceCoverage
{
public:
  // Arguments as in `UnavailableUntil`.
  ServiceCoverage(std::span<const std::string> aServices,
                  const ReplicaCatalogue& aCatalogue,
                  const ReplicaLoad& aLoad,
                  Duration aNoReplicaDelay,
                  TimePoint aNow);

  // Returns whether at least `aRequired` services are available.
  [[nodiscard]] bool HasAvailable(size_t aRequired) const;
  // Returns whether at least `aRequired` services have a reachable upstream,
  // including those whose upstreams push back.
  [[nodiscard]] bool HasReachable(size_t aRequired) const;
  // Returns when `aRequired` services will be available. Must not be called if
  // they are available now.
  [[nodiscard]] TimePoint AvailableAt(size_t aRequired) const;
  [[nodiscard]] size_t UnavailableCount() const { return m_unavailable.size(); }

private:
  size_t m_services;
  // When each unavailable service may be tried again, soonest first.
  std::vector<TimePoint> m_unavailable;
  // The number of unavailable services with a reachable upstream.
  size_t m_pushedBack = 0;
};

} // namespace ebonykeel
