// Compares placement by work with placement by latency on simulated replicas,
// and tests that runs state the work of their attempts.
#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/forward/forward_run_fixture.h"
#include "core/forward/placement_simulation.h"

namespace ebonykeel {
namespace {

constexpr uint64_t kSeeds = 20;
constexpr double kHighLoad = 0.8;

// The differences of one figure between two policies, one for each seed.
class PairedDifference
{
public:
  void Add(double aDifference)
  {
    ++m_count;
    m_sum += aDifference;
    m_squares += aDifference * aDifference;
  }
  [[nodiscard]] double Mean() const { return m_sum / m_count; }
  [[nodiscard]] double StandardError() const
  {
    double variance = m_squares / m_count - Mean() * Mean();
    return std::sqrt(std::max(variance, 0.0) / (m_count - 1));
  }

private:
  double m_count = 0;
  double m_sum = 0;
  double m_squares = 0;
};

// Guards against a placement by work that gains where works differ and loses
// elsewhere. A difference between two equally good placements is within two
// standard errors, so that "not worse" allows for these; "better" does not.
DOCTEST_TEST_CASE("placement by work is not worse than placement by latency, "
                  "and better for mixed work at high load")
{
  for (const PlacementScenario& scenario : PlacementScenarios()) {
    DOCTEST_CAPTURE(scenario.m_name);
    PairedDifference inTime;
    PairedDifference p99;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      PlacementResult byLatency =
        SimulatePlacement(scenario, TrialPolicy::kLatency, seed);
      PlacementResult byWork =
        SimulatePlacement(scenario, TrialPolicy::kWork, seed);
      inTime.Add(byWork.m_inTime - byLatency.m_inTime);
      p99.Add(ToMillisecondsF(byWork.m_p99 - byLatency.m_p99));
    }
    DOCTEST_CHECK(inTime.Mean() >= -2 * inTime.StandardError());
    DOCTEST_CHECK(p99.Mean() <= 2 * p99.StandardError());
    bool mixed =
      scenario.m_kinds.size() > 1 || scenario.m_kinds.front().m_logSpread > 1;
    if (mixed && scenario.m_load >= kHighLoad) {
      DOCTEST_CHECK(inTime.Mean() > 0);
      DOCTEST_CHECK(p99.Mean() < 0);
    }
  }
}

// Guards against a decision that placement by work makes without being enabled.
DOCTEST_TEST_CASE("with placement by latency no work is expected of attempts")
{
  ForwardRunFixture fixture(2);
  fixture.Start();
  DOCTEST_CHECK(fixture.m_run->ExpectedWorkOf(0, 0).Mean() == Duration{});
}

struct WorkFixture : ForwardRunFixture
{
  explicit WorkFixture(size_t aShards)
    : ForwardRunFixture(aShards)
  {
    m_load = ReplicaLoad(
      { .m_dataCentre = DataCentre("here"), .m_placeByWork = true });
  }
};

DOCTEST_TEST_CASE("attempts are sent with the learned work of their workspace")
{
  WorkFixture fixture(1);
  for (int i = 0; i < 100; ++i) {
    fixture.m_environment.m_work.Add(
      fixture.m_route, "long", Milliseconds(12), Milliseconds(30), kStart);
    fixture.m_environment.m_work.Add(
      fixture.m_route, "short", Milliseconds(12), Milliseconds(5), kStart);
  }
  auto expectFor = [&](const std::string& aWorkspace) {
    fixture.m_run.emplace(
      ForwardRequest{ .m_route = &fixture.m_route,
                      .m_services = fixture.m_route.m_services,
                      .m_receivedAt = kStart,
                      .m_remaining = Milliseconds(600),
                      .m_workspace = aWorkspace },
      fixture.m_environment,
      fixture.m_port);
    fixture.m_run->Start(kStart);
    return fixture.m_run->ExpectedWorkOf(0, 0).Mean();
  };
  DOCTEST_CHECK(expectFor("long") > Milliseconds(28));
  DOCTEST_CHECK(expectFor("short") < Milliseconds(7));
}

// Guards against parts of an expensive request that count as typical ones while
// they are open, and against a hedge that is placed like a typical part.
DOCTEST_TEST_CASE("parts that cost more than expected raise the expectation of "
                  "open parts and hedges")
{
  WorkFixture fixture(4);
  fixture.m_environment.m_options.m_earlyAnswers = false;
  fixture.Start();
  Duration before = fixture.m_run->ExpectedWorkOf(3, 0).Mean();
  fixture.SetTime(before * 2);
  fixture.Succeed(0);
  fixture.Succeed(1);
  fixture.Succeed(2);
  DOCTEST_CHECK(fixture.m_run->ExpectedWorkOf(3, 0).Mean() > before * 5 / 4);
  fixture.SetTime(before * 3);
  fixture.RunTimer();
  DOCTEST_REQUIRE(fixture.m_port.m_sent.size() == 5);
  DOCTEST_CHECK(fixture.m_port.m_sent[4].m_reason == AttemptReason::kHedge);
  DOCTEST_CHECK(fixture.m_run->ExpectedWorkOf(3, 1).Mean() > before * 5 / 4);
}

} // namespace
} // namespace ebonykeel
