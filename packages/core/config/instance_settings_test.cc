#include "core/config/instance_settings.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr std::string_view kMinimalSettings = R"(id = "entry-01"
data_centre = "oviedo"
[store]
address = "10.0.0.2:8000"
)";

DOCTEST_TEST_CASE("minimal settings use defaults for all other keys")
{
  InstanceSettingsResult result =
    ParseInstanceSettings(kMinimalSettings, "n.toml");
  DOCTEST_REQUIRE_MESSAGE(result.m_settings.has_value(),
                          FormatFindings(result.m_findings));
  const InstanceSettings& settings = *result.m_settings;
  DOCTEST_CHECK(settings.m_id == InstanceId("entry-01"));
  DOCTEST_CHECK(settings.m_region == Region("default"));
  DOCTEST_CHECK(settings.m_platform.m_store == Address{ "10.0.0.2", 8000 });
  DOCTEST_CHECK(settings.m_platform.m_instanceList ==
                settings.m_platform.m_store);
  DOCTEST_CHECK(settings.m_listen.m_peer == Address{ "127.0.0.1", 0 });
}

DOCTEST_TEST_CASE("the values of every table are read")
{
  std::string text =
    std::string(kMinimalSettings) + R"(instance_list = "[::1]:8001"
[listen]
public = "10.0.0.7:8080"
advertise_host = "10.1.0.7"
[timers]
heartbeat_ms = 250
drain_ms = 5000
[limits]
queries = 12
hedge_share = 0.0
[log]
min_level = "error"
verbosity = 2
)";
  InstanceSettingsResult result = ParseInstanceSettings(text, "n.toml");
  DOCTEST_REQUIRE_MESSAGE(result.m_settings.has_value(),
                          FormatFindings(result.m_findings));
  const InstanceSettings& settings = *result.m_settings;
  DOCTEST_CHECK(settings.m_platform.m_instanceList == Address{ "::1", 8001 });
  DOCTEST_CHECK(settings.m_listen.m_public == Address{ "10.0.0.7", 8080 });
  DOCTEST_CHECK(settings.m_listen.m_advertiseHost == "10.1.0.7");
  DOCTEST_CHECK(settings.m_timers.m_heartbeatInterval == Milliseconds(250));
  DOCTEST_CHECK(settings.m_timers.m_drainTimeout == Milliseconds(5000));
  DOCTEST_CHECK(settings.m_limits.m_maxQueries == 12);
  DOCTEST_CHECK(settings.m_limits.m_maxHedgeShare == 0);
  DOCTEST_CHECK(settings.m_log.m_minLevel == 2);
  DOCTEST_CHECK(settings.m_log.m_verbosity == 2);
}

DOCTEST_TEST_CASE("all findings of the settings are reported at once")
{
  InstanceSettingsResult result =
    ParseInstanceSettings(R"(data_centre = "ovi edo"
[listen]
public = "localhost:80"
advertise_host = "10.0.0.7:80"
[timers]
heartbeat_ms = 3000
lease_ms = 0
[limits]
querys = 1
)",
                          "n.toml");
  DOCTEST_CHECK(!result.m_settings);
  std::string text = FormatFindings(result.m_findings);
  DOCTEST_CHECK(
    text ==
    "n.toml:1:1: id: is missing\n"
    "n.toml:1:1: store.address: is missing\n"
    "n.toml:1:15: data_centre: is \"ovi edo\" (allowed: 1 to 128 letters, "
    "digits, '.', '_' or '-', not starting with '.')\n"
    "n.toml:3:10: listen.public: is \"localhost:80\" (allowed: an IP number "
    "and a port, such as \"10.0.0.7:8080\"; port 0 takes any free one)\n"
    "n.toml:4:18: listen.advertise_host: is \"10.0.0.7:80\" (allowed: an IP "
    "number, such as \"10.0.0.7\")\n"
    "n.toml:6:16: timers.heartbeat_ms: is 3000, not under lease_ms of 3000 "
    "(allowed: under 3000)\n"
    "n.toml:7:12: timers.lease_ms: is 0 (allowed: 1 to 3600000)\n"
    "n.toml:9:1: limits.querys: is not a known key (allowed: "
    "hedge_share, queries, request_bytes, upstream_answer_bytes)\n");
}

} // namespace
} // namespace ebonykeel
