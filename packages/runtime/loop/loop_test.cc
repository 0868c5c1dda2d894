#include "runtime/loop/loop.h"

#include <array>

#include <unistd.h>

#include <doctest/doctest.h>

#include "runtime/loop/alarm.h"

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("a loop without work for libuv does not spin")
{
  Loop loop;
  loop.Clock().After(Milliseconds(50)).wait(loop.WaitScope());
  DOCTEST_CHECK(loop.Turns() < 5);
}

DOCTEST_TEST_CASE("libuv's timers fire")
{
  Loop loop;
  uv_timer_t timer;
  bool fired = false;
  uv_timer_init(loop.Uv(), &timer);
  timer.data = &fired;
  uv_timer_start(
    &timer,
    [](uv_timer_t* aTimer) { *static_cast<bool*>(aTimer->data) = true; },
    5,
    0);
  loop.ScheduleTurn();
  while (!fired) {
    loop.Clock().After(Milliseconds(1)).wait(loop.WaitScope());
  }
  DOCTEST_CHECK(fired);
}

// Guards against timeouts that never pass: a peer that sends without end kept
// libuv's loop busy, and the timers were not looked at.
DOCTEST_TEST_CASE("timers fire while a descriptor of libuv stays readable")
{
  Loop loop;
  std::array<int, 2> ends{};
  DOCTEST_REQUIRE(pipe(ends.data()) == 0);
  DOCTEST_REQUIRE(write(ends[1], "x", 1) == 1);
  // Bounds the test: without the timers, the loop goes on for so many turns.
  constexpr int kMaxCalls = 1000000;
  int calls = 0;
  uv_poll_t readable;
  uv_poll_init(loop.Uv(), &readable, ends[0]);
  readable.data = &calls;
  uv_poll_start(
    &readable, UV_READABLE, [](uv_poll_t* aPoll, int /*aStatus*/, int) {
      if (++*static_cast<int*>(aPoll->data) == kMaxCalls) {
        uv_poll_stop(aPoll);
      }
    });
  loop.Clock().After(Milliseconds(5)).wait(loop.WaitScope());
  DOCTEST_CHECK(calls > 0);
  DOCTEST_CHECK(calls < kMaxCalls);
  uv_poll_stop(&readable);
  close(ends[0]);
  close(ends[1]);
}

DOCTEST_TEST_CASE(
  "an alarm that is set to an earlier time fires once, at that time")
{
  Loop loop;
  int calls = 0;
  Alarm alarm(loop.Clock(), [&calls]() { ++calls; });
  TimePoint now = loop.Clock().Now();
  alarm.Set(now + Seconds(100));
  alarm.Set(now + Milliseconds(5));
  loop.Clock().After(Milliseconds(30)).wait(loop.WaitScope());
  DOCTEST_CHECK(calls == 1);
  alarm.Set(loop.Clock().Now() + Milliseconds(5));
  alarm.Set(std::nullopt);
  loop.Clock().After(Milliseconds(30)).wait(loop.WaitScope());
  DOCTEST_CHECK(calls == 1);
}

} // namespace
} // namespace ebonykeel
