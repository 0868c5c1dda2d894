// Lets whole fleets carry out orders over seeds, without network: good versions
// complete, bad ones are rolled back within the bounds of exposure, whatever
// becomes of messages, instances, controllers and the store.
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/rollout/testing/simulated_rollout.h"

namespace ebonykeel {
namespace {

using Kind = Disturbance::Kind;

constexpr uint32_t kSeeds = 20;
// The bounds of the roll-out requirements.
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;

void
CheckGood(const RolloutScenario& aScenario)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    DOCTEST_CAPTURE(seed);
    RolloutOutcome outcome = SimulatedRollout(aScenario, seed).Run();
    DOCTEST_CAPTURE(outcome.m_reason);
    DOCTEST_CHECK(outcome.m_state == RolloutState::kCompleted);
    DOCTEST_CHECK(outcome.m_finalWrites == 1);
    DOCTEST_CHECK(outcome.m_finalAt.value_or(Seconds(3600)) <=
                  aScenario.m_duration);
    DOCTEST_CHECK(outcome.m_inFlightAtCompletion == 0);
  }
}

void
CheckExposure(const RolloutOutcome& aOutcome)
{
  DOCTEST_CHECK(static_cast<double>(aOutcome.m_targetRequests) <=
                kExposureShare * static_cast<double>(aOutcome.m_requests) +
                  kExposureSlack);
  DOCTEST_CHECK_FALSE(aOutcome.m_sentAfterRollback);
}

void
CheckBad(const RolloutScenario& aScenario)
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    DOCTEST_CAPTURE(seed);
    RolloutOutcome outcome = SimulatedRollout(aScenario, seed).Run();
    DOCTEST_CAPTURE(outcome.m_reason);
    DOCTEST_CHECK(outcome.m_state == RolloutState::kRolledBack);
    DOCTEST_CHECK(outcome.m_finalWrites == 1);
    DOCTEST_CHECK(outcome.m_finalAt.value_or(Seconds(3600)) <=
                  aScenario.m_duration);
    CheckExposure(outcome);
  }
}

// Rates of requests, of all instances together.
const std::vector<double> kRates{ 10, 100, 400 };

DOCTEST_TEST_CASE("a good version completes by the deadline")
{
  for (double rate : kRates) {
    DOCTEST_CAPTURE(rate);
    CheckGood({ .m_requestsPerSecond = rate });
  }
}

DOCTEST_TEST_CASE("a good version completes although both versions have bad "
                  "answers")
{
  for (double rate : kRates) {
    DOCTEST_CAPTURE(rate);
    CheckGood({ .m_requestsPerSecond = rate, .m_commonFailures = 0.1 });
  }
}

DOCTEST_TEST_CASE("a good version completes although messages are lost, "
                  "repeated and late")
{
  CheckGood(
    { .m_loss = 0.1, .m_repeat = 0.2, .m_maxDelay = Milliseconds(150) });
}

DOCTEST_TEST_CASE("a good version without any request completes")
{
  CheckGood({ .m_requestsPerSecond = 0.001 });
}

DOCTEST_TEST_CASE("a version that is bad at once is rolled back")
{
  for (double rate : kRates) {
    for (double failures : { 0.3, 1.0 }) {
      DOCTEST_CAPTURE(rate);
      DOCTEST_CAPTURE(failures);
      CheckBad({ .m_requestsPerSecond = rate,
                 .m_bad = BadVersion{ .m_failures = failures } });
    }
  }
}

DOCTEST_TEST_CASE("a version that turns bad in the stage canary or ramp is "
                  "rolled back")
{
  for (int64_t seconds : { 5, 15, 24 }) {
    DOCTEST_CAPTURE(seconds);
    CheckBad(
      { .m_bad = BadVersion{ .m_failures = 0.5, .m_from = Seconds(seconds) } });
  }
}

DOCTEST_TEST_CASE("a version that turns bad as the stage full begins gets no "
                  "more than the bound")
{
  // The order may complete before its answers show.
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    DOCTEST_CAPTURE(seed);
    RolloutOutcome outcome =
      SimulatedRollout(
        { .m_duration = Seconds(60),
          .m_bad = BadVersion{ .m_failures = 1, .m_from = Seconds(41) } },
        seed)
        .Run();
    DOCTEST_CHECK(outcome.m_finalWrites == 1);
    if (outcome.m_state == RolloutState::kRolledBack) {
      CheckExposure(outcome);
    }
  }
}

DOCTEST_TEST_CASE("a version that fails under load is rolled back")
{
  CheckBad({ .m_requestsPerSecond = 400,
             .m_bad = BadVersion{ .m_failures = 0.8, .m_minLoad = 2 } });
}

DOCTEST_TEST_CASE("a version that is bad on one route is rolled back")
{
  CheckBad({ .m_bad = BadVersion{ .m_failures = 0.7, .m_route = "b" } });
}

DOCTEST_TEST_CASE("a slow version is rolled back")
{
  for (double factor : { 5.0, 20.0 }) {
    DOCTEST_CAPTURE(factor);
    CheckBad({ .m_bad = BadVersion{ .m_slowness = factor } });
  }
}

DOCTEST_TEST_CASE("a fault that hits both versions is not held against the new "
                  "one")
{
  for (double rate : kRates) {
    DOCTEST_CAPTURE(rate);
    CheckGood({ .m_requestsPerSecond = rate,
                .m_disturbances = { { .m_kind = Kind::kFaultOfBoth,
                                      .m_from = Seconds(8),
                                      .m_to = Seconds(13) },
                                    { .m_kind = Kind::kFaultOfBoth,
                                      .m_from = Seconds(22),
                                      .m_to = Seconds(25) } } });
  }
}

DOCTEST_TEST_CASE(
  "a version without an upstream is rolled back at the deadline")
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutOutcome outcome =
      SimulatedRollout({ .m_hasTarget = false }, seed).Run();
    DOCTEST_CHECK(outcome.m_state == RolloutState::kRolledBack);
    DOCTEST_CHECK(outcome.m_targetRequests == 0);
    DOCTEST_CHECK(outcome.m_finalAt.value_or(Duration{}) >= Seconds(40));
    DOCTEST_CHECK(outcome.m_finalAt.value_or(Duration{}) <= Seconds(41));
  }
}

Disturbance
DrawDisturbance()
{
  constexpr int kKinds = 8;
  int kind = *rc::gen::inRange(0, kKinds);
  int from = *rc::gen::inRange(0, 38000);
  // A restart within the time of detection shows as a short freeze.
  int length = *rc::gen::inRange(200, 15000);
  return { .m_kind = static_cast<Kind>(kind),
           .m_instance = *rc::gen::inRange<size_t>(0, 5),
           .m_from = Milliseconds(from),
           .m_to = Milliseconds(from + length) };
}

// Guards against combinations of faults that the fixed days below do not have.
DOCTEST_TEST_CASE("the bounds hold under any disturbances")
{
  bool held = rc::check([]() {
    RolloutScenario scenario{ .m_requestsPerSecond =
                                *rc::gen::element(10.0, 100.0, 250.0),
                              .m_loss = *rc::gen::element(0.0, 0.02, 0.1),
                              .m_repeat = *rc::gen::element(0.0, 0.1),
                              .m_maxDelay =
                                Milliseconds(*rc::gen::element(5, 50, 300)) };
    bool isBad = *rc::gen::element(true, true, false);
    if (isBad) {
      scenario.m_bad =
        BadVersion{ .m_failures = *rc::gen::element(0.5, 0.8, 1.0),
                    .m_from = Milliseconds(*rc::gen::inRange(0, 26000)) };
    }
    int disturbances = *rc::gen::inRange(0, 4);
    for (int i = 0; i < disturbances; ++i) {
      scenario.m_disturbances.push_back(DrawDisturbance());
    }
    auto seed = *rc::gen::inRange<uint32_t>(1, 1000000);
    RolloutOutcome outcome = SimulatedRollout(scenario, seed).Run();
    RC_ASSERT(outcome.m_finalWrites <= 1);
    RC_ASSERT(outcome.m_inFlightAtCompletion == 0);
    // With fewer requests the test has a few answers only, and finds one bad
    // version in a hundred good.
    bool hasEnoughAnswers = scenario.m_requestsPerSecond >= 100;
    if (isBad && hasEnoughAnswers) {
      RC_ASSERT_FALSE(outcome.m_sentAfterRollback);
      RC_ASSERT(static_cast<double>(outcome.m_targetRequests) <=
                kExposureShare * static_cast<double>(outcome.m_requests) +
                  kExposureSlack);
    }
  });
  DOCTEST_CHECK(held);
}

// Disturbances that a roll-out must survive. Instance 0 is the controller.
std::vector<std::vector<Disturbance>>
DisturbedDays()
{
  return {
    { { .m_kind = Kind::kKill, .m_instance = 0, .m_from = Seconds(2) } },
    { { .m_kind = Kind::kKill, .m_instance = 0, .m_from = Seconds(23) } },
    { { .m_kind = Kind::kKill, .m_instance = 0, .m_from = Seconds(6) },
      { .m_kind = Kind::kKill, .m_instance = 1, .m_from = Seconds(22) } },
    { { .m_kind = Kind::kFreeze,
        .m_instance = 0,
        .m_from = Seconds(10),
        .m_to = Seconds(14) } },
    { { .m_kind = Kind::kFreeze,
        .m_instance = 0,
        .m_from = Seconds(24),
        .m_to = Seconds(31) } },
    { { .m_kind = Kind::kFreeze,
        .m_instance = 4,
        .m_from = Seconds(18),
        .m_to = Seconds(29) } },
    { { .m_kind = Kind::kCutOff,
        .m_instance = 0,
        .m_from = Seconds(12),
        .m_to = Seconds(24) } },
    { { .m_kind = Kind::kIsolate,
        .m_instance = 0,
        .m_from = Seconds(3),
        .m_to = Seconds(25) } },
    { { .m_kind = Kind::kIsolate,
        .m_instance = 4,
        .m_from = Seconds(3),
        .m_to = Seconds(25) } },
    { { .m_kind = Kind::kRestart,
        .m_instance = 0,
        .m_from = Seconds(9),
        .m_to = Seconds(11) },
      { .m_kind = Kind::kRestart,
        .m_instance = 4,
        .m_from = Seconds(16),
        .m_to = Seconds(19) } },
    { { .m_kind = Kind::kStoreAway,
        .m_from = Seconds(4),
        .m_to = Seconds(24) } },
    { { .m_kind = Kind::kStoreAway,
        .m_from = Seconds(25),
        .m_to = Seconds(33) } },
    // The copy lacks "running".
    { { .m_kind = Kind::kRestore,
        .m_from = Milliseconds(1),
        .m_to = Seconds(4) } },
    // It lacks nothing of the order, or the final state.
    { { .m_kind = Kind::kRestore, .m_from = Seconds(8), .m_to = Seconds(12) },
      { .m_kind = Kind::kRestore, .m_from = Seconds(27), .m_to = Seconds(31) },
      { .m_kind = Kind::kRestore,
        .m_from = Seconds(30),
        .m_to = Seconds(33) } },
    // A new controller takes the order up, or has only the copy.
    { { .m_kind = Kind::kRestore, .m_from = Seconds(9), .m_to = Seconds(13) },
      { .m_kind = Kind::kKill, .m_instance = 0, .m_from = Seconds(14) } },
  };
}

DOCTEST_TEST_CASE("a good version completes through disturbances")
{
  for (const std::vector<Disturbance>& day : DisturbedDays()) {
    for (double loss : { 0.0, 0.05 }) {
      DOCTEST_CAPTURE(static_cast<int>(day.front().m_kind));
      DOCTEST_CAPTURE(ToMilliseconds(day.front().m_from));
      DOCTEST_CAPTURE(loss);
      CheckGood({ .m_loss = loss, .m_repeat = loss, .m_disturbances = day });
    }
  }
}

DOCTEST_TEST_CASE("a bad version keeps within the bounds through disturbances")
{
  for (const std::vector<Disturbance>& day : DisturbedDays()) {
    for (int64_t badFrom : { 0, 13, 22 }) {
      DOCTEST_CAPTURE(static_cast<int>(day.front().m_kind));
      DOCTEST_CAPTURE(ToMilliseconds(day.front().m_from));
      DOCTEST_CAPTURE(badFrom);
      CheckBad(
        { .m_bad = BadVersion{ .m_failures = 0.6, .m_from = Seconds(badFrom) },
          .m_loss = 0.05,
          .m_repeat = 0.05,
          .m_disturbances = day });
    }
  }
}

DOCTEST_TEST_CASE("a bad version keeps within the bounds in a large fleet")
{
  for (double rate : { 20.0, 1000.0 }) {
    DOCTEST_CAPTURE(rate);
    CheckBad({ .m_instances = 30,
               .m_requestsPerSecond = rate,
               .m_bad = BadVersion{ .m_failures = 0.4 } });
  }
}

DOCTEST_TEST_CASE("a good version completes in a large fleet")
{
  for (double rate : { 20.0, 1000.0 }) {
    DOCTEST_CAPTURE(rate);
    CheckGood({ .m_instances = 30, .m_requestsPerSecond = rate });
  }
}

} // namespace
} // namespace ebonykeel
