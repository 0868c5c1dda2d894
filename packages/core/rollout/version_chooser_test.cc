#include "core/rollout/version_chooser.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kNow{ Seconds(100) };

ReplicaPtr
MakeReplica(const std::string& aId,
            const std::string& aVersion,
            uint64_t aStart,
            const std::string& aService = "s")
{
  return std::make_shared<const Replica>(Replica{ .m_id = aId,
                                                  .m_startUnixMs = aStart,
                                                  .m_service = aService,
                                                  .m_version = aVersion });
}

RolloutEntry
Entry(const std::string& aService,
      RolloutState aState,
      uint64_t aRevision = 10,
      const std::string& aTarget = "v2")
{
  return { .m_order = { .m_service = aService,
                        .m_targetVersion = aTarget,
                        .m_duration = Seconds(40) },
           .m_state = aState,
           .m_position = { 1, aRevision } };
}

struct Fixture
{
  void Announce(const std::string& aService,
                double aShare,
                RolloutStage aStage = RolloutStage::kCanary)
  {
    m_chooser.OnAnnouncement("10.0.0.1",
                             { .m_service = aService,
                               .m_targetVersion = "v2",
                               .m_position = { 1, 10 },
                               .m_controllerProcess = 1,
                               .m_sequence = ++m_sequence,
                               .m_stage = aStage,
                               .m_share = aShare },
                             kNow);
  }
  // Returns the ids of the upstreams that an attempt may go to.
  std::vector<std::string> Filter(VersionChoice& aChoice,
                                  bool aIsFirst,
                                  const std::string& aService = "s")
  {
    std::vector<std::string> ids;
    std::ranges::transform(
      m_chooser.Filter(aService, m_upstreams, aChoice, aIsFirst, kNow),
      std::back_inserter(ids),
      [](const ReplicaPtr& aReplica) { return aReplica->m_id; });
    return ids;
  }
  std::vector<std::string> First(const std::string& aService = "s")
  {
    VersionChoice choice = VersionChoice::kUndecided;
    return Filter(choice, true, aService);
  }
  // Returns how many of first attempts go to the target version.
  int CountTarget(int aRequests, const std::string& aService = "s")
  {
    int count = 0;
    for (int i = 0; i < aRequests; ++i) {
      count += First(aService) == Ids{ "u3" } ? 1 : 0;
      m_chooser.OnSent(*MakeReplica("u1", "v1", 1, aService), true);
    }
    return count;
  }

  using Ids = std::vector<std::string>;

  uint64_t m_sequence = 0;
  VersionChooser m_chooser{ { .m_seed = 3 } };
  std::vector<ReplicaPtr> m_upstreams{ MakeReplica("u1", "v1", 500),
                                       MakeReplica("u2", "v1", 900),
                                       MakeReplica("u3", "v2", 600) };
};

using Ids = Fixture::Ids;

DOCTEST_TEST_CASE(
  "without an order only the longest-running upstream's version "
  "gets requests")
{
  Fixture fixture;
  DOCTEST_CHECK(fixture.First() == Ids{ "u1", "u2" });
  // Its version only counts while it is usable.
  fixture.m_upstreams.erase(fixture.m_upstreams.begin());
  DOCTEST_CHECK(fixture.First() == Ids{ "u3" });
}

DOCTEST_TEST_CASE("a service of one version is not restricted")
{
  Fixture fixture;
  fixture.m_upstreams.pop_back();
  DOCTEST_CHECK(fixture.First() == Ids{ "u1", "u2" });
  fixture.m_upstreams.clear();
  DOCTEST_CHECK(fixture.First().empty());
}

DOCTEST_TEST_CASE("retries and hedges go to the current version")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.Announce("s", 0.05);
  VersionChoice choice = VersionChoice::kTarget;
  DOCTEST_CHECK(fixture.Filter(choice, true) == Ids{ "u3" });
  DOCTEST_CHECK(fixture.Filter(choice, false) == Ids{ "u1", "u2" });
}

// Guards against attempts to the current version after a report that nothing is
// on its way to it.
DOCTEST_TEST_CASE("in the stage full all attempts go to the target version")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.Announce("s", 1, RolloutStage::kFull);
  VersionChoice choice = VersionChoice::kCurrent;
  DOCTEST_CHECK(fixture.Filter(choice, true) == Ids{ "u3" });
  DOCTEST_CHECK(fixture.Filter(choice, false) == Ids{ "u3" });
}

// Guards against a request to a bad version that waited for capacity when the
// version was stopped.
DOCTEST_TEST_CASE("a choice of the target version ends with its share")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.Announce("s", 1, RolloutStage::kFull);
  VersionChoice choice = VersionChoice::kUndecided;
  DOCTEST_CHECK(fixture.Filter(choice, true) == Ids{ "u3" });
  fixture.Announce("s", 0, RolloutStage::kRolledBack);
  DOCTEST_CHECK(fixture.Filter(choice, true) == Ids{ "u1", "u2" });
}

DOCTEST_TEST_CASE(
  "the current version takes the requests if no upstream of the "
  "target version is usable")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.Announce("s", 1, RolloutStage::kFull);
  fixture.m_upstreams.pop_back();
  DOCTEST_CHECK(fixture.First() == Ids{ "u1", "u2" });
}

DOCTEST_TEST_CASE("without an upstream of the current version the target "
                  "version gets no more than the bound")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.Announce("s", 0.05);
  fixture.m_upstreams = { MakeReplica("u3", "v2", 600) };
  DOCTEST_CHECK(fixture.CountTarget(100) <= 11);
}

DOCTEST_TEST_CASE("after a rollback the target version gets nothing as long as "
                  "the entry stands")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRolledBack), kNow);
  DOCTEST_CHECK(fixture.First() == Ids{ "u1", "u2" });
  fixture.m_upstreams = { MakeReplica("u3", "v2", 600) };
  DOCTEST_CHECK(fixture.First().empty());
  fixture.m_chooser.RemoveEntry("s");
  DOCTEST_CHECK(fixture.First() == Ids{ "u3" });
}

// A traffic split and a gathered route have one service for each part.
DOCTEST_TEST_CASE("the share applies inside each service")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.m_chooser.SetEntry(Entry("t", RolloutState::kRunning), kNow);
  fixture.Announce("s", 0.05);
  DOCTEST_CHECK(fixture.CountTarget(100, "s") == 5);
  DOCTEST_CHECK(fixture.CountTarget(100, "t") == 0);
  fixture.Announce("t", 0.1);
  DOCTEST_CHECK(fixture.CountTarget(100, "t") == 10);
}

DOCTEST_TEST_CASE("a changed order starts anew, a changed state does not")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kOrdered, 10), kNow);
  fixture.m_chooser.OnSent(*fixture.m_upstreams[0], true);
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning, 11), kNow);
  DOCTEST_CHECK(fixture.m_chooser.MakeReport("s", kNow).m_requests == 1);
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning, 12, "v3"),
                             kNow);
  DOCTEST_CHECK(fixture.m_chooser.MakeReport("s", kNow).m_requests == 0);
  // An earlier state of the store, told by a peer.
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning, 11), kNow);
  DOCTEST_CHECK(fixture.m_chooser.Find("s")->Entry().m_order.m_targetVersion ==
                "v3");
}

DOCTEST_TEST_CASE("attempts on their way to the current version are known from "
                  "before the order")
{
  Fixture fixture;
  fixture.m_chooser.OnSent(*fixture.m_upstreams[0], true);
  fixture.m_chooser.OnSent(*fixture.m_upstreams[2], true);
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  DOCTEST_CHECK(fixture.m_chooser.MakeReport("s", kNow).m_inFlightCurrent == 1);
  fixture.m_chooser.OnEnded(*fixture.m_upstreams[0],
                            "a",
                            VersionAnswer::kCancelled,
                            Milliseconds(5),
                            false,
                            kNow);
  DOCTEST_CHECK(fixture.m_chooser.MakeReport("s", kNow).m_inFlightCurrent == 0);
}

// Guards against an explanation that shifts the share of the requests.
DOCTEST_TEST_CASE("a preview of the choice does not count")
{
  Fixture fixture;
  fixture.m_chooser.SetEntry(Entry("s", RolloutState::kRunning), kNow);
  fixture.Announce("s", 0.05);
  for (int i = 0; i < 100; ++i) {
    VersionChoice choice = VersionChoice::kUndecided;
    (void)fixture.m_chooser.Preview("s", fixture.m_upstreams, choice, kNow);
  }
  DOCTEST_CHECK(fixture.m_chooser.MakeReport("s", kNow).m_targetRequests == 0);
  DOCTEST_CHECK(fixture.CountTarget(100) == 5);
}

} // namespace
} // namespace ebonykeel
