#include "core/forward/service_coverage.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {
namespace {

bool
HasReachableReplica(const std::string& aService,
                    const ReplicaCatalogue& aCatalogue,
                    const ReplicaLoad& aLoad,
                    TimePoint aNow)
{
  return std::ranges::any_of(
    aCatalogue.Usable(aService), [&](const ReplicaPtr& aReplica) {
      return !aLoad.UnreachableUntil(*aReplica, aNow).has_value();
    });
}

} // namespace

std::optional<TimePoint>
UnavailableUntil(const std::string& aService,
                 const ReplicaCatalogue& aCatalogue,
                 const ReplicaLoad& aLoad,
                 Duration aNoReplicaDelay,
                 TimePoint aNow)
{
  std::optional<TimePoint> until;
  for (const ReplicaPtr& replica : aCatalogue.Usable(aService)) {
    std::optional<TimePoint> replicaUntil =
      aLoad.UnavailableUntil(*replica, aNow);
    if (!replicaUntil) {
      return std::nullopt;
    }
    until = std::min(until.value_or(*replicaUntil), *replicaUntil);
  }
  return until.value_or(aNow + aNoReplicaDelay);
}

uint32_t
RequiredSubRequests(double aMinShare, size_t aSubRequests)
{
  // Rounding errors must not require one sub-request more than the share does.
  constexpr double kRounding = 1e-9;
  double required =
    std::ceil(aMinShare * static_cast<double>(aSubRequests) - kRounding);
  return std::max(1U, static_cast<uint32_t>(required));
}

ServiceCoverage::ServiceCoverage(std::span<const std::string> aServices,
                                 const ReplicaCatalogue& aCatalogue,
                                 const ReplicaLoad& aLoad,
                                 Duration aNoReplicaDelay,
                                 TimePoint aNow)
  : m_services(aServices.size())
{
  for (const std::string& service : aServices) {
    if (std::optional<TimePoint> until =
          UnavailableUntil(service, aCatalogue, aLoad, aNoReplicaDelay, aNow)) {
      m_unavailable.push_back(*until);
      m_pushedBack +=
        HasReachableReplica(service, aCatalogue, aLoad, aNow) ? 1 : 0;
    }
  }
  std::ranges::sort(m_unavailable);
}

bool
ServiceCoverage::HasAvailable(size_t aRequired) const
{
  return m_services - m_unavailable.size() >= aRequired;
}

bool
ServiceCoverage::HasReachable(size_t aRequired) const
{
  return m_services - m_unavailable.size() + m_pushedBack >= aRequired;
}

TimePoint
ServiceCoverage::AvailableAt(size_t aRequired) const
{
  size_t lacking = aRequired - (m_services - m_unavailable.size());
  return m_unavailable[lacking - 1];
}

} // namespace ebonykeel
