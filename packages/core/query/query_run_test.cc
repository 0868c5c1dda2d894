#include "core/query/query_run.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/query/testing/simulated_cluster.h"

namespace ebonykeel {
namespace {

using testing::Faults;
using testing::History;
using testing::SimulatedCluster;
using testing::Violations;

constexpr size_t kQueries = 12;
constexpr QuantileHedgingOptions kHedging{ .m_quantile = 0.9,
                                           .m_budgetShare = 0.05,
                                           .m_budgetBurst = 10,
                                           .m_minSamples = 20 };
constexpr double kRetryShareInTest = 0.1;
constexpr double kRetryBurstInTest = 30;

History
RunQueries(const Faults& aFaults)
{
  QuantileHedging hedges(kHedging);
  RetryBudget retries(kRetryShareInTest, kRetryBurstInTest);
  return SimulatedCluster(aFaults, hedges, retries).Run(kQueries);
}

Faults
ArbitraryFaults()
{
  auto percent = [](int aMax) { return *rc::gen::inRange(0, aMax); };
  return { .m_seed = *rc::gen::arbitrary<uint64_t>(),
           .m_lostPercent = percent(15),
           .m_duplicatedPercent = percent(30),
           .m_mismatchedPercent = percent(20),
           .m_refusedPercent = percent(25),
           .m_partialPercent = percent(15),
           .m_stragglerPercent = percent(10),
           .m_newVersion = *rc::gen::arbitrary<bool>(),
           .m_repartition = *rc::gen::arbitrary<bool>(),
           .m_withdrawal = *rc::gen::arbitrary<bool>(),
           .m_drain = *rc::gen::arbitrary<bool>(),
           .m_preference =
             *rc::gen::element(Preference::kCoverage, Preference::kLatency) };
}

void
ExpectNoViolation(const Violations& aViolations)
{
  if (!aViolations.empty()) {
    RC_FAIL(aViolations.front());
  }
}

DOCTEST_TEST_CASE(
  "query guarantees hold under random faults and configuration changes")
{
  DOCTEST_CHECK(rc::check("query guarantees", [] {
    History history = RunQueries(ArbitraryFaults());
    ExpectNoViolation(CheckSingleSnapshot(history));
    ExpectNoViolation(CheckTrueCoverage(history));
    ExpectNoViolation(CheckHitsBelongToQuery(history));
    ExpectNoViolation(CheckAnsweredByDeadline(history));
    ExpectNoViolation(CheckNoWorkToWithdrawn(history));
  }));
}

DOCTEST_TEST_CASE("hedges and retries stay within their budgets")
{
  DOCTEST_CHECK(rc::check("extra load", [] {
    // Retries of sub-queries that caused no work on an upstream are not taken
    // from the budget. So nothing is refused and the configuration does not
    // change here; answers are only lost, late or partial.
    Faults faults{ .m_seed = *rc::gen::arbitrary<uint64_t>(),
                   .m_lostPercent = *rc::gen::inRange(0, 60),
                   .m_partialPercent = *rc::gen::inRange(0, 60),
                   .m_stragglerPercent = *rc::gen::inRange(0, 60) };
    ExpectNoViolation(CheckExtraLoad(RunQueries(faults),
                                     kHedging.m_budgetShare,
                                     kHedging.m_budgetBurst,
                                     kRetryShareInTest,
                                     kRetryBurstInTest));
  }));
}

bool
AllAnswersWhole(const History& aHistory)
{
  return std::ranges::all_of(aHistory.m_events, [](const auto& aEvent) {
    return aEvent.m_kind != testing::Event::Kind::kFinish ||
           aEvent.m_finish.Whole();
  });
}

DOCTEST_TEST_CASE("without faults every answer is complete")
{
  DOCTEST_CHECK(AllAnswersWhole(RunQueries({})));
}

DOCTEST_TEST_CASE("withdrawing a data centre leaves every answer complete")
{
  DOCTEST_CHECK(rc::check("withdrawal", [] {
    uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    RC_ASSERT(
      AllAnswersWhole(RunQueries({ .m_seed = seed, .m_withdrawal = true })));
  }));
}

DOCTEST_TEST_CASE(
  "a query that prefers latency is answered at the latency target")
{
  // Stragglers exceed the latency target of 40 ms. One missing shard of a
  // service still leaves its sufficient coverage of 0.7.
  Faults faults{ .m_seed = 3, .m_stragglerPercent = 4 };
  auto maxLatency = [](const History& aHistory) {
    Duration longest{ 0 };
    for (const auto& event : aHistory.m_events) {
      if (event.m_kind == testing::Event::Kind::kFinish) {
        Duration elapsed =
          event.m_at - aHistory.m_queries[event.m_query].m_arrival;
        longest = std::max(longest, elapsed);
      }
    }
    return longest;
  };
  NoHedging noHedging;
  RetryBudget noRetries(0, 0);
  Duration coveragePreferred =
    maxLatency(SimulatedCluster(faults, noHedging, noRetries).Run(kQueries));
  faults.m_preference = Preference::kLatency;
  Duration latencyPreferred =
    maxLatency(SimulatedCluster(faults, noHedging, noRetries).Run(kQueries));
  DOCTEST_CHECK(coveragePreferred > Milliseconds(60));
  DOCTEST_CHECK(latencyPreferred == Milliseconds(40));
}

DOCTEST_TEST_CASE("a sub-query id identifies its query and boot id")
{
  SubQueryIds ids(7, 42);
  std::string id = ids.Next();
  DOCTEST_CHECK(id != ids.Next());
  DOCTEST_CHECK(QueryNumberOf(id, 7) == 42);
  DOCTEST_CHECK(!QueryNumberOf(id, 8).has_value());
  DOCTEST_CHECK(!QueryNumberOf("no id", 7).has_value());
}

} // namespace
} // namespace ebonykeel
