#include "core/quota/granter_election.h"

#include <map>
#include <memory>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kStep = Milliseconds(20);

// Instances of one data centre that exchange votes at once unless they are cut.
class VotingInstances
{
public:
  explicit VotingInstances(std::set<std::string> aHosts)
    : m_hosts(std::move(aHosts))
  {
    for (const std::string& host : m_hosts) {
      Restart(host);
    }
  }

  void Restart(const std::string& aHost)
  {
    m_elections[aHost] = std::make_unique<GranterElection>(
      aHost, ++m_processStart, GranterElectionOptions{}, m_now);
    m_elections[aHost]->SetMembers(m_hosts, {}, false, m_now);
  }
  GranterElection& At(const std::string& aHost) { return *m_elections[aHost]; }
  void Cut(std::set<std::string> aHosts) { m_cut = std::move(aHosts); }
  void SetCandidate(const std::string& aHost, QuotaGroupSet aGroups)
  {
    At(aHost).SetCandidacy(aGroups, m_now);
  }

  void Run(Duration aFor)
  {
    for (TimePoint end = m_now + aFor; m_now < end; m_now += kStep) {
      for (auto& [host, election] : m_elections) {
        for (const OutgoingVoteRequest& outgoing : election->OnTimer(m_now)) {
          if (m_cut.contains(host) == m_cut.contains(outgoing.m_host)) {
            election->OnVote(outgoing.m_host,
                             At(outgoing.m_host)
                               .OnVoteRequest(host, outgoing.m_request, m_now),
                             m_now);
          }
        }
      }
      m_mostGranters = std::max(m_mostGranters, Granters(0).size());
    }
  }

  [[nodiscard]] std::set<std::string> Granters(uint32_t aGroup) const
  {
    std::set<std::string> granters;
    for (const auto& [host, election] : m_elections) {
      if (election->IsGranter(aGroup, m_now)) {
        granters.insert(host);
      }
    }
    return granters;
  }
  [[nodiscard]] size_t MostGranters() const { return m_mostGranters; }
  [[nodiscard]] TimePoint Now() const { return m_now; }

private:
  TimePoint m_now = kStart;
  std::set<std::string> m_hosts;
  std::set<std::string> m_cut;
  uint64_t m_processStart = 0;
  std::map<std::string, std::unique_ptr<GranterElection>> m_elections;
  size_t m_mostGranters = 0;
};

} // namespace

// Guards against two granters while instances disagree about which it is.
DOCTEST_TEST_CASE("of two candidates one becomes the granter")
{
  VotingInstances instances({ "a", "b", "c" });
  instances.SetCandidate("a", 1);
  instances.SetCandidate("b", 1);
  instances.Run(Seconds(10));
  DOCTEST_CHECK(instances.Granters(0).size() == 1);
  DOCTEST_CHECK(instances.MostGranters() == 1);
  DOCTEST_CHECK(instances.Granters(1).empty());
}

// Guards against a granter on the smaller side of a partition, and against none
// on the larger one.
DOCTEST_TEST_CASE("the larger side of a partition has the granter")
{
  VotingInstances instances({ "a", "b", "c" });
  instances.SetCandidate("a", 1);
  instances.Run(Seconds(3));
  DOCTEST_CHECK(instances.Granters(0) == std::set<std::string>{ "a" });
  TimePoint since = instances.At("a").GranterSince(0);
  instances.Cut({ "a" });
  instances.SetCandidate("b", 1);
  instances.Run(Seconds(3));
  DOCTEST_CHECK(instances.Granters(0) == std::set<std::string>{ "b" });
  DOCTEST_CHECK(instances.At("b").GranterSince(0) > since);
  DOCTEST_CHECK(instances.MostGranters() == 1);
}

// Guards against a loss of seconds at each planned change of the granter.
DOCTEST_TEST_CASE("a granter that steps down releases its voters at once")
{
  VotingInstances instances({ "a", "b", "c" });
  instances.SetCandidate("a", 3);
  instances.Run(Seconds(3));
  instances.SetCandidate("a", 2);
  DOCTEST_CHECK(instances.Granters(0).empty());
  DOCTEST_CHECK(!instances.Granters(1).empty());
  instances.Run(kStep * 2);
  instances.SetCandidate("b", 1);
  instances.Run(kStep * 2);
  DOCTEST_CHECK(instances.Granters(0) == std::set<std::string>{ "b" });
  DOCTEST_CHECK(instances.MostGranters() == 1);
}

// Guards against a release that arrives late and frees a voter whose support
// the granter has got again.
DOCTEST_TEST_CASE("a late release does not end a newer promise")
{
  GranterElection voter("v", 1, {}, kStart);
  voter.SetMembers({ "a", "b", "v" }, {}, false, kStart);
  TimePoint now = kStart + Seconds(5);
  QuotaVoteRequest release{ .m_processStart = 7, .m_sequence = 4 };
  QuotaVoteRequest request{ .m_processStart = 7,
                            .m_sequence = 5,
                            .m_groups = 1 };
  DOCTEST_CHECK(voter.OnVoteRequest("a", request, now).m_groups == 1);
  (void)voter.OnVoteRequest("a", release, now);
  QuotaVoteRequest other{ .m_processStart = 9, .m_sequence = 1, .m_groups = 1 };
  DOCTEST_CHECK(voter.OnVoteRequest("b", other, now).m_groups == 0);
  TimePoint later = now + GranterElectionOptions{}.m_promise;
  DOCTEST_CHECK(voter.OnVoteRequest("b", other, later).m_groups == 1);
}

// Guards against a voter that restarts, forgets its promise and supports
// another candidate while the first still counts on it.
DOCTEST_TEST_CASE("a voter that has just started supports nobody")
{
  VotingInstances instances({ "a", "b", "c" });
  instances.SetCandidate("a", 1);
  instances.Run(Seconds(3));
  instances.Cut({ "a" });
  instances.Restart("c");
  instances.Restart("b");
  instances.SetCandidate("b", 1);
  instances.Run(Seconds(1));
  DOCTEST_CHECK(instances.Granters(0).size() <= 1);
  instances.Run(Seconds(2));
  DOCTEST_CHECK(instances.Granters(0) == std::set<std::string>{ "b" });
  DOCTEST_CHECK(instances.MostGranters() == 1);
}

// Guards against a granter that grants on after a freeze, by the answers that
// it got before.
DOCTEST_TEST_CASE("support ends by the granter's own clock")
{
  VotingInstances instances({ "a", "b", "c" });
  instances.SetCandidate("a", 1);
  instances.Run(Seconds(3));
  DOCTEST_CHECK(instances.At("a").IsGranter(0, instances.Now()));
  DOCTEST_CHECK(!instances.At("a").IsGranter(
    0, instances.Now() + GranterElectionOptions{}.m_supportLifetime));
}

// Guards against an instance that starts while its data centre is cut in two,
// knows only itself and takes itself for the majority.
DOCTEST_TEST_CASE("an instance that knows too few others is no granter")
{
  GranterElection alone("a", 1, {}, kStart);
  alone.SetCandidacy(1, kStart);
  TimePoint now = kStart + Seconds(5);
  alone.SetMembers({ "a" }, {}, true, now);
  DOCTEST_CHECK(alone.OnTimer(now).empty());
  DOCTEST_CHECK(!alone.IsGranter(0, now));

  // A witness in another data centre remembers two more.
  alone.SetMembers({ "a" }, { "x" }, false, now);
  auto outgoing = alone.OnTimer(now);
  DOCTEST_REQUIRE(outgoing.size() == 1);
  DOCTEST_CHECK(!alone.IsGranter(0, now));
  alone.OnVote(
    "x", GranterElection::AnswerAsWitness(outgoing[0].m_request, 3), now);
  DOCTEST_CHECK(!alone.IsGranter(0, now));
  // It remembers no others.
  alone.OnVote(
    "x", GranterElection::AnswerAsWitness(outgoing[0].m_request, 1), now);
  DOCTEST_CHECK(alone.IsGranter(0, now));
}

// Guards against traffic that grows with the data centre, and against too small
// a quorum in a large one.
DOCTEST_TEST_CASE("in a large data centre seven instances vote")
{
  std::set<std::string> hosts;
  for (int i = 0; i < 40; ++i) {
    hosts.insert("10.0.0." + std::to_string(i));
  }
  VotingInstances instances(hosts);
  instances.SetCandidate("10.0.0.7", 1);
  DOCTEST_CHECK(instances.At("10.0.0.7").OnTimer(instances.Now()).size() <= 7);
  instances.Run(Seconds(3));
  DOCTEST_CHECK(instances.Granters(0) == std::set<std::string>{ "10.0.0.7" });
}

} // namespace ebonykeel
