// Spreads requests over the services of a split in proportion to weights.
//
//   WeightedChoice choice;
//   const SplitPart& part = choice.Next(route.m_split);
#pragma once

#include <map>
#include <span>
#include <string>

#include "core/traffic/traffic_config.h"

namespace ebonykeel {

// Smooth weighted round robin: over any run of requests each part gets its
// share, off by less than one request a part.
class WeightedChoice
{
public:
  // Returns the part whose turn it is. `aParts` is not empty; parts are known
  // by the name of their service.
  [[nodiscard]] const SplitPart& Next(std::span<const SplitPart> aParts);

private:
  std::map<std::string, double> m_credits;
};

} // namespace ebonykeel
