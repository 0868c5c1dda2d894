#include "node/entry/quota_service.h"

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

const DataCentre kDataCentre("north");
const Workspace kWorkspace{ .m_name = "w",
                            .m_ratePerSecond = 200,
                            .m_burst = 20 };
constexpr Duration kMaxWait = Milliseconds(20);

// Two instances of one data centre whose messages arrive in a later iteration
// of the loop.
class TwoInstances
{
public:
  TwoInstances()
  {
    TrafficConfig config;
    config.m_workspaces = { kWorkspace };
    auto shared = std::make_shared<const TrafficConfig>(config);
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      m_peers[i].m_fleet = this;
      m_peers[i].m_from = i;
      m_services.push_back(std::make_unique<QuotaService>(
        m_loop,
        m_peers[i],
        m_log,
        QuotaCoordinatorOptions{
          .m_settings = { .m_dataCentres = { kDataCentre } },
          .m_dataCentre = kDataCentre,
          .m_host = m_hosts[i],
          .m_processStart = i + 1 }));
    }
    for (auto& service : m_services) {
      service->SetConfiguration(shared);
      service->SetFleet(Fleet());
    }
    // Until there is a granter and its buckets hold tokens.
    RunFor(Milliseconds(2200));
  }
  ~TwoInstances() { (void)std::fclose(m_logFile); }
  TwoInstances(const TwoInstances&) = delete;
  TwoInstances& operator=(const TwoInstances&) = delete;

  QuotaFleet Fleet()
  {
    QuotaFleet fleet{ .m_isInContact = true };
    for (const std::string& host : m_hosts) {
      fleet.m_liveInstances.push_back(
        { .m_host = host, .m_dataCentre = kDataCentre, .m_ready = true });
      fleet.m_namedHosts.insert(host);
    }
    return fleet;
  }
  // Returns the instance that is not the granter of the workspace's group.
  QuotaService& Other()
  {
    std::vector<FleetRecord> live = Fleet().m_liveInstances;
    std::vector<DataCentre> dataCentres = { kDataCentre };
    auto granters =
      ChooseGranters(live, Fleet().m_namedHosts, dataCentres, kDataCentre);
    const std::string& granter =
      granters[0][QuotaGroupOf(HashWorkspace(kWorkspace.m_name))];
    return *m_services[granter == m_hosts[0] ? 1 : 0];
  }
  void RunFor(Duration aDuration)
  {
    bool ended = false;
    UvTimer timer(m_loop, [&]() { ended = true; });
    timer.Set(m_loop.Now() + aDuration);
    while (!ended) {
      m_loop.RunOnce(true);
    }
  }
  void Disconnect() { m_connected = false; }

private:
  struct Peers final : public QuotaPeers
  {
    void SendQuotaMessage(const std::string& aHost, std::string aBytes) override
    {
      m_fleet->Send(m_from, aHost, std::move(aBytes));
    }
    TwoInstances* m_fleet = nullptr;
    size_t m_from = 0;
  };

  void Send(size_t aFrom, const std::string& aHost, std::string aBytes)
  {
    if (!m_connected) {
      return;
    }
    size_t to = aHost == m_hosts[0] ? 0 : 1;
    m_inFlight.emplace_back(aFrom, to, std::move(aBytes));
    m_delivery.Set(m_loop.Now());
  }
  void Deliver()
  {
    for (auto& [from, to, bytes] : std::exchange(m_inFlight, {})) {
      m_services[to]->OnPeerPayload(Fleet().m_liveInstances[from], bytes);
    }
  }

  std::vector<std::string> m_hosts = { "10.0.0.1", "10.0.0.2" };
  UvLoop m_loop;
  std::FILE* m_logFile = std::tmpfile();
  LineLog m_log{ [this]() { return m_loop.Now(); },
                 { .m_descriptor = fileno(m_logFile) } };
  std::array<Peers, 2> m_peers;
  bool m_connected = true;
  std::vector<std::tuple<size_t, size_t, std::string>> m_inFlight;
  UvTimer m_delivery{ m_loop, [this]() { Deliver(); } };
  std::vector<std::unique_ptr<QuotaService>> m_services;
};

} // namespace

// Guards against requests that stay without a decision when the tokens are at
// another instance.
DOCTEST_TEST_CASE("a request waits for another instance's tokens")
{
  TwoInstances instances;
  std::optional<QuotaDecision> decision;
  QuotaAdmission admission = instances.Other().Admit(
    kWorkspace, kMaxWait, [&](const QuotaDecision& aDecision) {
      decision = aDecision;
    });
  DOCTEST_CHECK(!admission.m_decision);
  instances.RunFor(kMaxWait * 2);
  DOCTEST_REQUIRE(decision);
  DOCTEST_CHECK(decision->m_outcome == QuotaOutcome::kAdmitted);
  // Its token serves the next request at once.
  instances.Other().GiveBack(kWorkspace.m_name, *decision);
  QuotaAdmission next = instances.Other().Admit(kWorkspace, kMaxWait, {});
  DOCTEST_REQUIRE(next.m_decision);
  DOCTEST_CHECK(next.m_decision->m_outcome == QuotaOutcome::kAdmitted);
  DOCTEST_CHECK(instances.Other().RenderMetrics().find(
                  "ebonykeel_quota_waited_total 1\n") != std::string::npos);
}

// Guards against an answer to a caller that has gone.
DOCTEST_TEST_CASE("the decision on a cancelled request is not reported")
{
  TwoInstances instances;
  bool reported = false;
  QuotaAdmission admission = instances.Other().Admit(
    kWorkspace, kMaxWait, [&](const QuotaDecision&) { reported = true; });
  DOCTEST_REQUIRE(!admission.m_decision);
  instances.Other().Cancel(admission.m_id);
  instances.RunFor(kMaxWait * 2);
  DOCTEST_CHECK_FALSE(reported);
}

// Guards against a wait without end while no granter answers.
DOCTEST_TEST_CASE("without an answer the wait ends with a refusal")
{
  TwoInstances instances;
  instances.Disconnect();
  // The reserve may admit one.
  std::optional<QuotaDecision> last;
  for (int i = 0; i < 3; ++i) {
    QuotaAdmission admission = instances.Other().Admit(
      kWorkspace, kMaxWait, [&](const QuotaDecision& aDecision) {
        last = aDecision;
      });
    if (admission.m_decision) {
      last = admission.m_decision;
    }
  }
  instances.RunFor(kMaxWait * 2);
  DOCTEST_REQUIRE(last);
  DOCTEST_CHECK(last->m_outcome == QuotaOutcome::kRefused);
  DOCTEST_CHECK(last->m_retryAfter > Duration{});
}

// Guards against a crash on bytes of a faulty sender.
DOCTEST_TEST_CASE("bytes that are no message are ignored")
{
  TwoInstances instances;
  instances.Other().OnPeerPayload({ .m_host = "10.0.0.9" }, "no message");
}

} // namespace ebonykeel
