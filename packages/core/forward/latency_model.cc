#include "core/forward/latency_model.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// The number of later answers after which an answer counts half.
constexpr double kHalfLifeSamples = 2000;
// Fewer samples say too little about a route.
constexpr size_t kMinSamples = 40;
// The quantile above which an attempt counts as late. Most of the attempts
// above it wait for a pausing upstream.
constexpr double kLateQuantile = 0.9;
// The upper bound of the late threshold, as a multiple of the median.
constexpr int kLateFactor = 2;
// Assumed before there are enough samples, as fractions of the route's target
// latency.
constexpr double kAssumedTypical = 0.2;
constexpr double kAssumedLate = 0.35;

} // namespace

void
LatencyModel::Add(const Route& aRoute, Duration aLatency)
{
  auto [histogram, added] = m_histograms.try_emplace(
    aRoute.m_name, DecayingHistogram(kHalfLifeSamples));
  histogram->second.Add(aLatency);
}

Duration
LatencyModel::Typical(const Route& aRoute) const
{
  return Quantile(aRoute, 0.5, kAssumedTypical);
}

Duration
LatencyModel::LateThreshold(const Route& aRoute) const
{
  // Where many upstreams are slow, the quantile is one of their latencies.
  Duration bound = Typical(aRoute) * kLateFactor;
  return std::min(bound, Quantile(aRoute, kLateQuantile, kAssumedLate));
}

Duration
LatencyModel::Quantile(const Route& aRoute,
                       double aQuantile,
                       double aShareOfTarget) const
{
  auto found = m_histograms.find(aRoute.m_name);
  if (found == m_histograms.end() || found->second.Count() < kMinSamples) {
    return Duration(static_cast<int64_t>(
      aShareOfTarget * static_cast<double>(aRoute.m_targetLatency.count())));
  }
  return found->second.Quantile(aQuantile);
}

} // namespace ebonykeel
