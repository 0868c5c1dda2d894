// Counts latencies in buckets whose width grows with the value, so that
// quantiles have a relative error of about one per cent at any magnitude.
//
//   LatencyHistogram histogram;
//   histogram.Add(Milliseconds(3));
//   Duration p99 = histogram.Quantile(0.99);
#pragma once

#include <cstdint>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "core/base/time.h"

namespace ebonykeel {

// A bucket of the histogram: the number of latencies that are at most
// `m_upperBound` and above the bound of the previous bucket.
struct LatencyBucket
{
  Duration m_upperBound;
  uint64_t m_count = 0;
};

class LatencyHistogram
{
public:
  LatencyHistogram();

  // Negative latencies count as zero.
  void Add(Duration aLatency);

  // Returns the upper bound of the bucket that contains the quantile `aShare`,
  // from 0 to 1, but at most `Max()`; zero if the histogram is empty.
  [[nodiscard]] Duration Quantile(double aShare) const;
  [[nodiscard]] Duration Max() const;
  [[nodiscard]] Duration Mean() const;
  [[nodiscard]] uint64_t Count() const;

  // Returns the buckets that are not empty, in ascending order.
  [[nodiscard]] std::vector<LatencyBucket> Buckets() const;

private:
  using Statistics = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max>>;

  std::vector<uint64_t> m_counts;
  Statistics m_statistics;
};

} // namespace ebonykeel
