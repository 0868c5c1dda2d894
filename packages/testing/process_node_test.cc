// Instances are killed, stopped, paused and replaced, and a data centre is
// withdrawn, while callers send queries and filings.
#include <csignal>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "testing/caller_load.h"
#include "testing/cluster.h"

namespace ebonykeel {
namespace {

constexpr uint64_t kSomeRequests = 30;

void
WaitForMore(Cluster& aCluster, const CallerLoad& aLoad)
{
  uint64_t queries = aLoad.Report().m_wholeQueries + kSomeRequests;
  uint64_t filings = aLoad.ExecutedFilings() + kSomeRequests / 3;
  DOCTEST_REQUIRE(aCluster.WaitUntil([&]() {
    return aLoad.Report().m_wholeQueries >= queries &&
           aLoad.ExecutedFilings() >= filings;
  }));
}

void
CheckFilingsAtMostOnce(CallerLoad& aLoad)
{
  FilingCheck check = aLoad.CheckExecutions();
  DOCTEST_CHECK(check.m_executed > 0);
  DOCTEST_CHECK(check.m_doubled == 0);
  DOCTEST_CHECK(check.m_falseRefusals == 0);
  DOCTEST_CHECK(check.m_falseSuccesses == 0);
}

// Checks that no answer broke a promise. Requests may have failed.
void
CheckPromises(CallerLoad& aLoad)
{
  aLoad.Stop();
  DOCTEST_INFO(Describe(aLoad.Report()));
  DOCTEST_CHECK(aLoad.Report().m_violations.empty());
  CheckFilingsAtMostOnce(aLoad);
}

// Checks also that every request succeeded with a complete answer and no answer
// was lost.
void
CheckFlawless(CallerLoad& aLoad)
{
  CheckPromises(aLoad);
  DOCTEST_INFO(Describe(aLoad.Report()));
  DOCTEST_CHECK(aLoad.Report().m_lostAnswers == 0);
  DOCTEST_CHECK(aLoad.Report().m_failures.empty());
  DOCTEST_CHECK(aLoad.Report().m_partialQueries == 0);
}

DOCTEST_TEST_CASE("an instance killed under load: filings run at most once and "
                  "queries are whole again")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  cluster.Instance("n2").m_process->Signal(SIGKILL);
  DOCTEST_REQUIRE(cluster.WaitUntil(
    [&]() { return cluster.Instance("n2").m_process->End().has_value(); }));
  cluster.RemoveInstance("n2");
  DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  WaitForMore(cluster, load);
  CheckPromises(load);
}

DOCTEST_TEST_CASE(
  "every instance is replaced in turn under load: nothing is cut "
  "and every exit code is 0")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  for (const std::string& id : cluster.InstanceIds()) {
    DOCTEST_REQUIRE(cluster.StartInstance(
      { .m_id = id + "b",
        .m_dataCentre = cluster.Instance(id).m_options.m_dataCentre }));
    DOCTEST_REQUIRE(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
    cluster.Instance(id).m_process->Signal(SIGTERM);
    DOCTEST_REQUIRE(cluster.WaitUntil(
      [&]() { return cluster.Instance(id).m_process->End().has_value(); }));
    DOCTEST_CHECK(cluster.Instance(id).m_process->End()->m_exitCode == 0);
    cluster.RemoveInstance(id);
    DOCTEST_REQUIRE(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  }
  WaitForMore(cluster, load);
  CheckFlawless(load);
}

DOCTEST_TEST_CASE("an instance resumed after its lease expired sends nothing "
                  "under the old lease")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  cluster.Instance("n2").m_process->Signal(SIGSTOP);
  auto wholeOnOthers = [&]() {
    return cluster.AnswersWhole("n1") && cluster.AnswersWhole("n3");
  };
  auto withoutPaused = [&]() {
    CallResult status = cluster.Status("n1");
    return status.m_status == 200 &&
           status.m_body["in_force"]["of"].get<int>() == 2;
  };
  DOCTEST_REQUIRE(cluster.WaitUntil(withoutPaused));
  DOCTEST_CHECK(cluster.WaitUntil(wholeOnOthers));
  WaitForMore(cluster, load);
  cluster.Instance("n2").m_process->Signal(SIGCONT);
  DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  WaitForMore(cluster, load);
  CheckPromises(load);
  // No upstream ever held more requests than its slots, even from two owners.
  for (size_t shard = 0; shard < 2; ++shard) {
    for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
      nlohmann::json counters =
        cluster.Counters(cluster.UpstreamIdOf(shard, i));
      DOCTEST_CHECK(counters["max_in_use"].get<int>() <= 2);
    }
  }
}

DOCTEST_TEST_CASE(
  "a data centre is withdrawn and restored under load: its upstreams receive "
  "no new work after 4 s and no request fails")
{
  constexpr Duration kWithdrawalBound = Seconds(4);
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard());
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  auto change = [&](const std::string& aVerb) {
    return cluster.Call(cluster.Instance("n1").m_admin,
                        "POST",
                        "/v1/admin/data-centres/bilbao/" + aVerb,
                        { { "author", "test" } });
  };
  auto received = [&]() {
    uint64_t sum = 0;
    for (size_t shard = 0; shard < 2; ++shard) {
      sum += cluster.Counters(cluster.UpstreamIdOf(shard, 2))["received"]
               .get<uint64_t>();
    }
    return sum;
  };
  DOCTEST_CHECK(received() > 0);
  DOCTEST_REQUIRE(change("out").m_status == 200);
  cluster.RunFor(kWithdrawalBound);
  uint64_t before = received();
  WaitForMore(cluster, load);
  DOCTEST_CHECK(received() == before);
  DOCTEST_REQUIRE(change("in").m_status == 200);
  DOCTEST_CHECK(cluster.WaitUntil([&]() { return received() > before; }));
  WaitForMore(cluster, load);
  CheckFlawless(load);
}

} // namespace
} // namespace ebonykeel
