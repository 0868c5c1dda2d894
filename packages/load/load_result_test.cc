#include <doctest/doctest.h>

#include "load/load_result.h"

namespace ebonykeel {
namespace {

RequestRecord
Answered(Duration aStart, Duration aLatency)
{
  return { .m_start = aStart,
           .m_latency = aLatency,
           .m_outcome = Outcome::kRan,
           .m_shards = 4,
           .m_answered = 4 };
}

DOCTEST_TEST_CASE("requests are counted by outcome, coverage and time")
{
  LoadResult result;
  result.Add(Answered(Milliseconds(10), Milliseconds(5)));
  RequestRecord partial = Answered(Milliseconds(150), Milliseconds(7));
  partial.m_answered = 3;
  result.Add(partial);
  result.Add({ .m_start = Milliseconds(160),
               .m_outcome = Outcome::kNotRun,
               .m_refusal = "overloaded" });
  nlohmann::json json = result.ToJson();
  DOCTEST_CHECK(json["requests"] == 3);
  DOCTEST_CHECK(json["failed"] == 1);
  DOCTEST_CHECK(json["refusals"]["overloaded"] == 1);
  DOCTEST_CHECK(json["coverage"]["whole"] == 1);
  DOCTEST_CHECK(json["coverage"]["distribution"][0]["covered"] == 0.75);
  DOCTEST_REQUIRE(json["time_line"].size() == 2);
  DOCTEST_CHECK(json["time_line"][1]["failed"] == 1);
  DOCTEST_CHECK(result.BrokenPromises() == 0);
  DOCTEST_CHECK(result.CoverageCsv() == "covered,answers\n0.750,1\n1.000,1\n");
}

DOCTEST_TEST_CASE(
  "extra load is the share of upstream requests beyond one per shard")
{
  LoadResult result;
  for (int i = 0; i < 10; ++i) {
    result.Add(Answered(Milliseconds(i), Milliseconds(5)));
  }
  result.SetUpstreams({ .m_received = 42 });
  DOCTEST_CHECK(result.ToJson()["upstreams"]["extra_share"].get<double>() ==
                doctest::Approx(0.05));
}

DOCTEST_TEST_CASE("violations in answers and filings are added up")
{
  LoadResult result;
  RequestRecord record = Answered(Milliseconds(1), Milliseconds(5));
  record.m_violations = { Violation::kMixedSnapshot };
  result.Add(record);
  result.SetFilings({ .m_doubled = 2 });
  DOCTEST_CHECK(result.BrokenPromises() == 3);
}

} // namespace
} // namespace ebonykeel
