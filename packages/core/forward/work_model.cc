#include "core/forward/work_model.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {
namespace {

// What the target latency suggests, as a fraction of it. The spread is assumed
// to be as great as the mean.
constexpr double kAssumedShareOfTarget = 0.2;
// The least assumption, in nanoseconds.
constexpr double kMinAssumed = 1e6;
// The weights of the assumption, and of the route's estimate where a workspace
// has one of its own, in samples.
constexpr double kAssumptionWeight = 0.5;
constexpr double kRouteWeight = 4;
// Samples are bounded by the expectation plus this many times its spread, or by
// this multiple of the expectation if that is more: one request that met a
// pause of its upstream must not make all others look long, and upstreams fast.
constexpr double kMaxDeviations = 3;
constexpr double kMinBoundFactor = 2;
// An entry whose samples together weigh less than this is removed if there is
// no room.
constexpr double kFadedWeight = 0.05;
// Bounds how often the entries are searched for faded ones.
constexpr Duration kCleanupInterval = Seconds(1);

} // namespace

WorkModel::WorkModel(WorkModelOptions aOptions)
  : m_options(aOptions)
{
}

void
WorkModel::Add(const Route& aRoute,
               const std::string& aWorkspace,
               Duration aExpected,
               Duration aSeen,
               TimePoint aNow)
{
  auto seen = static_cast<double>(std::max(aSeen, Duration(1)).count());
  if (aExpected > Duration{}) {
    double ratio = seen / static_cast<double>(aExpected.count());
    m_ratioSum += ratio;
    auto range = std::ranges::lower_bound(kRatioBounds, ratio);
    ++m_countsByRatio[static_cast<size_t>(range - kRatioBounds.begin())];
  }
  Moments estimate = EstimateFor(aRoute, aWorkspace, aNow);
  double bound = std::max(estimate.m_mean * kMinBoundFactor,
                          estimate.m_mean + Spread(estimate) * kMaxDeviations);
  double sample = std::min(seen, bound);
  auto route = m_routes.find(aRoute.m_name);
  if (route == m_routes.end()) {
    if (!MakeRoom(aNow)) {
      return;
    }
    route = m_routes.try_emplace(aRoute.m_name).first;
    ++m_entryCount;
  }
  AddSample(route->second.m_all, sample, aNow);
  if (aWorkspace.empty()) {
    return;
  }
  auto workspace = route->second.m_workspaces.find(aWorkspace);
  if (workspace == route->second.m_workspaces.end()) {
    if (!MakeRoom(aNow)) {
      return;
    }
    // The route has a fresh sample, so it was not removed.
    workspace = route->second.m_workspaces.try_emplace(aWorkspace).first;
    ++m_entryCount;
  }
  AddSample(workspace->second, sample, aNow);
}

ExpectedWork
WorkModel::Expect(const Route& aRoute,
                  const std::string& aWorkspace,
                  TimePoint aNow) const
{
  Moments estimate = EstimateFor(aRoute, aWorkspace, aNow);
  return { .m_mean = Duration(static_cast<int64_t>(estimate.m_mean)),
           .m_spread = Duration(static_cast<int64_t>(Spread(estimate))) };
}

double
WorkModel::Spread(const Moments& aMoments)
{
  double variance = aMoments.m_meanSquare - aMoments.m_mean * aMoments.m_mean;
  return std::sqrt(std::max(variance, 0.0));
}

double
WorkModel::WeightAt(const Moments& aMoments, TimePoint aNow) const
{
  return aMoments.m_weight *
         std::exp2(-static_cast<double>((aNow - aMoments.m_at).count()) /
                   static_cast<double>(m_options.m_halfLife.count()));
}

void
WorkModel::AddSample(Moments& aMoments, double aSample, TimePoint aNow) const
{
  double weight = WeightAt(aMoments, aNow) + 1;
  aMoments.m_mean += (aSample - aMoments.m_mean) / weight;
  aMoments.m_meanSquare += (aSample * aSample - aMoments.m_meanSquare) / weight;
  aMoments.m_weight = weight;
  aMoments.m_at = aNow;
}

WorkModel::Moments
WorkModel::Combine(const Moments& aPrior,
                   double aPriorWeight,
                   const Moments& aSamples,
                   TimePoint aNow) const
{
  double weight = WeightAt(aSamples, aNow);
  double share = weight / (weight + aPriorWeight);
  return { .m_mean = std::lerp(aPrior.m_mean, aSamples.m_mean, share),
           .m_meanSquare =
             std::lerp(aPrior.m_meanSquare, aSamples.m_meanSquare, share) };
}

WorkModel::Moments
WorkModel::EstimateFor(const Route& aRoute,
                       const std::string& aWorkspace,
                       TimePoint aNow) const
{
  double assumed = std::max(
    kAssumedShareOfTarget * static_cast<double>(aRoute.m_targetLatency.count()),
    kMinAssumed);
  Moments estimate{ .m_mean = assumed, .m_meanSquare = 2 * assumed * assumed };
  auto route = m_routes.find(aRoute.m_name);
  if (route == m_routes.end()) {
    return estimate;
  }
  estimate = Combine(estimate, kAssumptionWeight, route->second.m_all, aNow);
  auto workspace = route->second.m_workspaces.find(aWorkspace);
  if (workspace == route->second.m_workspaces.end()) {
    return estimate;
  }
  return Combine(estimate, kRouteWeight, workspace->second, aNow);
}

bool
WorkModel::MakeRoom(TimePoint aNow)
{
  if (m_entryCount >= m_options.m_maxEntries && aNow >= m_nextCleanup) {
    m_nextCleanup = aNow + kCleanupInterval;
    auto faded = [&](const Moments& aMoments) {
      return WeightAt(aMoments, aNow) < kFadedWeight;
    };
    for (auto& [name, route] : m_routes) {
      m_entryCount -=
        std::erase_if(route.m_workspaces, [&](const auto& aWorkspace) {
          return faded(aWorkspace.second);
        });
    }
    m_entryCount -= std::erase_if(m_routes, [&](const auto& aRoute) {
      return aRoute.second.m_workspaces.empty() && faded(aRoute.second.m_all);
    });
  }
  return m_entryCount < m_options.m_maxEntries;
}

} // namespace ebonykeel
