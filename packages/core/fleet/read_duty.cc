#include "core/fleet/read_duty.h"

#include <algorithm>
#include <set>

namespace ebonykeel {
namespace {

std::vector<std::string>
ChooseAmong(std::span<const FleetRecord* const> aCandidates, size_t aCount)
{
  std::vector<std::string> chosen;
  std::set<DataCentre> dataCentres;
  for (const FleetRecord* record : aCandidates) {
    if (chosen.size() < aCount &&
        dataCentres.insert(record->m_dataCentre).second) {
      chosen.push_back(record->m_host);
    }
  }
  for (const FleetRecord* record : aCandidates) {
    if (chosen.size() < aCount &&
        std::ranges::find(chosen, record->m_host) == chosen.end()) {
      chosen.push_back(record->m_host);
    }
  }
  return chosen;
}

} // namespace

bool
FetchesAcross(std::span<const FleetRecord> aLiving, const FleetRecord& aSelf)
{
  constexpr ptrdiff_t kFetchers = 2;
  auto before = std::ranges::count_if(aLiving, [&](const FleetRecord& aRecord) {
    return aRecord.m_state == FleetState::kAlive &&
           aRecord.m_dataCentre == aSelf.m_dataCentre &&
           aRecord.m_host < aSelf.m_host;
  });
  return before < kFetchers;
}

std::vector<std::string>
ChooseReaders(std::span<const FleetRecord> aLiving, size_t aCount)
{
  std::vector<const FleetRecord*> able;
  std::vector<const FleetRecord*> alive;
  for (const FleetRecord& record : aLiving) {
    if (record.m_state != FleetState::kAlive) {
      continue;
    }
    alive.push_back(&record);
    if (record.m_storeReachable) {
      able.push_back(&record);
    }
  }
  return ChooseAmong(able.empty() ? alive : able, aCount);
}

} // namespace ebonykeel
