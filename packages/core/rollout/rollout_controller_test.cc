#include "core/rollout/rollout_controller.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kDuration = Seconds(40);
constexpr uint64_t kProcess = 77;
const std::string kSelf = "10.0.0.1";
const std::string kOther = "10.0.0.2";

RolloutEntry
Entry(RolloutState aState, uint64_t aRevision)
{
  return { .m_order = { .m_service = "s",
                        .m_targetVersion = "v2",
                        .m_duration = kDuration },
           .m_state = aState,
           .m_position = { 1, aRevision } };
}

struct Fixture
{
  explicit Fixture(RolloutState aState = RolloutState::kOrdered)
    : m_controller(Entry(aState, 10), { .m_process = kProcess }, kStart, kStart)
  {
  }

  // Takes the order up.
  void TakeUp()
  {
    Tick();
    std::optional<RolloutCall> call = m_controller.TakeCall(m_now);
    DOCTEST_REQUIRE(call.has_value());
    DOCTEST_REQUIRE(call->m_write == RolloutState::kRunning);
    m_controller.OnCallAnswered(Entry(RolloutState::kRunning, 11), true);
    Tick();
  }
  void Tick()
  {
    m_controller.OnTimer(m_surroundings, m_now);
    m_controller.BeginAnnouncements(m_now);
  }
  void TickAt(double aPart)
  {
    m_now = kStart + std::chrono::duration_cast<Duration>(kDuration * aPart);
    Tick();
  }
  // Reports answers of both versions.
  void Report(const std::string& aHost,
              uint64_t aAnswers,
              uint64_t aBad,
              uint32_t aInFlight = 0)
  {
    RolloutAnnouncement applied = m_controller.MakeAnnouncement(aHost, m_now);
    m_controller.OnReport(
      aHost,
      { .m_service = "s",
        .m_targetVersion = "v2",
        .m_position = { 1, 10 },
        .m_processStart = 1,
        .m_sequence = ++m_sequence,
        .m_appliedProcess = applied.m_controllerProcess,
        .m_appliedSequence = applied.m_sequence,
        .m_appliedStage = applied.m_stage,
        .m_age = m_now - kStart,
        .m_inFlightCurrent = aInFlight,
        .m_requests = aAnswers * 11,
        .m_targetRequests = aAnswers,
        .m_routes = { { .m_route = "a",
                        .m_current = { .m_answers = aAnswers * 10 },
                        .m_target = { .m_answers = aAnswers,
                                      .m_failures = aBad } } } },
      m_now);
  }
  // Reports good answers until the version is found good.
  void ReportGood()
  {
    for (int i = 1; i <= 40; ++i) {
      m_now += Milliseconds(200);
      Report(kSelf, static_cast<uint64_t>(i), 0);
      Report(kOther, static_cast<uint64_t>(i), 0);
      Tick();
    }
  }
  [[nodiscard]] std::optional<RolloutState> Written()
  {
    std::optional<RolloutCall> call = m_controller.TakeCall(m_now);
    return call ? call->m_write : std::nullopt;
  }
  [[nodiscard]] double Share() const { return m_controller.Share(); }

  TimePoint m_now = kStart;
  uint64_t m_sequence = 0;
  RolloutSurroundings m_surroundings{ .m_liveHosts = { kSelf, kOther } };
  RolloutController m_controller;
};

DOCTEST_TEST_CASE("the stages follow the duration")
{
  Fixture fixture;
  fixture.TakeUp();
  DOCTEST_CHECK(fixture.Share() == doctest::Approx(0.05));
  fixture.ReportGood();
  fixture.TickAt(0.49);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kCanary);
  fixture.TickAt(0.5);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kRamp);
  DOCTEST_CHECK(fixture.Share() == doctest::Approx(0.25));
  fixture.TickAt(0.69);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kRamp);
  fixture.TickAt(0.7);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kFull);
  DOCTEST_CHECK(fixture.Share() == 1);
}

DOCTEST_TEST_CASE(
  "nothing goes to the target version before the order is taken "
  "up, and running is written once")
{
  Fixture fixture;
  fixture.Tick();
  DOCTEST_CHECK(fixture.Share() == 0);
  DOCTEST_CHECK(fixture.Written() == RolloutState::kRunning);
  DOCTEST_CHECK_FALSE(fixture.m_controller.TakeCall(fixture.m_now).has_value());
  fixture.m_controller.OnCallAnswered(Entry(RolloutState::kRunning, 11), true);
  fixture.Tick();
  DOCTEST_CHECK_FALSE(fixture.m_controller.TakeCall(fixture.m_now).has_value());
}

// Guards against two final states, which a write after a lost answer can cause.
DOCTEST_TEST_CASE("after a lost answer the entry is read before the next write")
{
  Fixture fixture;
  fixture.Tick();
  (void)fixture.Written();
  fixture.m_controller.OnCallLost(fixture.m_now);
  DOCTEST_CHECK_FALSE(fixture.m_controller.TakeCall(fixture.m_now).has_value());
  fixture.m_now += Seconds(1);
  std::optional<RolloutCall> call =
    fixture.m_controller.TakeCall(fixture.m_now);
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK_FALSE(call->m_write.has_value());
  fixture.m_controller.OnCallAnswered(Entry(RolloutState::kRolledBack, 12),
                                      false);
  fixture.Tick();
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kRolledBack);
  DOCTEST_CHECK_FALSE(fixture.m_controller.TakeCall(fixture.m_now).has_value());
}

DOCTEST_TEST_CASE("a conflict is written again under the revision that the "
                  "store states, unless the state is final")
{
  Fixture fixture;
  fixture.Tick();
  (void)fixture.Written();
  fixture.m_controller.OnCallAnswered(Entry(RolloutState::kOrdered, 15), false);
  std::optional<RolloutCall> call =
    fixture.m_controller.TakeCall(fixture.m_now);
  DOCTEST_REQUIRE(call.has_value());
  DOCTEST_CHECK(call->m_position == StorePosition{ 1, 15 });
}

DOCTEST_TEST_CASE("bad answers end the share at once and are written")
{
  Fixture fixture;
  fixture.TakeUp();
  for (uint64_t i = 1; i <= 20; ++i) {
    fixture.m_now += Milliseconds(200);
    fixture.Report(kSelf, i, i);
    fixture.Tick();
  }
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kRolledBack);
  DOCTEST_CHECK(fixture.Share() == 0);
  DOCTEST_CHECK(fixture.Written() == RolloutState::kRolledBack);
}

DOCTEST_TEST_CASE("the stop of an instance ends the share")
{
  Fixture fixture;
  fixture.TakeUp();
  fixture.m_controller.OnReport(kOther,
                                { .m_service = "s",
                                  .m_targetVersion = "v2",
                                  .m_position = { 1, 10 },
                                  .m_processStart = 1,
                                  .m_sequence = 1,
                                  .m_stopped = true },
                                fixture.m_now);
  fixture.Tick();
  DOCTEST_CHECK(fixture.Written() == RolloutState::kRolledBack);
}

DOCTEST_TEST_CASE("completed is written when every instance in contact applies "
                  "the stage full and waits for no other upstream")
{
  Fixture fixture;
  fixture.TakeUp();
  fixture.ReportGood();
  fixture.TickAt(0.7);
  fixture.Report(kSelf, 50, 0);
  fixture.Tick();
  DOCTEST_CHECK_FALSE(fixture.Written().has_value());
  fixture.Report(kOther, 50, 0, 1);
  fixture.Tick();
  DOCTEST_CHECK_FALSE(fixture.Written().has_value());
  // Its earlier report is too old by now: the instance may have lost contact.
  fixture.m_now += Milliseconds(1100);
  fixture.Tick();
  fixture.Report(kOther, 50, 0);
  fixture.Tick();
  DOCTEST_CHECK_FALSE(fixture.Written().has_value());
  fixture.Report(kSelf, 50, 0);
  fixture.Tick();
  DOCTEST_CHECK(fixture.Written() == RolloutState::kCompleted);
}

DOCTEST_TEST_CASE("while the store is away no stage begins and the stage full "
                  "goes back to the ramp's share")
{
  Fixture fixture;
  fixture.TakeUp();
  fixture.ReportGood();
  fixture.m_surroundings.m_storeReachable = false;
  fixture.TickAt(0.6);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kCanary);
  DOCTEST_CHECK(fixture.Share() == doctest::Approx(0.05));
  fixture.m_surroundings.m_storeReachable = true;
  fixture.TickAt(0.7);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kFull);
  fixture.m_surroundings.m_storeReachable = false;
  fixture.Tick();
  DOCTEST_CHECK(fixture.Share() == doctest::Approx(0.25));
  fixture.Report(kSelf, 50, 0);
  fixture.Report(kOther, 50, 0);
  fixture.Tick();
  DOCTEST_CHECK_FALSE(fixture.Written().has_value());
}

// Guards against a part of a divided fleet that goes on with a version which
// the other part has found bad.
DOCTEST_TEST_CASE("without the store and with instances lost nothing goes to "
                  "the target version")
{
  Fixture fixture;
  fixture.TakeUp();
  fixture.m_surroundings.m_storeReachable = false;
  fixture.m_surroundings.m_lostInstances = 1;
  fixture.Tick();
  DOCTEST_CHECK(fixture.Share() == 0);
}

DOCTEST_TEST_CASE("a new controller continues in the stage canary once it has "
                  "the reports")
{
  Fixture fixture(RolloutState::kRunning);
  fixture.TickAt(0.6);
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kCanary);
  Fixture late(RolloutState::kRunning);
  late.Tick();
  DOCTEST_CHECK(late.Share() == 0);
  late.m_now += Milliseconds(1500);
  late.Tick();
  DOCTEST_CHECK(late.m_controller.Stage() == RolloutStage::kCanary);
  DOCTEST_CHECK(late.Share() == doctest::Approx(0.05));
}

DOCTEST_TEST_CASE("a new controller takes the counts of earlier reports over")
{
  Fixture fixture(RolloutState::kRunning);
  fixture.Tick();
  fixture.Report(kSelf, 20, 18);
  fixture.Report(kOther, 20, 18);
  fixture.Tick();
  DOCTEST_CHECK(fixture.Written() == RolloutState::kRolledBack);
}

DOCTEST_TEST_CASE("a report teaches a restarted controller the order's age")
{
  Fixture fixture(RolloutState::kRunning);
  fixture.m_now = kStart + Seconds(2);
  fixture.m_controller.OnReport(kOther,
                                { .m_service = "s",
                                  .m_targetVersion = "v2",
                                  .m_position = { 1, 10 },
                                  .m_processStart = 1,
                                  .m_sequence = 1,
                                  .m_age = Seconds(30) },
                                fixture.m_now);
  fixture.Tick();
  DOCTEST_CHECK(fixture.m_controller.Stage() == RolloutStage::kFull);
}

DOCTEST_TEST_CASE("lost and repeated reports change no total")
{
  ReportCollector reports;
  RolloutReport first{ .m_processStart = 1, .m_sequence = 1, .m_requests = 5 };
  first.m_routes = { { .m_route = "a", .m_target = { .m_answers = 3 } } };
  RolloutReport third = first;
  third.m_sequence = 3;
  third.m_requests = 9;
  third.m_routes[0].m_target = { .m_answers = 8, .m_failures = 2 };
  DOCTEST_CHECK(reports.Add(kOther, first).m_isNew);
  ReportGain gain = reports.Add(kOther, third);
  DOCTEST_CHECK(gain.m_routes[0].m_target ==
                AnswerCounts{ .m_answers = 5, .m_failures = 2 });
  DOCTEST_CHECK(reports.Add(kOther, third).m_routes[0].m_target ==
                AnswerCounts{});
  DOCTEST_CHECK(reports.Add(kOther, first).m_routes[0].m_target ==
                AnswerCounts{});
  DOCTEST_CHECK(reports.Requests() == 9);
  DOCTEST_CHECK(reports.Find(kOther)->m_sequence == 3);
}

} // namespace
} // namespace ebonykeel
