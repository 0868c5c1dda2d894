#include "core/rollout/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {
namespace {

// The baseline's lower limit: a single bad answer of a version whose
// predecessor had none must not decide.
constexpr double kMinBaseline = 0.02;
// Bad shares above this cannot be told apart.
constexpr double kMaxAlternative = 0.98;
// The weight, in answers, of the bad share of all routes beside that of a
// route.
constexpr double kAllRoutesWeight = 8;
// The weight, in answers, of the longer-term bad share beside the recent one,
// and of the recent one beside that of the window.
constexpr double kLongTermWeight = 4;
constexpr double kRecentWeight = 10;
constexpr double kDoubtPart = 0.5;
// Answers of a version that was not found good point to a bad one if they are
// more than seven times as likely for it: the logarithm of that.
constexpr double kPointingEvidence = 2;
// The most evidence against "good" that its test remembers.
constexpr double kMaxCounterEvidence = 3;

} // namespace

double
BadTest::UpperBound(double aFalseAlarm) const
{
  // The sum of 1/(n(n+1)) over all runs is 1.
  auto run = static_cast<double>(m_run);
  return std::log(run * (run + 1) / aFalseAlarm);
}

void
BadTest::Add(double aLogRatio,
             double aFalseAlarm,
             const ComparisonOptions& aOptions)
{
  m_sum +=
    std::min(aLogRatio, UpperBound(aFalseAlarm) * aOptions.m_maxWindowPart);
  Check(aFalseAlarm, aOptions);
}

void
BadTest::AddHistory(double aLogRatio,
                    double aFalseAlarm,
                    const ComparisonOptions& aOptions)
{
  m_sum += aLogRatio;
  Check(aFalseAlarm, aOptions);
}

void
BadTest::Check(double aFalseAlarm, const ComparisonOptions& aOptions)
{
  if (m_sum >= UpperBound(aFalseAlarm)) {
    m_bad = true;
  } else if (m_sum <= aOptions.m_restart) {
    m_sum = 0;
    ++m_run;
  }
}

bool
BadTest::IsDoubtful(double aFalseAlarm) const
{
  return m_sum > UpperBound(aFalseAlarm) * kDoubtPart;
}

void
GoodTest::Add(double aLogRatio, const ComparisonOptions& aOptions)
{
  // A fault that hits both versions must not weigh on the test for long.
  m_sum = std::min(m_sum + aLogRatio, kMaxCounterEvidence);
  m_good = m_good || m_sum <= std::log(aOptions.m_miss);
}

VersionComparison::VersionComparison(ComparisonOptions aOptions)
  : m_options(aOptions)
{
}

void
VersionComparison::Add(const std::string& aRoute,
                       BadAnswers aCurrent,
                       BadAnswers aTarget,
                       TimePoint aNow)
{
  OnTimer(aNow);
  RouteState& route = m_routes[aRoute];
  route.m_windowCurrent.m_answers += aCurrent.m_answers;
  route.m_windowCurrent.m_bad += aCurrent.m_bad;
  route.m_windowTarget.m_answers += aTarget.m_answers;
  route.m_windowTarget.m_bad += aTarget.m_bad;
}

void
VersionComparison::AddHistory(const std::string& aRoute,
                              BadAnswers aCurrent,
                              BadAnswers aTarget)
{
  RouteState& route = m_routes[aRoute];
  LogRatios ratios = Compare(route, aCurrent, aTarget);
  AddToBaseline(route, aCurrent);
  route.m_test.AddHistory(ratios.m_high, FalseAlarm(), m_options);
  m_all.AddHistory(ratios.m_high, FalseAlarm(), m_options);
  m_good.Add(ratios.m_low, m_options);
  FindBadRoute();
}

void
VersionComparison::OnTimer(TimePoint aNow)
{
  Duration elapsed = aNow - m_windowStart;
  if (elapsed < m_options.m_window) {
    return;
  }
  m_windowStart = aNow;
  LogRatios all;
  double longTerm = std::exp2(-ToMillisecondsF(elapsed) /
                              ToMillisecondsF(m_options.m_longHalfLife));
  m_answers *= longTerm;
  m_bad *= longTerm;
  double recent = std::exp2(-ToMillisecondsF(elapsed) /
                            ToMillisecondsF(m_options.m_halfLife));
  m_recentAnswers *= recent;
  m_recentBad *= recent;
  for (const auto& [name, route] : m_routes) {
    m_recentAnswers += static_cast<double>(route.m_windowCurrent.m_answers);
    m_recentBad += static_cast<double>(route.m_windowCurrent.m_bad);
  }
  for (auto& [name, route] : m_routes) {
    Decay(route, elapsed);
    LogRatios ratios =
      Compare(route, route.m_windowCurrent, route.m_windowTarget);
    AddToBaseline(route, route.m_windowCurrent);
    route.m_windowCurrent = {};
    route.m_windowTarget = {};
    route.m_test.Add(ratios.m_high, FalseAlarm(), m_options);
    all.m_low += ratios.m_low;
    all.m_high += ratios.m_high;
  }
  m_all.Add(all.m_high, FalseAlarm(), m_options);
  m_good.Add(all.m_low, m_options);
  FindBadRoute();
}

VersionVerdict
VersionComparison::Verdict() const
{
  bool bad =
    m_all.IsBad() || std::ranges::any_of(m_routes, [](const auto& aRoute) {
      return aRoute.second.m_test.IsBad();
    });
  if (bad) {
    return VersionVerdict::kBad;
  }
  return m_good.IsGood() && !PointsToBad() ? VersionVerdict::kGood
                                           : VersionVerdict::kUndecided;
}

bool
VersionComparison::PointsToBad() const
{
  double falseAlarm = FalseAlarm();
  bool all = m_good.IsGood() ? m_all.IsDoubtful(falseAlarm)
                             : m_all.Sum() > kPointingEvidence;
  return all || std::ranges::any_of(m_routes, [&](const auto& aRoute) {
           return aRoute.second.m_test.IsDoubtful(falseAlarm);
         });
}

double
VersionComparison::FalseAlarm() const
{
  return m_options.m_falseAlarm / static_cast<double>(m_routes.size() + 1);
}

VersionComparison::Baseline
VersionComparison::Estimate(const RouteState& aRoute, BadAnswers aCurrent) const
{
  double allRoutes = (m_bad + 0.5) / (m_answers + 1);
  double weight = std::min(kAllRoutesWeight, m_answers) + 1;
  double longTerm =
    (aRoute.m_bad + weight * allRoutes) / (aRoute.m_answers + weight);
  double error =
    std::sqrt(longTerm * (1 - longTerm) / (aRoute.m_answers + weight));
  // A fault of the whole service shows sooner on all routes together.
  double recentOfAll = (m_recentBad + kLongTermWeight * longTerm) /
                       (m_recentAnswers + kLongTermWeight);
  double recent = (aRoute.m_recentBad + kLongTermWeight * recentOfAll) /
                  (aRoute.m_recentAnswers + kLongTermWeight);
  double window =
    (static_cast<double>(aCurrent.m_bad) + kRecentWeight * recent) /
    (static_cast<double>(aCurrent.m_answers) + kRecentWeight);
  // While the high estimate is not below the true share, the likelihood ratio
  // of a good version does not grow in the mean, and the bound of a false alarm
  // holds. The short window alone is too uncertain for that. In the same way
  // the low estimate keeps the bound of a miss.
  return { .m_low = std::max(longTerm - error, kMinBaseline),
           .m_high = std::max({ window, longTerm + error, kMinBaseline }) };
}

double
VersionComparison::LogRatio(double aBaseline, BadAnswers aTarget) const
{
  double alternative = aBaseline + m_options.m_difference;
  if (alternative > kMaxAlternative) {
    return 0;
  }
  auto bad = static_cast<double>(aTarget.m_bad);
  double good = static_cast<double>(aTarget.m_answers) - bad;
  return bad * std::log(alternative / aBaseline) +
         good * std::log((1 - alternative) / (1 - aBaseline));
}

VersionComparison::LogRatios
VersionComparison::Compare(const RouteState& aRoute,
                           BadAnswers aCurrent,
                           BadAnswers aTarget) const
{
  if (aTarget.m_answers == 0) {
    return {};
  }
  Baseline baseline = Estimate(aRoute, aCurrent);
  return { .m_low = LogRatio(baseline.m_low, aTarget),
           .m_high = LogRatio(baseline.m_high, aTarget) };
}

void
VersionComparison::AddToBaseline(RouteState& aRoute, BadAnswers aCurrent)
{
  auto answers = static_cast<double>(aCurrent.m_answers);
  auto bad = static_cast<double>(aCurrent.m_bad);
  aRoute.m_answers += answers;
  aRoute.m_bad += bad;
  m_answers += answers;
  m_bad += bad;
  aRoute.m_recentAnswers += answers;
  aRoute.m_recentBad += bad;
}

void
VersionComparison::Decay(RouteState& aRoute, Duration aElapsed) const
{
  auto factor = [&](Duration aHalfLife) {
    return std::exp2(-ToMillisecondsF(aElapsed) / ToMillisecondsF(aHalfLife));
  };
  double recent = factor(m_options.m_halfLife);
  aRoute.m_recentAnswers *= recent;
  aRoute.m_recentBad *= recent;
  double longTerm = factor(m_options.m_longHalfLife);
  aRoute.m_answers *= longTerm;
  aRoute.m_bad *= longTerm;
}

void
VersionComparison::FindBadRoute()
{
  auto found = std::ranges::find_if(
    m_routes, [](const auto& aRoute) { return aRoute.second.m_test.IsBad(); });
  if (m_badRoute.empty() && found != m_routes.end()) {
    m_badRoute = found->first;
  }
}

} // namespace ebonykeel
