#include "runtime/loop/loop.h"

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
