#include "core/rollout/local_rollout.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr uint64_t kProcess = 7;
const std::string kController = "10.0.0.1";

RolloutEntry
Entry(RolloutState aState = RolloutState::kRunning)
{
  return { .m_order = { .m_service = "s",
                        .m_targetVersion = "v2",
                        .m_duration = Seconds(40) },
           .m_state = aState,
           .m_position = { 1, 10 } };
}

RolloutAnnouncement
Announcement(uint64_t aSequence, double aShare, RolloutStage aStage)
{
  return { .m_service = "s",
           .m_targetVersion = "v2",
           .m_position = { 1, 11 },
           .m_controllerProcess = 1,
           .m_sequence = aSequence,
           .m_stage = aStage,
           .m_share = aShare };
}

struct Fixture
{
  void Announce(uint64_t aSequence,
                double aShare,
                RolloutStage aStage = RolloutStage::kCanary)
  {
    m_rollout.OnAnnouncement(
      kController, Announcement(aSequence, aShare, aStage), m_now);
  }
  // Returns how many of first attempts went to the target version.
  int Count(int aRequests)
  {
    int count = 0;
    for (int i = 0; i < aRequests; ++i) {
      count += m_rollout.TakeFirst(m_now) ? 1 : 0;
      m_rollout.OnRequest();
    }
    return count;
  }
  void Answer(bool aIsTarget, VersionAnswer aAnswer, Duration aLatency)
  {
    m_now += Milliseconds(20);
    m_rollout.OnEnded("a", aIsTarget, aAnswer, aLatency, m_isCold, m_now);
  }

  TimePoint m_now = kStart;
  bool m_isCold = false;
  LocalRollout m_rollout{ Entry(),
                          { .m_processStart = kProcess, .m_seed = 3 },
                          kStart };
};

DOCTEST_TEST_CASE("the announced share is kept by counting")
{
  Fixture fixture;
  fixture.Announce(1, 0.05);
  for (int i = 0; i < 10; ++i) {
    DOCTEST_CHECK(fixture.Count(100) == 5);
  }
}

// Guards against an instance without contact that goes on with a version which
// was found bad meanwhile.
DOCTEST_TEST_CASE("nothing goes to the target version before an announcement "
                  "or 2 s after the last one")
{
  Fixture fixture;
  DOCTEST_CHECK(fixture.Count(200) == 0);
  fixture.Announce(1, 0.05);
  fixture.m_now += Milliseconds(1900);
  DOCTEST_CHECK(fixture.Count(100) == 5);
  fixture.m_now += Milliseconds(100);
  DOCTEST_CHECK(fixture.Count(200) == 0);
}

DOCTEST_TEST_CASE("a late announcement is not used")
{
  Fixture fixture;
  fixture.Announce(2, 0.05);
  // Sent before the other one.
  fixture.Announce(1, 1, RolloutStage::kFull);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kShare);
  // Delayed by 3 s: its age is that of the order when it was sent.
  fixture.m_now += Seconds(3);
  fixture.Announce(3, 1, RolloutStage::kFull);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kNone);
}

DOCTEST_TEST_CASE("of two controllers' announcements the smaller share holds")
{
  Fixture fixture;
  fixture.Announce(5, 1, RolloutStage::kFull);
  fixture.m_rollout.OnAnnouncement(
    "10.0.0.2", Announcement(1, 0.05, RolloutStage::kCanary), fixture.m_now);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kShare);
  DOCTEST_CHECK(fixture.m_rollout.MakeReport(fixture.m_now).m_appliedStage ==
                RolloutStage::kCanary);
}

// Guards against exposure beyond the bound while a service's load changes
// between the stages.
DOCTEST_TEST_CASE("up to the stage full no more than a tenth of the requests "
                  "and the grant go to the target version")
{
  Fixture fixture;
  fixture.Announce(1, 0.25, RolloutStage::kRamp);
  DOCTEST_CHECK(fixture.Count(1000) <= 101);
}

DOCTEST_TEST_CASE("granted requests go to the target version early, once and "
                  "only in the process run that they are for")
{
  for (uint64_t process : { kProcess, kProcess + 1 }) {
    Fixture fixture;
    RolloutAnnouncement announcement =
      Announcement(1, 0.05, RolloutStage::kCanary);
    announcement.m_grant = 4;
    announcement.m_grantProcess = process;
    fixture.m_rollout.OnAnnouncement(kController, announcement, fixture.m_now);
    // The share alone would send at most one of these.
    int early = fixture.Count(16);
    DOCTEST_CHECK((early >= 4) == (process == kProcess));
    announcement.m_sequence = 2;
    fixture.m_rollout.OnAnnouncement(kController, announcement, fixture.m_now);
    DOCTEST_CHECK(fixture.Count(100) == 5);
  }
}

DOCTEST_TEST_CASE("an instance stops by itself after its own bad answers")
{
  Fixture fixture;
  fixture.Announce(1, 1, RolloutStage::kFull);
  for (int i = 0; i < 60; ++i) {
    fixture.Answer(false, VersionAnswer::kSuccess, Milliseconds(10));
  }
  for (int i = 0; i < 60; ++i) {
    fixture.Answer(true, VersionAnswer::kFailure, Milliseconds(10));
  }
  fixture.Announce(2, 1, RolloutStage::kFull);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kNone);
  DOCTEST_CHECK(fixture.m_rollout.MakeReport(fixture.m_now).m_stopped);
}

DOCTEST_TEST_CASE("answers over three times the current version's median are "
                  "slow, unless the upstream is cold")
{
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.Answer(false, VersionAnswer::kSuccess, Milliseconds(10));
  }
  fixture.Answer(true, VersionAnswer::kSuccess, Milliseconds(29));
  fixture.Answer(true, VersionAnswer::kSuccess, Milliseconds(31));
  fixture.Answer(true, VersionAnswer::kCancelled, Milliseconds(31));
  // Cancelled too early to tell.
  fixture.Answer(true, VersionAnswer::kCancelled, Milliseconds(12));
  fixture.Answer(true, VersionAnswer::kNotRun, Milliseconds(90));
  fixture.m_isCold = true;
  fixture.Answer(true, VersionAnswer::kSuccess, Milliseconds(90));
  fixture.Answer(true, VersionAnswer::kFailure, Milliseconds(5));
  AnswerCounts counts =
    fixture.m_rollout.MakeReport(fixture.m_now).m_routes.front().m_target;
  DOCTEST_CHECK(counts ==
                AnswerCounts{ .m_answers = 4, .m_failures = 1, .m_slow = 2 });
}

DOCTEST_TEST_CASE("a rollback that was announced holds without the store")
{
  Fixture fixture;
  fixture.Announce(1, 0, RolloutStage::kRolledBack);
  fixture.Announce(2, 1, RolloutStage::kFull);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kNone);
}

DOCTEST_TEST_CASE("a final state holds whatever is announced")
{
  Fixture fixture;
  fixture.m_rollout.SetEntry(Entry(RolloutState::kCompleted));
  fixture.Announce(1, 0.05);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kAll);
  fixture.m_rollout.SetEntry(Entry(RolloutState::kRolledBack));
  fixture.Announce(2, 1, RolloutStage::kFull);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kNone);
}

// Guards against a controller that has just started, knows only the restored
// store's copy and gives a bad version requests again.
DOCTEST_TEST_CASE("a roll-back that the store lost holds and is reported")
{
  Fixture fixture;
  fixture.m_rollout.SetEntry(Entry(RolloutState::kRolledBack));
  RolloutEntry copy = Entry(RolloutState::kRunning);
  copy.m_position = { 2, 5 };
  fixture.m_rollout.SetEntry(copy);
  fixture.Announce(1, 1, RolloutStage::kFull);
  DOCTEST_CHECK(fixture.m_rollout.Use(fixture.m_now) == TargetUse::kNone);
  DOCTEST_CHECK(fixture.m_rollout.MakeReport(fixture.m_now).m_stopped);
}

} // namespace
} // namespace ebonykeel
