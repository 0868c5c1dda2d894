#include "core/query/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {
namespace {

constexpr double kFirstEdgeNanoseconds = 50'000;
constexpr double kBucketRatio = 1.05;
constexpr double kMaxWeight = 1e12;

size_t
BucketOf(Duration aSample, size_t aBuckets)
{
  auto nanoseconds = static_cast<double>(aSample.count());
  if (nanoseconds <= kFirstEdgeNanoseconds) {
    return 0;
  }
  double steps =
    std::log(nanoseconds / kFirstEdgeNanoseconds) / std::log(kBucketRatio);
  return std::min(aBuckets - 1, static_cast<size_t>(std::ceil(steps)));
}

Duration
UpperEdge(size_t aBucket)
{
  double edge = kFirstEdgeNanoseconds *
                std::pow(kBucketRatio, static_cast<double>(aBucket));
  return Duration(static_cast<int64_t>(edge));
}

} // namespace

DecayingHistogram::DecayingHistogram(double aHalfLife)
  : m_growth(std::exp2(1 / aHalfLife))
{
}

void
DecayingHistogram::Add(Duration aSample)
{
  m_buckets[BucketOf(aSample, kBuckets)] += m_weight;
  m_total += m_weight;
  ++m_count;
  m_weight *= m_growth;
  if (m_weight > kMaxWeight) {
    Rescale();
  }
}

Duration
DecayingHistogram::Quantile(double aQuantile) const
{
  if (m_count == 0) {
    return Duration::zero();
  }
  double targetWeight = m_total * aQuantile;
  double cumulativeWeight = 0;
  auto found = std::ranges::find_if(m_buckets, [&](double aWeight) {
    cumulativeWeight += aWeight;
    return cumulativeWeight >= targetWeight;
  });
  auto index = static_cast<size_t>(found - m_buckets.begin());
  return UpperEdge(std::min(index, kBuckets - 1));
}

void
DecayingHistogram::Rescale()
{
  for (double& bucket : m_buckets) {
    bucket /= m_weight;
  }
  m_total /= m_weight;
  m_weight = 1;
}

} // namespace ebonykeel
