#include "core/config/service_file.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr std::string_view kFullFile = R"(name = "valuation-03"
group = "valuation"
index_version = 12
slots = 2
connection_limit = 60
connect_time_ms = 6
deadline_ms = 400
preference = "latency"
sufficient_coverage = 0.75

[service_level]
objective = 0.995
latency_ms = 56
coverage = 0.9
window_h = 48

[operations]
idempotent = ["search", "count"]
once = ["file"]

[[shard]]
name = "s0"
replicas = [
  { id = "v03-a", address = "127.0.0.1:9001", data_centre = "oviedo" },
  { id = "v03-b", address = "[::1]:9002", data_centre = "bilbao" },
]
)";

constexpr std::string_view kOneShard = R"(
[[shard]]
name = "s0"
replicas = [ { id = "a", address = "10.0.0.1:1", data_centre = "oviedo" } ]
)";

Findings
FindingsOf(std::string_view aText)
{
  ServiceFileResult result = ParseServiceFile(aText, "f.toml");
  DOCTEST_CHECK(result.m_service.has_value() == result.m_findings.empty());
  return result.m_findings;
}

std::string
FormattedFindings(std::string_view aText)
{
  return FormatFindings(FindingsOf(aText));
}

DOCTEST_TEST_CASE("every key of a service file is read")
{
  ServiceFileResult result = ParseServiceFile(kFullFile, "f.toml");
  DOCTEST_REQUIRE_MESSAGE(result.m_service.has_value(),
                          FormatFindings(result.m_findings));
  const ServiceConfig& service = *result.m_service;
  DOCTEST_CHECK(service.m_name == ServiceName("valuation-03"));
  DOCTEST_CHECK(service.m_group == GroupName("valuation"));
  DOCTEST_CHECK(service.m_indexVersion == 12);
  DOCTEST_CHECK(service.m_connectionLimit == 60);
  DOCTEST_CHECK(service.m_connectTime == Milliseconds(6));
  DOCTEST_CHECK(service.m_deadline == Milliseconds(400));
  DOCTEST_CHECK(service.m_preference == Preference::kLatency);
  DOCTEST_CHECK(service.m_sufficientCoverage == 0.75);
  DOCTEST_CHECK(service.m_target.m_objective == 0.995);
  DOCTEST_CHECK(service.m_target.m_window == std::chrono::hours(48));
  DOCTEST_CHECK(service.m_idempotentOperations.size() == 2);
  DOCTEST_CHECK(service.m_onceOperations == std::vector<std::string>{ "file" });
  DOCTEST_REQUIRE(service.m_shards.size() == 1);
  DOCTEST_CHECK(
    service.m_shards[0].m_replicas[1] ==
    UpstreamConfig{ UpstreamId("v03-b"), "::1", 9002, DataCentre("bilbao") });
}

DOCTEST_TEST_CASE("missing keys take their defaults")
{
  std::string text = std::string("name = \"x\"\nindex_version = 1\n") +
                     "deadline_ms = 20\n" + std::string(kOneShard);
  ServiceFileResult result = ParseServiceFile(text, "f.toml");
  DOCTEST_REQUIRE_MESSAGE(result.m_service.has_value(),
                          FormatFindings(result.m_findings));
  DOCTEST_CHECK(result.m_service->m_group == GroupName("x"));
  DOCTEST_CHECK(result.m_service->m_target.m_latency == Milliseconds(20));
  DOCTEST_CHECK(result.m_service->m_idempotentOperations ==
                std::vector<std::string>{ "search" });
}

DOCTEST_TEST_CASE("a syntax error is reported with its position")
{
  Findings findings = FindingsOf("name = \"x\"\nslots = = 2\n");
  DOCTEST_REQUIRE(findings.size() == 1);
  DOCTEST_CHECK(findings[0].m_place.m_line == 2);
  DOCTEST_CHECK(findings[0].m_problem.starts_with("is no TOML"));
}

DOCTEST_TEST_CASE("all findings are reported at once, sorted by position")
{
  DOCTEST_CHECK(FormattedFindings(R"(name = 3
colour = "red"
slots = 70
connection_limit = 60
deadline_ms = 20
preference = "speed"
[service_level]
objective = 1.0
latency_ms = 30
[operations]
idempotent = ["file"]
once = ["file"]
[[shard]]
name = "s0"
replicas = [ { id = "a", address = "localhost:1", data_centre = "o" } ]
[[shard]]
name = "s0"
replicas = [ { id = "a", address = "10.0.0.1:0", data_centre = 7 } ]
[[shard]]
name = "s1"
replicas = []
)") == "f.toml:1:1: index_version: is missing\n"
       "f.toml:1:8: name: is an integer (allowed: a string)\n"
       "f.toml:2:1: colour: is not a known key (allowed: "
       "connect_time_ms, connection_limit, deadline_ms, group, "
       "index_version, name, operations, preference, service_level, "
       "shard, slots, sufficient_coverage)\n"
       "f.toml:3:9: slots: is 70, over connection_limit (allowed: at "
       "most 60)\n"
       "f.toml:6:14: preference: is \"speed\" (allowed: \"coverage\" "
       "or \"latency\")\n"
       "f.toml:8:13: service_level.objective: is 1 (allowed: over 0 "
       "to under 1)\n"
       "f.toml:9:14: service_level.latency_ms: is 30, over "
       "deadline_ms (allowed: at most 20)\n"
       "f.toml:12:9: operations.once: repeats the operation \"file\" "
       "of line 11 (allowed: each once)\n"
       "f.toml:15:36: shard[0].replicas[0].address: is "
       "\"localhost:1\" (allowed: an IP number and a port, such as "
       "\"10.0.0.7:9001\")\n"
       "f.toml:17:8: shard[1].name: repeats the shard name \"s0\" of "
       "line 14 (allowed: each once)\n"
       "f.toml:18:21: shard[1].replicas[0].id: repeats the upstream "
       "id \"a\" of line 15 (allowed: each once)\n"
       "f.toml:18:36: shard[1].replicas[0].address: is "
       "\"10.0.0.1:0\" (allowed: an IP number and a port, such as "
       "\"10.0.0.7:9001\")\n"
       "f.toml:18:64: shard[1].replicas[0].data_centre: is an "
       "integer (allowed: a string)\n"
       "f.toml:21:12: shard[2].replicas: is empty (allowed: at least "
       "one table)\n");
}

DOCTEST_TEST_CASE("an address that two upstream ids share is reported")
{
  std::string text = std::string("name = \"x\"\nindex_version = 1\n") +
                     std::string(kOneShard) + R"([[shard]]
name = "s1"
replicas = [ { id = "b", address = "10.0.0.1:1", data_centre = "oviedo" } ]
)";
  DOCTEST_CHECK(FormattedFindings(text).find("repeats the address") !=
                std::string::npos);
}

DOCTEST_TEST_CASE("a file without shards is reported")
{
  DOCTEST_CHECK(FormattedFindings("name = \"x\"\nindex_version = 1\n") ==
                "f.toml:1:1: shard: is missing\n");
}

DOCTEST_TEST_CASE("values out of range or of the wrong type are reported")
{
  std::string head = "name = \"x\"\nindex_version = 1\n";
  std::ranges::for_each(
    std::initializer_list<std::string_view>{ "slots = 0",
                                             "slots = 2.0",
                                             "slots = \"2\"",
                                             "connection_limit = 70000",
                                             "deadline_ms = -1",
                                             "sufficient_coverage = 0",
                                             "sufficient_coverage = nan",
                                             "group = \"a b\"",
                                             "group = \"../x\"" },
    [&](std::string_view aLine) {
      std::string text =
        head + std::string(aLine) + "\n" + std::string(kOneShard);
      DOCTEST_CAPTURE(text);
      Findings findings = FindingsOf(text);
      DOCTEST_REQUIRE(findings.size() == 1);
      DOCTEST_CHECK(findings[0].m_place.m_line == 3);
      DOCTEST_CHECK(!findings[0].m_allowed.empty());
    });
}

} // namespace
} // namespace ebonykeel
