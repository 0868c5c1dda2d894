#include "core/quota/granter_choice.h"

#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

const std::vector<DataCentre> kDataCentres = { DataCentre("a"),
                                               DataCentre("b"),
                                               DataCentre("c") };

FleetRecord
Record(const std::string& aHost,
       const std::string& aDataCentre,
       FleetState aState = FleetState::kAlive)
{
  return { .m_host = aHost,
           .m_state = aState,
           .m_dataCentre = DataCentre(aDataCentre),
           .m_ready = true };
}

} // namespace

// Guards against instances that ask different granters for the same tokens.
DOCTEST_TEST_CASE("all instances choose the same granters, their own first")
{
  std::vector<FleetRecord> live = { Record("a1", "a"),
                                    Record("a2", "a"),
                                    Record("b1", "b") };
  std::set<std::string> named = { "a1", "a2", "b1" };
  auto fromA = ChooseGranters(live, named, kDataCentres, DataCentre("a"));
  auto fromB = ChooseGranters(live, named, kDataCentres, DataCentre("b"));
  DOCTEST_REQUIRE(fromA.size() == 3);
  DOCTEST_CHECK(std::ranges::find(fromB, fromA[0]) != fromB.end());
  DOCTEST_CHECK(fromB[0][0] == "b1");
  std::set<std::string> hosts(fromA[0].begin(), fromA[0].end());
  DOCTEST_CHECK(hosts == std::set<std::string>{ "a1", "a2" });
  // Nobody is in the third data centre.
  DOCTEST_CHECK(std::ranges::count(fromA, QuotaGranters{}) == 1);
}

// Guards against a share that nobody grants because callers are sent elsewhere.
DOCTEST_TEST_CASE(
  "if no instance of a data centre is named, another one grants")
{
  std::vector<FleetRecord> live = {
    Record("a1", "a", FleetState::kSuspect),
    Record("a2", "a"),
    Record("a3", "a", FleetState::kLeaving),
  };
  auto granters = ChooseGranters(live, {}, kDataCentres, DataCentre("a"));
  DOCTEST_CHECK(granters[0][0] == "a2");
  live[1].m_state = FleetState::kLeaving;
  granters = ChooseGranters(live, {}, kDataCentres, DataCentre("a"));
  DOCTEST_CHECK(granters[0][0] == "a1");
}

// Guards against a smaller majority once others are lost, and against one that
// counts instances which stopped as planned.
DOCTEST_TEST_CASE("lost instances are remembered, those that left are not")
{
  constexpr TimePoint kStart{ Seconds(100) };
  DataCentreMembers members(Seconds(300));
  std::vector<FleetRecord> live = { Record("a1", "a"),
                                    Record("a2", "a"),
                                    Record("b1", "b") };
  members.Update(live, kStart);
  live = { Record("a1", "a"), Record("b1", "b", FleetState::kLeaving) };
  members.Update(live, kStart + Seconds(299));
  DOCTEST_CHECK(members.HostsIn(DataCentre("a")) ==
                std::set<std::string>{ "a1", "a2" });
  DOCTEST_CHECK(members.HostsIn(DataCentre("b")).empty());
  members.Update(live, kStart + Seconds(300));
  DOCTEST_CHECK(members.HostsIn(DataCentre("a")) ==
                std::set<std::string>{ "a1" });
}

} // namespace ebonykeel
