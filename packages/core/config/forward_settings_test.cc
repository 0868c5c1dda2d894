#include "core/config/forward_settings.h"

#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

std::string
ValidSettings()
{
  return R"(mode = "forward"
id = "front-1"
data_centre = "north"
host = "10.0.0.1"
seeds = "10.0.0.2:70,10.0.0.3"
first_start = true
processor_share = 0.17
processor_speed = 2

[listen]
callers = "10.0.0.1:80"
directory = "10.0.0.1:81"
readiness = "10.0.0.1:82"
peer_port = 90

[store]
address = "10.9.0.1:99"

[forward]
extra_share = 0.2
extra_burst = 126
extra_window_ms = 5000
grace_ms = 6000
)";
}

DOCTEST_TEST_CASE("a complete file is read")
{
  DOCTEST_CHECK(IsForwardMode(ValidSettings()));
  ForwardSettingsResult result =
    ParseForwardSettings(ValidSettings(), "node.toml");
  DOCTEST_REQUIRE(result.m_settings.has_value());
  const ForwardSettings& settings = *result.m_settings;
  DOCTEST_CHECK(settings.m_seeds ==
                std::vector<std::string>{ "10.0.0.2", "10.0.0.3" });
  DOCTEST_CHECK(settings.m_processors == doctest::Approx(0.34));
  DOCTEST_CHECK(settings.m_listen.m_callers.m_port == 80);
  DOCTEST_CHECK(settings.m_firstStart);
  DOCTEST_CHECK(settings.m_extraBurst == 126);
  DOCTEST_CHECK(settings.m_extraWindow == Seconds(5));
  DOCTEST_CHECK(settings.m_stopTimeout == Seconds(6));
}

// Guards against quotas or roll-outs in deployments that do not ask for them.
DOCTEST_TEST_CASE("without their tables, quotas and roll-outs are off")
{
  ForwardSettingsResult result =
    ParseForwardSettings(ValidSettings(), "node.toml");
  DOCTEST_REQUIRE(result.m_settings.has_value());
  DOCTEST_CHECK_FALSE(result.m_settings->m_quota.has_value());
  DOCTEST_CHECK_FALSE(result.m_settings->m_rollout.has_value());
  DOCTEST_CHECK(result.m_settings->m_placement == PlacementPolicy::kLatency);
}

DOCTEST_TEST_CASE("quotas, roll-outs and placement are read")
{
  ForwardSettingsResult result =
    ParseForwardSettings(ValidSettings() + "placement = \"work\"\n"
                                           "[quota]\n"
                                           "data_centres = \"a,b,c,\"\n"
                                           "window_ms = 4000\n"
                                           "overage = 0.2\n"
                                           "slack = 30\n"
                                           "[rollout]\n"
                                           "exposure_share = 0.05\n"
                                           "exposure_slack = 40\n"
                                           "rollback_ms = 3000\n",
                         "node.toml");
  DOCTEST_REQUIRE(result.m_settings.has_value());
  const ForwardSettings& settings = *result.m_settings;
  DOCTEST_CHECK(settings.m_placement == PlacementPolicy::kWork);
  DOCTEST_REQUIRE(settings.m_quota.has_value());
  DOCTEST_CHECK(settings.m_quota->m_dataCentres.size() == 3);
  DOCTEST_CHECK(settings.m_quota->m_window == Seconds(4));
  DOCTEST_CHECK(settings.m_quota->m_overage == doctest::Approx(0.2));
  DOCTEST_CHECK(settings.m_quota->m_slack == doctest::Approx(30));
  DOCTEST_REQUIRE(settings.m_rollout.has_value());
  DOCTEST_CHECK(settings.m_rollout->m_exposureShare == doctest::Approx(0.05));
  DOCTEST_CHECK(settings.m_rollout->m_exposureSlack == doctest::Approx(40));
  DOCTEST_CHECK(settings.m_rollout->m_rollbackTime == Seconds(3));
}

DOCTEST_TEST_CASE("every finding is reported with its position")
{
  ForwardSettingsResult result = ParseForwardSettings(
    "mode = \"forward\"\nid = \"\"\nhost = \"nowhere\"\n", "node.toml");
  DOCTEST_CHECK_FALSE(result.m_settings.has_value());
  std::string text = FormatFindings(result.m_findings);
  for (const char* key : { "id", "host", "data_centre", "listen", "store" }) {
    DOCTEST_CHECK(text.find(key) != std::string::npos);
  }
  DOCTEST_CHECK(text.find("node.toml:3:") != std::string::npos);
}

DOCTEST_TEST_CASE("an unknown key is reported as a finding")
{
  ForwardSettingsResult result =
    ParseForwardSettings(ValidSettings() + "hedgin = true\n", "node.toml");
  DOCTEST_CHECK_FALSE(result.m_settings.has_value());
}

DOCTEST_TEST_CASE("a file without a mode and invalid TOML are not forward mode")
{
  DOCTEST_CHECK_FALSE(IsForwardMode("id = \"entry-01\"\n"));
  DOCTEST_CHECK_FALSE(IsForwardMode("not toml at all ["));
}

} // namespace
} // namespace ebonykeel
