#include "core/fleet/store_readers.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

// What a starting instance waits for the others' first answers.
constexpr Duration kStartTogether = Milliseconds(60);
// What it waits if nobody answers, at least and at most.
constexpr Duration kStartAlone = Milliseconds(40);
constexpr Duration kStartAloneMost = Milliseconds(400);

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
MayStartReading(Duration aAge,
                bool aInContact,
                std::string_view aHost,
                bool aFirstStart)
{
  if (aInContact) {
    return aAge >= kStartTogether;
  }
  constexpr uint64_t kSteps = 1'000'000;
  double place = static_cast<double>(StableHash(aHost) % kSteps) /
                 static_cast<double>(kSteps);
  // The root makes short waits rare.
  double rank = aFirstStart ? std::sqrt(place) : place;
  double spread = static_cast<double>((kStartAloneMost - kStartAlone).count());
  return aAge >= kStartAlone + Duration(static_cast<int64_t>(spread * rank));
}

bool
FetchesFromRemoteDataCentres(std::span<const FleetRecord> aLiving,
                             const FleetRecord& aSelf)
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
