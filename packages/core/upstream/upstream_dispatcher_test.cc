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
    return m_predecessor;
  }

  uint32_t m_allowed = kSlots;
  uint32_t m_predecessor = 0;
};

template<typename T>
std::vector<T>
Only(const DispatcherActions& aActions)
{
  std::vector<T> found;
  for (const DispatcherAction& action : aActions) {
    if (const T* wanted = std::get_if<T>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

// A gate with its permit and the time, which the test moves.
struct Bench
{
  explicit Bench(const DispatcherSettings& aSettings = {})
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
                            Duration aLeft = Seconds(1),
                            const char* aCaller = "desk")
  {
    return m_dispatcher.Enqueue({ .m_id = aId,
                                  .m_deadline = m_now + aLeft,
                                  .m_caller = CallerName(aCaller) },
                                m_now);
  }

  DispatcherActions Finish(WorkId aId,
                           UpstreamResultKind aKind = UpstreamResultKind::kOk,
                           BootId aBoot = 1)
  {
    m_now += Milliseconds(4);
    bool kept = aKind == UpstreamResultKind::kOk;
    return m_dispatcher.OnResult(
      aId,
      { .m_kind = aKind,
        .m_bootId = aBoot,
        .m_connection = kept ? ConnectionDisposition::kKept
                             : ConnectionDisposition::kClosed },
      m_now);
  }

  // Runs `aCount` pieces of work one after the other.
  void Answer(uint32_t aCount, BootId aBoot = 1)
  {
    for (uint32_t i = 0; i < aCount; ++i) {
      DOCTEST_REQUIRE(Only<DispatchWork>(Enqueue(m_nextId)).size() == 1);
      (void)Finish(m_nextId++, UpstreamResultKind::kOk, aBoot);
    }
  }

  FixedPermit m_permit;
  TimePoint m_now = kStart;
  WorkId m_nextId = 1000;
  UpstreamDispatcher m_dispatcher;
};

DOCTEST_TEST_CASE("an upstream starts cold and earns its slots by answers")
{
  Bench bench;
  DOCTEST_CHECK(Only<DispatchWork>(bench.Enqueue(1)).size() == 1);
  DOCTEST_CHECK(bench.Enqueue(2).empty());
  auto next = Only<DispatchWork>(bench.Finish(1));
  DOCTEST_REQUIRE(next.size() == 1);
  DOCTEST_CHECK(next[0].m_work == 2);
  DOCTEST_CHECK_FALSE(next[0].m_newConnection);
  (void)bench.Finish(2);
  bench.Answer(kAnswersPerStep - 3);
  DOCTEST_CHECK_FALSE(bench.m_dispatcher.Warm());
  bench.Answer(1);
  DOCTEST_CHECK(bench.m_dispatcher.Warm());
  DOCTEST_CHECK(Only<DispatchWork>(bench.Enqueue(3)).size() == 1);
  DOCTEST_CHECK(Only<DispatchWork>(bench.Enqueue(4)).size() == 1);
}

DOCTEST_TEST_CASE("signs of a cold start take the slots away")
{
  Bench bench;
  bench.Answer(kAnswersPerStep);
  DOCTEST_REQUIRE(bench.m_dispatcher.Warm());
  (void)bench.Enqueue(1);
  (void)bench.Enqueue(2);
  (void)bench.Enqueue(3);
  DOCTEST_SUBCASE("another boot id")
  {
    // The other piece is still held, so the third has to wait for it.
    DOCTEST_CHECK(bench.Finish(1, UpstreamResultKind::kOk, 2).empty());
  }
  DOCTEST_SUBCASE("a shed")
  {
    DOCTEST_CHECK(bench.Finish(1, UpstreamResultKind::kShed).empty());
  }
  DOCTEST_SUBCASE("a reset")
  {
    DOCTEST_CHECK(bench.Finish(1, UpstreamResultKind::kReset, 0).empty());
  }
  DOCTEST_SUBCASE("a refused connection")
  {
    DOCTEST_CHECK(
      bench.Finish(1, UpstreamResultKind::kConnectFailed, 0).empty());
  }
  DOCTEST_CHECK(bench.m_dispatcher.Limit() == 1);
}

DOCTEST_TEST_CASE("answers that become much slower make an upstream cold")
{
  Bench bench;
  bench.Answer(kAnswersPerStep);
  for (WorkId id = 1; id <= 5; ++id) {
    (void)bench.Enqueue(id);
    bench.m_now += Milliseconds(40);
    (void)bench.Finish(id);
  }
  DOCTEST_CHECK_FALSE(bench.m_dispatcher.Warm());
}

// Answers `aCount` times at `aLatency` and returns the limit reached.
uint32_t
LimitAfter(ColdStartRamp& aRamp, uint32_t aCount, Duration aLatency)
{
  for (uint32_t i = 0; i < aCount; ++i) {
    aRamp.OnAnswer(aLatency, kStart, kStart + aLatency);
  }
  return aRamp.Limit();
}

DOCTEST_TEST_CASE(
  "an unknown upstream that answers slowly is not taken as warm")
{
  ColdStartRamp ramp(2, {}, kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 30, Milliseconds(16)) == 1);
  // It falls to its real latency; two more groups have to confirm that.
  DOCTEST_CHECK(LimitAfter(ramp, 2 + 16 + 7, Milliseconds(4)) == 1);
  DOCTEST_CHECK(LimitAfter(ramp, 1, Milliseconds(4)) == 2);

  // Once its usual latency is known, slow answers earn nothing.
  ramp.BecomeCold(kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 80, Milliseconds(16)) == 1);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(4)) == 2);
}

DOCTEST_TEST_CASE("a lasting new latency is learnt")
{
  ColdStartRamp ramp(2, { .m_baselineLatency = Milliseconds(4) }, kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 11 * 8, Milliseconds(16)) == 1);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(16)) == 2);
}

DOCTEST_TEST_CASE("more work that makes answers twice as slow is taken back")
{
  ColdStartRamp ramp(3, { .m_baselineLatency = Milliseconds(20) }, kStart);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(4)) == 2);
  DOCTEST_CHECK(LimitAfter(ramp, 8, Milliseconds(12)) == 1);
}

DOCTEST_TEST_CASE("timeouts count as slow only when they waited long enough")
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

DOCTEST_TEST_CASE("abandoned work holds its slot until its deadline and margin")
{
  Bench bench;
  (void)bench.Enqueue(1, Milliseconds(20));
  bench.m_now += Milliseconds(20);
  auto cancels = Only<CancelWork>(bench.m_dispatcher.OnTimer(bench.m_now));
  DOCTEST_CHECK(cancels.size() == 1);
  DOCTEST_CHECK(bench.Enqueue(2).empty());
  DOCTEST_REQUIRE(bench.m_dispatcher.NextTimer() ==
                  bench.m_now + DispatcherSettings{}.m_abandonedMargin);
  bench.m_now = *bench.m_dispatcher.NextTimer();
  DOCTEST_CHECK(
    Only<DispatchWork>(bench.m_dispatcher.OnTimer(bench.m_now)).size() == 1);
}

DOCTEST_TEST_CASE("connections that are not known to be closed stay counted")
{
  Bench bench;
  // Half of the limit of 6 is left to a second owner.
  for (WorkId id = 1; id <= 3; ++id) {
    DOCTEST_REQUIRE(Only<DispatchWork>(bench.Enqueue(id)).size() == 1);
    (void)bench.m_dispatcher.OnResult(
      id,
      { .m_kind = UpstreamResultKind::kVersionNotHeld,
        .m_connection = ConnectionDisposition::kLingering },
      bench.m_now);
  }
  DOCTEST_CHECK(bench.Enqueue(4).empty());
  DOCTEST_CHECK(bench.m_dispatcher.OpenConnections() == 3);
  auto opened = Only<DispatchWork>(
    bench.m_dispatcher.OnConnectionsClosed(0, 1, bench.m_now));
  DOCTEST_CHECK(opened.size() == 1);
}

DOCTEST_TEST_CASE("an acknowledged cancellation frees the slot at once")
{
  Bench bench;
  (void)bench.Enqueue(1);
  (void)bench.Enqueue(2);
  DOCTEST_CHECK(
    Only<CancelWork>(bench.m_dispatcher.Cancel(1, bench.m_now)).size() == 1);
  DOCTEST_CHECK(
    Only<DispatchWork>(bench.Finish(1, UpstreamResultKind::kCancelled))
      .size() == 1);
}

DOCTEST_TEST_CASE("a draining mark refuses what waits and closes connections")
{
  Bench bench;
  bench.Answer(1);
  (void)bench.Enqueue(1);
  (void)bench.Enqueue(2);
  bench.m_now += Milliseconds(4);
  auto actions = bench.m_dispatcher.OnResult(
    1,
    { .m_kind = UpstreamResultKind::kOk, .m_bootId = 1, .m_draining = true },
    bench.m_now);
  auto refused = Only<RefuseWork>(actions);
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kWithdrawn);
  DOCTEST_CHECK(Only<CloseIdleConnections>(actions).size() == 1);
  (void)bench.m_dispatcher.OnConnectionsClosed(1, 0, bench.m_now);
  DOCTEST_CHECK(bench.m_dispatcher.OpenConnections() == 0);
  DOCTEST_CHECK(Only<RefuseWork>(bench.Enqueue(3)).size() == 1);

  bench.m_now += DispatcherSettings{}.m_probeInterval;
  DOCTEST_CHECK(
    Only<ProbeUpstream>(bench.m_dispatcher.OnTimer(bench.m_now)).size() == 1);
  (void)bench.m_dispatcher.OnProbe(
    { .m_answered = true, .m_bootId = 2, .m_draining = false }, bench.m_now);
  DOCTEST_CHECK(Only<DispatchWork>(bench.Enqueue(4)).size() == 1);
  DOCTEST_CHECK(bench.Enqueue(5).empty());
}

DOCTEST_TEST_CASE("an upstream that operators take out comes back cold")
{
  Bench bench;
  bench.Answer(kAnswersPerStep);
  (void)bench.m_dispatcher.SetClosed(
    ClosureReason::kWithdrawn, true, bench.m_now);
  (void)bench.m_dispatcher.SetClosed(
    ClosureReason::kDrained, true, bench.m_now);
  (void)bench.m_dispatcher.SetClosed(
    ClosureReason::kWithdrawn, false, bench.m_now);
  DOCTEST_CHECK(Only<RefuseWork>(bench.Enqueue(1)).size() == 1);
  (void)bench.m_dispatcher.SetClosed(
    ClosureReason::kDrained, false, bench.m_now);
  DOCTEST_CHECK(Only<DispatchWork>(bench.Enqueue(2)).size() == 1);
  DOCTEST_CHECK_FALSE(bench.m_dispatcher.Warm());
}

DOCTEST_TEST_CASE("without a permit nothing is sent and nothing waits")
{
  Bench bench;
  (void)bench.Enqueue(1);
  (void)bench.Enqueue(2);
  bench.m_permit.m_allowed = 0;
  auto refused = Only<RefuseWork>(bench.Finish(1));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kNoOwner);
}

DOCTEST_TEST_CASE("a hint counts only for the same run of the upstream")
{
  WarmthHint hint{ .m_bootId = 7,
                   .m_limit = 2,
                   .m_expectedLatency = Milliseconds(4) };
  Bench bench;
  bench.m_dispatcher.OnOwnershipGained({ .m_hint = hint }, bench.m_now);
  DOCTEST_CHECK_FALSE(bench.m_dispatcher.Warm());
  DOCTEST_SUBCASE("the same boot id")
  {
    bench.Answer(1, 7);
    DOCTEST_CHECK(bench.m_dispatcher.Warm());
  }
  DOCTEST_SUBCASE("another boot id")
  {
    bench.Answer(1, 8);
    DOCTEST_CHECK_FALSE(bench.m_dispatcher.Warm());
  }
}

DOCTEST_TEST_CASE("work that a predecessor left holds slots for its time")
{
  Bench bench;
  TimePoint until = bench.m_now + Milliseconds(200);
  bench.m_dispatcher.OnOwnershipGained(
    { .m_inheritedWork = 1, .m_inheritedUntil = until }, bench.m_now);
  DOCTEST_CHECK(bench.Enqueue(1).empty());
  DOCTEST_CHECK(bench.m_dispatcher.NextTimer() == until);
  DOCTEST_CHECK(Only<DispatchWork>(bench.m_dispatcher.OnTimer(until)).size() ==
                1);
}

DOCTEST_TEST_CASE(
  "the permit's news of a predecessor's work is looked at again")
{
  Bench bench;
  bench.m_permit.m_predecessor = 1;
  DOCTEST_CHECK(bench.Enqueue(1).empty());
  bench.m_permit.m_predecessor = 0;
  DOCTEST_REQUIRE(bench.m_dispatcher.NextTimer() ==
                  bench.m_now + DispatcherSettings{}.m_predecessorPollInterval);
  bench.m_now = *bench.m_dispatcher.NextTimer();
  auto sent = Only<DispatchWork>(bench.m_dispatcher.OnTimer(bench.m_now));
  DOCTEST_CHECK(sent.size() == 1);
}

DOCTEST_TEST_CASE("a shed pauses, and work that cannot wait so long moves on")
{
  Bench bench;
  (void)bench.Enqueue(1);
  (void)bench.Enqueue(2, Milliseconds(10));
  (void)bench.Enqueue(3, Seconds(1));
  auto refused = Only<RefuseWork>(bench.Finish(1, UpstreamResultKind::kShed));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_work == 2);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kShed);
  TimePoint opens = bench.m_now + DispatcherSettings{}.m_minBackoff;
  DOCTEST_CHECK(bench.m_dispatcher.NextTimer() == opens);
  DOCTEST_CHECK(Only<DispatchWork>(bench.m_dispatcher.OnTimer(opens)).size() ==
                1);
}

DOCTEST_TEST_CASE("work whose wait alone exceeds its deadline is refused early")
{
  Bench bench;
  for (WorkId id = 1; id <= 10; ++id) {
    (void)bench.Enqueue(id);
  }
  auto refused = Only<RefuseWork>(bench.Enqueue(11, Milliseconds(6)));
  DOCTEST_CHECK(refused.empty());
  refused = Only<RefuseWork>(
    bench.m_dispatcher.Enqueue({ .m_id = 12,
                                 .m_deadline = bench.m_now + Milliseconds(20),
                                 .m_priority = WorkPriority::kSecondary,
                                 .m_caller = CallerName("desk") },
                               bench.m_now));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_reason == MissingReason::kOverloaded);
}

DOCTEST_TEST_CASE(
  "work that cannot be answered in time makes room for other work")
{
  Bench bench;
  (void)bench.Enqueue(1);
  (void)bench.Enqueue(2, Milliseconds(8));
  (void)bench.Enqueue(3);
  auto actions = bench.Finish(1);
  // 4 ms are left for the second, and an answer is expected to take 5 ms.
  DOCTEST_REQUIRE(Only<RefuseWork>(actions).size() == 1);
  DOCTEST_CHECK(Only<RefuseWork>(actions)[0].m_work == 2);
  DOCTEST_REQUIRE(Only<DispatchWork>(actions).size() == 1);
  DOCTEST_CHECK(Only<DispatchWork>(actions)[0].m_work == 3);
  (void)bench.Finish(3);
  DOCTEST_CHECK(Only<DispatchWork>(bench.Enqueue(4, Milliseconds(2))).size() ==
                1);
}

DOCTEST_TEST_CASE("a caller that floods the queue does not push others out")
{
  Bench bench({ .m_maxQueueLength = 8 });
  for (WorkId id = 1; id <= 9; ++id) {
    (void)bench.Enqueue(id, Seconds(1), "flood");
  }
  auto refused = Only<RefuseWork>(bench.Enqueue(20, Seconds(2), "quiet"));
  DOCTEST_REQUIRE(refused.size() == 1);
  DOCTEST_CHECK(refused[0].m_work != 20);
  std::vector<WorkId> served;
  WorkId running = 1;
  for (int i = 0; i < 4; ++i) {
    auto next = Only<DispatchWork>(bench.Finish(running));
    DOCTEST_REQUIRE(next.size() == 1);
    running = next[0].m_work;
    served.push_back(running);
  }
  DOCTEST_CHECK(std::ranges::count(served, WorkId{ 20 }) == 1);
}

} // namespace
} // namespace ebonykeel
