#include "core/fleet/caller_directory.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

FleetRecord
Instance(const char* aHost, const char* aDataCentre, uint32_t aCapacity = 100)
{
  return { .m_host = aHost,
           .m_dataCentre = DataCentre(aDataCentre),
           .m_ready = true,
           .m_capacity = aCapacity };
}

const DataCentre kNorth("north");
const DataCentre kSouth("south");

std::vector<std::string>
HostsFor(const std::vector<FleetRecord>& aFleet,
         const DataCentre& aCallerDataCentre,
         const std::map<DataCentre, size_t>& aUpstreamCounts = {})
{
  std::vector<std::string> hosts = ChooseInstancesForCaller(
    aFleet, aCallerDataCentre, aUpstreamCounts, { .m_instancesPerCaller = 2 });
  std::ranges::sort(hosts);
  return hosts;
}

DOCTEST_TEST_CASE("a caller is offered instances in its own data centre")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north"),
                                  Instance("2", "south"),
                                  Instance("3", "south") };
  DOCTEST_CHECK(HostsFor(fleet, kSouth) ==
                std::vector<std::string>{ "2", "3" });
}

DOCTEST_TEST_CASE(
  "a caller without local upstreams is sent to a data centre with some")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north"),
                                  Instance("2", "south") };
  DOCTEST_CHECK(HostsFor(fleet, kNorth, { { kSouth, 20 } }) ==
                std::vector<std::string>{ "2" });
}

DOCTEST_TEST_CASE("leaving, suspected and unready instances are not offered")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north"),
                                  Instance("2", "north"),
                                  Instance("3", "north"),
                                  Instance("4", "north") };
  fleet[0].m_state = FleetState::kLeaving;
  fleet[1].m_state = FleetState::kSuspect;
  fleet[2].m_ready = false;
  DOCTEST_CHECK(HostsFor(fleet, kNorth) == std::vector<std::string>{ "4" });
  fleet[3].m_ready = false;
  DOCTEST_CHECK(HostsFor(fleet, kNorth) == std::vector<std::string>{ "2" });
}

DOCTEST_TEST_CASE("instances with low capacity are not offered")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north", 500),
                                  Instance("2", "north", 84),
                                  Instance("3", "south", 84) };
  DOCTEST_CHECK(HostsFor(fleet, kNorth) == std::vector<std::string>{ "1" });
  DOCTEST_CHECK(HostsFor(fleet, kSouth) == std::vector<std::string>{ "1" });
  fleet[0].m_state = FleetState::kSuspect;
  DOCTEST_CHECK(HostsFor(fleet, kSouth) == std::vector<std::string>{ "3" });
}

DOCTEST_TEST_CASE("callers of one data centre get the same instances")
{
  std::vector<FleetRecord> fleet;
  for (const char* host : { "1", "2", "3", "4", "5" }) {
    fleet.push_back(Instance(host, "north"));
  }
  DOCTEST_CHECK(HostsFor(fleet, kNorth).size() == 2);
  DOCTEST_CHECK(HostsFor(fleet, kNorth) == HostsFor(fleet, kNorth));
}

DOCTEST_TEST_CASE(
  "the instances offered to callers of any data centre are listed")
{
  std::vector<FleetRecord> fleet{ Instance("1", "north"),
                                  Instance("2", "south"),
                                  Instance("3", "south"),
                                  Instance("4", "south"),
                                  Instance("5", "west") };
  std::set<std::string> offered = InstancesForAllCallers(
    fleet, { { kNorth, 20 } }, { .m_instancesPerCaller = 2 });
  DOCTEST_CHECK(offered == std::set<std::string>{ "1" });
  DOCTEST_CHECK(
    InstancesForAllCallers(fleet, {}, { .m_instancesPerCaller = 2 }).size() ==
    4);
}

} // namespace
} // namespace ebonykeel
