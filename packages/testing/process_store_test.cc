// Outages and lost replies of the platform's store, and concurrent operators.
#include <algorithm>
#include <csignal>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "testing/caller_load.h"
#include "testing/cluster.h"

namespace ebonykeel {
namespace {

constexpr uint64_t kSomeRequests = 30;

UpstreamOptions
ThreeVersions()
{
  return { .m_arguments = { "--warm", "--index-versions=1,2,3" } };
}

CallResult
File(Cluster& aCluster, const std::string& aInstance, const std::string& aId)
{
  return aCluster.Call(aCluster.Instance(aInstance).m_public,
                       "POST",
                       "/v1/file",
                       { { "service", kTestService },
                         { "operation", "file" },
                         { "caller", "test" },
                         { "request_id", aId },
                         { "payload", "payload" },
                         { "issued_at_ms", WallMilliseconds() } });
}

uint64_t
Executions(Cluster& aCluster)
{
  CallResult result =
    aCluster.Call(aCluster.Upstreams(), "GET", "/standin/executions");
  uint64_t sum = 0;
  for (const nlohmann::json& entry : result.m_body["executions"]) {
    sum += entry["count"].get<uint64_t>();
  }
  return sum;
}

// Returns the number of generations in the history with the change id.
int64_t
CountChange(Cluster& aCluster, const std::string& aChangeId)
{
  CallResult history =
    aCluster.Call(aCluster.Instance("n1").m_admin, "GET", "/v1/admin/history");
  return std::ranges::count_if(
    history.m_body["history"], [&](const nlohmann::json& aEntry) {
      return aEntry.value("change_id", "") == aChangeId;
    });
}

uint64_t
GenerationOf(Cluster& aCluster, const std::string& aInstance)
{
  return aCluster.Status(aInstance).m_body["generation"].get<uint64_t>();
}

DOCTEST_TEST_CASE("while the store is down, queries are served and filings are "
                  "refused without running, and filings run once it is back")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  for (const char* mode : { "error", "hang", "reset" }) {
    DOCTEST_CAPTURE(mode);
    cluster.SetFaults(cluster.Store(),
                      { { "outage", true }, { "outage_mode", mode } });
    CallerLoad load(cluster, { .m_filingWorkers = 0 });
    load.Start();
    uint64_t executions = Executions(cluster);
    std::string prefix = absl::StrCat("down-", mode, "-");
    for (const char* instance : { "n1", "n2", "n3" }) {
      CallResult refused = File(cluster, instance, prefix + instance);
      DOCTEST_INFO(refused.m_body.dump());
      DOCTEST_CHECK(refused.m_status == 503);
      DOCTEST_CHECK(refused.m_body["outcome"] == "not-run");
    }
    DOCTEST_CHECK(cluster.WaitUntil(
      [&]() { return load.Report().m_wholeQueries >= kSomeRequests; }));
    DOCTEST_CHECK(Executions(cluster) == executions);
    cluster.SetFaults(cluster.Store(), { { "outage", false } });
    DOCTEST_CHECK(cluster.WaitUntil(
      [&]() { return File(cluster, "n1", prefix + "after").m_status == 200; }));
    load.Stop();
    DOCTEST_INFO(Describe(load.Report()));
    DOCTEST_CHECK(load.Report().m_violations.empty());
    DOCTEST_CHECK(load.Report().m_failures.empty());
    DOCTEST_CHECK(load.Report().m_partialQueries == 0);
    DOCTEST_CHECK(Executions(cluster) == executions + 1);
  }
}

DOCTEST_TEST_CASE("filings whose claims lose the store's replies run at most "
                  "once and report the true outcome")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, { .m_filingWorkers = 2 });
  load.Start();
  for (bool hang : { false, true }) {
    uint64_t enough = load.ExecutedFilings() + kSomeRequests;
    cluster.SetFaults(cluster.Store(),
                      { { "lose_replies", 4 },
                        { "lose_replies_for", "PUT" },
                        { "lose_by_hang", hang } });
    DOCTEST_CHECK(
      cluster.WaitUntil([&]() { return load.ExecutedFilings() >= enough; }));
  }
  load.Stop();
  DOCTEST_INFO(Describe(load.Report()));
  DOCTEST_CHECK(load.Report().m_violations.empty());
  FilingCheck check = load.CheckExecutions();
  DOCTEST_CHECK(check.m_executed >= 2 * kSomeRequests);
  DOCTEST_CHECK(check.m_doubled == 0);
  DOCTEST_CHECK(check.m_falseRefusals == 0);
  DOCTEST_CHECK(check.m_falseSuccesses == 0);
}

DOCTEST_TEST_CASE("a publication whose replies are lost is accepted exactly "
                  "once")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard(ThreeVersions()));
  uint64_t version = 1;
  for (bool hang : { false, true }) {
    for (int lost : { 1, 2 }) {
      ++version;
      std::string changeId = absl::StrCat("change-", version);
      DOCTEST_CAPTURE(changeId);
      uint64_t before = GenerationOf(cluster, "n1");
      cluster.SetFaults(cluster.Store(),
                        { { "lose_replies", lost },
                          { "lose_replies_for", "PUT" },
                          { "lose_by_hang", hang } });
      std::string file = cluster.ServiceFile(version % 3 + 1, { "s0", "s1" });
      CallResult result = cluster.Publish("n1", file, changeId);
      DOCTEST_INFO(result.m_body.dump());
      DOCTEST_CHECK(result.m_status == 200);
      DOCTEST_CHECK(result.m_body["generation"] == before + 1);
      DOCTEST_CHECK(CountChange(cluster, changeId) == 1);
      DOCTEST_CHECK(cluster.WaitUntil(
        [&]() { return cluster.InForceEverywhere(before + 1); }));
      DOCTEST_CHECK(GenerationOf(cluster, "n2") == before + 1);
    }
  }
}

DOCTEST_TEST_CASE(
  "an instance that boots while the store is down takes the newest "
  "configuration from its peers")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard(ThreeVersions()));
  CallResult published =
    cluster.Publish("n1", cluster.ServiceFile(2, { "s0", "s1" }));
  DOCTEST_REQUIRE(published.m_status == 200);
  auto generation = published.m_body["generation"].get<uint64_t>();
  DOCTEST_REQUIRE(
    cluster.WaitUntil([&]() { return cluster.InForceEverywhere(generation); }));
  cluster.SetFaults(cluster.Store(),
                    { { "outage", true }, { "outage_mode", "hang" } });
  DOCTEST_REQUIRE(
    cluster.StartInstance({ .m_id = "n4", .m_dataCentre = "bilbao" }));
  DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  DOCTEST_CHECK(GenerationOf(cluster, "n4") == generation);
}

DOCTEST_TEST_CASE("stale reads from the store never roll back a configuration")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard(ThreeVersions()));
  CallResult published =
    cluster.Publish("n1", cluster.ServiceFile(2, { "s0", "s1" }));
  DOCTEST_REQUIRE(published.m_status == 200);
  auto generation = published.m_body["generation"].get<uint64_t>();
  DOCTEST_REQUIRE(
    cluster.WaitUntil([&]() { return cluster.InForceEverywhere(generation); }));
  cluster.SetFaults(cluster.Store(), { { "serve_stale_ms", 20'000 } });
  DOCTEST_REQUIRE(
    cluster.StartInstance({ .m_id = "n4", .m_dataCentre = "bilbao" }));
  DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  for (const std::string& id : cluster.InstanceIds()) {
    DOCTEST_CHECK(GenerationOf(cluster, id) == generation);
  }
}

DOCTEST_TEST_CASE("of two publications with the same base, one is accepted and "
                  "the other gets a conflict")
{
  constexpr int kRounds = 8;
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard(ThreeVersions()));
  uint64_t inForce = 1;
  for (int round = 0; round < kRounds; ++round) {
    DOCTEST_CAPTURE(round);
    uint64_t base = GenerationOf(cluster, "n1");
    std::string first = absl::StrCat("first-", round);
    std::string second = absl::StrCat("second-", round);
    // The two versions that are not in force now.
    uint64_t firstVersion = inForce % 3 + 1;
    uint64_t secondVersion = firstVersion % 3 + 1;
    auto one = cluster.BeginPublish(
      "n1", cluster.ServiceFile(firstVersion, { "s0", "s1" }), first, base);
    auto two = cluster.BeginPublish(
      "n2", cluster.ServiceFile(secondVersion, { "s0", "s1" }), second, base);
    CallResult oneResult = one.wait(cluster.EventLoop().WaitScope());
    CallResult twoResult = two.wait(cluster.EventLoop().WaitScope());
    DOCTEST_INFO(oneResult.m_body.dump() << " " << twoResult.m_body.dump());
    int least = std::min(oneResult.m_status, twoResult.m_status);
    int most = std::max(oneResult.m_status, twoResult.m_status);
    inForce = oneResult.m_status == 200 ? firstVersion : secondVersion;
    DOCTEST_CHECK(least == 200);
    DOCTEST_CHECK(most == 409);
    DOCTEST_CHECK(
      cluster.WaitUntil([&]() { return cluster.InForceEverywhere(base + 1); }));
    for (const std::string& id : cluster.InstanceIds()) {
      DOCTEST_CHECK(GenerationOf(cluster, id) == base + 1);
    }
    DOCTEST_CHECK(CountChange(cluster, first) + CountChange(cluster, second) ==
                  1);
  }
}

} // namespace
} // namespace ebonykeel
