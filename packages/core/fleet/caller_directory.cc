#include "core/fleet/caller_directory.h"

#include <algorithm>
#include <iterator>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

using RecordPointers = std::vector<const FleetRecord*>;

// Returns the ready instances; if there are none, the ready but suspected ones;
// else all others that are not leaving.
RecordPointers
BestAvailable(std::span<const FleetRecord> aLiveInstances)
{
  RecordPointers ready;
  RecordPointers suspected;
  RecordPointers other;
  for (const FleetRecord& record : aLiveInstances) {
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

// Returns the instances with at least half of the greatest capacity.
RecordPointers
HighestCapacity(const RecordPointers& aRecords)
{
  uint32_t maxCapacity = 0;
  for (const FleetRecord* record : aRecords) {
    maxCapacity = std::max(maxCapacity, record->m_capacity);
  }
  RecordPointers selected;
  std::ranges::copy_if(
    aRecords, std::back_inserter(selected), [&](const FleetRecord* aRecord) {
      return aRecord->m_capacity >= maxCapacity / 2;
    });
  return selected;
}

RecordPointers
InDataCentre(const RecordPointers& aRecords, const DataCentre& aDataCentre)
{
  RecordPointers found;
  std::ranges::copy_if(
    aRecords, std::back_inserter(found), [&](const FleetRecord* aRecord) {
      return aRecord->m_dataCentre == aDataCentre;
    });
  return found;
}

// Returns the instances of the data centre with the most upstreams. Ties are
// broken by a hash of the caller's data centre, so that callers spread over
// them.
RecordPointers
InstancesNearUpstreams(const RecordPointers& aRecords,
                       const DataCentre& aCallerDataCentre,
                       const std::map<DataCentre, size_t>& aUpstreamCounts)
{
  const DataCentre* best = nullptr;
  size_t bestCount = 0;
  uint64_t bestHash = 0;
  for (const auto& [dataCentre, count] : aUpstreamCounts) {
    if (count == 0 || InDataCentre(aRecords, dataCentre).empty()) {
      continue;
    }
    uint64_t hash =
      StableHash(aCallerDataCentre.Text() + "/" + dataCentre.Text());
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
ChooseInstancesForCaller(std::span<const FleetRecord> aLiveInstances,
                         const DataCentre& aCallerDataCentre,
                         const std::map<DataCentre, size_t>& aUpstreamCounts,
                         const CallerDirectoryOptions& aOptions)
{
  RecordPointers usable = HighestCapacity(BestAvailable(aLiveInstances));
  auto upstreams = aUpstreamCounts.find(aCallerDataCentre);
  bool hasLocalUpstreams =
    aUpstreamCounts.empty() ||
    (upstreams != aUpstreamCounts.end() && upstreams->second > 0);
  RecordPointers chosen = InDataCentre(usable, aCallerDataCentre);
  if (chosen.empty() || !hasLocalUpstreams) {
    chosen = InstancesNearUpstreams(usable, aCallerDataCentre, aUpstreamCounts);
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
InstancesForAllCallers(std::span<const FleetRecord> aLiveInstances,
                       const std::map<DataCentre, size_t>& aUpstreamCounts,
                       const CallerDirectoryOptions& aOptions)
{
  std::set<DataCentre> dataCentres;
  for (const FleetRecord& record : aLiveInstances) {
    dataCentres.insert(record.m_dataCentre);
  }
  std::set<std::string> offered;
  for (const DataCentre& dataCentre : dataCentres) {
    std::ranges::move(ChooseInstancesForCaller(
                        aLiveInstances, dataCentre, aUpstreamCounts, aOptions),
                      std::inserter(offered, offered.end()));
  }
  return offered;
}

} // namespace ebonykeel
