#include "core/fleet/store_readers.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

// How long a starting instance waits for the first answers of others.
constexpr Duration kFirstContactDelay = Milliseconds(60);
// The range of the delay without any answer.
constexpr Duration kMinIsolatedDelay = Milliseconds(40);
constexpr Duration kMaxIsolatedDelay = Milliseconds(400);

std::vector<std::string>
ChooseAcrossDataCentres(std::span<const FleetRecord* const> aCandidates,
                        size_t aCount)
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
    return aAge >= kFirstContactDelay;
  }
  constexpr uint64_t kSteps = 1'000'000;
  double position = static_cast<double>(StableHash(aHost) % kSteps) /
                    static_cast<double>(kSteps);
  // The square root makes short delays rare.
  double fraction = aFirstStart ? std::sqrt(position) : position;
  double range =
    static_cast<double>((kMaxIsolatedDelay - kMinIsolatedDelay).count());
  return aAge >=
         kMinIsolatedDelay + Duration(static_cast<int64_t>(range * fraction));
}

bool
FetchesFromRemoteDataCentres(std::span<const FleetRecord> aLiveInstances,
                             const FleetRecord& aSelf)
{
  constexpr ptrdiff_t kFetcherCount = 2;
  auto lowerHosts =
    std::ranges::count_if(aLiveInstances, [&](const FleetRecord& aRecord) {
      return aRecord.m_state == FleetState::kAlive &&
             aRecord.m_dataCentre == aSelf.m_dataCentre &&
             aRecord.m_host < aSelf.m_host;
    });
  return lowerHosts < kFetcherCount;
}

std::vector<std::string>
ChooseReaders(std::span<const FleetRecord> aLiveInstances, size_t aCount)
{
  std::vector<const FleetRecord*> storeReachable;
  std::vector<const FleetRecord*> alive;
  for (const FleetRecord& record : aLiveInstances) {
    if (record.m_state != FleetState::kAlive) {
      continue;
    }
    alive.push_back(&record);
    if (record.m_storeReachable) {
      storeReachable.push_back(&record);
    }
  }
  return ChooseAcrossDataCentres(
    storeReachable.empty() ? alive : storeReachable, aCount);
}

} // namespace ebonykeel
