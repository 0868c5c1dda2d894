#include "core/forward/overload_forecast.h"

#include <algorithm>
#include <vector>

namespace ebonykeel {

OverloadForecast::OverloadForecast(const ReplicaCatalogue& aCatalogue,
                                   const ReplicaLoad& aLoad,
                                   const CapacityQueue& aWaiters,
                                   uint32_t aPriority,
                                   Duration aTypicalLatency,
                                   TimePoint aNow)
  : m_catalogue(aCatalogue)
  , m_load(aLoad)
  , m_waiters(aWaiters)
  , m_priority(aPriority)
  , m_typicalLatency(aTypicalLatency)
  , m_now(aNow)
{
}

Duration
OverloadForecast::ExpectedLatency(std::span<const std::string> aServices,
                                  size_t aRequired) const
{
  std::vector<Duration> latencies;
  latencies.reserve(aServices.size());
  std::ranges::transform(
    aServices,
    std::back_inserter(latencies),
    [this](const std::string& aService) { return BestLatency(aService); });
  auto last = latencies.begin() + static_cast<ptrdiff_t>(aRequired) - 1;
  std::ranges::nth_element(latencies, last);
  return *last;
}

Duration
OverloadForecast::BestLatency(const std::string& aService) const
{
  Duration best = Duration::max();
  for (const ReplicaPtr& replica : m_catalogue.Usable(aService)) {
    if (m_load.UnavailableUntil(*replica, m_now)) {
      continue;
    }
    Duration latency = m_load.PredictLatency(*replica, m_typicalLatency, m_now);
    auto ahead =
      static_cast<int64_t>(m_waiters.CountAhead(aService, m_priority));
    auto inFlight = static_cast<int64_t>(m_load.InFlight(*replica));
    best = std::min(best, latency + latency * ahead / (inFlight + 1));
  }
  return best;
}

} // namespace ebonykeel
