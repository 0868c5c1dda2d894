// Upstreams answer wrongly, hang, restart cold, switch index versions, drain or
// are repartitioned while callers send queries.
#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "load/answer_check.h"
#include "testing/caller_load.h"
#include "testing/cluster.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kSomeRequests = 30;
constexpr std::string_view kBadAnswers = "upstream_bad_answers_total";

void
WaitForWhole(Cluster& aCluster, const CallerLoad& aLoad)
{
  uint64_t enough = aLoad.Report().m_wholeQueries + kSomeRequests;
  DOCTEST_REQUIRE(aCluster.WaitUntil(
    [&]() { return aLoad.Report().m_wholeQueries >= enough; }));
}

void
CheckLoad(CallerLoad& aLoad)
{
  aLoad.Stop();
  DOCTEST_INFO(Describe(aLoad.Report()));
  DOCTEST_CHECK(aLoad.Report().m_violations.empty());
  DOCTEST_CHECK(aLoad.Report().m_failures.empty());
  FilingCheck check = aLoad.CheckExecutions();
  DOCTEST_CHECK(check.m_doubled == 0);
  DOCTEST_CHECK(check.m_falseRefusals == 0);
  DOCTEST_CHECK(check.m_falseSuccesses == 0);
}

CallResult
Query(Cluster& aCluster, const std::string& aId)
{
  return aCluster.Call(aCluster.Instance("n1").m_public,
                       "POST",
                       "/v1/query",
                       { { "services", { kTestService } },
                         { "query", "knots" },
                         { "caller", "test" },
                         { "deadline_ms", 600 },
                         { "request_id", aId } });
}

// A fault of an upstream and the reason that answers state for it. An answer
// may state the deadline instead, since retries can wait until then.
struct Fault
{
  const char* m_name;
  Json m_faults;
  const char* m_reason;
  // Whether instances count it as a bad answer.
  bool m_counted = false;
};

std::vector<Fault>
Faults()
{
  auto garble = [](const char* aMode) {
    return Fault{ aMode, { { "garble", aMode } }, "bad_answer", true };
  };
  return { garble("truncate"),
           garble("wrong_id"),
           garble("wrong_version"),
           garble("wrong_shard"),
           garble("oversized"),
           garble("not_json"),
           garble("previous"),
           { "endless", { { "garble", "endless" } }, "bad_answer" },
           { "hang", { { "hang", true } }, "deadline" },
           { "reset", { { "down", true } }, "unreachable" } };
}

const Json kHealed{ { "garble", "" }, { "hang", false }, { "down", false } };

DOCTEST_TEST_CASE("a shard whose upstreams all fail is reported missing with "
                  "its reason, and no wrong hit is accepted")
{
  constexpr uint64_t kPartial = 12;
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  for (const Fault& fault : Faults()) {
    DOCTEST_CAPTURE(fault.m_name);
    for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
      cluster.SetFaults(
        cluster.Upstreams(), fault.m_faults, cluster.UpstreamIdOf(0, i));
    }
    uint64_t badAnswers = cluster.Metric(kBadAnswers);
    CallResult result = Query(cluster, absl::StrCat("q-", fault.m_name));
    DOCTEST_INFO(result.m_body.dump());
    DOCTEST_REQUIRE(result.m_status == 200);
    const Json& service = result.m_body["services"][0];
    DOCTEST_CHECK(result.m_body["whole"] == false);
    DOCTEST_CHECK(service["coverage"]["answered"] == 1);
    DOCTEST_REQUIRE(service["coverage"]["missing"].size() == 1);
    const Json& missing = service["coverage"]["missing"][0];
    DOCTEST_CHECK(missing["shard"] == "s0");
    DOCTEST_CHECK(
      (missing["reason"] == fault.m_reason || missing["reason"] == "deadline"));
    QueryCheck check = CheckQueryAnswer(
      result.m_body["request_id"].get<std::string>(), "knots", result.m_text);
    DOCTEST_CHECK(check.m_violations.empty());
    if (fault.m_counted) {
      DOCTEST_CHECK(cluster.Metric(kBadAnswers) > badAnswers);
    }
    CallerLoad load(cluster,
                    { .m_filingWorkers = 0, .m_deadline = Milliseconds(400) });
    load.Start();
    DOCTEST_CHECK(cluster.WaitUntil(
      [&]() { return load.Report().m_partialQueries >= kPartial; }));
    CheckLoad(load);
    DOCTEST_CHECK(load.Report().m_wholeQueries == 0);
    for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
      cluster.SetFaults(
        cluster.Upstreams(), kHealed, cluster.UpstreamIdOf(0, i));
    }
    DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  }
}

DOCTEST_TEST_CASE("one faulty upstream of a shard costs no coverage: another "
                  "replica answers")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, { .m_filingWorkers = 0 });
  load.Start();
  for (const Fault& fault : Faults()) {
    DOCTEST_CAPTURE(fault.m_name);
    cluster.SetFaults(
      cluster.Upstreams(), fault.m_faults, cluster.UpstreamIdOf(0, 0));
    WaitForWhole(cluster, load);
    cluster.SetFaults(cluster.Upstreams(), kHealed, cluster.UpstreamIdOf(0, 0));
    WaitForWhole(cluster, load);
  }
  CheckLoad(load);
  DOCTEST_INFO(Describe(load.Report()));
  DOCTEST_CHECK(load.Report().m_partialQueries == 0);
}

DOCTEST_TEST_CASE("upstreams in cold start, initially and after an unannounced "
                  "restart, never hold more than their cold limit")
{
  constexpr int kColdLimit = 2;
  constexpr int kRounds = 3;
  Cluster cluster;
  UpstreamOptions options{ .m_arguments = { "--slots=6", "--cold-limit=2" },
                           .m_slots = 6 };
  DOCTEST_REQUIRE(cluster.StartStandard(options));
  CallerLoad load(cluster,
                  { .m_queryWorkers = 24,
                    .m_filingWorkers = 0,
                    .m_requestDelay = Milliseconds(1) });
  load.Start();
  for (int round = 0; round < kRounds; ++round) {
    WaitForWhole(cluster, load);
    for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
      // The upstream stays down for a while: requests in transit when it goes
      // down cannot be recalled and must not reach its next process run.
      std::string id = cluster.UpstreamIdOf(0, i);
      cluster.SetFaults(cluster.Upstreams(), { { "down", true } }, id);
      WaitForWhole(cluster, load);
      cluster.SetFaults(cluster.Upstreams(), { { "down", false } }, id);
      WaitForWhole(cluster, load);
    }
  }
  for (size_t shard = 0; shard < 2; ++shard) {
    for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
      Json counters = cluster.Counters(cluster.UpstreamIdOf(shard, i));
      DOCTEST_INFO(counters.dump());
      DOCTEST_CHECK(counters["fell_over"] == 0);
      DOCTEST_CHECK(counters["max_in_use_while_cold"].get<int>() <= kColdLimit);
      DOCTEST_CHECK(counters["max_in_use_while_cold"].get<int>() > 0);
    }
  }
  CheckLoad(load);
}

DOCTEST_TEST_CASE("index versions switch and shards are repartitioned under "
                  "load: each answer is of one version")
{
  Cluster cluster;
  UpstreamOptions options{ .m_shards = { "s0", "s1", "s2" },
                           .m_arguments = { "--warm",
                                            "--index-versions=1,2,3" } };
  DOCTEST_REQUIRE(cluster.StartStandard(options));
  for (size_t shard = 0; shard < 3; ++shard) {
    for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
      Json faults{ { "shards",
                     { absl::StrCat("s", shard), absl::StrCat("p", shard) } } };
      cluster.SetFaults(
        cluster.Upstreams(), faults, cluster.UpstreamIdOf(shard, i));
    }
  }
  // One replica lags behind: it never has version 2.
  cluster.SetFaults(cluster.Upstreams(),
                    { { "index_versions", { 1, 3 } } },
                    cluster.UpstreamIdOf(0, 1));
  CallerLoad load(cluster, { .m_filingWorkers = 1 });
  load.Start();
  auto publish = [&](uint64_t aVersion,
                     const std::vector<std::string>& aShards) {
    WaitForWhole(cluster, load);
    std::string file = cluster.ServiceFile(aVersion, aShards);
    CallResult result = cluster.Publish("n2", file);
    DOCTEST_REQUIRE(result.m_status == 200);
    auto generation = result.m_body["generation"].get<uint64_t>();
    DOCTEST_CHECK(cluster.WaitUntil(
      [&]() { return cluster.InForceEverywhere(generation); }));
    WaitForWhole(cluster, load);
  };
  publish(2, { "s0", "s1", "s2" });
  publish(3, { "p0", "p1" });
  publish(1, { "s0", "s1", "s2" });
  CheckLoad(load);
  DOCTEST_INFO(Describe(load.Report()));
  DOCTEST_CHECK(load.Report().m_partialQueries == 0);
  for (uint64_t version : { 1, 2, 3 }) {
    DOCTEST_CHECK(load.Report().m_versions.contains(version));
  }
}

DOCTEST_TEST_CASE("a drained upstream gets no new work after 4 s and no query "
                  "is cut")
{
  constexpr Duration kDrainBound = Seconds(4);
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, {});
  load.Start();
  WaitForWhole(cluster, load);
  std::string id = cluster.UpstreamIdOf(0, 0);
  CallResult result = cluster.Call(cluster.Instance("n3").m_admin,
                                   "POST",
                                   "/v1/admin/upstreams/" + id + "/drain",
                                   { { "author", "test" } });
  DOCTEST_REQUIRE(result.m_status == 200);
  cluster.RunFor(kDrainBound);
  Json before = cluster.Counters(id)["received"];
  WaitForWhole(cluster, load);
  DOCTEST_CHECK(cluster.Counters(id)["received"] == before);
  // Another upstream announces itself that it is draining.
  std::string leaving = cluster.UpstreamIdOf(1, 1);
  cluster.SetFaults(cluster.Upstreams(), { { "draining", true } }, leaving);
  cluster.RunFor(kDrainBound);
  before = cluster.Counters(leaving)["received"];
  WaitForWhole(cluster, load);
  DOCTEST_CHECK(cluster.Counters(leaving)["received"] == before);
  CheckLoad(load);
  DOCTEST_INFO(Describe(load.Report()));
  DOCTEST_CHECK(load.Report().m_partialQueries == 0);
}

} // namespace
} // namespace ebonykeel
