#include <doctest/doctest.h>

#include <algorithm>

#include "load/experiment.h"

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("all parts of an experiment file are parsed")
{
  Findings findings;
  Experiment experiment = ParseExperiment(R"(
name = "stragglers"
nodes = ["127.0.0.1:8080", "127.0.0.1:8081"]
duration_s = 2.5
rate = 300
arrivals = "constant"
[query]
group = "desk"
deadline_ms = 56
[filing]
share = 0.1
services = ["office"]
[[fault]]
at_s = 2
url = "127.0.0.1:9000/standin/faults"
[[fault]]
at_s = 1
url = "127.0.0.1:9000/standin/faults?id=a"
body = '{"cold":true}'
)",
                                          "x.toml",
                                          findings);
  DOCTEST_CHECK_MESSAGE(findings.empty(), FormatFindings(findings));
  DOCTEST_CHECK(experiment.m_instances.size() == 2);
  DOCTEST_CHECK(experiment.m_duration == Milliseconds(2500));
  DOCTEST_CHECK(experiment.m_query.m_deadline == Milliseconds(56));
  DOCTEST_REQUIRE(experiment.m_faults.size() == 2);
  DOCTEST_CHECK(experiment.m_faults[0].m_at == Seconds(1));
  DOCTEST_CHECK(experiment.m_faults[0].m_path == "/standin/faults");
  DOCTEST_CHECK(experiment.m_faults[0].m_query == "id=a");
}

DOCTEST_TEST_CASE("all errors of an experiment file are reported at once")
{
  Findings findings;
  (void)ParseExperiment(R"(
nodes = ["nowhere"]
rate = -1
arrivals = "sometimes"
speed = 3
[filing]
share = 0.5
[[fault]]
url = "x"
)",
                        "x.toml",
                        findings);
  for (const char* key :
       { "nodes", "rate", "arrivals", "speed", "query", "filing", "url" }) {
    DOCTEST_CHECK_MESSAGE(
      std::ranges::count(findings, key, &Finding::m_key) > 0, key);
  }
  DOCTEST_CHECK(findings[0].m_place.m_line > 0);
}

} // namespace
} // namespace ebonykeel
