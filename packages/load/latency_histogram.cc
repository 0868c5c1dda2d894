#include "load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ebonykeel {
namespace {

// Each power of two of microseconds is divided into this many buckets.
constexpr uint64_t kBucketsInOctave = 64;
constexpr uint64_t kOctaves = 32;

uint64_t
ToMicroseconds(Duration aLatency)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::max(aLatency, Duration::zero()))
    .count();
}

size_t
BucketOf(uint64_t aMicroseconds)
{
  if (aMicroseconds < kBucketsInOctave) {
    return aMicroseconds;
  }
  uint64_t octave =
    std::bit_width(aMicroseconds) - std::bit_width(kBucketsInOctave);
  uint64_t position = (aMicroseconds >> octave) - kBucketsInOctave;
  return std::min(kBucketsInOctave * (octave + 1) + position,
                  kBucketsInOctave * (kOctaves + 1) - 1);
}

// Returns the largest value that falls into the bucket.
Duration
UpperEnd(size_t aBucket)
{
  if (aBucket < kBucketsInOctave) {
    return std::chrono::microseconds(aBucket);
  }
  uint64_t octave = aBucket / kBucketsInOctave - 1;
  uint64_t position = aBucket % kBucketsInOctave;
  uint64_t end = ((kBucketsInOctave + position + 1) << octave) - 1;
  return std::chrono::microseconds(end);
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : m_counts(kBucketsInOctave * (kOctaves + 1))
{
}

void
LatencyHistogram::Add(Duration aLatency)
{
  uint64_t microseconds = ToMicroseconds(aLatency);
  ++m_counts[BucketOf(microseconds)];
  m_statistics(static_cast<double>(microseconds));
}

Duration
LatencyHistogram::Quantile(double aShare) const
{
  if (Count() == 0) {
    return Duration::zero();
  }
  auto wanted =
    static_cast<uint64_t>(std::ceil(aShare * static_cast<double>(Count())));
  uint64_t seen = 0;
  auto found = std::ranges::find_if(m_counts, [&](uint64_t aCount) {
    seen += aCount;
    return seen >= std::max<uint64_t>(1, wanted);
  });
  return std::min(Max(), UpperEnd(found - m_counts.begin()));
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
      buckets.push_back({ UpperEnd(i), m_counts[i] });
    }
  }
  return buckets;
}

} // namespace ebonykeel
