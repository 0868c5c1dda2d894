// What a route's requests to searchers usually take.
//
//   LatencyModel latencies;
//   latencies.Add(route, Milliseconds(7));
//   Duration usual = latencies.Typical(route);
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
  // Adds the latency of one answered request to a searcher.
  void Add(const Route& aRoute, Duration aLatency);
  // Returns the median.
  [[nodiscard]] Duration Typical(const Route& aRoute) const;
  // Returns the latency that a request which nothing holds up stays under.
  [[nodiscard]] Duration LateThreshold(const Route& aRoute) const;

private:
  [[nodiscard]] Duration Quantile(const Route& aRoute,
                                  double aQuantile,
                                  double aShareOfTarget) const;

  // By the route's name, which outlives versions of the configuration.
  std::unordered_map<std::string, DecayingHistogram> m_histograms;
};

} // namespace ebonykeel
