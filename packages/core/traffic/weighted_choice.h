// Distributes requests over the services of a split in proportion to their
// weights.
//
//   WeightedChoice choice;
//   const SplitPart& part = choice.Next(route.m_split);
#pragma once

#include <map>
#include <span>
#include <string>

#include "core/traffic/traffic_config.h"

namespace ebonykeel {

// Smooth weighted round robin: over any run of requests the count of each part
// differs from its share by less than one request.
class WeightedChoice
{
public:
  // Returns the next part. `aParts` must not be empty; a part is identified by
  // the name of its service.
  [[nodiscard]] const SplitPart& Next(std::span<const SplitPart> aParts);

private:
  std::map<std::string, double> m_credits;
};

} // namespace ebonykeel
