#include "core/quota/granter_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

std::vector<std::string>
CandidatesIn(const DataCentre& aDataCentre,
             std::span<const FleetRecord> aLiveInstances,
             const std::set<std::string>& aNamedHosts)
{
  std::vector<std::string> named;
  std::vector<std::string> alive;
  std::vector<std::string> suspected;
  for (const FleetRecord& record : aLiveInstances) {
    if (record.m_dataCentre != aDataCentre) {
      continue;
    }
    if (aNamedHosts.contains(record.m_host)) {
      named.push_back(record.m_host);
    }
    if (record.m_state == FleetState::kAlive) {
      alive.push_back(record.m_host);
    } else if (record.m_state == FleetState::kSuspect) {
      suspected.push_back(record.m_host);
    }
  }
  return !named.empty() ? named : !alive.empty() ? alive : suspected;
}

QuotaGranters
GrantersOf(const std::vector<std::string>& aCandidates)
{
  QuotaGranters granters;
  for (uint32_t group = 0; group < kQuotaGroups; ++group) {
    auto best =
      std::ranges::max_element(aCandidates, {}, [&](const std::string& aHost) {
        return StableHash(aHost, MixBits(group));
      });
    if (best != aCandidates.end()) {
      granters[group] = *best;
    }
  }
  return granters;
}

} // namespace

std::vector<QuotaGranters>
ChooseGranters(std::span<const FleetRecord> aLiveInstances,
               const std::set<std::string>& aNamedHosts,
               std::span<const DataCentre> aDataCentres,
               const DataCentre& aOwnDataCentre)
{
  std::vector<DataCentre> order(aDataCentres.begin(), aDataCentres.end());
  std::ranges::sort(order, {}, [&](const DataCentre& aDataCentre) {
    return std::pair(
      aDataCentre != aOwnDataCentre,
      StableHash(aDataCentre.View(), StableHash(aOwnDataCentre.View())));
  });
  std::vector<QuotaGranters> granters;
  std::ranges::transform(
    order, std::back_inserter(granters), [&](const DataCentre& aDataCentre) {
      return GrantersOf(CandidatesIn(aDataCentre, aLiveInstances, aNamedHosts));
    });
  return granters;
}

DataCentreMembers::DataCentreMembers(Duration aRetention)
  : m_retention(aRetention)
{
}

void
DataCentreMembers::Update(std::span<const FleetRecord> aLiveInstances,
                          TimePoint aNow)
{
  for (const FleetRecord& record : aLiveInstances) {
    if (record.m_state == FleetState::kLeaving) {
      m_members.erase(record.m_host);
    } else {
      m_members[record.m_host] = { record.m_dataCentre, aNow };
    }
  }
  std::erase_if(m_members, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastSeen >= m_retention;
  });
}

std::set<std::string>
DataCentreMembers::HostsIn(const DataCentre& aDataCentre) const
{
  std::set<std::string> hosts;
  for (const auto& [host, member] : m_members) {
    if (member.m_dataCentre == aDataCentre) {
      hosts.insert(host);
    }
  }
  return hosts;
}

} // namespace ebonykeel
