// Selects the instances whose addresses are given to callers.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/fleet/fleet_message.h"

namespace ebonykeel {

struct CallerDirectoryOptions
{
  // The number of instances that are offered to the callers of one data centre.
  // Fewer instances track the state of the upstreams more accurately; more than
  // one is offered so that callers tolerate the loss of one.
  size_t m_instancesPerCaller = 2;
};

// Returns the hosts that are offered to a caller in `aCallerDataCentre`. Only
// instances with at least half of the greatest capacity are offered, since each
// answer is gathered on one of them. Callers are sent to such instances in
// their own data centre. If it has none, or no upstream while other data
// centres have some, they are sent to the data centre with the most upstreams.
// Suspected instances and those that are not ready are offered only if there is
// no better one; leaving instances are never offered. `aUpstreamCounts` counts
// the upstreams of gathered routes by data centre; empty if there are none.
[[nodiscard]] std::vector<std::string>
ChooseInstancesForCaller(std::span<const FleetRecord> aLiveInstances,
                         const DataCentre& aCallerDataCentre,
                         const std::map<DataCentre, size_t>& aUpstreamCounts,
                         const CallerDirectoryOptions& aOptions);

// Returns every host that is offered to callers of any data centre, in order.
// Arguments as in `ChooseInstancesForCaller`.
[[nodiscard]] std::set<std::string>
InstancesForAllCallers(std::span<const FleetRecord> aLiveInstances,
                       const std::map<DataCentre, size_t>& aUpstreamCounts,
                       const CallerDirectoryOptions& aOptions);

} // namespace ebonykeel
