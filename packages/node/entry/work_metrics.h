// Metrics of placement by work.
#pragma once

#include <string>

#include "core/forward/work_model.h"

namespace ebonykeel {

// Returns a histogram of seen to expected work in the Prometheus text format.
[[nodiscard]] std::string
RenderWorkRatios(const WorkModel& aModel);

} // namespace ebonykeel
