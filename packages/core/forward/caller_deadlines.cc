#include "core/forward/caller_deadlines.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// The number of samples that are kept for each route.
constexpr size_t kMaxSamples = 64;
// A single request does not show what its caller started with. From two on, the
// greatest is used until there are enough to pass over outliers: in a large
// fleet an instance sees few requests of a route.
constexpr size_t kMinSamples = 2;
// One of this many callers may start with a larger time budget than the others
// without being taken as typical.
constexpr size_t kOutlierDivisor = 10;

} // namespace

void
CallerDeadlines::Add(const std::string& aRoute, Duration aRemaining)
{
  Samples& samples = m_routes[aRoute];
  if (samples.m_values.size() < kMaxSamples) {
    samples.m_values.push_back(aRemaining);
    return;
  }
  samples.m_values[samples.m_next] = aRemaining;
  samples.m_next = (samples.m_next + 1) % kMaxSamples;
}

Duration
CallerDeadlines::ElapsedTime(const std::string& aRoute,
                             Duration aRemaining) const
{
  auto found = m_routes.find(aRoute);
  if (found == m_routes.end() || found->second.m_values.size() < kMinSamples) {
    return {};
  }
  std::vector<Duration> values = found->second.m_values;
  auto typicalRemaining =
    values.begin() + static_cast<ptrdiff_t>(values.size() / kOutlierDivisor);
  std::ranges::nth_element(values, typicalRemaining, std::ranges::greater());
  return std::max(Duration{}, *typicalRemaining - aRemaining);
}

} // namespace ebonykeel
