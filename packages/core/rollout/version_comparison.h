// Compares the bad answers of a new version with those of the current one.
//
//   VersionComparison comparison({});
//   comparison.Add("board", { 40, 1 }, { 2, 1 }, now);
//   if (comparison.Verdict(now) == VersionVerdict::kBad) ...
//
// The test is a sequential probability ratio test of "the target version's bad
// share equals the current version's" against "it is greater by
// `m_difference`". Answers are collected in short windows and compared with the
// current version's answers of the same window, so that a fault that hits both
// versions shows in both. The current version's bad share is known only
// roughly: the evidence for "bad" is computed from a high estimate of it, that
// for "good" from a low one. Each run that ends without "bad" is followed by
// another, since a version may turn bad later; the bound of each run is such
// that all of them together give a false alarm with at most the stated
// probability.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/base/time.h"

namespace ebonykeel {

enum class VersionVerdict
{
  kUndecided,
  kGood,
  // Final.
  kBad,
};

struct ComparisonOptions
{
  // The probability of finding a version bad that is as good as the current
  // one.
  double m_falseAlarm = 0.01;
  // The probability of first finding a version good whose bad share is greater
  // by `m_difference`.
  double m_miss = 0.01;
  double m_difference = 0.2;
  // The evidence against "bad" at which its test starts again. With less, the
  // bound rises more often; with more, a version that turns bad shows later.
  double m_restart = -2;
  // Answers of this time are compared with each other.
  Duration m_window = Milliseconds(200);
  // The greatest part of the bound that one window contributes. When an
  // upstream crashes, all requests that it had fail at the same moment; that is
  // one piece of evidence.
  double m_maxWindowPart = 0.4;
  // The half-lives of the current version's recent and longer-term bad share.
  Duration m_halfLife = Milliseconds(500);
  Duration m_longHalfLife = Seconds(10);
};

struct BadAnswers
{
  uint64_t m_answers = 0;
  uint64_t m_bad = 0;
};

// One run after the other of a sequential test for "bad", on log-likelihood
// ratios.
class BadTest
{
public:
  // Adds the evidence of one window: positive values speak for "bad".
  // `aFalseAlarm` is the probability that holds for this test.
  void Add(double aLogRatio, double aFalseAlarm, const ComparisonOptions&);
  // Adds the evidence of many windows.
  void AddHistory(double aLogRatio,
                  double aFalseAlarm,
                  const ComparisonOptions&);

  [[nodiscard]] bool IsBad() const { return m_bad; }
  // Returns whether the present run is at least half way to "bad".
  [[nodiscard]] bool IsDoubtful(double aFalseAlarm) const;
  [[nodiscard]] double Sum() const { return m_sum; }
  [[nodiscard]] double UpperBound(double aFalseAlarm) const;

private:
  void Check(double aFalseAlarm, const ComparisonOptions& aOptions);

  double m_sum = 0;
  uint64_t m_run = 1;
  bool m_bad = false;
};

// A sequential test for "good".
class GoodTest
{
public:
  void Add(double aLogRatio, const ComparisonOptions& aOptions);
  [[nodiscard]] bool IsGood() const { return m_good; }

private:
  double m_sum = 0;
  bool m_good = false;
};

class VersionComparison
{
public:
  explicit VersionComparison(ComparisonOptions aOptions);

  // Adds answers on one route since the previous call.
  void Add(const std::string& aRoute,
           BadAnswers aCurrent,
           BadAnswers aTarget,
           TimePoint aNow);
  // Adds answers of a long time at once, as a new controller gets them.
  void AddHistory(const std::string& aRoute,
                  BadAnswers aCurrent,
                  BadAnswers aTarget);
  // Evaluates the window if it is over.
  void OnTimer(TimePoint aNow);

  [[nodiscard]] VersionVerdict Verdict() const;
  // Returns whether the answers so far are more likely those of a bad version.
  [[nodiscard]] bool PointsToBad() const;
  // Returns the log-likelihood ratio of the answers of all routes.
  [[nodiscard]] double Evidence() const { return m_all.Sum(); }
  // Returns the route whose test found the version bad; empty if that of all
  // routes together did.
  [[nodiscard]] const std::string& BadRoute() const { return m_badRoute; }

private:
  struct RouteState
  {
    // The current version's answers, with a long half-life.
    double m_answers = 0;
    double m_bad = 0;
    // The same with a short one.
    double m_recentAnswers = 0;
    double m_recentBad = 0;
    BadAnswers m_windowCurrent;
    BadAnswers m_windowTarget;
    BadTest m_test;
  };

  // The estimates of the current version's bad share.
  struct Baseline
  {
    double m_low = 0;
    double m_high = 0;
  };
  // Log-likelihood ratios by the low and the high estimate.
  struct LogRatios
  {
    double m_low = 0;
    double m_high = 0;
  };

  // The false-alarm probability of each of the tests.
  [[nodiscard]] double FalseAlarm() const;
  [[nodiscard]] Baseline Estimate(const RouteState& aRoute,
                                  BadAnswers aCurrent) const;
  [[nodiscard]] double LogRatio(double aBaseline, BadAnswers aTarget) const;
  [[nodiscard]] LogRatios Compare(const RouteState& aRoute,
                                  BadAnswers aCurrent,
                                  BadAnswers aTarget) const;
  void AddToBaseline(RouteState& aRoute, BadAnswers aCurrent);
  void Decay(RouteState& aRoute, Duration aElapsed) const;
  void FindBadRoute();

  ComparisonOptions m_options;
  std::map<std::string, RouteState> m_routes;
  // The current version's answers on all routes, with a long half-life.
  double m_answers = 0;
  double m_bad = 0;
  // The same with a short one, the present window included.
  double m_recentAnswers = 0;
  double m_recentBad = 0;
  BadTest m_all;
  GoodTest m_good;
  TimePoint m_windowStart;
  std::string m_badRoute;
};

} // namespace ebonykeel
