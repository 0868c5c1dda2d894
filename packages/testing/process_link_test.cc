// Open connections fall silent permanently while new ones work, on each kind of
// link.
#include <csignal>

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "testing/caller_load.h"
#include "testing/cluster.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kSomeRequests = 30;
const Json kSilenceExisting{ { "silence_existing", true } };

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
CheckPromises(CallerLoad& aLoad)
{
  aLoad.Stop();
  DOCTEST_INFO(Describe(aLoad.Report()));
  DOCTEST_CHECK(aLoad.Report().m_violations.empty());
  FilingCheck check = aLoad.CheckExecutions();
  DOCTEST_CHECK(check.m_doubled == 0);
  DOCTEST_CHECK(check.m_falseRefusals == 0);
  DOCTEST_CHECK(check.m_falseSuccesses == 0);
}

// Starts the standard cluster with each instance behind relays.
bool
StartRelayed(Cluster& aCluster)
{
  if (!aCluster.StartPlatform() || !aCluster.StartUpstreams({})) {
    return false;
  }
  for (size_t i = 0; i < aCluster.DataCentres().size(); ++i) {
    if (!aCluster.StartInstance({ .m_id = absl::StrCat("n", i + 1),
                                  .m_dataCentre = aCluster.DataCentres()[i],
                                  .m_relayed = true })) {
      return false;
    }
  }
  std::string file = aCluster.ServiceFile(1, { "s0", "s1" });
  return aCluster.WaitUntil([&]() {
    return aCluster.Publish("n1", file).m_status == 200;
  }) && aCluster.WaitUntil([&]() { return aCluster.AllWhole(); });
}

DOCTEST_TEST_CASE(
  "links from instance to upstream fall silent: service continues")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartStandard({ .m_relayed = true }));
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  // Silences all open connections, twice.
  for (int round = 0; round < 2; ++round) {
    cluster.SetFaults(cluster.UpstreamRelay()->m_control, kSilenceExisting);
    WaitForMore(cluster, load);
  }
  // One upstream does not answer, on new connections either.
  for (const char* mode : { "silence_from", "silence_to", "freeze", "cut" }) {
    DOCTEST_CAPTURE(mode);
    cluster.Call(cluster.UpstreamRelay()->m_control,
                 "POST",
                 "/standin/faults?route=0",
                 { { "mode", mode } });
    WaitForMore(cluster, load);
    cluster.SetFaults(cluster.UpstreamRelay()->m_control,
                      { { "mode", "pass" } });
    WaitForMore(cluster, load);
  }
  CheckPromises(load);
}

DOCTEST_TEST_CASE(
  "links from instance to instance fall silent: service continues")
{
  Cluster cluster;
  DOCTEST_REQUIRE(StartRelayed(cluster));
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  for (const std::string& id : cluster.InstanceIds()) {
    cluster.SetFaults(cluster.Instance(id).m_peerRelay, kSilenceExisting);
    WaitForMore(cluster, load);
    DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  }
  CheckPromises(load);
}

DOCTEST_TEST_CASE("an instance that its peers cannot reach: service continues "
                  "and the instance rejoins")
{
  Cluster cluster;
  DOCTEST_REQUIRE(StartRelayed(cluster));
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  for (const char* mode : { "silence_from", "silence_to", "cut" }) {
    DOCTEST_CAPTURE(mode);
    cluster.SetFaults(cluster.Instance("n2").m_peerRelay, { { "mode", mode } });
    // Longer than a lease and its safety margin.
    cluster.RunFor(Seconds(4));
    WaitForMore(cluster, load);
    cluster.SetFaults(cluster.Instance("n2").m_peerRelay,
                      { { "mode", "pass" } });
    DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  }
  CheckPromises(load);
}

DOCTEST_TEST_CASE(
  "links from caller to instance fall silent: new connections are "
  "served and the instance stops gracefully")
{
  Cluster cluster;
  DOCTEST_REQUIRE(StartRelayed(cluster));
  CallerLoad load(cluster, { .m_timeout = Seconds(2) });
  load.Start();
  WaitForMore(cluster, load);
  for (const std::string& id : cluster.InstanceIds()) {
    cluster.SetFaults(cluster.Instance(id).m_publicRelay, kSilenceExisting);
  }
  WaitForMore(cluster, load);
  CheckPromises(load);
  cluster.Instance("n2").m_process->Signal(SIGTERM);
  DOCTEST_REQUIRE(cluster.WaitUntil(
    [&]() { return cluster.Instance("n2").m_process->End().has_value(); }));
  DOCTEST_CHECK(cluster.Instance("n2").m_process->End()->m_exitCode == 0);
}

DOCTEST_TEST_CASE(
  "links from instance to store fall silent: filings and publications continue")
{
  Cluster cluster;
  DOCTEST_REQUIRE(cluster.StartPlatform());
  UpstreamOptions upstreams{ .m_arguments = { "--warm",
                                              "--index-versions=1,2" } };
  DOCTEST_REQUIRE(cluster.StartUpstreams(upstreams));
  auto relay = cluster.StartRelay(
    "store-relay", { "--target=" + FormatEndpoint(cluster.Store()) });
  DOCTEST_REQUIRE(relay != nullptr);
  for (size_t i = 0; i < cluster.DataCentres().size(); ++i) {
    DOCTEST_REQUIRE(
      cluster.StartInstance({ .m_id = absl::StrCat("n", i + 1),
                              .m_dataCentre = cluster.DataCentres()[i],
                              .m_store = FormatEndpoint(relay->m_routes[0]) }));
  }
  std::string file = cluster.ServiceFile(1, { "s0", "s1" });
  DOCTEST_REQUIRE(cluster.WaitUntil(
    [&]() { return cluster.Publish("n1", file).m_status == 200; }));
  DOCTEST_REQUIRE(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
  CallerLoad load(cluster, {});
  load.Start();
  WaitForMore(cluster, load);
  cluster.SetFaults(relay->m_control, kSilenceExisting);
  WaitForMore(cluster, load);
  cluster.SetFaults(relay->m_control, kSilenceExisting);
  file = cluster.ServiceFile(2, { "s0", "s1" });
  CallResult result;
  DOCTEST_CHECK(cluster.WaitUntil([&]() {
    result = cluster.Publish("n3", file, "second");
    return result.m_status == 200;
  }));
  DOCTEST_CHECK(cluster.WaitUntil([&]() {
    return cluster.InForceEverywhere(
      result.m_body["generation"].get<uint64_t>());
  }));
  WaitForMore(cluster, load);
  CheckPromises(load);
}

} // namespace
} // namespace ebonykeel
