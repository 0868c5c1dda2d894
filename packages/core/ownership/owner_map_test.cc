#include "core/ownership/owner_map.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

InstanceRecord
MakeInstance(size_t aIndex, size_t aDataCentres)
{
  const size_t dataCentre = aIndex % aDataCentres;
  return { .m_id = InstanceId(absl::StrCat("i", aIndex)),
           .m_dataCentre = DataCentre(absl::StrCat("dc", dataCentre)),
           .m_region = Region(absl::StrCat("r", dataCentre % 2)),
           .m_state = InstanceState::kActive };
}

std::vector<InstanceRecord>
MakeFleet(size_t aCount, size_t aDataCentres)
{
  std::vector<InstanceRecord> fleet;
  for (size_t index = 0; index < aCount; ++index) {
    fleet.push_back(MakeInstance(index, aDataCentres));
  }
  return fleet;
}

Configuration
MakeConfiguration(size_t aServices, size_t aShards, size_t aDataCentres)
{
  Configuration configuration{ .m_generation = 1 };
  for (size_t service = 0; service < aServices; ++service) {
    ServiceConfig config{ .m_name = ServiceName(absl::StrCat("svc", service)),
                          .m_group =
                            GroupName(absl::StrCat("g", service % 4)) };
    for (size_t shard = 0; shard < aShards; ++shard) {
      ShardConfig shardConfig{ .m_name = ShardName(absl::StrCat("s", shard)) };
      for (size_t replica = 0; replica < 2; ++replica) {
        const size_t dataCentre = (service + shard + replica) % aDataCentres;
        shardConfig.m_replicas.push_back(
          { .m_id =
              UpstreamId(absl::StrCat("u", service, "-", shard, "-", replica)),
            .m_dataCentre = DataCentre(absl::StrCat("dc", dataCentre)) });
      }
      config.m_shards.push_back(std::move(shardConfig));
    }
    configuration.m_services.push_back(std::move(config));
  }
  return configuration;
}

std::vector<UpstreamConfig>
AllUpstreams(const Configuration& aConfiguration)
{
  std::vector<UpstreamConfig> upstreams;
  for (const ServiceConfig& service : aConfiguration.m_services) {
    for (const ShardConfig& shard : service.m_shards) {
      upstreams.insert(
        upstreams.end(), shard.m_replicas.begin(), shard.m_replicas.end());
    }
  }
  return upstreams;
}

size_t
CountMoved(const Configuration& aConfiguration,
           const OwnerMap& aBefore,
           const OwnerMap& aAfter)
{
  const auto upstreams = AllUpstreams(aConfiguration);
  return static_cast<size_t>(
    std::ranges::count_if(upstreams, [&](const UpstreamConfig& aUpstream) {
      return aBefore.OwnerOf(aUpstream.m_id) != aAfter.OwnerOf(aUpstream.m_id);
    }));
}

DOCTEST_TEST_CASE(
  "an upstream is owned in its own data centre, and no instance "
  "exceeds the load bound")
{
  DOCTEST_CHECK(rc::check([] {
    const auto dataCentres = *rc::gen::inRange<size_t>(1, 5);
    const auto instances = *rc::gen::inRange<size_t>(dataCentres, 40);
    const auto services = *rc::gen::inRange<size_t>(1, 20);
    const auto shards = *rc::gen::inRange<size_t>(1, 12);
    const auto fleet = MakeFleet(instances, dataCentres);
    const auto configuration = MakeConfiguration(services, shards, dataCentres);
    const OwnerMap owners = BuildOwnerMap(configuration, fleet);
    std::map<DataCentre, size_t> upstreamsIn;
    std::map<DataCentre, size_t> instancesIn;
    for (const UpstreamConfig& upstream : AllUpstreams(configuration)) {
      ++upstreamsIn[upstream.m_dataCentre];
      const auto owner = std::ranges::find(
        fleet, owners.OwnerOf(upstream.m_id), &InstanceRecord::m_id);
      RC_ASSERT(owner != fleet.end());
      RC_ASSERT(owner->m_dataCentre == upstream.m_dataCentre);
    }
    for (const InstanceRecord& record : fleet) {
      ++instancesIn[record.m_dataCentre];
    }
    // A unit is never divided, so a single unit may exceed the bound.
    constexpr size_t kLargestUnit = 4 * kUpstreamsPerUnit;
    for (const InstanceRecord& record : fleet) {
      const double share =
        static_cast<double>(upstreamsIn[record.m_dataCentre]) /
        static_cast<double>(instancesIn[record.m_dataCentre]);
      const auto bound = static_cast<size_t>(std::ceil(share * kLoadBound));
      RC_ASSERT(owners.OwnedBy(record.m_id).size() <=
                std::max(bound, kLargestUnit));
    }
  }));
}

DOCTEST_TEST_CASE("the map does not depend on the order of the records")
{
  DOCTEST_CHECK(rc::check([] {
    auto fleet = MakeFleet(*rc::gen::inRange<size_t>(1, 20), 3);
    const auto configuration = MakeConfiguration(6, 6, 3);
    const OwnerMap before = BuildOwnerMap(configuration, fleet);
    std::ranges::reverse(fleet);
    const OwnerMap after = BuildOwnerMap(configuration, fleet);
    RC_ASSERT(CountMoved(configuration, before, after) == 0U);
  }));
}

DOCTEST_TEST_CASE("few upstreams move when an instance leaves")
{
  // The load bound makes units of other instances move too. A tighter bound
  // moves more.
  constexpr double kMaxMovedShares = 5.0;
  // The current fleet and a part of the planned one. The mean is taken over all
  // instances that can leave, in shares of the load of one instance.
  for (const size_t count : { size_t{ 15 }, size_t{ 60 } }) {
    const auto configuration = MakeConfiguration(count * 2, 2, 3);
    const auto fleet = MakeFleet(count, 3);
    const OwnerMap before = BuildOwnerMap(configuration, fleet);
    size_t moved = 0;
    for (size_t gone = 0; gone < count; ++gone) {
      auto rest = fleet;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(gone));
      moved +=
        CountMoved(configuration, before, BuildOwnerMap(configuration, rest));
    }
    const double meanMoved =
      static_cast<double>(moved) / static_cast<double>(count);
    const double share =
      static_cast<double>(before.size()) / static_cast<double>(count);
    DOCTEST_MESSAGE("instances ", count, ": moved shares ", meanMoved / share);
    DOCTEST_CHECK(meanMoved / share < kMaxMovedShares);
  }
}

DOCTEST_TEST_CASE("the upstreams of a group in a data centre have few owners")
{
  const auto configuration = MakeConfiguration(40, 2, 3);
  const auto fleet = MakeFleet(60, 3);
  const OwnerMap owners = BuildOwnerMap(configuration, fleet);
  std::set<InstanceId> ownersOfGroup;
  size_t upstreams = 0;
  for (const ServiceConfig& service : configuration.m_services) {
    if (service.m_group != GroupName("g0")) {
      continue;
    }
    for (const ShardConfig& shard : service.m_shards) {
      for (const UpstreamConfig& upstream : shard.m_replicas) {
        ownersOfGroup.insert(owners.OwnerOf(upstream.m_id));
        ++upstreams;
      }
    }
  }
  DOCTEST_CHECK(upstreams == 40);
  DOCTEST_CHECK(ownersOfGroup.size() <= upstreams / 2);
}

DOCTEST_TEST_CASE("leaving, joining, dead and withdrawn instances own nothing "
                  "while other instances are left")
{
  const auto configuration = [] {
    Configuration made = MakeConfiguration(4, 4, 3);
    made.m_withdrawnDataCentres.insert(DataCentre("dc2"));
    return made;
  }();
  auto fleet = MakeFleet(9, 3);
  fleet[0].m_state = InstanceState::kLeaving;
  fleet[1].m_state = InstanceState::kJoining;
  fleet[3].m_state = InstanceState::kDead;
  const OwnerMap owners = BuildOwnerMap(configuration, fleet);
  const std::set<InstanceId> eligible{ fleet[4].m_id,
                                       fleet[6].m_id,
                                       fleet[7].m_id };
  for (const UpstreamConfig& upstream : AllUpstreams(configuration)) {
    DOCTEST_CHECK(eligible.contains(owners.OwnerOf(upstream.m_id)));
  }
}

DOCTEST_TEST_CASE("upstreams of a data centre without instances are owned in "
                  "its region, else anywhere")
{
  const auto configuration = MakeConfiguration(4, 4, 4);
  // Region r0 has dc0 and dc2; r1 has dc1 and dc3.
  auto fleet = MakeFleet(8, 4);
  for (InstanceRecord& record : fleet) {
    if (record.m_dataCentre == DataCentre("dc0")) {
      record.m_state = InstanceState::kDead;
    }
  }
  const OwnerMap owners = BuildOwnerMap(configuration, fleet);
  for (const UpstreamConfig& upstream : AllUpstreams(configuration)) {
    const auto owner = std::ranges::find(
      fleet, owners.OwnerOf(upstream.m_id), &InstanceRecord::m_id);
    const bool fromEmpty = upstream.m_dataCentre == DataCentre("dc0");
    const DataCentre expected =
      fromEmpty ? DataCentre("dc2") : upstream.m_dataCentre;
    DOCTEST_CHECK(owner->m_dataCentre == expected);
  }
  const std::vector<InstanceRecord> one{ MakeInstance(1, 4) };
  const OwnerMap alone = BuildOwnerMap(configuration, one);
  DOCTEST_CHECK(alone.OwnedBy(one[0].m_id).size() ==
                AllUpstreams(configuration).size());
  DOCTEST_CHECK(
    BuildOwnerMap(configuration, {}).OwnerOf(UpstreamId("u0-0-0")).empty());
}

DOCTEST_TEST_CASE(
  "ranked owners begin with the owner and contain no duplicates")
{
  const auto configuration = MakeConfiguration(4, 4, 3);
  const auto fleet = MakeFleet(12, 3);
  const OwnerMap owners = BuildOwnerMap(configuration, fleet);
  for (const UpstreamConfig& upstream : AllUpstreams(configuration)) {
    const auto ranked = owners.RankedOwners(upstream.m_id, 3);
    DOCTEST_REQUIRE(ranked.size() == 3);
    DOCTEST_CHECK(ranked[0] == owners.OwnerOf(upstream.m_id));
    DOCTEST_CHECK(std::set(ranked.begin(), ranked.end()).size() == 3);
  }
  DOCTEST_CHECK(owners.RankedOwners(UpstreamId("none"), 3).empty());
}

} // namespace
} // namespace ebonykeel
