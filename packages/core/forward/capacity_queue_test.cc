#include "core/forward/capacity_queue.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/forward/forward_run_fixture.h"

namespace ebonykeel {
namespace {

constexpr Duration kRecheck = Milliseconds(8);

class FakeWaiter final : public CapacityWaiter
{
public:
  void OnTurn(uint64_t aTicket) override { m_called.push_back(aTicket); }
  std::vector<uint64_t> m_called;
};

struct Fixture
{
  uint64_t Enter(uint32_t aPriority,
                 const std::string& aWorkspace = "",
                 Duration aInTimeFor = Seconds(1))
  {
    return m_queue.Enter(
      "s", { aPriority, kStart + aInTimeFor, aWorkspace }, m_waiter, kStart);
  }
  // Returns whose turn it is when an upstream has capacity; that one leaves.
  uint64_t Next(TimePoint aNow = kStart)
  {
    m_queue.OnCapacity("s", aNow);
    uint64_t ticket = m_waiter.m_called.back();
    DOCTEST_CHECK(m_queue.IsNext("s", ticket, aNow));
    m_queue.Leave("s", ticket);
    return ticket;
  }

  FakeWaiter m_waiter;
  CapacityQueue m_queue;
};

DOCTEST_TEST_CASE("the most urgent priority starts first, then the first come")
{
  Fixture fixture;
  uint64_t second = fixture.Enter(1);
  uint64_t third = fixture.Enter(1);
  uint64_t first = fixture.Enter(0);
  DOCTEST_CHECK(fixture.Next() == first);
  DOCTEST_CHECK(fixture.Next() == second);
  DOCTEST_CHECK(fixture.Next() == third);
  DOCTEST_CHECK(fixture.m_queue.IsEmpty("s"));
}

// Guards against capacity for requests that come too late anyway while others
// become late meanwhile.
DOCTEST_TEST_CASE("those that can be answered in time go before late ones")
{
  Fixture fixture;
  uint64_t late = fixture.Enter(0, "", Milliseconds(10));
  uint64_t inTime = fixture.Enter(0);
  TimePoint now = kStart + Milliseconds(20);
  DOCTEST_CHECK(fixture.Next(now) == inTime);
  DOCTEST_CHECK(fixture.Next(now) == late);
}

DOCTEST_TEST_CASE("the workspace that has used least work goes first")
{
  Fixture fixture;
  fixture.m_queue.OnSent("busy", Milliseconds(50), kStart);
  fixture.m_queue.OnSent("quiet", Milliseconds(20), kStart);
  uint64_t busy = fixture.Enter(0, "busy");
  uint64_t quiet = fixture.Enter(0, "quiet");
  uint64_t unused = fixture.Enter(0, "unused");
  DOCTEST_CHECK(fixture.Next() == unused);
  DOCTEST_CHECK(fixture.Next() == quiet);
  DOCTEST_CHECK(fixture.Next() == busy);
}

DOCTEST_TEST_CASE("used work fades")
{
  WorkspaceUsage usage;
  usage.Add("w", Seconds(4), kStart);
  DOCTEST_CHECK(usage.At("w", kStart + Seconds(20)) == doctest::Approx(1));
  DOCTEST_CHECK(usage.At("other", kStart) == 0);
}

DOCTEST_TEST_CASE("a newcomer starts only if nobody waits with a higher rank")
{
  Fixture fixture;
  WaitingRank rank{ .m_priority = 1, .m_inTimeUntil = kStart + Seconds(1) };
  DOCTEST_CHECK(fixture.m_queue.MayStart("s", rank, kStart));
  uint64_t equal = fixture.Enter(1);
  DOCTEST_CHECK_FALSE(fixture.m_queue.MayStart("s", rank, kStart));
  DOCTEST_CHECK(fixture.m_queue.MayStart("other", rank, kStart));
  rank.m_priority = 0;
  DOCTEST_CHECK(fixture.m_queue.MayStart("s", rank, kStart));
  rank.m_priority = 1;
  fixture.m_queue.Leave("s", equal);
  DOCTEST_CHECK(fixture.m_queue.MayStart("s", rank, kStart));
}

// Guards against a request that may use no upstream (its budget of retries is
// empty, for instance) and holds up all others.
DOCTEST_TEST_CASE("one that cannot use its turn lets the next one go")
{
  Fixture fixture;
  uint64_t stuck = fixture.Enter(0);
  uint64_t next = fixture.Enter(1);
  fixture.m_queue.OnCapacity("s", kStart);
  DOCTEST_CHECK(fixture.m_waiter.m_called == std::vector{ stuck });
  fixture.m_queue.OnTurnUnused("s", stuck, true, kStart + kRecheck, kStart);
  DOCTEST_CHECK(fixture.m_waiter.m_called == std::vector{ stuck, next });
  DOCTEST_CHECK(fixture.m_queue.IsNext("s", next, kStart));
  DOCTEST_CHECK(fixture.m_queue.IsNext("s", stuck, kStart + kRecheck));
}

DOCTEST_TEST_CASE("without capacity the turn stays with the first in rank")
{
  Fixture fixture;
  uint64_t first = fixture.Enter(0);
  fixture.Enter(1);
  fixture.m_queue.OnCapacity("s", kStart);
  fixture.m_queue.OnTurnUnused("s", first, false, kStart + kRecheck, kStart);
  DOCTEST_CHECK(fixture.m_waiter.m_called.size() == 1);
  DOCTEST_CHECK(fixture.m_queue.IsNext("s", first, kStart));
}

// Guards against a turn that is lost when its owner ends before it uses it.
DOCTEST_TEST_CASE("one that leaves gives the turn to the next one")
{
  Fixture fixture;
  uint64_t first = fixture.Enter(0);
  uint64_t second = fixture.Enter(0);
  uint64_t third = fixture.Enter(0);
  fixture.m_queue.OnCapacity("s", kStart);
  fixture.m_queue.Leave("s", first);
  fixture.m_queue.Leave("s", second);
  DOCTEST_CHECK(fixture.m_waiter.m_called ==
                std::vector{ first, second, third });
}

// Guards against requests of deployments without workspaces that wait although
// nothing waits before them.
DOCTEST_TEST_CASE("less urgent requests leave places to urgent ones while "
                  "requests wait, or with workspaces")
{
  Fixture fixture;
  const CapacityQueue& queue = fixture.m_queue;
  fixture.m_queue.OnRequest("s", 0, kStart);
  fixture.m_queue.OnRequest("s", 1, kStart);
  DOCTEST_CHECK_FALSE(queue.LeavesPlaces("s", 1, false, kStart));
  DOCTEST_CHECK(queue.LeavesPlaces("s", 1, true, kStart));
  DOCTEST_CHECK_FALSE(queue.LeavesPlaces("s", 0, true, kStart));
  fixture.Enter(1);
  DOCTEST_CHECK(queue.LeavesPlaces("s", 1, false, kStart));
  DOCTEST_CHECK_FALSE(queue.LeavesPlaces("s", 0, false, kStart));
  TimePoint later = kStart + Seconds(2);
  DOCTEST_CHECK_FALSE(queue.LeavesPlaces("s", 1, true, later));
}

DOCTEST_TEST_CASE("only those at least as urgent are ahead")
{
  Fixture fixture;
  fixture.Enter(0);
  fixture.Enter(1);
  DOCTEST_CHECK(fixture.m_queue.CountAhead("s", 0) == 1);
  DOCTEST_CHECK(fixture.m_queue.CountAhead("s", 1) == 2);
  DOCTEST_CHECK(fixture.m_queue.CountAhead("other", 1) == 0);
}

// Two runs at one service whose upstreams are full.
struct TwoRunsFixture : ForwardRunFixture
{
  TwoRunsFixture()
    : ForwardRunFixture(1, RouteTarget::kService)
    , m_full(m_catalogue.Usable("s0").begin(), m_catalogue.Usable("s0").end())
  {
    m_route.m_targetLatency = Milliseconds(300);
    for (const ReplicaPtr& replica : m_full) {
      for (int i = 0; i < 6; ++i) {
        m_load.OnSent(*replica, kStart);
      }
    }
  }
  void StartRun(std::optional<ForwardRun>& aRun,
                FakePort& aPort,
                uint32_t aPriority)
  {
    aRun.emplace(ForwardRequest{ .m_route = &m_route,
                                 .m_services = m_route.m_services,
                                 .m_receivedAt = kStart,
                                 .m_remaining = Milliseconds(600),
                                 .m_priority = aPriority },
                 m_environment,
                 aPort);
    aRun->Start(m_port.m_now);
  }
  void FreeOnePlace()
  {
    m_load.OnAttemptCancelled(*m_full[0], kStart);
    m_environment.m_waiters.OnCapacity("s0", m_port.m_now);
  }

  std::vector<ReplicaPtr> m_full;
  FakePort m_otherPort{ m_load };
  std::optional<ForwardRun> m_otherRun;
};

DOCTEST_TEST_CASE("a waiting request is called when a place comes free, not "
                  "only by its poll")
{
  TwoRunsFixture fixture;
  fixture.StartRun(fixture.m_run, fixture.m_port, 0);
  DOCTEST_CHECK(*fixture.m_run->NextTimer() == kStart + kRecheck);
  fixture.SetTime(Milliseconds(1));
  fixture.FreeOnePlace();
  DOCTEST_CHECK(*fixture.m_run->NextTimer() <= fixture.m_port.m_now);
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
}

DOCTEST_TEST_CASE("a newcomer waits although a place is free that a request "
                  "of higher rank waits for")
{
  TwoRunsFixture fixture;
  fixture.StartRun(fixture.m_run, fixture.m_port, 0);
  fixture.FreeOnePlace();
  fixture.StartRun(fixture.m_otherRun, fixture.m_otherPort, 1);
  DOCTEST_CHECK(fixture.m_otherPort.m_sent.empty());
  fixture.RunTimer();
  DOCTEST_CHECK(fixture.m_port.m_sent.size() == 1);
  // A more urgent one need not wait.
  fixture.StartRun(fixture.m_run, fixture.m_port, 1);
  fixture.FreeOnePlace();
  fixture.StartRun(fixture.m_otherRun, fixture.m_otherPort, 0);
  DOCTEST_CHECK(fixture.m_otherPort.m_sent.size() == 1);
}

// Guards against a refusal that comes only with the next poll.
DOCTEST_TEST_CASE("a request of which nothing was sent is refused within a "
                  "quarter of its target latency")
{
  for (RouteTarget target : { RouteTarget::kService, RouteTarget::kShards }) {
    TwoRunsFixture fixture;
    fixture.m_route.m_target = target;
    fixture.StartRun(fixture.m_run, fixture.m_port, 0);
    while (!fixture.m_port.m_result) {
      fixture.m_port.m_now = *fixture.m_run->NextTimer();
      fixture.RunTimer();
    }
    DOCTEST_CHECK(fixture.m_port.m_result->m_status == ForwardStatus::kRefused);
    DOCTEST_CHECK(fixture.m_port.m_now - kStart <=
                  fixture.m_route.m_targetLatency / 4);
  }
}

// Guards against a call of a run that is gone.
DOCTEST_TEST_CASE("a run that ends or is destroyed no longer waits")
{
  TwoRunsFixture fixture;
  fixture.StartRun(fixture.m_run, fixture.m_port, 0);
  fixture.m_run.reset();
  DOCTEST_CHECK(fixture.m_environment.m_waiters.IsEmpty("s0"));
  fixture.StartRun(fixture.m_run, fixture.m_port, 0);
  fixture.m_run->Abandon();
  DOCTEST_CHECK(fixture.m_environment.m_waiters.IsEmpty("s0"));
}

} // namespace
} // namespace ebonykeel
