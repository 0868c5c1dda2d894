// Spreads the retry delays of callers that are refused until the same time, so
// that they do not return together.
//
//   RetrySpread spread;
//   Duration retryAfter = spread.Extend(availableAt - now);
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/base/time.h"

namespace ebonykeel {

class RetrySpread
{
public:
  // Returns `aDelay`, at least zero, or up to a quarter more, at most half a
  // second more. The results of successive calls are spread evenly.
  Duration Extend(Duration aDelay)
  {
    Duration delay = std::max(aDelay, Duration{});
    return Spread(delay, std::min(delay / kShareDivisor, kMaxRange));
  }
  // Returns a delay between `aDelay` and `aRange` more, spread in the same way.
  Duration Spread(Duration aDelay, Duration aRange)
  {
    m_position = (m_position + kStep) % kPositions;
    return aDelay + aRange * m_position / kPositions;
  }

private:
  static constexpr int kShareDivisor = 4;
  static constexpr Duration kMaxRange = Milliseconds(500);
  // Multiples of the golden ratio's fraction are spread evenly, however many
  // there are.
  static constexpr int64_t kPositions = 1000;
  static constexpr int64_t kStep = 618;

  int64_t m_position = 0;
};

} // namespace ebonykeel
