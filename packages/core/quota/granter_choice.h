// Chooses the instances that grant the tokens of each group of workspaces.
//
//   std::vector<QuotaGranters> granters =
//     ChooseGranters(live, named, settings.m_dataCentres, ownDataCentre);
#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/fleet_message.h"
#include "core/quota/quota_leases.h"

namespace ebonykeel {

// Returns the granters of each data centre, in the order in which an instance
// in `aOwnDataCentre` asks them: its own first, and the others in an order that
// differs between data centres. `aNamedHosts` are the instances that the
// directory names to callers; if none is in a data centre, one of the others
// there is chosen.
[[nodiscard]] std::vector<QuotaGranters>
ChooseGranters(std::span<const FleetRecord> aLiveInstances,
               const std::set<std::string>& aNamedHosts,
               std::span<const DataCentre> aDataCentres,
               const DataCentre& aOwnDataCentre);

// Remembers the instances of the data centres, including those that were lost.
class DataCentreMembers
{
public:
  // `aRetention` is how long a lost instance is remembered. One that announced
  // that it leaves is forgotten at once.
  explicit DataCentreMembers(Duration aRetention);

  void Update(std::span<const FleetRecord> aLiveInstances, TimePoint aNow);
  [[nodiscard]] std::set<std::string> HostsIn(
    const DataCentre& aDataCentre) const;

private:
  struct Member
  {
    DataCentre m_dataCentre;
    // When it was last known to live.
    TimePoint m_lastSeen;
  };

  Duration m_retention;
  std::map<std::string, Member> m_members;
};

} // namespace ebonykeel
