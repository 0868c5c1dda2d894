// Estimates latency quantiles. Old samples lose weight with each new one, so
// that the estimates follow changes.
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
// two minutes, each 5% wider than the last. The weight of a sample halves with
// every `aHalfLife` further samples. An object takes about 2.4 KB and never
// allocates.
class DecayingHistogram
{
public:
  // `aHalfLife` is in samples and must be > 0.
  explicit DecayingHistogram(double aHalfLife);

  // Adds one sample; a negative sample counts as zero.
  void Add(Duration aSample);

  // Returns the upper edge of the bucket that contains the quantile
  // `aQuantile`, in (0, 1), or zero if there are no samples.
  [[nodiscard]] Duration Quantile(double aQuantile) const;

  // Returns the number of samples added, without decay.
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
