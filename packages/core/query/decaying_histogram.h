// Latency quantiles that follow change: old samples lose weight with each new
// one.
//
//   DecayingHistogram latencies(2000);
//   latencies.Add(Milliseconds(4));
//   Duration late = latencies.Quantile(0.98);
#pragma once

#include <array>
#include <cstddef>

#include "core/base/time.h"

namespace ebonykeel {

// A histogram of durations in geometric buckets from 50 microseconds to about
// two minutes, each 5% wider than the last. A sample weighs half as much after
// the half-life's number of further samples. Holds about 2.4 KB and never
// allocates.
class DecayingHistogram
{
public:
  // `aHalfLife` > 0, in samples.
  explicit DecayingHistogram(double aHalfLife);

  // Adds one sample; negative ones count as zero.
  void Add(Duration aSample);

  // Returns the upper edge of the bucket in which the quantile `aQuantile`, in
  // (0, 1), falls; zero when there is no sample.
  [[nodiscard]] Duration Quantile(double aQuantile) const;

  // The samples added, not decayed.
  [[nodiscard]] size_t Count() const { return m_count; }

private:
  static constexpr size_t kBuckets = 300;

  void Rescale();

  double m_growth;
  double m_weight = 1;
  double m_total = 0;
  size_t m_count = 0;
  std::array<double, kBuckets> m_buckets{};
};

} // namespace ebonykeel
