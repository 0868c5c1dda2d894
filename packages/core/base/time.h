// Monotonic time as every deterministic part of the core sees it.
//
// The core never reads a clock: each event carries the time at which it
// happened, so that tests can drive any schedule.
//
//   TimePoint deadline = now + Milliseconds(56);
#pragma once

#include <chrono>
#include <cstdint>

namespace ebonykeel {

// A span of monotonic time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

// An instant of the monotonic clock. Only differences between instants of one
// process have a meaning.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Returns a span of `aCount` milliseconds.
[[nodiscard]] constexpr Duration
Milliseconds(int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

// Returns a span of `aCount` seconds.
[[nodiscard]] constexpr Duration
Seconds(int64_t aCount)
{
  return std::chrono::seconds(aCount);
}

// Returns `aSpan` in whole milliseconds, rounded toward zero.
[[nodiscard]] constexpr int64_t
ToMilliseconds(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

// Returns `aSpan` in milliseconds with its fraction.
[[nodiscard]] constexpr double
ToMillisecondsF(Duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

} // namespace ebonykeel
