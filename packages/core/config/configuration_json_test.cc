#include "core/config/configuration_json.h"

#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace ebonykeel {
namespace {

using nlohmann::json;

ServiceConfig
ArbitraryService(int aNumber)
{
  ServiceConfig service;
  std::string name = "service-" + std::to_string(aNumber);
  service.m_name = ServiceName(name);
  service.m_group = GroupName("g" + std::to_string(*rc::gen::inRange(0, 3)));
  service.m_indexVersion = *rc::gen::inRange<IndexVersion>(1, 1ULL << 62);
  service.m_slots = *rc::gen::inRange(1, 64);
  service.m_connectionLimit = *rc::gen::inRange(64, 65536);
  service.m_connectTime = Milliseconds(*rc::gen::inRange(0, 10));
  service.m_deadline = Milliseconds(*rc::gen::inRange(1, 60'000));
  service.m_preference =
    *rc::gen::element(Preference::kCoverage, Preference::kLatency);
  service.m_sufficientCoverage = *rc::gen::inRange(1, 1000) / 999.0;
  service.m_target.m_objective = *rc::gen::inRange(1, 1000) / 1000.0;
  service.m_onceOperations = { "file" };
  int shards = *rc::gen::inRange(1, 4);
  for (int i = 0; i < shards; ++i) {
    std::string id = name + "-" + std::to_string(i);
    UpstreamConfig upstream{ UpstreamId(id),
                             "10.0.0.1",
                             *rc::gen::inRange<uint16_t>(1, 65535),
                             DataCentre("oviedo") };
    service.m_shards.push_back(
      { ShardName("s" + std::to_string(i)), { upstream } });
  }
  return service;
}

Configuration
ArbitraryConfiguration()
{
  Configuration configuration;
  configuration.m_generation = *rc::gen::inRange<Generation>(0, 1ULL << 62);
  configuration.m_changeId = *rc::gen::element("", "a \"quoted\" id", "é\n");
  configuration.m_author = "maite";
  configuration.m_summary = "publish";
  int services = *rc::gen::inRange(0, 5);
  for (int i = 0; i < services; ++i) {
    configuration.m_services.push_back(ArbitraryService(i));
  }
  if (*rc::gen::arbitrary<bool>()) {
    configuration.m_withdrawnDataCentres = { DataCentre("bilbao"),
                                             DataCentre("oviedo") };
    configuration.m_drainedUpstreams = { UpstreamId("service-0-0") };
    configuration.m_history = { { 3, "c1", "maite", "publish", 1'700'000 } };
  }
  return configuration;
}

Configuration
Example()
{
  Configuration configuration;
  configuration.m_generation = 7;
  ServiceConfig service;
  service.m_name = ServiceName("a");
  service.m_group = GroupName("g");
  service.m_indexVersion = 3;
  service.m_shards = {
    { ShardName("s0"),
      { { UpstreamId("u0"), "10.0.0.1", 1, DataCentre("oviedo") } } }
  };
  configuration.m_services.push_back(service);
  service.m_name = ServiceName("b");
  service.m_shards[0].m_replicas[0].m_id = UpstreamId("u1");
  configuration.m_services.push_back(service);
  return configuration;
}

absl::Status
StatusOf(const json& aJson)
{
  return DecodeConfiguration(aJson.dump()).status();
}

DOCTEST_TEST_CASE("decoding an encoded configuration returns it unchanged")
{
  DOCTEST_CHECK(rc::check("round trip", [] {
    Configuration configuration = ArbitraryConfiguration();
    std::string text = EncodeConfiguration(configuration);
    absl::StatusOr<Configuration> decoded = DecodeConfiguration(text);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == configuration);
    RC_ASSERT(EncodeConfiguration(*decoded) == text);
  }));
}

DOCTEST_TEST_CASE(
  "a truncated body is rejected and a decodable corrupted one round-trips")
{
  std::string text = EncodeConfiguration(Example());
  for (size_t length = 0; length < text.size(); ++length) {
    DOCTEST_CHECK(!DecodeConfiguration(text.substr(0, length)).ok());
  }
  DOCTEST_CHECK(rc::check("one byte changed", [&] {
    std::string changed = text;
    changed[*rc::gen::inRange<size_t>(0, text.size())] =
      *rc::gen::arbitrary<char>();
    absl::StatusOr<Configuration> decoded = DecodeConfiguration(changed);
    if (!decoded.ok()) {
      return;
    }
    absl::StatusOr<Configuration> again =
      DecodeConfiguration(EncodeConfiguration(*decoded));
    RC_ASSERT(again.ok());
    RC_ASSERT(*again == *decoded);
  }));
}

DOCTEST_TEST_CASE("keys that are missing, unknown or out of range are rejected")
{
  json good = json::parse(EncodeConfiguration(Example()));
  DOCTEST_REQUIRE(StatusOf(good).ok());
  for (const auto& entry : good.items()) {
    std::string key = entry.key();
    json changed = good;
    changed.erase(key);
    DOCTEST_CAPTURE(key);
    DOCTEST_CHECK(absl::IsInvalidArgument(StatusOf(changed)));
    changed[key] = { { "a", nullptr } };
    DOCTEST_CHECK(absl::IsInvalidArgument(StatusOf(changed)));
  }
  for (const auto& entry : good["services"][0].items()) {
    std::string key = entry.key();
    json changed = good;
    changed["services"][0][key] = -1;
    DOCTEST_CAPTURE(key);
    DOCTEST_CHECK(absl::IsInvalidArgument(StatusOf(changed)));
  }
  json changed = good;
  changed["colour"] = "red";
  DOCTEST_CHECK(StatusOf(changed).message() ==
                "configuration.colour is not a known key");
}

DOCTEST_TEST_CASE("duplicate and unsorted names are rejected")
{
  json good = json::parse(EncodeConfiguration(Example()));
  json swapped = good;
  std::swap(swapped["services"][0], swapped["services"][1]);
  DOCTEST_CHECK(absl::IsInvalidArgument(StatusOf(swapped)));
  json repeated = good;
  repeated["services"][1]["shards"] = good["services"][0]["shards"];
  DOCTEST_CHECK(absl::IsInvalidArgument(StatusOf(repeated)));
  json twice = good;
  twice["services"][0]["once"] = { "search" };
  DOCTEST_CHECK(absl::IsInvalidArgument(StatusOf(twice)));
}

DOCTEST_TEST_CASE("history keys sort by generation")
{
  DOCTEST_CHECK(ConfigurationHistoryKey(7) ==
                "config/history/00000000000000000007");
  DOCTEST_CHECK(ConfigurationHistoryKey(9) < ConfigurationHistoryKey(10));
}

} // namespace
} // namespace ebonykeel
