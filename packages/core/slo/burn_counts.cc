#include "core/slo/burn_counts.h"

#include <algorithm>
#include <numeric>

namespace ebonykeel {

std::string_view
BurnCauseName(BurnCause aCause)
{
  switch (aCause) {
    case BurnCause::kLate:
      return "late";
    case BurnCause::kUncovered:
      return "uncovered";
    case BurnCause::kRefused:
      return "refused";
    case BurnCause::kFailed:
      break;
  }
  return "failed";
}

uint64_t
BurnCounts::Bad() const
{
  return std::accumulate(m_bad.begin(), m_bad.end(), uint64_t{ 0 });
}

void
BurnCounts::Add(const BurnCounts& aOther)
{
  m_good += aOther.m_good;
  std::ranges::transform(
    m_bad, aOther.m_bad, m_bad.begin(), std::plus<uint64_t>());
}

double
BurnRate(const BurnCounts& aCounts, double aObjective)
{
  uint64_t total = aCounts.Total();
  if (total == 0) {
    return 0;
  }
  double share =
    static_cast<double>(aCounts.Bad()) / static_cast<double>(total);
  return share / (1.0 - aObjective);
}

BurnRing::BurnRing(Duration aSpan, size_t aBuckets)
  : m_bucketWidth(std::max<Duration>(aSpan / static_cast<int64_t>(aBuckets),
                                     Milliseconds(1)))
  , m_buckets(aBuckets)
{
}

void
BurnRing::Add(TimePoint aNow, std::optional<BurnCause> aCause)
{
  int64_t number = BucketNumber(aNow);
  Bucket& bucket = m_buckets[static_cast<size_t>(number) % m_buckets.size()];
  if (bucket.m_number != number) {
    bucket = {};
    bucket.m_number = number;
  }
  uint32_t& count =
    aCause ? bucket.m_bad[static_cast<size_t>(*aCause)] : bucket.m_good;
  ++count;
}

BurnCounts
BurnRing::Count(TimePoint aNow, Duration aWindow) const
{
  int64_t newest = BucketNumber(aNow);
  int64_t windowBuckets =
    std::clamp<int64_t>((aWindow + m_bucketWidth - Duration(1)) / m_bucketWidth,
                        1,
                        static_cast<int64_t>(m_buckets.size()));
  BurnCounts counts;
  for (const Bucket& bucket : m_buckets) {
    bool inside =
      bucket.m_number > newest - windowBuckets && bucket.m_number <= newest;
    if (!inside) {
      continue;
    }
    counts.m_good += bucket.m_good;
    std::ranges::transform(
      counts.m_bad, bucket.m_bad, counts.m_bad.begin(), std::plus<uint64_t>());
  }
  return counts;
}

Duration
BurnRing::Span() const
{
  return m_bucketWidth * static_cast<int64_t>(m_buckets.size());
}

int64_t
BurnRing::BucketNumber(TimePoint aTime) const
{
  return std::max<int64_t>(aTime.time_since_epoch() / m_bucketWidth, 0);
}

} // namespace ebonykeel
