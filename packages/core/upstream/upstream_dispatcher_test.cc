#include "core/upstream/upstream_dispatcher.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr uint32_t kSlots = 2;
constexpr uint32_t kAnswersPerStep = 8;
const TimePoint kStart = TimePoint(Seconds(100));

class FixedPermit : public SendPermit
{
public:
  [[nodiscard]] uint32_t AllowedSlots(const UpstreamId& /*aUpstream*/,
                                      TimePoint /*aNow*/) const override
  {
    return m_allowed;
  }

  [[nodiscard]] uint32_t PredecessorWork(const UpstreamId& /*aUpstream*/,
                                         TimePoint /*aNow*/) const override
  {
    return m_predecessorWork;
  }

  uint32_t m_allowed = kSlots;
  uint32_t m_predecessorWork = 0;
};

template<typename T>
std::vector<T>
ActionsOf(const DispatcherActions& aActions)
{
  std::vector<T> matches;
  for (const DispatcherAction& action : aActions) {
    if (const T* match = std::get_if<T>(&action)) {
      matches.push_back(*match);
    }
  }
  return matches;
}

// A dispatcher with its permit and a time that the test advances.
struct Fixture
{
  explicit Fixture(const DispatcherSettings& aSettings = {})
    : m_dispatcher(UpstreamId("u"),
                   { .m_slots = kSlots, .m_connectionLimit = 6 },
                   aSettings,
                   m_permit,
                   std::make_unique<ColdStartRamp>(
                     kSlots,
                     ColdStartSettings{ .m_answersPerStep = kAnswersPerStep,
                                        .m_groupsWithoutBaseline = 1 },
                     kStart),
                   kStart)
  {
  }

  DispatcherActions Enqueue(WorkId aId,
                            Duration aRemaining = Seconds(1),
                            const char* aCaller = "desk")
  {
    return m_dispatcher.Enqueue({ .m_id = aId,
                                  .m_deadline = m_now + aRemaining,
                                  .m_caller = CallerName(aCaller) },
                                m_now);
  }

  DispatcherActions Finish(WorkId aId,
                           UpstreamResultKind aKind = UpstreamResultKind::kOk,
                           BootId aBoot = 1)
  {
    m_now += Milliseconds(4);
    bool answered = aKind == UpstreamResultKind::kOk;
    return m_dispatcher.OnResult(
      aId,
      { .m_kind = aKind,
        .m_bootId = aBoot,
        .m_connection = answered ? ConnectionDisposition::kKept
                                 : ConnectionDisposition::kClosed },
      m_now);
  }

  // Enqueues and answers `aCount` pieces of work, one after the other.
  void Answer(uint32_t aCount, BootId aBoot = 1)
  {
    for (uint32_t i = 0; i < aCount; ++i) {
      DOCTEST_REQUIRE(ActionsOf<DispatchWork>(Enqueue(m_nextId)).size() == 1);
      (void)Finish(m_nextId++, UpstreamResultKind::kOk, aBoot);
    }
  }

  FixedPermit m_permit;
  TimePoint m_now = kStart;
  WorkId m_nextId = 1000;
  UpstreamDispatcher m_dispatcher;
};

DOCTEST_TEST_CASE("an upstream starts cold and gains slots by answers")
{
  Fixture fixture;
  DOCTEST_CHECK(ActionsOf<DispatchWork>(fixture.Enqueue(1)).size() == 1);
  DOCTEST_CHECK(fixture.Enqueue(2).empty());
  auto next = ActionsOf<DispatchWork>(fixture.Finish(1));
  DOCTEST_REQUIRE(next.size() == 1);
  DOCTEST_CHECK(next[0].m_work == 2);
  DOCTEST_CHECK_FALSE(next[0].m_newConnection);
  (void)fixture.Finish(2);
  fixture.Answer(kAnswersPerStep - 3);
  DOCTEST_CHECK_FALSE(fixture.m_dispatcher.Warm());
  fixture.Answer(1);
  DOCTEST_CHECK(fixture.m_dispatcher.Warm());
  DOCTEST_CHECK(ActionsOf<DispatchWork>(fixture.Enqueue(3)).size() == 1);
  DOCTEST_CHECK(ActionsOf<DispatchWork>(fixture.Enqueue(4)).size() == 1);
}

DOCTEST_TEST_CASE("signs of a cold start reset the limit")
{
  Fixture fixture;
  fixture.Answer(kAnswersPerStep);
  DOCTEST_REQUIRE(fixture.m_dispatcher.Warm());
  (void)fixture.Enqueue(1);
  (void)fixture.Enqueue(2);
  (void)fixture.Enqueue(3);
  DOCTEST_SUBCASE("another boot id")
  {
    // The other piece of work still holds its slot, so the third has to wait.
    DOCTEST_CHECK(fixture.Finish(1, UpstreamResultKind::kOk, 2).empty());
  }
  DOCTEST_SUBCASE("a shed")
  {
    DOCTEST_CHECK(fixture.Finish(1, UpstreamResultKind::kShed).empty());
  }
  DOCTEST_SUBCASE("a reset")
  {
    DOCTEST_CHECK(fixture.Finish(1, UpstreamResultKind::kReset, 0).empty());
  }
  DOCTEST_SUBCASE("a refused connection")
  {
    DOCTEST_CHECK(
      fixture.Finish(1, UpstreamResultKind::kConnectFailed, 0).empty());
  }
  DOCTEST_CHECK(fixture.m_dispatcher.Limit() == 1);
}

DOCTEST_TEST_CASE("an upstream whose answers become much slower is cold again")
{
  Fixture fixture;
  fixture.Answer(kAnswersPerStep);
  for (WorkId id = 1; id <= 5; ++id) {
    (void)fixture.Enqueue(id);
    fixture.m_now += Milliseconds(40);
    (void)fixture.Finish(id);
  }
  DOCTEST_CHECK_FALSE(fixture.m_dispatcher.Warm());
}

// Reports `aCount` answers with `aLatency` and returns the resulting limit.
uint32_t
LimitAfter(ColdStartRamp& aRamp, uint32_t aCount, Duration aLatency)
{
  for (uint32_t i = 0; i < aCount; ++i) {
    aRamp.OnAnswer(aLatency, kStart, kStart + aLatency);
  }
  return aRamp.Limit();
}

DOCTEST_TEST_CASE("a slow upstream without a baseline is not considered warm")
{
  ColdStartRamp ramp(2, {}, kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 30, Milliseconds(16)) == 1);
  // The latency drops to its real value, which has to be confirmed by two more
  // groups.
  DOCTEST_CHECK(LimitAfter(ramp, 2 + 16 + 7, Milliseconds(4)) == 1);
  DOCTEST_CHECK(LimitAfter(ramp, 1, Milliseconds(4)) == 2);

  // Once the baseline is known, slow answers do not raise the limit.
  ramp.BecomeCold(kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 80, Milliseconds(16)) == 1);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(4)) == 2);
}

DOCTEST_TEST_CASE("a lasting new latency becomes the baseline")
{
  ColdStartRamp ramp(2, { .m_baselineLatency = Milliseconds(4) }, kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 11 * 8, Milliseconds(16)) == 1);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(16)) == 2);
}

DOCTEST_TEST_CASE("a raised limit that doubles the latency is reset")
{
  ColdStartRamp ramp(3, { .m_baselineLatency = Milliseconds(20) }, kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(4)) == 2);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(12)) == 1);
}

DOCTEST_TEST_CASE("timeouts count as slow answers only after a long wait")
{
  ColdStartRamp twoSlots(
    2, { .m_answersPerStep = 1, .m_groupsWithoutBaseline = 1 }, kStart);
  twoSlots.OnAnswer(Milliseconds(4), kStart, kStart + Milliseconds(4));
  DOCTEST_REQUIRE(twoSlots.Warm());
  for (int i = 0; i < 9; ++i) {
    twoSlots.OnTimeout(kStart, kStart + Milliseconds(10));
  }
  DOCTEST_CHECK(twoSlots.Warm());
  for (int i = 0; i < 5; ++i) {
    twoSlots.OnTimeout(kStart, kStart + Milliseconds(30));
  }
  DOCTEST_CHECK_FALSE(twoSlots.Warm());
}

DOCTEST_TEST_CASE(
  "abandoned work holds its slot until its deadline plus a margin")
{
  Fixture fixture;
  (void)fixture.Enqueue(1, Milliseconds(20));
  fixture.m_now += Milliseconds(20);
  auto cancels =
    ActionsOf<CancelWork>(fixture.m_dispatcher.OnTimer(fixture.m_now));
  DOCTEST_CHECK(cancels.size() == 1);
  DOCTEST_CHECK(fixture.Enqueue(2).empty());
  DOCTEST_REQUIRE(fixture.m_dispatcher.NextTimer() ==
                  fixture.m_now + DispatcherSettings{}.m_abandonedMargin);
  fixture.m_now = *fixture.m_dispatcher.NextTimer();
  DOCTEST_CHECK(
    ActionsOf<DispatchWork>(fixture.m_dispatcher.OnTimer(fixture.m_now))
      .size() == 1);
}

DOCTEST_TEST_CASE("connections not known to be closed count as open")
{
  Fixture fixture;
  // Half of the limit of 6 is reserved for a second owner.
  for (WorkId id = 1; id <= 3; ++id) {
    DOCTEST_REQUIRE(ActionsOf<DispatchWork>(fixture.Enqueue(id)).size() == 1);
    (void)fixture.m_dispatcher.OnResult(
      id,
      { .m_kind = UpstreamResultKind::kVersionNotHeld,
        .m_connection = ConnectionDisposition::kLingering },
      fixture.m_now);
  }
  DOCTEST_CHECK(fixture.Enqueue(4).empty());
  DOCTEST_CHECK(fixture.m_dispatcher.OpenConnections() == 3);
  auto dispatched = ActionsOf<DispatchWork>(
    fixture.m_dispatcher.OnConnectionsClosed(0, 1, fixture.m_now));
  DOCTEST_CHECK(dispatched.size() == 1);
}

DOCTEST_TEST_CASE("an acknowledged cancellation frees the slot at once")
{
  Fixture fixture;
  (void)fixture.Enqueue(1);
  (void)fixture.Enqueue(2);
  DOCTEST_CHECK(
    ActionsOf<CancelWork>(fixture.m_dispatcher.Cancel(1, fixture.m_now))
      .size() == 1);
  DOCTEST_CHECK(
    ActionsOf<DispatchWork>(fixture.Finish(1, UpstreamResultKind::kCancelled))
      .size() == 1);
}

DOCTEST_TEST_CASE(
  "a draining upstream gets no work and its connections are closed")
{
  Fixture fixture;
  fixture.Answer(1);
  (void)fixture.Enqueue(1);
  (void)fixture.Enqueue(2);
  fixture.m_now += Milliseconds(4);
  auto actions = fixture.m_dispatcher.OnResult(
    1,
    { .m_kind = UpstreamResultKind::kOk, .m_bootId = 1, .m_draining = true },
    fixture.m_now);
  auto refused = ActionsOf<RefuseWork>(actions);
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kWithdrawn);
  DOCTEST_CHECK(ActionsOf<CloseIdleConnections>(actions).size() == 1);
  (void)fixture.m_dispatcher.OnConnectionsClosed(1, 0, fixture.m_now);
  DOCTEST_CHECK(fixture.m_dispatcher.OpenConnections() == 0);
  DOCTEST_CHECK(ActionsOf<RefuseWork>(fixture.Enqueue(3)).size() == 1);

  fixture.m_now += DispatcherSettings{}.m_probeInterval;
  DOCTEST_CHECK(
    ActionsOf<ProbeUpstream>(fixture.m_dispatcher.OnTimer(fixture.m_now))
      .size() == 1);
  (void)fixture.m_dispatcher.OnProbe(
    { .m_answered = true, .m_bootId = 2, .m_draining = false }, fixture.m_now);
  DOCTEST_CHECK(ActionsOf<DispatchWork>(fixture.Enqueue(4)).size() == 1);
  DOCTEST_CHECK(fixture.Enqueue(5).empty());
}

DOCTEST_TEST_CASE(
  "an upstream is cold after operators have withdrawn or drained it")
{
  Fixture fixture;
  fixture.Answer(kAnswersPerStep);
  (void)fixture.m_dispatcher.SetClosed(
    ClosureReason::kWithdrawn, true, fixture.m_now);
  (void)fixture.m_dispatcher.SetClosed(
    ClosureReason::kDrained, true, fixture.m_now);
  (void)fixture.m_dispatcher.SetClosed(
    ClosureReason::kWithdrawn, false, fixture.m_now);
  DOCTEST_CHECK(ActionsOf<RefuseWork>(fixture.Enqueue(1)).size() == 1);
  (void)fixture.m_dispatcher.SetClosed(
    ClosureReason::kDrained, false, fixture.m_now);
  DOCTEST_CHECK(ActionsOf<DispatchWork>(fixture.Enqueue(2)).size() == 1);
  DOCTEST_CHECK_FALSE(fixture.m_dispatcher.Warm());
}

DOCTEST_TEST_CASE("without a permit queued work is refused")
{
  Fixture fixture;
  (void)fixture.Enqueue(1);
  (void)fixture.Enqueue(2);
  fixture.m_permit.m_allowed = 0;
  auto refused = ActionsOf<RefuseWork>(fixture.Finish(1));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kNoOwner);
}

DOCTEST_TEST_CASE(
  "a warmth hint counts only for the same process run of the upstream")
{
  WarmthHint hint{ .m_bootId = 7,
                   .m_limit = 2,
                   .m_expectedLatency = Milliseconds(4) };
  Fixture fixture;
  fixture.m_dispatcher.OnOwnershipGained({ .m_hint = hint }, fixture.m_now);
  DOCTEST_CHECK_FALSE(fixture.m_dispatcher.Warm());
  DOCTEST_SUBCASE("the same boot id")
  {
    fixture.Answer(1, 7);
    DOCTEST_CHECK(fixture.m_dispatcher.Warm());
  }
  DOCTEST_SUBCASE("another boot id")
  {
    fixture.Answer(1, 8);
    DOCTEST_CHECK_FALSE(fixture.m_dispatcher.Warm());
  }
}

DOCTEST_TEST_CASE("work of the previous owner holds slots until its time limit")
{
  Fixture fixture;
  TimePoint until = fixture.m_now + Milliseconds(200);
  fixture.m_dispatcher.OnOwnershipGained(
    { .m_inheritedWork = 1, .m_inheritedUntil = until }, fixture.m_now);
  DOCTEST_CHECK(fixture.Enqueue(1).empty());
  DOCTEST_CHECK(fixture.m_dispatcher.NextTimer() == until);
  DOCTEST_CHECK(
    ActionsOf<DispatchWork>(fixture.m_dispatcher.OnTimer(until)).size() == 1);
}

DOCTEST_TEST_CASE("the permit is polled for the work of the previous owner")
{
  Fixture fixture;
  fixture.m_permit.m_predecessorWork = 1;
  DOCTEST_CHECK(fixture.Enqueue(1).empty());
  fixture.m_permit.m_predecessorWork = 0;
  DOCTEST_REQUIRE(fixture.m_dispatcher.NextTimer() ==
                  fixture.m_now +
                    DispatcherSettings{}.m_predecessorPollInterval);
  fixture.m_now = *fixture.m_dispatcher.NextTimer();
  auto dispatched =
    ActionsOf<DispatchWork>(fixture.m_dispatcher.OnTimer(fixture.m_now));
  DOCTEST_CHECK(dispatched.size() == 1);
}

DOCTEST_TEST_CASE("a shed causes a pause, and work that cannot wait is refused")
{
  Fixture fixture;
  (void)fixture.Enqueue(1);
  (void)fixture.Enqueue(2, Milliseconds(10));
  (void)fixture.Enqueue(3, Seconds(1));
  auto refused =
    ActionsOf<RefuseWork>(fixture.Finish(1, UpstreamResultKind::kShed));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_work == 2);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kShed);
  TimePoint resumesAt = fixture.m_now + DispatcherSettings{}.m_minBackoff;
  DOCTEST_CHECK(fixture.m_dispatcher.NextTimer() == resumesAt);
  DOCTEST_CHECK(
    ActionsOf<DispatchWork>(fixture.m_dispatcher.OnTimer(resumesAt)).size() ==
    1);
}

DOCTEST_TEST_CASE(
  "work whose expected wait exceeds its deadline is refused at once")
{
  Fixture fixture;
  for (WorkId id = 1; id <= 10; ++id) {
    (void)fixture.Enqueue(id);
  }
  auto refused = ActionsOf<RefuseWork>(fixture.Enqueue(11, Milliseconds(6)));
  DOCTEST_CHECK(refused.empty());
  refused = ActionsOf<RefuseWork>(fixture.m_dispatcher.Enqueue(
    { .m_id = 12,
      .m_deadline = fixture.m_now + Milliseconds(20),
      .m_priority = WorkPriority::kSecondary,
      .m_caller = CallerName("desk") },
    fixture.m_now));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kOverloaded);
}

DOCTEST_TEST_CASE("queued work that cannot be answered in time is refused")
{
  Fixture fixture;
  (void)fixture.Enqueue(1);
  (void)fixture.Enqueue(2, Milliseconds(8));
  (void)fixture.Enqueue(3);
  auto actions = fixture.Finish(1);
  // The second piece of work has 4 ms left, and an answer is expected to take 5
  // ms.
  DOCTEST_REQUIRE(ActionsOf<RefuseWork>(actions).size() == 1);
  DOCTEST_CHECK(ActionsOf<RefuseWork>(actions)[0].m_work == 2);
  DOCTEST_REQUIRE(ActionsOf<DispatchWork>(actions).size() == 1);
  DOCTEST_CHECK(ActionsOf<DispatchWork>(actions)[0].m_work == 3);
  (void)fixture.Finish(3);
  DOCTEST_CHECK(
    ActionsOf<DispatchWork>(fixture.Enqueue(4, Milliseconds(2))).size() == 1);
}

DOCTEST_TEST_CASE(
  "a caller that floods the queue does not displace other callers")
{
  Fixture fixture({ .m_maxQueueLength = 8 });
  for (WorkId id = 1; id <= 9; ++id) {
    (void)fixture.Enqueue(id, Seconds(1), "flood");
  }
  auto refused =
    ActionsOf<RefuseWork>(fixture.Enqueue(20, Seconds(2), "quiet"));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_work != 20);
  std::vector<WorkId> served;
  WorkId running = 1;
  for (int i = 0; i < 4; ++i) {
    auto next = ActionsOf<DispatchWork>(fixture.Finish(running));
    DOCTEST_REQUIRE(next.size() == 1);
    running = next[0].m_work;
    served.push_back(running);
  }
  DOCTEST_CHECK(std::ranges::count(served, WorkId{ 20 }) == 1);
}

} // namespace
} // namespace ebonykeel
