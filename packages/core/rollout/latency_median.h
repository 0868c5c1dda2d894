// The median of the latest latencies.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "core/base/time.h"

namespace ebonykeel {

class LatencyMedian
{
public:
  void Add(Duration aLatency)
  {
    m_latencies[m_next] = aLatency;
    m_next = (m_next + 1) % kCapacity;
    m_count = std::min(m_count + 1, kCapacity);
  }
  // Returns whether a latency is more than `aFactor` times the median; false
  // while there are too few to tell.
  [[nodiscard]] bool IsExceeded(Duration aLatency, int aFactor) const
  {
    return m_count >= kMinCount && aLatency > Median() * aFactor;
  }

private:
  static constexpr size_t kCapacity = 63;
  static constexpr size_t kMinCount = 8;

  [[nodiscard]] Duration Median() const
  {
    std::array<Duration, kCapacity> sorted = m_latencies;
    auto middle = sorted.begin() + static_cast<ptrdiff_t>(m_count / 2);
    std::nth_element(
      sorted.begin(), middle, sorted.begin() + static_cast<ptrdiff_t>(m_count));
    return *middle;
  }

  std::array<Duration, kCapacity> m_latencies{};
  size_t m_next = 0;
  size_t m_count = 0;
};

} // namespace ebonykeel
