#include "core/config/configuration_change.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

const ChangeMetadata kMetadata{ .m_author = "maite", .m_changeId = "c1" };

ServiceConfig
MakeService(const std::string& aName,
            const std::string& aUpstream,
            uint16_t aPort)
{
  ServiceConfig service;
  service.m_name = ServiceName(aName);
  service.m_group = GroupName("g");
  service.m_indexVersion = 1;
  service.m_shards = {
    { ShardName("s0"),
      { { UpstreamId(aUpstream), "10.0.0.1", aPort, DataCentre("oviedo") } } }
  };
  return service;
}

Configuration
ConfigurationWithService()
{
  Publication publication{ .m_services = {
                             { "b.toml", MakeService("b", "ub", 1) } } };
  return *PublishServices(Configuration{}, publication, kMetadata).m_next;
}

std::string
FirstProblem(const ChangeResult& aResult)
{
  DOCTEST_CHECK(!aResult.m_next);
  DOCTEST_REQUIRE(!aResult.m_findings.empty());
  return aResult.m_findings[0].m_problem;
}

DOCTEST_TEST_CASE("publishing adds, replaces and removes services")
{
  Configuration first = ConfigurationWithService();
  DOCTEST_CHECK(first.m_generation == 1);
  DOCTEST_CHECK(first.m_changeId == "c1");
  DOCTEST_CHECK(first.m_summary == "publish 1 services, remove 0");
  ServiceConfig changed = MakeService("b", "ub2", 2);
  Publication both{ .m_services = { { "b.toml", changed },
                                    { "a.toml", MakeService("a", "ua", 3) } } };
  Configuration second = *PublishServices(first, both, kMetadata).m_next;
  DOCTEST_CHECK(second.m_generation == 2);
  DOCTEST_REQUIRE(second.m_services.size() == 2);
  DOCTEST_CHECK(second.m_services[0].m_name == ServiceName("a"));
  DOCTEST_CHECK(second.m_services[1] == changed);
  Publication removal{ .m_removed = { ServiceName("a") } };
  Configuration third = *PublishServices(second, removal, kMetadata).m_next;
  DOCTEST_CHECK(third.m_services.size() == 1);
  DOCTEST_REQUIRE(third.m_history.size() == 3);
  DOCTEST_CHECK(third.m_history.back().m_generation == 3);
  DOCTEST_CHECK(third.m_history.back().m_summary == third.m_summary);
}

DOCTEST_TEST_CASE("a publication that changes nothing is refused")
{
  Publication same{ .m_services = { { "b.toml", MakeService("b", "ub", 1) } } };
  ChangeResult result =
    PublishServices(ConfigurationWithService(), same, kMetadata);
  DOCTEST_CHECK(result.m_refusal == ChangeRefusal::kNoChange);
  DOCTEST_CHECK(FirstProblem(result) ==
                "all of these services are in force already");
}

DOCTEST_TEST_CASE("findings on conflicting services name the published file")
{
  Publication clash{ .m_services = { { "a.toml", MakeService("a", "ub", 1) },
                                     { "c.toml", MakeService("c", "uc", 9) },
                                     { "d.toml", MakeService("c", "uc", 9) } },
                     .m_knownDataCentres = { DataCentre("bilbao") } };
  clash.m_services[0].m_service.m_shards[0].m_replicas[0].m_dataCentre =
    DataCentre("gijon");
  ChangeResult result =
    PublishServices(ConfigurationWithService(), clash, kMetadata);
  DOCTEST_CHECK(result.m_refusal == ChangeRefusal::kInvalid);
  DOCTEST_CHECK(
    FormatFindings(result.m_findings) ==
    "d.toml: name: \"c\" is also described by c.toml\n"
    "a.toml: shard.replicas.data_centre: upstream \"ub\" is in the "
    "unknown data centre \"gijon\" (allowed: bilbao, oviedo)\n"
    "a.toml: shard.replicas: upstream id \"ub\" also belongs to service "
    "\"b\"\n"
    "a.toml: shard.replicas: address \"10.0.0.1:1\" also belongs to "
    "service \"b\"\n");
}

DOCTEST_TEST_CASE("a configuration larger than a store object is refused")
{
  Publication large;
  for (int i = 0; i < 12'000; ++i) {
    std::string name = "service-" + std::to_string(i);
    large.m_services.push_back(
      { name, MakeService(name, name, static_cast<uint16_t>(i + 1)) });
  }
  ChangeResult result = PublishServices(Configuration{}, large, kMetadata);
  DOCTEST_CHECK(result.m_refusal == ChangeRefusal::kInvalid);
  DOCTEST_CHECK(FirstProblem(result).find("over the limit") !=
                std::string::npos);
}

DOCTEST_TEST_CASE("a data centre is withdrawn and restored, once each")
{
  DataCentre oviedo("oviedo");
  Configuration first = ConfigurationWithService();
  Configuration withdrawn =
    *SetDataCentre(first, oviedo, AvailabilityChange::kWithdraw, kMetadata)
       .m_next;
  DOCTEST_CHECK(withdrawn.m_generation == 2);
  DOCTEST_CHECK(withdrawn.m_withdrawnDataCentres.contains(oviedo));
  DOCTEST_CHECK(
    FirstProblem(SetDataCentre(
      withdrawn, oviedo, AvailabilityChange::kWithdraw, kMetadata)) ==
    "\"oviedo\" is out already");
  Configuration restored =
    *SetDataCentre(withdrawn, oviedo, AvailabilityChange::kRestore, kMetadata)
       .m_next;
  DOCTEST_CHECK(restored.m_withdrawnDataCentres.empty());
  DOCTEST_CHECK(restored.m_generation == 3);
  DOCTEST_CHECK(
    SetDataCentre(
      restored, DataCentre("x"), AvailabilityChange::kWithdraw, kMetadata)
      .m_refusal == ChangeRefusal::kNotFound);
  DOCTEST_CHECK(SetDataCentre(restored,
                              DataCentre("x"),
                              AvailabilityChange::kWithdraw,
                              kMetadata,
                              { DataCentre("x") })
                  .m_next.has_value());
}

DOCTEST_TEST_CASE("an upstream is drained and restored, once each")
{
  UpstreamId upstream("ub");
  Configuration first = ConfigurationWithService();
  Configuration drained =
    *SetUpstreamDrained(
       first, upstream, AvailabilityChange::kWithdraw, kMetadata)
       .m_next;
  DOCTEST_CHECK(drained.m_drainedUpstreams.contains(upstream));
  DOCTEST_CHECK(SetUpstreamDrained(
                  drained, upstream, AvailabilityChange::kWithdraw, kMetadata)
                  .m_refusal == ChangeRefusal::kNoChange);
  Configuration restored =
    *SetUpstreamDrained(
       drained, upstream, AvailabilityChange::kRestore, kMetadata)
       .m_next;
  DOCTEST_CHECK(restored.m_drainedUpstreams.empty());
  DOCTEST_CHECK(
    SetUpstreamDrained(
      first, UpstreamId("x"), AvailabilityChange::kWithdraw, kMetadata)
      .m_refusal == ChangeRefusal::kNotFound);
}

DOCTEST_TEST_CASE("a rollback is a new generation and keeps withdrawals")
{
  Configuration first = ConfigurationWithService();
  Publication publication{ .m_services = {
                             { "b.toml", MakeService("b", "ub2", 2) } } };
  Configuration second = *PublishServices(first, publication, kMetadata).m_next;
  Configuration withdrawn =
    *SetDataCentre(
       second, DataCentre("oviedo"), AvailabilityChange::kWithdraw, kMetadata)
       .m_next;
  Configuration rolledBack = *Rollback(withdrawn, first, kMetadata).m_next;
  DOCTEST_CHECK(rolledBack.m_generation == 4);
  DOCTEST_CHECK(rolledBack.m_services == first.m_services);
  DOCTEST_CHECK(rolledBack.m_withdrawnDataCentres ==
                withdrawn.m_withdrawnDataCentres);
  DOCTEST_CHECK(rolledBack.m_summary == "roll back to generation 1");
  DOCTEST_CHECK(Rollback(rolledBack, first, kMetadata).m_refusal ==
                ChangeRefusal::kNoChange);
  DOCTEST_CHECK(Rollback(first, withdrawn, kMetadata).m_refusal ==
                ChangeRefusal::kNotFound);
}

DOCTEST_TEST_CASE("a result that cannot be decoded again is refused")
{
  Publication publication{ .m_services = {
                             { "b.toml", MakeService("b", "ub", 1) } } };
  ChangeMetadata longAuthor = kMetadata;
  longAuthor.m_author = std::string(255, 'a') + "\u00e9";
  ChangeResult cut = PublishServices(Configuration{}, publication, longAuthor);
  DOCTEST_REQUIRE(cut.m_next.has_value());
  DOCTEST_CHECK(cut.m_next->m_author == std::string(255, 'a'));
  ChangeMetadata broken = kMetadata;
  broken.m_author = "\xff";
  ChangeMetadata longId = kMetadata;
  longId.m_changeId = std::string(257, 'i');
  for (const ChangeMetadata& metadata : { broken, longId }) {
    ChangeResult result =
      PublishServices(Configuration{}, publication, metadata);
    DOCTEST_CHECK(result.m_refusal == ChangeRefusal::kInvalid);
    DOCTEST_CHECK(FirstProblem(result).starts_with("would not be read back"));
  }
}

} // namespace
} // namespace ebonykeel
