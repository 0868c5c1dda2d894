#include "core/fleet/store_readers.h"

#include <algorithm>

#include <set>
#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

FleetRecord
Instance(const char* aHost, const char* aDataCentre)
{
  return { .m_host = aHost, .m_dataCentre = DataCentre(aDataCentre) };
}

std::vector<FleetRecord>
Fleet()
{
  return { Instance("1", "north"),
           Instance("2", "north"),
           Instance("3", "south"),
           Instance("4", "south") };
}

DOCTEST_TEST_CASE("readers are in different data centres")
{
  std::vector<FleetRecord> fleet = Fleet();
  DOCTEST_CHECK(ChooseReaders(fleet) == std::vector<std::string>{ "1", "3" });
}

DOCTEST_TEST_CASE("an instance that cannot reach the store is replaced")
{
  std::vector<FleetRecord> fleet = Fleet();
  fleet[0].m_storeReachable = false;
  fleet[2].m_state = FleetState::kSuspect;
  DOCTEST_CHECK(ChooseReaders(fleet) == std::vector<std::string>{ "2", "4" });
}

DOCTEST_TEST_CASE("in a store outage the first instances keep trying")
{
  std::vector<FleetRecord> fleet = Fleet();
  std::ranges::for_each(
    fleet, [](FleetRecord& aRecord) { aRecord.m_storeReachable = false; });
  DOCTEST_CHECK(ChooseReaders(fleet) == std::vector<std::string>{ "1", "3" });
}

DOCTEST_TEST_CASE("a single data centre has both readers")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north"),
                                  Instance("2", "north") };
  DOCTEST_CHECK(ChooseReaders(fleet).size() == 2);
}

DOCTEST_TEST_CASE("the first instances of a data centre fetch from remote ones")
{
  std::vector<FleetRecord> fleet = Fleet();
  fleet.push_back(Instance("5", "south"));
  DOCTEST_CHECK(FetchesFromRemoteDataCentres(fleet, fleet[2]));
  DOCTEST_CHECK(FetchesFromRemoteDataCentres(fleet, fleet[3]));
  DOCTEST_CHECK_FALSE(FetchesFromRemoteDataCentres(fleet, fleet[4]));
  fleet[2].m_state = FleetState::kDead;
  DOCTEST_CHECK(FetchesFromRemoteDataCentres(fleet, fleet[4]));
}

// Regression: after a power loss the first instances to restart waited 400 ms
// for seeds that restarted later than they did (haufiku-entries trouble-2, seed
// 21: started at 34.94 s, first configuration at 35.29 s).
DOCTEST_TEST_CASE("a few of the instances without contact read early")
{
  auto reading = [](int aHosts, Duration aAge, bool aFirstStart) {
    int count = 0;
    for (int host = 1; host <= aHosts; ++host) {
      std::string name = "10.0.0." + std::to_string(host);
      count += MayStartReading(aAge, false, name, aFirstStart) ? 1 : 0;
    }
    return count;
  };
  DOCTEST_CHECK(reading(130, Milliseconds(39), true) == 0);
  DOCTEST_CHECK(reading(130, Milliseconds(100), true) >= 1);
  DOCTEST_CHECK(reading(130, Milliseconds(100), true) <= 13);
  DOCTEST_CHECK(reading(13, Milliseconds(200), true) >= 1);
  DOCTEST_CHECK(reading(130, Milliseconds(400), true) == 130);
  // After a restart callers are waiting, so more instances read early.
  DOCTEST_CHECK(reading(130, Milliseconds(39), false) == 0);
  DOCTEST_CHECK(reading(13, Milliseconds(100), false) >= 1);
  DOCTEST_CHECK(reading(130, Milliseconds(100), false) <= 40);
}

DOCTEST_TEST_CASE("an instance in contact waits for the answers of others")
{
  DOCTEST_CHECK_FALSE(
    MayStartReading(Milliseconds(50), true, "10.0.0.1", false));
  DOCTEST_CHECK(MayStartReading(Milliseconds(60), true, "10.0.0.1", false));
}

} // namespace
} // namespace ebonykeel
