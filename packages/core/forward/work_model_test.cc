#include "core/forward/work_model.h"

#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kAssumed = Milliseconds(20);

Route
MakeRoute(const char* aName = "r")
{
  return { .m_name = aName, .m_targetLatency = Milliseconds(100) };
}

// Adds an answer of `aSeen` each 10 ms for `aCount` times; returns the time of
// the last one.
TimePoint
AddMany(WorkModel& aModel,
        const std::string& aWorkspace,
        Duration aSeen,
        int aCount,
        TimePoint aFrom)
{
  TimePoint now = aFrom;
  for (int i = 0; i < aCount; ++i) {
    now += Milliseconds(10);
    aModel.Add(MakeRoute(), aWorkspace, aSeen, aSeen, now);
  }
  return now;
}

// Returns whether `aWork` is within a tenth of `aExpected`.
bool
IsNear(Duration aWork, Duration aExpected)
{
  return aWork > aExpected * 9 / 10 && aWork < aExpected * 11 / 10;
}

// Guards against placing the first requests of a route as if they cost nothing.
DOCTEST_TEST_CASE("without samples the target latency suggests the work")
{
  WorkModel model;
  ExpectedWork work = model.Expect(MakeRoute(), "w", kStart);
  DOCTEST_CHECK(work.Mean() == kAssumed);
  DOCTEST_CHECK(IsNear(work.Spread(), kAssumed));
}

DOCTEST_TEST_CASE("the work of a route and its spread are learned")
{
  WorkModel model;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += Milliseconds(10);
    model.Add(MakeRoute(),
              "",
              Milliseconds(20),
              Milliseconds(i % 2 == 0 ? 10 : 30),
              now);
  }
  ExpectedWork work = model.Expect(MakeRoute(), "", now);
  DOCTEST_CHECK(IsNear(work.Mean(), Milliseconds(20)));
  DOCTEST_CHECK(IsNear(work.Spread(), Milliseconds(10)));
}

// Guards against one estimate for workspaces whose requests differ, and against
// an estimate of a workspace from a few requests.
DOCTEST_TEST_CASE("a workspace with few samples is taken for its route")
{
  WorkModel model;
  TimePoint now = AddMany(model, "short", Milliseconds(10), 100, kStart);
  DOCTEST_CHECK(
    IsNear(model.Expect(MakeRoute(), "new", now).Mean(), Milliseconds(10)));
  now = AddMany(model, "long", Milliseconds(40), 1, now);
  DOCTEST_CHECK(model.Expect(MakeRoute(), "long", now).Mean() <
                Milliseconds(20));
  now = AddMany(model, "long", Milliseconds(40), 100, now);
  DOCTEST_CHECK(
    IsNear(model.Expect(MakeRoute(), "long", now).Mean(), Milliseconds(40)));
  DOCTEST_CHECK(model.Expect(MakeRoute(), "short", now).Mean() <
                Milliseconds(13));
}

// Guards against avoiding or flooding an upstream for long because of one
// request that met a pause.
DOCTEST_TEST_CASE("one outlier changes an estimate little")
{
  WorkModel model;
  TimePoint now = AddMany(model, "", Milliseconds(10), 100, kStart);
  model.Add(MakeRoute(), "", Milliseconds(10), Seconds(60), now);
  DOCTEST_CHECK(
    IsNear(model.Expect(MakeRoute(), "", now).Mean(), Milliseconds(10)));
}

DOCTEST_TEST_CASE("an estimate follows a change and fades without samples")
{
  WorkModel model;
  TimePoint now = AddMany(model, "", Milliseconds(10), 100, kStart);
  now = AddMany(model, "", Milliseconds(200), 300, now);
  DOCTEST_CHECK(model.Expect(MakeRoute(), "", now).Mean() > Milliseconds(100));
  DOCTEST_CHECK(
    IsNear(model.Expect(MakeRoute(), "", now + Seconds(60)).Mean(), kAssumed));
}

// Guards against a caller that makes an instance keep ever more state.
DOCTEST_TEST_CASE("the number of entries is bounded, and faded ones make room")
{
  WorkModel model({ .m_maxEntries = 10 });
  for (int i = 0; i < 100; ++i) {
    model.Add(MakeRoute(),
              "w" + std::to_string(i),
              Milliseconds(10),
              Milliseconds(10),
              kStart);
  }
  DOCTEST_CHECK(model.EntryCount() == 10);
  DOCTEST_CHECK(model.Expect(MakeRoute(), "w99", kStart).Mean() <
                Milliseconds(12));
  TimePoint later = kStart + Seconds(20);
  model.Add(MakeRoute("other"), "w", kAssumed, kAssumed, later);
  DOCTEST_CHECK(model.EntryCount() == 2);
}

DOCTEST_TEST_CASE("seen work is counted by its ratio to the expected one")
{
  WorkModel model;
  model.Add(MakeRoute(), "", Milliseconds(10), Milliseconds(1), kStart);
  model.Add(MakeRoute(), "", Milliseconds(10), Milliseconds(10), kStart);
  model.Add(MakeRoute(), "", Milliseconds(10), Milliseconds(100), kStart);
  DOCTEST_CHECK(model.CountsByRatio() ==
                WorkModel::RatioCounts{ 1, 0, 0, 1, 0, 0, 1 });
  DOCTEST_CHECK(model.RatioSum() == doctest::Approx(11.1));
}

// The trials' parts of one request cost alike; a request that costs the first
// shards three times the usual must not be expected to be cheap at the others.
DOCTEST_TEST_CASE("answered parts raise or lower the expectation of open parts")
{
  auto gathered = std::make_shared<GatheredWork>();
  ExpectedWork open{ .m_mean = Milliseconds(10),
                     .m_spread = Milliseconds(2),
                     .m_gathered = gathered };
  DOCTEST_CHECK(open.Mean() == Milliseconds(10));
  for (int i = 0; i < 6; ++i) {
    gathered->OnPartAnswered(Milliseconds(10), Milliseconds(30));
  }
  DOCTEST_CHECK(open.Mean() > Milliseconds(20));
  DOCTEST_CHECK(open.Mean() < Milliseconds(30));
  DOCTEST_CHECK(open.Spread() > Milliseconds(4));
  // One part that met a pause counts as four times the expectation.
  GatheredWork paused;
  paused.OnPartAnswered(Milliseconds(10), Seconds(10));
  DOCTEST_CHECK(paused.Factor() == doctest::Approx(2));
  GatheredWork cheap;
  cheap.OnPartAnswered(Milliseconds(10), Milliseconds(5));
  DOCTEST_CHECK(cheap.Factor() < 1);
}

} // namespace
} // namespace ebonykeel
