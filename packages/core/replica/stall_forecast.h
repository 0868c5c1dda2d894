// Foresees the stalls of searchers that pause at regular intervals, as for a
// collection of garbage or a merge of index segments.
//
// All searchers are taken to pause equally often and long, each at its own
// time. The interval is learnt from the ends of their stalls together; a
// upstream's next stall is foreseen once two of its own lie whole intervals
// apart. Without such a rhythm nothing is foreseen.
//
//   StallForecast forecast;
//   StallForecast::History history;  // one for each upstream
//   forecast.OnSlowAnswer(history, sentAt, now);
//   std::optional<TimePoint> end = forecast.ExpectedStallEnd(history, now,
//   work);
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
  // What was seen of one upstream. Kept by the caller.
  struct History
  {
    struct Stall
    {
      // When the first request that it held up was sent.
      TimePoint m_firstSentAt;
      // When the first of them was answered.
      TimePoint m_firstAnsweredAt;
    };
    // The latest ones, oldest first.
    std::vector<Stall> m_stalls;
    // The end of the latest stall that lies whole intervals after another.
    std::optional<TimePoint> m_anchor;
  };

  // Tells that a request which was sent at `aSentAt` was answered at `aNow`,
  // much later than usual.
  void OnSlowAnswer(History& aHistory, TimePoint aSentAt, TimePoint aNow);

  // Returns when the stall ends that a request meets which is sent at `aNow`
  // and needs `aWork`; nothing if none is foreseen.
  [[nodiscard]] std::optional<TimePoint> ExpectedStallEnd(
    const History& aHistory,
    TimePoint aNow,
    Duration aWork) const;

  // Returns the interval between a upstream's stalls; nothing while unknown.
  [[nodiscard]] std::optional<Duration> Interval() const { return m_interval; }

private:
  static constexpr Duration kBinWidth = Milliseconds(25);
  // Longer intervals are not looked for.
  static constexpr size_t kBinCount = 600;

  void AddStall(History& aHistory);
  void UpdateInterval();
  void UpdateAnchor(History& aHistory) const;
  // Returns how far the span is from a whole number of intervals.
  [[nodiscard]] Duration DistanceFromMultiple(Duration aSpan) const;
  [[nodiscard]] Duration StallLength() const;

  // How many spans between two stalls of a upstream fell into each bin.
  std::array<uint16_t, kBinCount> m_spanCounts{};
  size_t m_totalSpans = 0;
  std::optional<Duration> m_interval;
  // How long the latest stalls held their first request, in a ring.
  std::vector<Duration> m_stallLengths;
  size_t m_nextStallLength = 0;
};

} // namespace ebonykeel
