// Tests of placement by work: `UnfinishedWork`, and `ReplicaLoad` with
// `m_placeByWork`.
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/replica/replica_load.h"
#include "core/replica/unfinished_work.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
const ExpectedWork kShort{ .m_mean = Milliseconds(9),
                           .m_spread = Milliseconds(1) };
const ExpectedWork kLong{ .m_mean = Milliseconds(28),
                          .m_spread = Milliseconds(3) };

ReplicaPtr
MakeReplica(const char* aId, const char* aDataCentre = "here")
{
  return std::make_shared<const Replica>(
    Replica{ .m_id = aId,
             .m_startUnixMs = 1,
             .m_service = "s",
             .m_address = { "10.0.0.1", 80 },
             .m_dataCentre = DataCentre(aDataCentre),
             .m_slots = 2 });
}

struct Fixture
{
  ReplicaLoad m_load{ { .m_dataCentre = DataCentre("here"),
                        .m_placeByWork = true } };
  std::vector<ReplicaPtr> m_replicas{ MakeReplica("a"), MakeReplica("b") };

  void Send(size_t aReplica, const ExpectedWork& aWork, TimePoint aNow = kStart)
  {
    m_load.OnSent(*m_replicas[aReplica], aNow, aWork);
  }
  // Returns the choice for a short request, which must not depend on the order
  // of the candidates.
  std::string ChosenAt(TimePoint aNow)
  {
    std::string first =
      (*m_load.Choose(m_replicas, {}, kShort.Mean(), aNow))->m_id;
    std::string second =
      (*m_load.Choose(m_replicas, {}, kShort.Mean(), aNow))->m_id;
    return first == second ? first : "either";
  }
};

DOCTEST_TEST_CASE("a request waits for the slot that comes free first")
{
  UnfinishedWork unfinished;
  unfinished.Add(kStart, kLong, 2);
  DOCTEST_CHECK(unfinished.ExpectedWait(2, 1, kStart) == Duration{});
  unfinished.Add(kStart, { .m_mean = Milliseconds(9) }, 2);
  DOCTEST_CHECK(unfinished.ExpectedWait(2, 1, kStart) == Milliseconds(9));
  DOCTEST_CHECK(unfinished.ExpectedWait(2, 2, kStart) == Milliseconds(18));
  DOCTEST_CHECK(unfinished.ExpectedWait(2, 1, kStart + Milliseconds(4)) ==
                Milliseconds(5));
  unfinished.Add(kStart, { .m_mean = Milliseconds(9) }, 2);
  DOCTEST_CHECK(unfinished.ExpectedWait(2, 1, kStart) == Milliseconds(18));
  DOCTEST_CHECK(unfinished.Remaining(1, kStart) == Milliseconds(46));
}

// Guards against taking the wait at an upstream for work: the estimates would
// rise with the load.
DOCTEST_TEST_CASE("the time of an answer counts from when a slot came free")
{
  UnfinishedWork unfinished;
  unfinished.Add(kStart, kShort, 1);
  unfinished.Add(kStart + Milliseconds(1), kShort, 1);
  unfinished.Add(kStart + Milliseconds(2), kShort, 1);
  TimePoint end = kStart + Milliseconds(9);
  DOCTEST_CHECK(unfinished.Remove(kStart, 1, end)->m_startedAt == kStart);
  auto second =
    unfinished.Remove(kStart + Milliseconds(1), 1, end + Milliseconds(9));
  DOCTEST_CHECK(second->m_startedAt == end);
  // A request that was answered out of order says nothing about its start.
  unfinished.Add(kStart + Milliseconds(20), kShort, 1);
  DOCTEST_CHECK_FALSE(
    unfinished.Remove(kStart + Milliseconds(20), 1, kStart + Milliseconds(21))
      .has_value());
  DOCTEST_CHECK(unfinished.Count() == 1);
}

DOCTEST_TEST_CASE("the wider the spread, the less an age shortens what is left")
{
  auto leftAfter = [](Duration aSpread, Duration aAge) {
    UnfinishedWork unfinished;
    unfinished.Add(
      kStart, { .m_mean = Milliseconds(10), .m_spread = aSpread }, 1);
    return unfinished.Remaining(1, kStart + aAge);
  };
  DOCTEST_CHECK(leftAfter({}, Milliseconds(10)) == Duration{});
  DOCTEST_CHECK(leftAfter(Milliseconds(10), Milliseconds(10)) ==
                Milliseconds(10));
  DOCTEST_CHECK(leftAfter(Milliseconds(15), Milliseconds(20)) >
                Milliseconds(20));
  DOCTEST_CHECK(leftAfter(Milliseconds(100), Seconds(5)) == Milliseconds(30));
}

// By the number of requests both upstreams are alike, or "b" is the fuller one.
DOCTEST_TEST_CASE("short work does not queue behind long work")
{
  Fixture fixture;
  fixture.Send(0, kLong);
  fixture.Send(0, kLong);
  fixture.Send(1, kShort);
  fixture.Send(1, kShort);
  DOCTEST_CHECK(fixture.ChosenAt(kStart) == "b");
  fixture.Send(1, kShort);
  DOCTEST_CHECK(fixture.ChosenAt(kStart) == "b");
}

DOCTEST_TEST_CASE("a free slot is preferred to any queue")
{
  Fixture fixture;
  fixture.Send(0, kShort);
  fixture.Send(0, kShort);
  fixture.Send(1, kLong);
  DOCTEST_CHECK(fixture.ChosenAt(kStart) == "b");
}

DOCTEST_TEST_CASE("the speed of an upstream is learned and fades")
{
  Fixture fixture;
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    fixture.Send(0, kShort, now);
    TimePoint sentAt = now;
    now += kShort.m_mean * 2;
    fixture.m_load.OnAnswered(
      *fixture.m_replicas[0], sentAt, kShort.m_mean, now);
  }
  DOCTEST_CHECK(fixture.ChosenAt(now) == "b");
  DOCTEST_CHECK(fixture.m_load.PredictCompletion(*fixture.m_replicas[0],
                                                 kLong.m_mean,
                                                 now) > Milliseconds(45));
  // One long request at the fast one outweighs nothing once the slowness has
  // faded.
  fixture.Send(1, kShort, now + Seconds(30));
  fixture.Send(1, kShort, now + Seconds(30));
  DOCTEST_CHECK(fixture.ChosenAt(now + Seconds(30)) == "a");
}

// Guards against samples that depend on the upstream that answered.
DOCTEST_TEST_CASE("a sample states the work, not the slowness of an upstream")
{
  Fixture fixture;
  TimePoint now = kStart;
  std::optional<WorkSample> sample;
  for (int i = 0; i < 60; ++i) {
    fixture.Send(0, kShort, now);
    TimePoint sentAt = now;
    now += kShort.m_mean * 2;
    sample = fixture.m_load.OnAnswered(
      *fixture.m_replicas[0], sentAt, kShort.m_mean, now);
  }
  DOCTEST_REQUIRE(sample.has_value());
  DOCTEST_CHECK(sample->m_expected == kShort.m_mean);
  DOCTEST_CHECK(sample->m_seen < kShort.m_mean * 12 / 10);
}

DOCTEST_TEST_CASE("one answer after a pause does not exclude an upstream")
{
  Fixture fixture;
  fixture.Send(0, kShort);
  TimePoint end = kStart + Milliseconds(250);
  fixture.m_load.OnAnswered(*fixture.m_replicas[0], kStart, kShort.m_mean, end);
  // Two short requests at "b" are worse.
  fixture.Send(1, kShort, end);
  fixture.Send(1, kShort, end);
  DOCTEST_CHECK(fixture.ChosenAt(end) == "a");
}

DOCTEST_TEST_CASE("an upstream with an overdue request is avoided")
{
  Fixture fixture;
  fixture.Send(0, kShort);
  DOCTEST_CHECK(fixture.m_load.PredictCompletion(*fixture.m_replicas[0],
                                                 kShort.m_mean,
                                                 kStart + Milliseconds(15)) ==
                kShort.m_mean);
  TimePoint overdue = kStart + Milliseconds(40);
  DOCTEST_CHECK(fixture.m_load.PredictCompletion(*fixture.m_replicas[0],
                                                 kShort.m_mean,
                                                 overdue) >= Milliseconds(40));
  fixture.Send(1, kLong, overdue);
  fixture.Send(1, kLong, overdue);
  DOCTEST_CHECK(fixture.ChosenAt(overdue) == "b");
}

DOCTEST_TEST_CASE("the penalties of the placement by latency hold")
{
  Fixture fixture;
  fixture.m_replicas[1] = MakeReplica("b", "there");
  DOCTEST_CHECK(fixture.ChosenAt(kStart) == "a");
  fixture.m_load.SetColdUntil(*fixture.m_replicas[0], kStart + Seconds(1));
  DOCTEST_CHECK(fixture.ChosenAt(kStart) == "b");
  DOCTEST_CHECK(fixture.ChosenAt(kStart + Seconds(1)) == "a");
  fixture.Send(0, kShort, kStart + Seconds(1));
  fixture.m_load.OnUnreachable(
    *fixture.m_replicas[0], kStart + Seconds(1), kStart + Seconds(1));
  DOCTEST_CHECK(fixture.ChosenAt(kStart + Seconds(1)) == "b");
  fixture.Send(1, kShort, kStart + Seconds(5));
  fixture.m_load.OnFailed(
    *fixture.m_replicas[1], kStart + Seconds(5), kStart + Seconds(5));
  DOCTEST_CHECK(fixture.ChosenAt(kStart + Seconds(5)) == "a");
}

// Guards against refusals that come too late: the expected work fades and is
// bounded, so that forecasts from it let 156 of 320 requests to overloaded
// shards run into their deadlines (a trial with the cluster of overload_test).
DOCTEST_TEST_CASE(
  "the prediction for refusals does not depend on the placement")
{
  Fixture fixture;
  ReplicaLoad byLatency({ .m_dataCentre = DataCentre("here") });
  const Replica& replica = *fixture.m_replicas[0];
  constexpr Duration kTypical = Milliseconds(20);
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    TimePoint sentAt = now;
    now += Milliseconds(200);
    for (ReplicaLoad* load : { &fixture.m_load, &byLatency }) {
      load->OnSent(replica, sentAt, kShort);
      load->OnAnswered(replica, sentAt, kTypical, now);
    }
  }
  DOCTEST_CHECK(fixture.m_load.PredictLatency(replica, kTypical, now) ==
                byLatency.PredictLatency(replica, kTypical, now));
  DOCTEST_CHECK(byLatency.PredictLatency(replica, kTypical, now) >
                Milliseconds(150));
}

// Guards against unfinished work that stays after its request has ended.
DOCTEST_TEST_CASE("a request that ends in any way leaves no unfinished work")
{
  Fixture fixture;
  const Replica& replica = *fixture.m_replicas[0];
  TimePoint end = kStart + Milliseconds(50);
  auto ended = [&]() {
    return fixture.m_load.InFlight(replica) == 0 &&
           fixture.m_load.RemainingWork(end) == Duration{};
  };
  fixture.Send(0, kShort);
  DOCTEST_CHECK_FALSE(ended());
  fixture.m_load.OnAnswered(replica, kStart, kShort.m_mean, end);
  DOCTEST_CHECK(ended());
  fixture.Send(0, kShort);
  fixture.m_load.OnAttemptCancelledLate(replica, kStart, kShort.m_mean, end);
  DOCTEST_CHECK(ended());
  fixture.Send(0, kShort);
  fixture.m_load.OnAttemptCancelled(replica, kStart, end);
  DOCTEST_CHECK(ended());
  fixture.Send(0, kShort);
  fixture.m_load.OnFailed(replica, kStart, end);
  DOCTEST_CHECK(ended());
  fixture.Send(0, kShort);
  fixture.m_load.OnUnreachable(replica, kStart, end);
  DOCTEST_CHECK(ended());
}

} // namespace
} // namespace ebonykeel
