#include "core/forward/extra_budget.h"

#include <deque>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr ExtraBudgetLimit kLimit{ .m_share = 0.2,
                                   .m_burst = 100,
                                   .m_window = Seconds(10) };

int
TakeAllExtra(ExtraBudget& aBudget, TimePoint aNow)
{
  int taken = 0;
  while (aBudget.TryTake("s", aNow)) {
    ++taken;
  }
  return taken;
}

// Regression: each newly started instance took the burst of the whole fleet,
// and all instances started at once (tasalfombra trouble-2, seed 11: BUDGET).
DOCTEST_TEST_CASE("a starting instance has no burst of its own")
{
  ExtraBudget budget(kLimit);
  DOCTEST_CHECK(TakeAllExtra(budget, kStart) <= 1);
  ExtraBudget known(kLimit);
  known.SetBurstFraction(1);
  DOCTEST_CHECK(TakeAllExtra(known, kStart) <= 1);
}

DOCTEST_TEST_CASE("the burst is scaled by the instance's fraction")
{
  ExtraBudget budget(kLimit);
  budget.SetBurstFraction(0.1);
  (void)budget.TryTake("s", kStart);
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt("s", kStart);
  }
  DOCTEST_CHECK(TakeAllExtra(budget, kStart) == 2);
}

// Regression: the burst was refilled only by first requests, so that with few
// callers there were almost no hedges (tasalfombra-grown scale-1: 919 of 1,100
// missing parts had none).
DOCTEST_TEST_CASE("the burst is refilled over time")
{
  ExtraBudget budget(kLimit);
  budget.SetBurstFraction(0.5);
  (void)budget.TryTake("s", kStart);
  int taken = 0;
  for (int second = 1; second <= 10; ++second) {
    taken += TakeAllExtra(budget, kStart + Seconds(second));
  }
  DOCTEST_CHECK(taken >= 15);
}

// Six instances under load, each of which uses its whole budget: over any
// window the fleet stays within the limit, also if it is partitioned in two and
// each side counts itself as the whole fleet.
DOCTEST_TEST_CASE(
  "instances that use their whole budget stay within the fleet's limit")
{
  constexpr size_t kInstances = 6;
  constexpr int kFirstsPerTick = 1;
  constexpr Duration kTick = Milliseconds(100);
  for (double fraction : { 1.0 / kInstances, 2.0 / kInstances }) {
    std::vector<ExtraBudget> budgets(kInstances, ExtraBudget(kLimit));
    for (ExtraBudget& budget : budgets) {
      budget.SetBurstFraction(fraction);
    }
    std::deque<std::pair<TimePoint, int>> window;
    int firsts = 0;
    int extras = 0;
    for (TimePoint now = kStart; now < kStart + Seconds(60); now += kTick) {
      int taken = 0;
      for (ExtraBudget& budget : budgets) {
        // No load at first, so that every bucket is as full as possible.
        if (now >= kStart + Seconds(20)) {
          budget.OnFirstAttempt("s", now);
          taken += TakeAllExtra(budget, now);
        }
      }
      window.emplace_back(now, taken);
      extras += taken;
      while (window.front().first + kLimit.m_window <= now) {
        extras -= window.front().second;
        window.pop_front();
      }
      firsts =
        kInstances * kFirstsPerTick * static_cast<int>(kLimit.m_window / kTick);
      DOCTEST_CHECK(extras <= kLimit.m_burst + kLimit.m_share * firsts);
    }
  }
}

} // namespace
} // namespace ebonykeel
