#include "core/fleet/caller_directory.h"

#include <algorithm>
#include <iterator>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

using Records = std::vector<const FleetRecord*>;

// The best instances that there are: ready ones, else suspected ones, else any
// that is not leaving.
Records
Usable(std::span<const FleetRecord> aLiving)
{
  Records ready;
  Records suspected;
  Records other;
  for (const FleetRecord& record : aLiving) {
    if (record.m_state == FleetState::kAlive && record.m_ready) {
      ready.push_back(&record);
    } else if (record.m_state == FleetState::kSuspect && record.m_ready) {
      suspected.push_back(&record);
    } else if (record.m_state != FleetState::kLeaving) {
      other.push_back(&record);
    }
  }
  return !ready.empty() ? ready : !suspected.empty() ? suspected : other;
}

// The instances that have at least half of the processors of the greatest.
Records
MostCapable(const Records& aRecords)
{
  uint32_t greatest = 0;
  for (const FleetRecord* record : aRecords) {
    greatest = std::max(greatest, record->m_capacity);
  }
  Records capable;
  std::ranges::copy_if(
    aRecords, std::back_inserter(capable), [&](const FleetRecord* aRecord) {
      return aRecord->m_capacity >= greatest / 2;
    });
  return capable;
}

Records
InDataCentre(const Records& aRecords, const DataCentre& aDataCentre)
{
  Records found;
  std::ranges::copy_if(
    aRecords, std::back_inserter(found), [&](const FleetRecord* aRecord) {
      return aRecord->m_dataCentre == aDataCentre;
    });
  return found;
}

// The instances of the data centre that has most searchers; where several have
// as many, the caller's name decides, so that callers spread.
Records
NearSearchers(const Records& aRecords,
              const DataCentre& aCaller,
              const std::map<DataCentre, size_t>& aSearchers)
{
  const DataCentre* best = nullptr;
  size_t bestCount = 0;
  uint64_t bestHash = 0;
  for (const auto& [dataCentre, count] : aSearchers) {
    if (count == 0 || InDataCentre(aRecords, dataCentre).empty()) {
      continue;
    }
    uint64_t hash = StableHash(aCaller.Text() + "/" + dataCentre.Text());
    if (count > bestCount || (count == bestCount && hash > bestHash)) {
      best = &dataCentre;
      bestCount = count;
      bestHash = hash;
    }
  }
  return best == nullptr ? aRecords : InDataCentre(aRecords, *best);
}

} // namespace

std::vector<std::string>
ChooseInstancesForCaller(std::span<const FleetRecord> aLiving,
                         const DataCentre& aCaller,
                         const std::map<DataCentre, size_t>& aSearchers,
                         const CallerDirectoryOptions& aOptions)
{
  Records usable = MostCapable(Usable(aLiving));
  auto searchers = aSearchers.find(aCaller);
  bool searchersNear = aSearchers.empty() ||
                       (searchers != aSearchers.end() && searchers->second > 0);
  Records chosen = InDataCentre(usable, aCaller);
  if (chosen.empty() || !searchersNear) {
    chosen = NearSearchers(usable, aCaller, aSearchers);
  }
  std::ranges::sort(chosen, {}, [&](const FleetRecord* aRecord) {
    return StableHash(aRecord->m_host);
  });
  std::vector<std::string> hosts;
  for (const FleetRecord* record : chosen) {
    if (hosts.size() < aOptions.m_instancesPerCaller) {
      hosts.push_back(record->m_host);
    }
  }
  return hosts;
}

std::set<std::string>
InstancesForAllCallers(std::span<const FleetRecord> aLiving,
                       const std::map<DataCentre, size_t>& aSearchers,
                       const CallerDirectoryOptions& aOptions)
{
  std::set<DataCentre> dataCentres;
  for (const FleetRecord& record : aLiving) {
    dataCentres.insert(record.m_dataCentre);
  }
  std::set<std::string> named;
  for (const DataCentre& dataCentre : dataCentres) {
    std::ranges::move(
      ChooseInstancesForCaller(aLiving, dataCentre, aSearchers, aOptions),
      std::inserter(named, named.end()));
  }
  return named;
}

} // namespace ebonykeel
