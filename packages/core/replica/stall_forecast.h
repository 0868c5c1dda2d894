// Forecasts the stalls of upstreams that pause at regular intervals, for
// example for garbage collection or merges of index segments.
//
// All upstreams are assumed to stall with the same interval and length, each at
// its own times. The interval is derived from the ends of all upstreams'
// stalls. An upstream's next stall is forecast once two of its own stalls are a
// whole number of intervals apart. Irregular stalls are not forecast.
//
//   StallForecast forecast;
//   StallForecast::History history;  // one for each upstream
//   forecast.OnSlowAnswer(history, sentAt, now);
//   std::optional<TimePoint> end =
//     forecast.ExpectedStallEnd(history, now, work);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

class StallForecast
{
public:
  // The observations of one upstream. Owned by the user of this class.
  struct History
  {
    struct Stall
    {
      // When the first request that it held up was sent.
      TimePoint m_firstSentAt;
      // When the first of these requests was answered.
      TimePoint m_firstAnsweredAt;
    };
    // The latest stalls, oldest first.
    std::vector<Stall> m_stalls;
    // The end of the latest stall that is a whole number of intervals after
    // another one.
    std::optional<TimePoint> m_anchor;
  };

  // Called when a request that was sent at `aSentAt` was answered at `aNow`,
  // much later than typical.
  void OnSlowAnswer(History& aHistory, TimePoint aSentAt, TimePoint aNow);

  // Returns the end of the forecast stall that would hold up a request that is
  // sent at `aNow` and needs `aWork`; nothing if no such stall is forecast.
  [[nodiscard]] std::optional<TimePoint> ExpectedStallEnd(
    const History& aHistory,
    TimePoint aNow,
    Duration aWork) const;

  // Returns the interval between an upstream's stalls; nothing while it is
  // unknown.
  [[nodiscard]] std::optional<Duration> Interval() const { return m_interval; }

private:
  static constexpr Duration kBinWidth = Milliseconds(25);
  // Intervals beyond the last bin are not detected.
  static constexpr size_t kBinCount = 600;

  void AddStall(History& aHistory);
  void UpdateInterval();
  void UpdateAnchor(History& aHistory) const;
  // Returns the distance of the span from the nearest multiple of the interval.
  [[nodiscard]] Duration DistanceFromMultiple(Duration aSpan) const;
  [[nodiscard]] Duration StallLength() const;

  // The number of spans between successive stalls of an upstream, by bin.
  std::array<uint16_t, kBinCount> m_spanCounts{};
  size_t m_totalSpans = 0;
  std::optional<Duration> m_interval;
  // How long the latest stalls held up their first request, in a ring buffer.
  std::vector<Duration> m_stallLengths;
  size_t m_nextStallLength = 0;
};

} // namespace ebonykeel
