// Monotonic time as used by the deterministic parts of the core.
//
// The core never reads a clock: each event carries the time at which it
// happened, so that tests can run any schedule.
//
//   TimePoint deadline = now + Milliseconds(56);
#pragma once

#include <chrono>
#include <cstdint>

namespace ebonykeel {

// A span of monotonic time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

// An instant of the monotonic clock. Only differences between instants of one
// process are meaningful.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

[[nodiscard]] constexpr Duration
Milliseconds(int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

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

// Returns `aSpan` in milliseconds, including the fraction.
[[nodiscard]] constexpr double
ToMillisecondsF(Duration aSpan)
{
  return std::chrono::duration<double, std::milli>(aSpan).count();
}

} // namespace ebonykeel
