#include "core/rollout/version_comparison.h"

#include <algorithm>
#include <random>
#include <string>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };

struct Trial
{
  // The bad shares of the versions.
  double m_current = 0;
  double m_target = 0;
  // Answers per second of both versions together, and the target's share.
  double m_rate = 100;
  double m_share = 0.05;
  Duration m_duration = Seconds(60);
  int m_routes = 1;
};

struct TrialResult
{
  VersionVerdict m_first = VersionVerdict::kUndecided;
  bool m_bad = false;
  // The target version's bad answers until then.
  int m_badAnswers = 0;
};

TrialResult
Run(const Trial& aTrial, uint32_t aSeed)
{
  std::mt19937 random(aSeed);
  std::exponential_distribution<double> gap(aTrial.m_rate);
  std::uniform_real_distribution<double> draw(0, 1);
  VersionComparison comparison({});
  TrialResult result;
  TimePoint now = kStart;
  while (now < kStart + aTrial.m_duration && !result.m_bad) {
    now += Duration(static_cast<int64_t>(gap(random) * 1e9));
    bool isTarget = draw(random) < aTrial.m_share;
    bool isBad = draw(random) < (isTarget ? aTrial.m_target : aTrial.m_current);
    BadAnswers answer{ .m_answers = 1, .m_bad = isBad ? 1U : 0U };
    std::string route =
      std::to_string(static_cast<int>(draw(random) * aTrial.m_routes));
    comparison.Add(route,
                   isTarget ? BadAnswers{} : answer,
                   isTarget ? answer : BadAnswers{},
                   now);
    comparison.OnTimer(now);
    result.m_badAnswers += isTarget && isBad ? 1 : 0;
    VersionVerdict verdict = comparison.Verdict();
    result.m_first =
      result.m_first == VersionVerdict::kUndecided ? verdict : result.m_first;
    result.m_bad = verdict == VersionVerdict::kBad;
  }
  return result;
}

struct Shares
{
  double m_bad = 0;
  double m_firstGood = 0;
  double m_firstBad = 0;
  int m_maxBadAnswers = 0;
};

Shares
RunAll(const Trial& aTrial, uint32_t aSeeds)
{
  Shares shares;
  for (uint32_t seed = 1; seed <= aSeeds; ++seed) {
    TrialResult result = Run(aTrial, seed);
    shares.m_bad += result.m_bad ? 1.0 / aSeeds : 0;
    shares.m_firstGood +=
      result.m_first == VersionVerdict::kGood ? 1.0 / aSeeds : 0;
    shares.m_firstBad +=
      result.m_first == VersionVerdict::kBad ? 1.0 / aSeeds : 0;
    shares.m_maxBadAnswers =
      std::max(shares.m_maxBadAnswers, result.m_badAnswers);
  }
  return shares;
}

constexpr uint32_t kSeeds = 300;
// Of 300 runs at a probability of 0.01, more than eight happen by chance in 1
// of 250 tests.
constexpr double kMaxShare = 0.027;

// Guards against rolling back good versions more often than stated.
DOCTEST_TEST_CASE(
  "an equally good version is found bad with at most the stated "
  "probability")
{
  for (double bad : { 0.0, 0.01, 0.05, 0.1, 0.3, 0.6, 0.95 }) {
    for (double rate : { 5.0, 20.0, 100.0, 200.0 }) {
      for (double share : { 0.05, 0.25 }) {
        DOCTEST_CAPTURE(bad);
        DOCTEST_CAPTURE(rate);
        DOCTEST_CAPTURE(share);
        Shares shares = RunAll({ .m_current = bad,
                                 .m_target = bad,
                                 .m_rate = rate,
                                 .m_share = share,
                                 .m_routes = 3 },
                               kSeeds);
        DOCTEST_CHECK(shares.m_bad <= kMaxShare);
      }
    }
  }
}

// Guards against going on with a version that is worse by the stated share.
DOCTEST_TEST_CASE("a version that is worse by 0.2 is found good first with at "
                  "most the stated probability")
{
  for (double bad : { 0.0, 0.05, 0.1, 0.3 }) {
    for (double rate : { 20.0, 100.0, 200.0 }) {
      DOCTEST_CAPTURE(bad);
      DOCTEST_CAPTURE(rate);
      Shares shares = RunAll(
        { .m_current = bad, .m_target = bad + 0.2, .m_rate = rate }, kSeeds);
      DOCTEST_CHECK(shares.m_firstGood <= kMaxShare);
    }
  }
}

} // namespace
} // namespace ebonykeel
