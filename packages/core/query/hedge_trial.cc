// Simulates the benefit and the cost of hedging. The latency of each attempt is
// drawn from a distribution in which 1 in 100 is a straggler. Queries run one
// after another through QueryRun, with and without hedging, on latencies drawn
// from the same seed. Nothing is sent, and upstreams have no queues.
//
// Usage: hedge_trial [SEED [QUERIES]]
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "core/query/query_run.h"

namespace ebonykeel {
namespace {

constexpr double kMedianMilliseconds = 4;
constexpr double kLogNormalSigma = 0.3;
constexpr double kStragglerShare = 0.01;
constexpr double kStragglerFactor = 12;
constexpr Duration kQueryInterval = Milliseconds(20);
constexpr Duration kQueryTimeout = Milliseconds(500);

struct ClusterShape
{
  int m_fanOut = 40;
  int m_replicas = 3;
  bool m_stragglers = true;
};

struct TrialResult
{
  double m_p50 = 0;
  double m_p99 = 0;
  double m_extraLoad = 0;
  double m_wholeShare = 0;
};

class LatencySource
{
public:
  LatencySource(uint64_t aSeed, bool aStragglers)
    : m_random(aSeed)
    , m_stragglers(aStragglers)
  {
  }

  Duration Draw()
  {
    double milliseconds = kMedianMilliseconds * std::exp(m_normal(m_random));
    if (m_uniform(m_random) < kStragglerShare && m_stragglers) {
      milliseconds *= kStragglerFactor;
    }
    return Duration(static_cast<int64_t>(milliseconds * 1'000'000));
  }

private:
  std::mt19937_64 m_random;
  std::normal_distribution<double> m_normal{ 0, kLogNormalSigma };
  std::uniform_real_distribution<double> m_uniform{ 0, 1 };
  bool m_stragglers;
};

ConfigurationPtr
MakeConfiguration(const ClusterShape& aShape)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->m_generation = 1;
  ServiceConfig& service = configuration->m_services.emplace_back();
  service.m_name = ServiceName("trial");
  service.m_indexVersion = 1;
  for (int number = 0; number < aShape.m_fanOut; ++number) {
    ShardConfig& shard = service.m_shards.emplace_back();
    shard.m_name = ShardName(absl::StrCat("s", number));
    for (int replica = 0; replica < aShape.m_replicas; ++replica) {
      shard.m_replicas.push_back(
        { .m_id = UpstreamId(absl::StrCat("u", number, "-", replica)),
          .m_dataCentre = DataCentre(absl::StrCat("dc", replica)) });
    }
  }
  return configuration;
}

// Runs queries one at a time.
class Trial
{
public:
  Trial(const ClusterShape& aShape, HedgePolicy& aHedges, uint64_t aSeed)
    : m_latencies(aSeed, aShape.m_stragglers)
    , m_random(aSeed + 1)
    , m_retries(MakeRetryBudget())
    , m_selector({ .m_ownDataCentre = DataCentre("dc0") }, m_random)
    , m_dependencies{ m_snapshots, m_selector, aHedges, m_retries }
  {
    ConfigurationPtr configuration = MakeConfiguration(aShape);
    m_snapshots.OnConfiguration(configuration);
    m_selector.OnConfiguration(configuration);
  }

  // Runs one query and returns its latency.
  Duration RunQuery(uint64_t aNumber)
  {
    TimePoint start = TimePoint() + aNumber * kQueryInterval;
    QueryRequest request{ .m_services = { ServiceName("trial") },
                          .m_arrival = start,
                          .m_deadline = start + kQueryTimeout };
    QueryRun run(request, m_dependencies, SubQueryIds(1, aNumber));
    m_now = start;
    Perform(run.Start(m_now));
    while (!run.Finished()) {
      TimePoint timer = *run.NextTimer();
      if (m_answers.empty() || timer < m_answers.begin()->first) {
        m_now = timer;
        Perform(run.OnTimer(m_now));
      } else {
        auto answer = m_answers.extract(m_answers.begin());
        m_now = answer.key();
        Perform(run.OnSubAnswer(answer.mapped(), m_now));
      }
    }
    m_answers.clear();
    m_first += run.Counts().m_first;
    m_extra += run.Counts().m_hedges + run.Counts().m_retries;
    return m_now - start;
  }

  [[nodiscard]] double ExtraLoad() const
  {
    return static_cast<double>(m_extra) / static_cast<double>(m_first);
  }
  [[nodiscard]] uint64_t Whole() const { return m_whole; }

private:
  void Perform(const std::vector<QueryAction>& aActions)
  {
    for (const QueryAction& action : aActions) {
      if (const auto* send = std::get_if<SendSubQuery>(&action)) {
        const SubQuery& subQuery = send->m_subQuery;
        m_answers.emplace(
          m_now + m_latencies.Draw(),
          SubAnswer{ .m_id = subQuery.m_id,
                     .m_upstream = subQuery.m_upstream,
                     .m_shard = subQuery.m_shard,
                     .m_indexVersion = subQuery.m_indexVersion });
      } else if (const auto* finish = std::get_if<Finish>(&action)) {
        m_whole += finish->m_answer.Whole() ? 1 : 0;
      }
    }
  }

  LatencySource m_latencies;
  std::mt19937_64 m_random;
  RetryBudget m_retries;
  SnapshotTracker m_snapshots;
  AdaptiveSelector m_selector;
  QueryDependencies m_dependencies;
  std::multimap<TimePoint, SubAnswer> m_answers;
  TimePoint m_now;
  uint64_t m_first = 0;
  uint64_t m_extra = 0;
  uint64_t m_whole = 0;
};

TrialResult
Run(const ClusterShape& aShape,
    HedgePolicy& aHedges,
    uint64_t aSeed,
    uint64_t aCount)
{
  Trial trial(aShape, aHedges, aSeed);
  std::vector<Duration> queryLatencies;
  queryLatencies.reserve(aCount);
  for (uint64_t number = 0; number < aCount; ++number) {
    queryLatencies.push_back(trial.RunQuery(number));
  }
  std::ranges::sort(queryLatencies);
  return { .m_p50 = ToMillisecondsF(queryLatencies[aCount / 2]),
           .m_p99 = ToMillisecondsF(queryLatencies[aCount * 99 / 100]),
           .m_extraLoad = trial.ExtraLoad(),
           .m_wholeShare =
             static_cast<double>(trial.Whole()) / static_cast<double>(aCount) };
}

void
Print(const char* aName, const TrialResult& aResult, double aReference)
{
  std::printf("  %-24s p50 %6.2f ms  p99 %6.2f ms (%.2f)  extra load %.2f%%  "
              "whole %.4f\n",
              aName,
              aResult.m_p50,
              aResult.m_p99,
              aResult.m_p99 / aReference,
              100 * aResult.m_extraLoad,
              aResult.m_wholeShare);
}

void
CompareHedging(ClusterShape aShape, uint64_t aSeed, uint64_t aCount)
{
  std::printf("fan-out %d, %d replicas:\n", aShape.m_fanOut, aShape.m_replicas);
  NoHedging noHedging;
  ClusterShape withoutStragglers = aShape;
  withoutStragglers.m_stragglers = false;
  TrialResult reference = Run(withoutStragglers, noHedging, aSeed, aCount);
  Print("no stragglers", reference, reference.m_p99);
  Print("stragglers, no hedging",
        Run(aShape, noHedging, aSeed, aCount),
        reference.m_p99);
  for (double quantile : { 0.95, 0.97, 0.98 }) {
    QuantileHedging hedges({ .m_quantile = quantile });
    std::string name = absl::StrCat("hedging at ", quantile);
    Print(name.c_str(), Run(aShape, hedges, aSeed, aCount), reference.m_p99);
  }
}

// Compares how two quantile estimators follow a latency that doubles after half
// of the samples.
void
CompareEstimators(uint64_t aSeed)
{
  namespace acc = boost::accumulators;
  constexpr double kQuantile = 0.98;
  constexpr int kSamples = 40'000;
  acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>> pSquare(
    acc::quantile_probability = kQuantile);
  DecayingHistogram histogram(4000);
  LatencySource latencies(aSeed, false);
  std::printf("estimators of quantile %.2f, latency doubles at sample %d:\n",
              kQuantile,
              kSamples / 2);
  for (int sample = 1; sample <= kSamples; ++sample) {
    Duration latency = latencies.Draw() * (sample > kSamples / 2 ? 2 : 1);
    pSquare(ToMillisecondsF(latency));
    histogram.Add(latency);
    if (sample % 10'000 == 0) {
      std::printf("  after %5d: P2 %6.2f ms, decaying histogram %6.2f ms\n",
                  sample,
                  acc::p_square_quantile(pSquare),
                  ToMillisecondsF(histogram.Quantile(kQuantile)));
    }
  }
}

uint64_t
ParseNumberOr(std::span<char*> aArguments, size_t aIndex, uint64_t aDefault)
{
  if (aArguments.size() <= aIndex) {
    return aDefault;
  }
  std::string_view text = aArguments[aIndex];
  uint64_t number = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return std::max<uint64_t>(number, 1);
}

} // namespace
} // namespace ebonykeel

int
main(int aCount, char** aArguments)
{
  std::span<char*> arguments(aArguments, static_cast<size_t>(aCount));
  uint64_t seed = ebonykeel::ParseNumberOr(arguments, 1, 1);
  uint64_t queries = ebonykeel::ParseNumberOr(arguments, 2, 20'000);
  std::printf(
    "simulation of hedging on random latencies, seed %llu, %llu queries "
    "for each line; (p99 relative to no stragglers)\n",
    static_cast<unsigned long long>(seed),
    static_cast<unsigned long long>(queries));
  for (int fanOut : { 40, 98 }) {
    for (int replicas : { 2, 3 }) {
      ebonykeel::CompareHedging(
        { .m_fanOut = fanOut, .m_replicas = replicas }, seed, queries);
    }
  }
  ebonykeel::CompareEstimators(seed);
  return 0;
}
