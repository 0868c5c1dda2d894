// Which addresses a caller is told to use.
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/fleet/fleet_message.h"

namespace ebonykeel {

struct CallerDirectoryOptions
{
  // Instances that take the callers of one data centre. Few instances know the
  // searchers' state better than many; the answer names more than one, so that
  // a caller survives the loss of one.
  size_t m_instances = 2;
};

// Returns the hosts for a caller in `aCaller`. Callers are sent to instances in
// their own data centre, or, if no searcher is there while other data centres
// have some, to the data centres that have most. Instances that are not ready,
// leaving or suspected are named only if there is no other. `aSearchers` counts
// the searchers of gathered routes a data centre; empty if there are none.
[[nodiscard]] std::vector<std::string>
ChooseForCaller(std::span<const FleetRecord> aLiving,
                const DataCentre& aCaller,
                const std::map<DataCentre, size_t>& aSearchers,
                const CallerDirectoryOptions& aOptions);

} // namespace ebonykeel
