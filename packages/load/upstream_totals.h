// Reads what the searchers' control APIs counted.
#pragma once

#include <span>
#include <vector>

#include <nlohmann/json.hpp>

#include "load/filing_check.h"
#include "load/load_result.h"

namespace ebonykeel {

// Appends each searcher's counters in an answer of `/standin/counters`, which
// describes one searcher or lists many.
void
AppendCounters(const nlohmann::json& aBody,
               std::vector<nlohmann::json>& aCounters);

// Appends each entry of an answer of `/standin/executions`.
void
AppendExecutions(const nlohmann::json& aBody,
                 std::vector<ExecutionRecord>& aExecutions);

// Returns what was counted between two readings; the highest values are those
// since the searchers' start.
[[nodiscard]] UpstreamTotals
SumUpstreams(std::span<const nlohmann::json> aBefore,
             std::span<const nlohmann::json> aAfter);

} // namespace ebonykeel
