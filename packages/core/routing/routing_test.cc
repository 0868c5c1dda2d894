#include "core/routing/routing.h"

#include <algorithm>
#include <random>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

Configuration
MakeConfiguration()
{
  return { .m_generation = 3,
           .m_services = { { .m_name = ServiceName("desk"),
                             .m_group = GroupName("valuation") } } };
}

std::vector<InstanceRecord>
MakeFleet(size_t aCount)
{
  std::vector<InstanceRecord> fleet;
  for (size_t index = 0; index < aCount; ++index) {
    fleet.push_back(
      { .m_id = InstanceId(absl::StrCat("i", index)),
        .m_publicAddress = absl::StrCat("10.0.0.", index, ":8080"),
        .m_dataCentre = DataCentre(absl::StrCat("dc", index % 3)),
        .m_state = InstanceState::kActive });
  }
  return fleet;
}

std::vector<RoutingCandidate>
Candidates(const std::vector<InstanceRecord>& aFleet)
{
  std::vector<RoutingCandidate> candidates;
  candidates.reserve(aFleet.size());
  for (const InstanceRecord& record : aFleet) {
    candidates.push_back({ .m_record = &record });
  }
  return candidates;
}

DOCTEST_TEST_CASE("an answer names only active, unsuspected instances outside "
                  "withdrawn data centres, each once, and is empty only if "
                  "there are none")
{
  DOCTEST_CHECK(rc::check([] {
    std::mt19937_64 random(*rc::gen::arbitrary<uint32_t>());
    auto fleet = MakeFleet(*rc::gen::inRange<size_t>(0, 10));
    auto candidates = Candidates(fleet);
    auto configuration = MakeConfiguration();
    for (size_t dataCentre = 0; dataCentre < 3; ++dataCentre) {
      if (*rc::gen::arbitrary<bool>()) {
        configuration.m_withdrawnDataCentres.insert(
          DataCentre(absl::StrCat("dc", dataCentre)));
      }
    }
    std::set<InstanceId> eligible;
    for (size_t index = 0; index < fleet.size(); ++index) {
      fleet[index].m_state =
        static_cast<InstanceState>(*rc::gen::inRange(0, 4));
      candidates[index].m_suspected = *rc::gen::arbitrary<bool>();
      const bool inService = !configuration.m_withdrawnDataCentres.contains(
        fleet[index].m_dataCentre);
      if (fleet[index].m_state == InstanceState::kActive && inService &&
          !candidates[index].m_suspected) {
        eligible.insert(fleet[index].m_id);
      }
    }
    const auto count = *rc::gen::inRange<size_t>(1, 6);
    const RoutingAnswer answer =
      ChooseAddresses({ .m_target = "valuation", .m_count = count },
                      configuration,
                      candidates,
                      random);
    std::set<InstanceId> named;
    for (const RoutedAddress& address : answer.m_addresses) {
      RC_ASSERT(eligible.contains(address.m_instance));
      RC_ASSERT(named.insert(address.m_instance).second);
    }
    RC_ASSERT(named.size() == std::min(count, eligible.size()));
    RC_ASSERT((answer.m_status == RoutingStatus::kFound) == !eligible.empty());
    RC_ASSERT((answer.m_lifetime == kAnswerLifetime) == !eligible.empty());
  }));
}

DOCTEST_TEST_CASE("the caller's data centre comes first, the others are spread")
{
  std::mt19937_64 random(5);
  const auto fleet = MakeFleet(9);
  const auto candidates = Candidates(fleet);
  for (int round = 0; round < 50; ++round) {
    const RoutingAnswer answer =
      ChooseAddresses({ .m_target = "desk",
                        .m_callerDataCentre = DataCentre("dc1"),
                        .m_count = 3 },
                      MakeConfiguration(),
                      candidates,
                      random);
    DOCTEST_REQUIRE(answer.m_addresses.size() == 3);
    DOCTEST_CHECK(answer.m_addresses[0].m_dataCentre == DataCentre("dc1"));
    std::set<DataCentre> dataCentres;
    for (const RoutedAddress& address : answer.m_addresses) {
      dataCentres.insert(address.m_dataCentre);
    }
    DOCTEST_CHECK(dataCentres.size() == 3);
  }
}

DOCTEST_TEST_CASE("a loaded instance is named first less often than its share")
{
  std::mt19937_64 random(5);
  auto fleet = MakeFleet(12);
  fleet[0].m_load = 0.95F;
  const auto candidates = Candidates(fleet);
  constexpr int kRounds = 2000;
  int first = 0;
  for (int round = 0; round < kRounds; ++round) {
    const RoutingAnswer answer =
      ChooseAddresses({ .m_target = "desk",
                        .m_callerDataCentre = DataCentre("dc0"),
                        .m_count = 1 },
                      MakeConfiguration(),
                      candidates,
                      random);
    first += answer.m_addresses[0].m_instance == InstanceId("i0") ? 1 : 0;
  }
  // Its data centre has four instances, so an equal share is 500 rounds. It is
  // chosen only if both draws pick it.
  DOCTEST_CHECK(first < 200);
  DOCTEST_CHECK(first > 0);
}

DOCTEST_TEST_CASE("an answer without addresses says why")
{
  std::mt19937_64 random(5);
  const auto fleet = MakeFleet(3);
  const auto candidates = Candidates(fleet);
  auto configuration = MakeConfiguration();
  const auto statusOf = [&](std::string aTarget,
                            std::span<const RoutingCandidate> aCandidates) {
    return ChooseAddresses({ .m_target = std::move(aTarget) },
                           configuration,
                           aCandidates,
                           random)
      .m_status;
  };
  DOCTEST_CHECK(statusOf("nothing", candidates) ==
                RoutingStatus::kUnknownTarget);
  DOCTEST_CHECK(statusOf("", candidates) == RoutingStatus::kUnknownTarget);
  DOCTEST_CHECK(statusOf("desk", {}) == RoutingStatus::kNoInstances);
  for (const char* name : { "dc0", "dc1", "dc2" }) {
    configuration.m_withdrawnDataCentres.insert(DataCentre(name));
  }
  DOCTEST_CHECK(statusOf("desk", candidates) == RoutingStatus::kAllWithdrawn);
  configuration.m_generation = 0;
  DOCTEST_CHECK(statusOf("desk", candidates) ==
                RoutingStatus::kNoConfiguration);
}

} // namespace
} // namespace ebonykeel
