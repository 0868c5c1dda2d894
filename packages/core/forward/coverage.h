// How many of a request's services have a searcher that counts as reachable.
//
//   Coverage coverage(services, catalogue, load, absent, now);
//   if (!coverage.Allows(needed)) {
//     Refuse(coverage.AllowedAt(needed) - now);
//   }
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/replica/replica_catalogue.h"
#include "core/replica/replica_load.h"

namespace ebonykeel {

// Returns when the first searcher of a service may be tried again, `aAbsent`
// from now if it has none at all; nothing if one may be tried now.
[[nodiscard]] std::optional<TimePoint>
BlockedUntil(const std::string& aService,
             const ReplicaCatalogue& aCatalogue,
             const ReplicaLoad& aLoad,
             Duration aAbsent,
             TimePoint aNow);

// Returns how many of `aLegs` services an answer needs; at least one.
[[nodiscard]] uint32_t
NeededLegs(double aMinShare, size_t aLegs);

class Coverage
{
public:
  // Arguments as in `BlockedUntil`.
  Coverage(std::span<const std::string> aServices,
           const ReplicaCatalogue& aCatalogue,
           const ReplicaLoad& aLoad,
           Duration aAbsent,
           TimePoint aNow);

  // Returns whether at least `aNeeded` services are not blocked.
  [[nodiscard]] bool Allows(size_t aNeeded) const;
  // Returns when that will be so, if it is not now.
  [[nodiscard]] TimePoint AllowedAt(size_t aNeeded) const;
  [[nodiscard]] size_t Blocked() const { return m_blocked.size(); }

private:
  size_t m_services;
  // When each blocked service may be tried again, the soonest first.
  std::vector<TimePoint> m_blocked;
};

} // namespace ebonykeel
