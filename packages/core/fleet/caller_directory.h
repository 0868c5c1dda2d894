// Which addresses a caller is told to use.
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
  // Instances that take the callers of one data centre. Few instances know the
  // upstreams' state better than many; the answer names more than one, so that
  // a caller survives the loss of one.
  size_t m_instancesPerCaller = 2;
};

// Returns the hosts for a caller in `aCallerDataCentre`. Only the instances
// with most processors are offered, since each answer is gathered on one of
// them. Callers are sent to such instances in their own data centre, or, if no
// searcher is there while other data centres have some, to a data centre that
// has most. Instances that are not ready, leaving or suspected are offered only
// if there is no other. `aUpstreamCounts` counts the upstreams of gathered
// routes a data centre; empty if there are none.
[[nodiscard]] std::vector<std::string>
ChooseInstancesForCaller(std::span<const FleetRecord> aLiveInstances,
                         const DataCentre& aCallerDataCentre,
                         const std::map<DataCentre, size_t>& aUpstreamCounts,
                         const CallerDirectoryOptions& aOptions);

// Returns every host that is offered to callers of some data centre, in order.
// Arguments as in `ChooseInstancesForCaller`.
[[nodiscard]] std::set<std::string>
InstancesForAllCallers(std::span<const FleetRecord> aLiveInstances,
                       const std::map<DataCentre, size_t>& aUpstreamCounts,
                       const CallerDirectoryOptions& aOptions);

} // namespace ebonykeel
