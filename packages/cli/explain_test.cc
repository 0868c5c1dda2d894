#include "cli/explain.h"

#include <doctest/doctest.h>

namespace ebonykeel::cli {
namespace {

constexpr const char* kLog =
  "ms=100 EK1301 configuration_in_force generation=7 author=\"\" "
  "summary=\"18 routes, revision 64\"\n"
  "ms=900 EK1902 replica_unreachable replica=i-2 outcome=not-sent\n"
  "ms=1000 EK1901 forward_ended request=q1 route=r version=7 status=partial "
  "outcome=sent reason=early missing=1 remaining_ms=590 took_ms=52 "
  "replicas_age_ms=274 "
  "sends=0:i-1:first:success:0:17,1:i-2:first:open:0:52,1:i-3:hedge:open:30:"
  "22\n"
  "ms=1200 EK1901 forward_ended request=q2 route=r version=7 status=refused "
  "outcome=not-run reason=no-replica missing=2 took_ms=0 sends=\n"
  "ms=1300 EK1901 forward_ended request=q3 status=whole reason=complete "
  "missing=0 took_ms=90 "
  "sends=1:i-2:first:open:0:90,1:i-1:hedge:success:30:20\n";

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

DOCTEST_TEST_CASE("a log line is parsed into source, time, event and fields")
{
  auto line = ParseLogLine(
    "  34.9409 front-1 ms=12 EK1301 configuration_in_force generation=7 "
    "summary=\"18 routes, x\" author=\"\"",
    "log");
  DOCTEST_REQUIRE(line.has_value());
  DOCTEST_CHECK(line->m_source == "front-1");
  DOCTEST_CHECK(line->m_uptimeMs == 12);
  DOCTEST_CHECK(line->m_event == "configuration_in_force");
  DOCTEST_CHECK(line->m_fields["summary"] == "18 routes, x");
  DOCTEST_CHECK(line->m_fields["author"].empty());
  DOCTEST_CHECK(line->m_fields["generation"] == "7");
  DOCTEST_CHECK_FALSE(ParseLogLine("no event at all", "log").has_value());
  DOCTEST_CHECK_FALSE(ParseLogLine("ms=1", "log").has_value());
}

DOCTEST_TEST_CASE("a refusal for overload is explained")
{
  std::vector<LogText> logs{
    { "node-1.log",
      "ms=1200 EK1901 forward_ended request=q4 route=r status=refused "
      "outcome=not-run reason=overloaded missing=20 took_ms=0 sends=\n" }
  };
  DOCTEST_CHECK(Contains(ExplainRequest("q4", logs).m_text,
                         "not expected to answer before its deadline"));
}

DOCTEST_TEST_CASE("a partial answer is explained by its late upstreams")
{
  std::vector<LogText> logs{ { "node-1.log", kLog } };
  Explanation explanation = ExplainRequest("q1", logs);
  DOCTEST_CHECK(explanation.m_found);
  DOCTEST_CHECK(Contains(explanation.m_text, "request q1 at node-1.log"));
  DOCTEST_CHECK(
    Contains(explanation.m_text, "with 1 shards still outstanding"));
  DOCTEST_CHECK(
    Contains(explanation.m_text,
             "sub-request 1: first to i-2 at 0 ms: open after 52 ms"));
  DOCTEST_CHECK_FALSE(Contains(explanation.m_text, "sub-request 0"));
  DOCTEST_CHECK(Contains(explanation.m_text, "replica_unreachable"));
  DOCTEST_CHECK(
    Contains(explanation.m_text, "i-2 did not answer 1 other requests"));
}

DOCTEST_TEST_CASE("the explanation of a refusal includes its reason")
{
  std::vector<LogText> logs{ { "node-1.log", kLog } };
  DOCTEST_CHECK(Contains(ExplainRequest("q2", logs).m_text,
                         "too few upstreams are registered and reachable"));
}

DOCTEST_TEST_CASE("the explanation of a refused key says that nothing ran")
{
  std::vector<LogText> logs{
    { "log",
      "ms=5 EK1906 access_refused request=q1 route=r version=7 "
      "reason=missing-key status=401\n"
      "ms=6 EK1906 access_refused request=q2 route=r version=7 "
      "reason=unknown-key status=401\n"
      "ms=7 EK1906 access_refused request=q3 route=r version=7 "
      "reason=unknown-key status=503\n" }
  };
  DOCTEST_CHECK(Contains(ExplainRequest("q1", logs).m_text,
                         "401, not run: the request had no key"));
  DOCTEST_CHECK(Contains(ExplainRequest("q2", logs).m_text,
                         "401, not run: the configuration in force does not "
                         "contain its key"));
  DOCTEST_CHECK(Contains(ExplainRequest("q3", logs).m_text, "503, not run"));
}

DOCTEST_TEST_CASE("a request that no line names is reported as not found")
{
  std::vector<LogText> logs{ { "node-1.log", kLog } };
  Explanation explanation = ExplainRequest("q9", logs);
  DOCTEST_CHECK_FALSE(explanation.m_found);
  DOCTEST_CHECK(Contains(explanation.m_text, "no line names request q9"));
}

DOCTEST_TEST_CASE("a truncated line is reported as truncated")
{
  std::vector<LogText> logs{
    { "log",
      "ms=5 EK1901 forward_ended request=q1 status=whole "
      "sends=0:i-1:first:success:0:17,1:i-2:fir" }
  };
  DOCTEST_CHECK(
    Contains(ExplainRequest("q1", logs).m_text, "the line was truncated"));
}

DOCTEST_TEST_CASE("upstreams that were set aside are named as a cause")
{
  std::vector<LogText> logs{
    { "node-1.log",
      "ms=100 EK1208 replica_suspended replica=i-1 service=s0 cause=leaving\n"
      "ms=110 EK1208 replica_suspended replica=i-2 service=s1 "
      "cause=retry-after asked_ms=500 applied_ms=520\n"
      "ms=120 EK1208 replica_suspended replica=i-3 service=s1 "
      "cause=retry-after asked_ms=500 applied_ms=520\n"
      "ms=640 EK1209 replica_resumed replica=i-2 cause=time-over\n"
      "ms=650 EK1901 forward_ended request=q5 route=r status=refused "
      "outcome=not-run reason=pushed-back missing=2 took_ms=0 sends=\n"
      "ms=700 EK1208 replica_suspended replica=i-4 service=s1 "
      "cause=leaving\n" }
  };
  std::string text = ExplainRequest("q5", logs).m_text;
  DOCTEST_CHECK(Contains(text, "asked this instance for no requests"));
  DOCTEST_CHECK(Contains(text,
                         "2 upstreams were set aside then: i-1 (s0, leaving) "
                         "i-3 (s1, retry-after)"));
}

// Guards against a story without its cause: after a restore of the store a
// request may meet an upstream or a version that the copy has or lacks.
DOCTEST_TEST_CASE("a restore of the store shortly before is named")
{
  std::string restore =
    "ms=1000 EK1410 store_era_changed era=4\n"
    "ms=1100 EK1416 feed_era_entered kind=replicas era=4 revision=9 "
    "retained=1\n"
    "ms=2000 EK1416 feed_era_entered kind=replicas era=5 revision=7 "
    "retained=0\n"
    "ms=2100 EK1416 feed_era_entered kind=exclusions era=5 revision=7 "
    "retained=0\n";
  std::string source = "front-1";
  std::string end = "2500";
  std::string story;
  DOCTEST_SUBCASE("the latest era and its first line count")
  {
    story = "  500 ms before, this instance noticed that the store came back "
            "from a copy (era 5)\n";
  }
  DOCTEST_SUBCASE("an era that an answer stated is not entered yet")
  {
    end = "1050";
  }
  DOCTEST_SUBCASE("a line of one kind is enough")
  {
    end = "1150";
    story = "  50 ms before, this instance noticed that the store came back "
            "from a copy (era 4)\n";
  }
  DOCTEST_SUBCASE("at the end of the window")
  {
    end = "17000";
    story = "  15000 ms before, ";
  }
  DOCTEST_SUBCASE("after the window")
  {
    end = "17101";
  }
  DOCTEST_SUBCASE("before the restore")
  {
    end = "999";
  }
  DOCTEST_SUBCASE("on another instance")
  {
    source = "front-2";
  }
  std::vector<LogText> logs{
    { "front-1", restore },
    { source,
      "ms=" + end +
        " EK1901 forward_ended request=q6 status=whole missing=0 sends=\n" }
  };
  std::string text = ExplainRequest("q6", logs).m_text;
  DOCTEST_CHECK(Contains(text, "request q6 at"));
  DOCTEST_CHECK(Contains(text, "came back from a copy") != story.empty());
  DOCTEST_CHECK(Contains(text, story));
}

} // namespace
} // namespace ebonykeel::cli
