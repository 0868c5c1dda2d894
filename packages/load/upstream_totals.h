// Reads the counters and executions from the control APIs of the upstreams.
#pragma once

#include <span>
#include <vector>

#include <nlohmann/json.hpp>

#include "load/filing_check.h"
#include "load/load_result.h"

namespace ebonykeel {

// Appends the counters of each upstream in an answer of `/standin/counters`,
// which describes one upstream or lists several.
void
AppendCounters(const nlohmann::json& aBody,
               std::vector<nlohmann::json>& aCounters);

// Appends every entry in an answer of `/standin/executions`.
void
AppendExecutions(const nlohmann::json& aBody,
                 std::vector<ExecutionRecord>& aExecutions);

// Returns the increase of the counters between two readings. The maximum values
// are those since the start of each upstream.
[[nodiscard]] UpstreamTotals
SumUpstreams(std::span<const nlohmann::json> aBefore,
             std::span<const nlohmann::json> aAfter);

} // namespace ebonykeel
