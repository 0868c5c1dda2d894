#include "load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ebonykeel {
namespace {

// The number of buckets in each octave, a range from one power of two of
// microseconds to the next.
constexpr uint64_t kBucketsPerOctave = 64;
constexpr uint64_t kOctaves = 32;

uint64_t
ToMicroseconds(Duration aLatency)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::max(aLatency, Duration::zero()))
    .count();
}

size_t
BucketIndex(uint64_t aMicroseconds)
{
  if (aMicroseconds < kBucketsPerOctave) {
    return aMicroseconds;
  }
  uint64_t octave =
    std::bit_width(aMicroseconds) - std::bit_width(kBucketsPerOctave);
  uint64_t position = (aMicroseconds >> octave) - kBucketsPerOctave;
  return std::min(kBucketsPerOctave * (octave + 1) + position,
                  kBucketsPerOctave * (kOctaves + 1) - 1);
}

// Returns the largest value that the bucket counts.
Duration
UpperBound(size_t aBucket)
{
  if (aBucket < kBucketsPerOctave) {
    return std::chrono::microseconds(aBucket);
  }
  uint64_t octave = aBucket / kBucketsPerOctave - 1;
  uint64_t position = aBucket % kBucketsPerOctave;
  uint64_t upperBound = ((kBucketsPerOctave + position + 1) << octave) - 1;
  return std::chrono::microseconds(upperBound);
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_counts(kBucketsPerOctave * (kOctaves + 1))
{
}

void
LatencyHistogram::Add(Duration aLatency)
{
  uint64_t microseconds = ToMicroseconds(aLatency);
  ++m_counts[BucketIndex(microseconds)];
  m_statistics(static_cast<double>(microseconds));
}

Duration
LatencyHistogram::Quantile(double aShare) const
{
  if (Count() == 0) {
    return Duration::zero();
  }
  auto rank =
    static_cast<uint64_t>(std::ceil(aShare * static_cast<double>(Count())));
  uint64_t cumulative = 0;
  auto found = std::ranges::find_if(m_counts, [&](uint64_t aCount) {
    cumulative += aCount;
    return cumulative >= std::max<uint64_t>(1, rank);
  });
  return std::min(Max(), UpperBound(found - m_counts.begin()));
}

Duration
LatencyHistogram::Max() const
{
  if (Count() == 0) {
    return Duration::zero();
  }
  return std::chrono::microseconds(
    static_cast<int64_t>(boost::accumulators::max(m_statistics)));
}

Duration
LatencyHistogram::Mean() const
{
  if (Count() == 0) {
    return Duration::zero();
  }
  return std::chrono::microseconds(
    std::llround(boost::accumulators::mean(m_statistics)));
}

uint64_t
LatencyHistogram::Count() const
{
  return boost::accumulators::count(m_statistics);
}

std::vector<LatencyBucket>
LatencyHistogram::Buckets() const
{
  std::vector<LatencyBucket> buckets;
  for (size_t i = 0; i < m_counts.size(); ++i) {
    if (m_counts[i] > 0) {
      buckets.push_back({ UpperBound(i), m_counts[i] });
    }
  }
  return buckets;
}

} // namespace ebonykeel
