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
// The weight, in answers, of the earlier bad share beside that of the window.
constexpr double kPriorWeight = 4;
// The present run speaks against a version that was found good once it has this
// part of the bound.
constexpr double kDoubtPart = 0.5;

} // namespace

double
SequentialTest::UpperBound(double aFalseAlarm) const
{
  // The sum of 1/(n(n+1)) over all runs is 1.
  auto run = static_cast<double>(m_run);
  return std::log(run * (run + 1) / aFalseAlarm);
}

void
SequentialTest::Add(double aLogRatio,
                    double aFalseAlarm,
                    const ComparisonOptions& aOptions)
{
  m_sum += std::min(aLogRatio,
                    UpperBound(aFalseAlarm) * aOptions.m_maxWindowPart);
  Check(aFalseAlarm, aOptions);
}

void
SequentialTest::AddHistory(double aLogRatio,
                           double aFalseAlarm,
                           const ComparisonOptions& aOptions)
{
  m_sum += aLogRatio;
  Check(aFalseAlarm, aOptions);
}

void
SequentialTest::Check(double aFalseAlarm, const ComparisonOptions& aOptions)
{
  if (m_sum >= UpperBound(aFalseAlarm)) {
    m_bad = true;
  } else if (m_sum <= std::log(aOptions.m_miss)) {
    m_sum = 0;
    ++m_run;
  }
}

bool
SequentialTest::IsGood(double aFalseAlarm) const
{
  return !m_bad && m_run > 1 && m_sum < UpperBound(aFalseAlarm) * kDoubtPart;
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
  double ratio = LogRatio(route, aCurrent, aTarget);
  AddToBaseline(route, aCurrent);
  route.m_test.AddHistory(ratio, FalseAlarm(), m_options);
  m_all.AddHistory(ratio, FalseAlarm(), m_options);
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
  double all = 0;
  for (auto& [name, route] : m_routes) {
    Decay(route, elapsed);
    double ratio = LogRatio(route, route.m_windowCurrent, route.m_windowTarget);
    AddToBaseline(route, route.m_windowCurrent);
    route.m_windowCurrent = {};
    route.m_windowTarget = {};
    route.m_test.Add(ratio, FalseAlarm(), m_options);
    all += ratio;
  }
  m_all.Add(all, FalseAlarm(), m_options);
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
  return m_all.IsGood(FalseAlarm()) ? VersionVerdict::kGood
                                    : VersionVerdict::kUndecided;
}

bool
VersionComparison::PointsToBad() const
{
  double falseAlarm = FalseAlarm();
  return m_all.Sum() > 0 ||
         std::ranges::any_of(m_routes, [&](const auto& aRoute) {
           const SequentialTest& test = aRoute.second.m_test;
           return test.Sum() > test.UpperBound(falseAlarm) * kDoubtPart;
         });
}

double
VersionComparison::FalseAlarm() const
{
  return m_options.m_falseAlarm / static_cast<double>(m_routes.size() + 1);
}

double
VersionComparison::LogRatio(const RouteState& aRoute,
                            BadAnswers aCurrent,
                            BadAnswers aTarget) const
{
  if (aTarget.m_answers == 0) {
    return 0;
  }
  double longTerm = (aRoute.m_bad + 0.5) / (aRoute.m_answers + 1);
  double recent = (aRoute.m_recentBad + kPriorWeight * longTerm) /
                  (aRoute.m_recentAnswers + kPriorWeight);
  double baseline =
    (static_cast<double>(aCurrent.m_bad) + kPriorWeight * recent) /
    (static_cast<double>(aCurrent.m_answers) + kPriorWeight);
  baseline = std::max(baseline, kMinBaseline);
  double alternative = baseline + m_options.m_difference;
  if (alternative > kMaxAlternative) {
    return 0;
  }
  auto bad = static_cast<double>(aTarget.m_bad);
  double good = static_cast<double>(aTarget.m_answers) - bad;
  return bad * std::log(alternative / baseline) +
         good * std::log((1 - alternative) / (1 - baseline));
}

void
VersionComparison::AddToBaseline(RouteState& aRoute, BadAnswers aCurrent)
{
  auto answers = static_cast<double>(aCurrent.m_answers);
  auto bad = static_cast<double>(aCurrent.m_bad);
  aRoute.m_answers += answers;
  aRoute.m_bad += bad;
  aRoute.m_recentAnswers += answers;
  aRoute.m_recentBad += bad;
}

void
VersionComparison::Decay(RouteState& aRoute, Duration aElapsed) const
{
  double factor = std::exp2(-ToMillisecondsF(aElapsed) /
                            ToMillisecondsF(m_options.m_halfLife));
  aRoute.m_recentAnswers *= factor;
  aRoute.m_recentBad *= factor;
}

void
VersionComparison::FindBadRoute()
{
  auto found = std::ranges::find_if(m_routes, [](const auto& aRoute) {
    return aRoute.second.m_test.IsBad();
  });
  if (m_badRoute.empty() && found != m_routes.end()) {
    m_badRoute = found->first;
  }
}

} // namespace ebonykeel
