#include "core/quota/quota_leases.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kMaxWait = Milliseconds(20);
const Workspace kWorkspace{ .m_name = "w",
                            .m_ratePerSecond = 30,
                            .m_burst = 30 };

class LeasesFixture
{
public:
  LeasesFixture()
  {
    QuotaGranters own;
    own.fill("own");
    QuotaGranters other;
    other.fill("other");
    m_leases.SetGranters({ own, other });
  }

  QuotaDecision Admit(uint64_t aId, Duration aMaxWait = kMaxWait)
  {
    return m_leases.Admit(kWorkspace, aId, aMaxWait, m_now);
  }
  // Returns the only message that is due.
  OutgoingQuotaRequest TakeMessage()
  {
    std::vector<OutgoingQuotaRequest> messages = m_leases.TakeMessages(m_now);
    DOCTEST_REQUIRE(messages.size() == 1);
    return messages.front();
  }
  void Grant(const OutgoingQuotaRequest& aMessage,
             uint32_t aTokens,
             Duration aAvailableIn = {})
  {
    m_leases.OnGrant(
      { .m_processStart = 1,
        .m_sequence = aMessage.m_request.m_sequence,
        .m_isGranter = true,
        .m_entries = { { HashWorkspace("w"), aTokens, aAvailableIn } } },
      m_now);
  }
  // Advances in steps of 1 ms and handles timers.
  void Advance(Duration aFor)
  {
    for (TimePoint end = m_now + aFor; m_now < end;) {
      m_now += Milliseconds(1);
      std::optional<TimePoint> next = m_leases.NextTimer();
      if (next && *next <= m_now) {
        m_leases.OnTimer(m_now);
      }
    }
  }

  TimePoint m_now = kStart;
  QuotaLeases m_leases{
    QuotaPolicy(
      QuotaSettings{ .m_dataCentres = { DataCentre("a"), DataCentre("b") } }),
    { .m_host = "10.0.0.1", .m_processStart = 1 }
  };
};

} // namespace

// Guards against a limit where the configuration has none.
DOCTEST_TEST_CASE("a workspace without a limit is admitted without a message")
{
  LeasesFixture fixture;
  Workspace unlimited{ .m_name = "u" };
  DOCTEST_CHECK(
    fixture.m_leases.Admit(unlimited, 1, kMaxWait, kStart).m_outcome ==
    QuotaOutcome::kAdmitted);
  DOCTEST_CHECK(fixture.m_leases.TakeMessages(kStart).empty());
}

// Guards against requests that wait although a token has come.
DOCTEST_TEST_CASE("a request waits for the granter and takes its token")
{
  LeasesFixture fixture;
  DOCTEST_CHECK(fixture.Admit(1).m_outcome == QuotaOutcome::kWaiting);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  DOCTEST_CHECK(message.m_host == "own");
  fixture.Grant(message, 1);
  auto decisions = fixture.m_leases.TakeDecisions();
  DOCTEST_REQUIRE(decisions.size() == 1);
  DOCTEST_CHECK(decisions[0].first == 1);
  DOCTEST_CHECK(decisions[0].second.m_outcome == QuotaOutcome::kAdmitted);
}

DOCTEST_TEST_CASE("the tokens of one workspace are stated until they end")
{
  LeasesFixture fixture;
  DOCTEST_CHECK(fixture.m_leases.HeldBy("w", fixture.m_now) == 0);
  (void)fixture.Admit(1);
  (void)fixture.Admit(2);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  fixture.m_leases.Cancel(2);
  fixture.Grant(message, 2);
  // Of the two tokens, the request that waits takes one.
  DOCTEST_CHECK(fixture.m_leases.HeldBy("w", fixture.m_now) == 1);
  DOCTEST_CHECK(fixture.m_leases.HeldBy("other", fixture.m_now) == 0);
  TimePoint expired = fixture.m_now + Milliseconds(400);
  DOCTEST_CHECK(fixture.m_leases.HeldBy("w", expired) == 0);
  DOCTEST_CHECK(fixture.m_leases.HeldBy("w", fixture.m_now) == 1);
}

// Guards against tokens that are spent after a freeze or with a late answer.
DOCTEST_TEST_CASE("a lease ends 0.4 s after its request")
{
  LeasesFixture fixture;
  (void)fixture.Admit(1);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  fixture.m_now += Milliseconds(10);
  fixture.Grant(message, 1);
  DOCTEST_CHECK(fixture.m_leases.TakeDecisions().size() == 1);
  DOCTEST_CHECK(fixture.Admit(2).m_outcome == QuotaOutcome::kWaiting);
  message = fixture.TakeMessage();
  fixture.m_now += Milliseconds(400);
  fixture.Grant(message, 1);
  DOCTEST_CHECK(fixture.m_leases.Held(fixture.m_now) == 0);
  for (const auto& [id, decision] : fixture.m_leases.TakeDecisions()) {
    DOCTEST_CHECK(decision.m_outcome != QuotaOutcome::kAdmitted);
  }
}

// Guards against refusals within the limit because the own data centre has no
// tokens, and against a delay that is not the granters'.
DOCTEST_TEST_CASE(
  "the granters of all data centres are asked, then it is refused")
{
  LeasesFixture fixture;
  (void)fixture.Admit(1);
  fixture.Grant(fixture.TakeMessage(), 0, Milliseconds(900));
  OutgoingQuotaRequest second = fixture.TakeMessage();
  DOCTEST_CHECK(second.m_host == "other");
  fixture.Grant(second, 0, Milliseconds(600));
  auto decisions = fixture.m_leases.TakeDecisions();
  DOCTEST_REQUIRE(decisions.size() == 1);
  DOCTEST_CHECK(decisions[0].second.m_outcome == QuotaOutcome::kRefused);
  DOCTEST_CHECK(decisions[0].second.m_retryAfter == Milliseconds(600));
  // The next one is refused at once, without a message, and told the rest.
  fixture.m_now += Milliseconds(5);
  QuotaDecision next = fixture.Admit(2);
  DOCTEST_CHECK(next.m_outcome == QuotaOutcome::kRefused);
  DOCTEST_CHECK(next.m_retryAfter == Milliseconds(595));
  DOCTEST_CHECK(fixture.m_leases.TakeMessages(fixture.m_now).empty());
}

// Guards against a request that is lost with its datagram, and against a wait
// without end.
DOCTEST_TEST_CASE("an unanswered message is repeated, then the next is asked")
{
  LeasesFixture fixture;
  (void)fixture.Admit(1);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  fixture.Advance(Milliseconds(8));
  OutgoingQuotaRequest repeated = fixture.TakeMessage();
  DOCTEST_CHECK(repeated.m_host == message.m_host);
  DOCTEST_CHECK(repeated.m_request == message.m_request);
  fixture.Advance(Milliseconds(8));
  DOCTEST_CHECK(fixture.TakeMessage().m_host == "other");
  fixture.Advance(Milliseconds(5));
  auto decisions = fixture.m_leases.TakeDecisions();
  DOCTEST_REQUIRE(decisions.size() == 1);
  DOCTEST_CHECK(decisions[0].second.m_outcome == QuotaOutcome::kRefused);
  DOCTEST_CHECK(decisions[0].second.m_retryAfter > Duration{});
  DOCTEST_CHECK(fixture.m_leases.WaitingCount() == 0);
}

// Guards against losing what the reserve allows while no granter answers.
DOCTEST_TEST_CASE("without a granter the reserve is spent")
{
  LeasesFixture fixture;
  fixture.m_leases.SetReserveSharers({ "10.0.0.1" }, kStart);
  fixture.m_now += Seconds(30);
  (void)fixture.Admit(1, Milliseconds(3));
  (void)fixture.TakeMessage();
  fixture.Advance(Milliseconds(3));
  auto decisions = fixture.m_leases.TakeDecisions();
  DOCTEST_REQUIRE(decisions.size() == 1);
  DOCTEST_CHECK(decisions[0].second.m_outcome == QuotaOutcome::kAdmitted);
  DOCTEST_CHECK(!decisions[0].second.m_tokenExpiresAt);
  DOCTEST_CHECK(fixture.m_leases.Counters().m_fromReserve == 1);
}

// Guards against tokens that are spent for callers that have gone.
DOCTEST_TEST_CASE("a caller that has gone takes no token")
{
  LeasesFixture fixture;
  (void)fixture.Admit(1);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  fixture.m_leases.Cancel(1);
  fixture.Grant(message, 1);
  DOCTEST_CHECK(fixture.m_leases.TakeDecisions().empty());
  DOCTEST_CHECK(fixture.Admit(2).m_outcome == QuotaOutcome::kAdmitted);
}

// Guards against counting a request that was refused later without having run.
DOCTEST_TEST_CASE("a token that is given back serves another request")
{
  LeasesFixture fixture;
  (void)fixture.Admit(1);
  fixture.Grant(fixture.TakeMessage(), 1);
  QuotaDecision first = fixture.m_leases.TakeDecisions().front().second;
  DOCTEST_REQUIRE(first.m_tokenExpiresAt);
  fixture.m_leases.GiveBack("w", *first.m_tokenExpiresAt, fixture.m_now);
  DOCTEST_CHECK(fixture.Admit(2).m_outcome == QuotaOutcome::kAdmitted);
  fixture.m_now += Milliseconds(400);
  fixture.m_leases.GiveBack("w", *first.m_tokenExpiresAt, fixture.m_now);
  DOCTEST_CHECK(fixture.m_leases.Held(fixture.m_now) == 0);
}

// Guards against tokens for answers that another run asked for, or that nobody
// asked for.
DOCTEST_TEST_CASE("grants that were not asked for are ignored")
{
  LeasesFixture fixture;
  (void)fixture.Admit(1);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  QuotaGrant grant{ .m_processStart = 2,
                    .m_sequence = message.m_request.m_sequence,
                    .m_isGranter = true,
                    .m_entries = { { HashWorkspace("w"), 1, {} } } };
  fixture.m_leases.OnGrant(grant, fixture.m_now);
  grant.m_processStart = 1;
  grant.m_sequence += 1;
  fixture.m_leases.OnGrant(grant, fixture.m_now);
  DOCTEST_CHECK(fixture.m_leases.TakeDecisions().empty());
  fixture.Grant(message, message.m_request.m_entries[0].m_wanted + 50);
  DOCTEST_CHECK(fixture.m_leases.TakeDecisions().empty());
}

// Guards against memory and messages without bound when many requests arrive.
DOCTEST_TEST_CASE("waiting requests are bounded and share one message")
{
  LeasesFixture fixture;
  size_t waiting = 0;
  for (uint64_t id = 1; id <= 2000; ++id) {
    waiting += fixture.Admit(id).m_outcome == QuotaOutcome::kWaiting ? 1 : 0;
  }
  DOCTEST_CHECK(waiting == QuotaLeasesOptions{}.m_maxWaiting);
  OutgoingQuotaRequest message = fixture.TakeMessage();
  DOCTEST_CHECK(message.m_request.m_entries.size() == 1);
  DOCTEST_CHECK(message.m_request.m_entries[0].m_wanted >= waiting);
}

// Guards against a message for each request.
DOCTEST_TEST_CASE("at a steady demand a message serves many requests")
{
  LeasesFixture fixture;
  int messages = 0;
  uint64_t id = 0;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    (void)fixture.Admit(++id);
    for (const OutgoingQuotaRequest& message :
         fixture.m_leases.TakeMessages(fixture.m_now)) {
      ++messages;
      fixture.Grant(message, message.m_request.m_entries[0].m_wanted);
    }
    fixture.Advance(Milliseconds(2));
  }
  // 2,000 requests in 4 s; at most 5 messages a second ahead of need, and some
  // until the rate is known.
  DOCTEST_CHECK(messages <= 30);
  DOCTEST_CHECK(fixture.m_leases.Counters().m_refused == 0);
}

} // namespace ebonykeel
