// Models how much work requests cost upstreams, by route and workspace.
//
// A sample is the time that an answer took without waiting, as an upstream of
// typical speed would have needed. Where a workspace has few samples its
// estimate is close to that of the route; where the route has few, close to
// what its target latency suggests. Samples fade with time, so that a wrong
// estimate does not last.
//
//   WorkModel model;
//   model.Add(route, "desk", Milliseconds(9), Milliseconds(11), now);
//   ExpectedWork work = model.Expect(route, "desk", now);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/replica/expected_work.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

struct WorkModelOptions
{
  // The time after which a sample counts half.
  Duration m_halfLife = Milliseconds(1500);
  // The maximum number of routes and workspaces with estimates of their own.
  size_t m_maxEntries = 4096;
};

class WorkModel
{
public:
  // The upper bounds of the ranges of seen to expected work that are counted;
  // the last range has no bound.
  static constexpr std::array kRatioBounds = { 0.25, 0.5, 0.8, 1.25, 2.0, 4.0 };
  using RatioCounts = std::array<uint64_t, kRatioBounds.size() + 1>;

  explicit WorkModel(WorkModelOptions aOptions = {});

  // Records that a request cost `aSeen`, of which `aExpected` was expected.
  void Add(const Route& aRoute,
           const std::string& aWorkspace,
           Duration aExpected,
           Duration aSeen,
           TimePoint aNow);
  // Returns the expected work of a request that is not sent yet.
  [[nodiscard]] ExpectedWork Expect(const Route& aRoute,
                                    const std::string& aWorkspace,
                                    TimePoint aNow) const;

  // Returns how many requests were in each range of seen to expected work.
  [[nodiscard]] const RatioCounts& CountsByRatio() const
  {
    return m_countsByRatio;
  }
  // Returns the sum of the ratios of seen to expected work.
  [[nodiscard]] double RatioSum() const { return m_ratioSum; }
  [[nodiscard]] size_t EntryCount() const { return m_entryCount; }

private:
  // The fading mean of samples and of their squares, in nanoseconds.
  struct Moments
  {
    double m_weight = 0;
    double m_mean = 0;
    double m_meanSquare = 0;
    TimePoint m_at;
  };
  struct RouteEntry
  {
    Moments m_all;
    std::unordered_map<std::string, Moments> m_workspaces;
  };

  // Returns the standard deviation.
  [[nodiscard]] static double Spread(const Moments& aMoments);
  [[nodiscard]] double WeightAt(const Moments& aMoments, TimePoint aNow) const;
  void AddSample(Moments& aMoments, double aSample, TimePoint aNow) const;
  // Returns the average of `aPrior`, with the weight `aPriorWeight`, and of the
  // samples.
  [[nodiscard]] Moments Combine(const Moments& aPrior,
                                double aPriorWeight,
                                const Moments& aSamples,
                                TimePoint aNow) const;
  [[nodiscard]] Moments EstimateFor(const Route& aRoute,
                                    const std::string& aWorkspace,
                                    TimePoint aNow) const;
  // Returns whether there is room for another entry, after removing faded ones
  // if there was none.
  [[nodiscard]] bool MakeRoom(TimePoint aNow);

  WorkModelOptions m_options;
  // By the route's name, which stays the same across versions of the
  // configuration.
  std::unordered_map<std::string, RouteEntry> m_routes;
  size_t m_entryCount = 0;
  // While the entries are full, when they are searched for faded ones again.
  TimePoint m_nextCleanup;
  RatioCounts m_countsByRatio{};
  double m_ratioSum = 0;
};

} // namespace ebonykeel
