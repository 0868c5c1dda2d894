// Foresees the stalls of searchers that pause at regular intervals, as for a
// collection of garbage or a merge of index segments.
//
// All searchers are taken to pause equally often and long, each at its own
// time. The interval is learnt from the ends of their stalls together; a
// searcher's next stall is foreseen once two of its own lie whole intervals
// apart. Without such a rhythm nothing is foreseen.
//
//   StallForecast forecast;
//   StallForecast::History history;  // one for each searcher
//   forecast.OnSlowAnswer(history, sentAt, now);
//   std::optional<TimePoint> end = forecast.EndOfStall(history, now, work);
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
  // What was seen of one searcher. Kept by the caller.
  struct History
  {
    struct Stall
    {
      // When the first request that it held up was sent.
      TimePoint m_from;
      // When the first of them was answered.
      TimePoint m_to;
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
  [[nodiscard]] std::optional<TimePoint> EndOfStall(const History& aHistory,
                                                    TimePoint aNow,
                                                    Duration aWork) const;

  // Returns the interval between a searcher's stalls; nothing while unknown.
  [[nodiscard]] std::optional<Duration> Interval() const { return m_interval; }

private:
  static constexpr Duration kBin = Milliseconds(25);
  // Longer intervals are not looked for.
  static constexpr size_t kBins = 600;

  void OnNewStall(History& aHistory);
  void UpdateInterval();
  void UpdateAnchor(History& aHistory) const;
  // Returns how far the span is from a whole number of intervals.
  [[nodiscard]] Duration OffInterval(Duration aSpan) const;
  [[nodiscard]] Duration Length() const;

  // How many spans between two stalls of a searcher fell into each bin.
  std::array<uint16_t, kBins> m_spans{};
  size_t m_spanCount = 0;
  std::optional<Duration> m_interval;
  // How long the latest stalls held their first request, in a ring.
  std::vector<Duration> m_lengths;
  size_t m_nextLength = 0;
};

} // namespace ebonykeel
