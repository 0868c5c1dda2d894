#include "core/forward/coverage.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {

std::optional<TimePoint>
BlockedUntil(const std::string& aService,
             const ReplicaCatalogue& aCatalogue,
             const ReplicaLoad& aLoad,
             Duration aAbsent,
             TimePoint aNow)
{
  std::optional<TimePoint> until;
  for (const ReplicaPtr& replica : aCatalogue.Usable(aService)) {
    std::optional<TimePoint> down = aLoad.UnreachableUntil(*replica, aNow);
    if (!down) {
      return std::nullopt;
    }
    until = std::min(until.value_or(*down), *down);
  }
  return until.value_or(aNow + aAbsent);
}

uint32_t
NeededLegs(double aMinShare, size_t aLegs)
{
  // Rounding must not ask for one shard more than the share does.
  constexpr double kRounding = 1e-9;
  double needed = std::ceil(aMinShare * static_cast<double>(aLegs) - kRounding);
  return std::max(1U, static_cast<uint32_t>(needed));
}

Coverage::Coverage(std::span<const std::string> aServices,
                   const ReplicaCatalogue& aCatalogue,
                   const ReplicaLoad& aLoad,
                   Duration aAbsent,
                   TimePoint aNow)
  : m_services(aServices.size())
{
  for (const std::string& service : aServices) {
    if (std::optional<TimePoint> until =
          BlockedUntil(service, aCatalogue, aLoad, aAbsent, aNow)) {
      m_blocked.push_back(*until);
    }
  }
  std::ranges::sort(m_blocked);
}

bool
Coverage::Allows(size_t aNeeded) const
{
  return m_services - m_blocked.size() >= aNeeded;
}

TimePoint
Coverage::AllowedAt(size_t aNeeded) const
{
  size_t lacking = aNeeded - (m_services - m_blocked.size());
  return m_blocked[lacking - 1];
}

} // namespace ebonykeel
