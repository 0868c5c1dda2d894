// Forecasts how long a gathered request takes if it is admitted now, so that
// one that overloaded shards cannot answer in time is refused at once.
//
// The load that it answers: shards get more requests than their upstreams can
// answer. Requests queue at the upstreams, and those that wait here for
// capacity and are at least as urgent are ahead of a new one.
//
//   OverloadForecast forecast(catalogue, load, waiters, typical, now);
//   if (forecast.ExpectedLatency(services, required) > remaining) { ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "core/base/time.h"
#include "core/forward/capacity_queue.h"
#include "core/replica/replica_catalogue.h"
#include "core/replica/replica_load.h"

namespace ebonykeel {

// Everything that is passed by reference must outlive the forecast.
class OverloadForecast
{
public:
  // `aPriority` and `aTypicalLatency` are those of the request.
  OverloadForecast(const ReplicaCatalogue& aCatalogue,
                   const ReplicaLoad& aLoad,
                   const CapacityQueue& aWaiters,
                   uint32_t aPriority,
                   Duration aTypicalLatency,
                   TimePoint aNow);

  // Returns the time until `aRequired` of the services, at least one and at
  // most all, are expected to have answered, if each gets a request now at its
  // fastest upstream. It is the greatest duration if too few of them have an
  // upstream that may get requests.
  [[nodiscard]] Duration ExpectedLatency(std::span<const std::string> aServices,
                                         size_t aRequired) const;

private:
  [[nodiscard]] Duration BestLatency(const std::string& aService) const;

  const ReplicaCatalogue& m_catalogue;
  const ReplicaLoad& m_load;
  const CapacityQueue& m_waiters;
  uint32_t m_priority;
  Duration m_typicalLatency;
  TimePoint m_now;
};

} // namespace ebonykeel
