#include "core/fleet/read_duty.h"

#include <algorithm>

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

DOCTEST_TEST_CASE("an instance that the store turns away is replaced")
{
  std::vector<FleetRecord> fleet = Fleet();
  fleet[0].m_storeReachable = false;
  fleet[2].m_state = FleetState::kSuspect;
  DOCTEST_CHECK(ChooseReaders(fleet) == std::vector<std::string>{ "2", "4" });
}

DOCTEST_TEST_CASE("in an outage the first ones keep trying")
{
  std::vector<FleetRecord> fleet = Fleet();
  std::ranges::for_each(
    fleet, [](FleetRecord& aRecord) { aRecord.m_storeReachable = false; });
  DOCTEST_CHECK(ChooseReaders(fleet) == std::vector<std::string>{ "1", "3" });
}

DOCTEST_TEST_CASE("one data centre that is left has both readers")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north"),
                                  Instance("2", "north") };
  DOCTEST_CHECK(ChooseReaders(fleet).size() == 2);
}

DOCTEST_TEST_CASE("the first instances of a data centre fetch from others")
{
  std::vector<FleetRecord> fleet = Fleet();
  fleet.push_back(Instance("5", "south"));
  DOCTEST_CHECK(FetchesAcross(fleet, fleet[2]));
  DOCTEST_CHECK(FetchesAcross(fleet, fleet[3]));
  DOCTEST_CHECK_FALSE(FetchesAcross(fleet, fleet[4]));
  fleet[2].m_state = FleetState::kDead;
  DOCTEST_CHECK(FetchesAcross(fleet, fleet[4]));
}

} // namespace
} // namespace ebonykeel
