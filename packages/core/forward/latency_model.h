// Models the latency of each route's attempts.
//
//   LatencyModel latencies;
//   latencies.Add(route, Milliseconds(7));
//   Duration typical = latencies.Typical(route);
#pragma once

#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/query/decaying_histogram.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

class LatencyModel
{
public:
  // Records the latency of an answered attempt.
  void Add(const Route& aRoute, Duration aLatency);
  // Returns the median latency.
  [[nodiscard]] Duration Typical(const Route& aRoute) const;
  // Returns the latency above which an attempt counts as late.
  [[nodiscard]] Duration LateThreshold(const Route& aRoute) const;

private:
  [[nodiscard]] Duration Quantile(const Route& aRoute,
                                  double aQuantile,
                                  double aShareOfTarget) const;

  // By the route's name, which stays the same across versions of the
  // configuration.
  std::unordered_map<std::string, DecayingHistogram> m_histograms;
};

} // namespace ebonykeel
