#include "core/quota/quota_granter.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

// A granter of all groups in the only data centre.
class GranterFixture
{
public:
  GranterFixture()
  {
    m_election.SetMembers({ "g" }, {}, false, kStart);
    m_election.SetCandidacy(0xff, kStart);
    SetLimits(10, 5);
    Advance(Seconds(10));
  }

  void SetLimits(double aRate, double aBurst)
  {
    std::vector<Workspace> workspaces = {
      { .m_name = "w", .m_ratePerSecond = aRate, .m_burst = aBurst }
    };
    m_granter.SetWorkspaces(workspaces, m_now);
  }

  void Advance(Duration aFor)
  {
    for (TimePoint end = m_now + aFor; m_now < end; m_now += Milliseconds(10)) {
      (void)m_election.OnTimer(m_now);
    }
  }

  QuotaGrant Ask(uint64_t aSequence,
                 uint32_t aWanted,
                 uint32_t aReturned = 0,
                 uint64_t aProcessStart = 1)
  {
    QuotaRequest request{ .m_group = QuotaGroupOf(HashWorkspace("w")),
                          .m_processStart = aProcessStart,
                          .m_sequence = aSequence,
                          .m_entries = {
                            { HashWorkspace("w"), aWanted, aReturned } } };
    return m_granter.OnRequest("client", request, m_now);
  }

  GranterElection m_election{ "g", 1, {}, kStart };

private:
  TimePoint m_now = kStart;
  QuotaGranter m_granter{ QuotaPolicy(QuotaSettings{
                            .m_dataCentres = { DataCentre("a") } }),
                          m_election };
};

} // namespace

// Guards against double grants for a repeated or late datagram.
DOCTEST_TEST_CASE("a request that arrives again is granted once")
{
  GranterFixture fixture;
  QuotaGrant first = fixture.Ask(2, 3);
  DOCTEST_REQUIRE(first.m_isGranter);
  DOCTEST_CHECK(first.m_entries[0].m_granted == 3);
  DOCTEST_CHECK(fixture.Ask(2, 3) == first);
  DOCTEST_CHECK(fixture.Ask(1, 3).m_entries.empty());
  QuotaGrant rest = fixture.Ask(3, 9);
  // The burst and a quarter of the slack, less the three.
  DOCTEST_CHECK(rest.m_entries[0].m_granted == 7);
  DOCTEST_CHECK(rest.m_entries[0].m_availableIn == Milliseconds(100));
}

// Guards against an instance that restarts and is refused because its numbers
// start anew.
DOCTEST_TEST_CASE("a new run of an instance has sequences of its own")
{
  GranterFixture fixture;
  (void)fixture.Ask(50, 3, 0, 1);
  QuotaGrant grant = fixture.Ask(1, 1, 0, 2);
  DOCTEST_REQUIRE(grant.m_isGranter);
  DOCTEST_CHECK(grant.m_entries[0].m_granted == 1);
}

// Guards against grants by an instance that is no granter, and against a second
// burst when it is one again.
DOCTEST_TEST_CASE("the buckets are empty at the start of each term")
{
  GranterFixture fixture;
  fixture.Advance(Seconds(10));
  uint32_t group = QuotaGroupOf(HashWorkspace("w"));
  TimePoint since = fixture.m_election.GranterSince(group);
  fixture.m_election.SetCandidacy(0, kStart + Seconds(20));
  DOCTEST_CHECK(!fixture.Ask(1, 1).m_isGranter);
  fixture.m_election.SetCandidacy(0xff, kStart + Seconds(20));
  fixture.Advance(Milliseconds(10));
  DOCTEST_CHECK(fixture.m_election.GranterSince(group) > since);
  QuotaGrant grant = fixture.Ask(2, 5);
  DOCTEST_REQUIRE(grant.m_isGranter);
  DOCTEST_CHECK(grant.m_entries[0].m_granted == 0);
}

// Guards against limits that take effect late, and against refusals without a
// limit.
DOCTEST_TEST_CASE("limits take effect at once and 0 is no limit")
{
  GranterFixture fixture;
  // The burst and a quarter of the slack.
  DOCTEST_CHECK(fixture.Ask(1, 100).m_entries[0].m_granted == 10);
  fixture.SetLimits(10, 25);
  DOCTEST_CHECK(fixture.Ask(2, 100).m_entries[0].m_granted == 20);
  fixture.SetLimits(0, 0);
  DOCTEST_CHECK(fixture.Ask(3, 100).m_entries[0].m_granted == 100);
  fixture.SetLimits(10, 5);
  DOCTEST_CHECK(fixture.Ask(4, 100).m_entries[0].m_granted == 0);
}

// Guards against tokens that an instance invents by giving back more than it
// got, or what it got long ago.
DOCTEST_TEST_CASE("only tokens that were granted lately can be given back")
{
  GranterFixture fixture;
  for (uint64_t i = 1; i <= 20; ++i) {
    (void)fixture.Ask(i, 100);
    fixture.Advance(Milliseconds(100));
  }
  // One token comes in 100 ms; one was granted in the last 100 ms.
  uint32_t granted = fixture.Ask(21, 100).m_entries[0].m_granted;
  DOCTEST_CHECK(granted <= 1);
  QuotaGrant again = fixture.Ask(22, 100, 100);
  DOCTEST_CHECK(again.m_entries[0].m_granted <= 5);
  QuotaGrant third = fixture.Ask(23, 100, 100);
  DOCTEST_CHECK(third.m_entries[0].m_granted <= again.m_entries[0].m_granted);
  fixture.Advance(Milliseconds(450));
  DOCTEST_CHECK(fixture.Ask(24, 0, 100).m_entries[0].m_granted == 0);
  DOCTEST_CHECK(fixture.Ask(25, 100).m_entries[0].m_granted <= 5);
}

} // namespace ebonykeel
