#include "core/replica/stall_forecast.h"

#include <algorithm>
#include <numeric>

namespace ebonykeel {
namespace {

// The number of stalls that are remembered for each upstream.
constexpr size_t kMaxStalls = 4;
// The number of counted spans above which all counts are halved, so that old
// ones fade.
constexpr size_t kMaxSpans = 400;
// The minimum number of spans, and the minimum share of all spans, that must
// agree before an interval is accepted.
constexpr int kMinAgreeingSpans = 6;
constexpr double kMinAgreeingShare = 0.2;
// How far the end of a stall may be from a multiple of the interval: requests
// end some time after the stall.
constexpr Duration kIntervalTolerance = Milliseconds(45);
// A stall that was not observed again for this many intervals is no longer
// forecast.
constexpr int kMaxMissedIntervals = 6;
// Shorter intervals are ignored: stalls that frequent cannot be avoided.
constexpr Duration kMinInterval = Milliseconds(750);
// The number of stall lengths that are remembered, and their quantile that is
// used as the forecast length.
constexpr size_t kMaxStallLengths = 64;
constexpr double kStallLengthQuantile = 0.9;
// Answers slower than this indicate a failure, not a stall.
constexpr Duration kMaxStallLength = Milliseconds(500);
// Added to the end of a forecast stall.
constexpr Duration kStallEndMargin = Milliseconds(10);

} // namespace

void
StallForecast::OnSlowAnswer(History& aHistory,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (aNow - aSentAt > kMaxStallLength) {
    return;
  }
  std::vector<History::Stall>& stalls = aHistory.m_stalls;
  if (!stalls.empty() && aSentAt < stalls.back().m_firstAnsweredAt) {
    stalls.back().m_firstSentAt =
      std::min(stalls.back().m_firstSentAt, aSentAt);
    return;
  }
  if (stalls.size() == kMaxStalls) {
    stalls.erase(stalls.begin());
  }
  stalls.push_back({ .m_firstSentAt = aSentAt, .m_firstAnsweredAt = aNow });
  AddStall(aHistory);
}

std::optional<TimePoint>
StallForecast::ExpectedStallEnd(const History& aHistory,
                                TimePoint aNow,
                                Duration aWork) const
{
  if (!m_interval || !aHistory.m_anchor) {
    return std::nullopt;
  }
  Duration since = aNow - *aHistory.m_anchor;
  if (since <= kStallEndMargin || since > *m_interval * kMaxMissedIntervals) {
    return std::nullopt;
  }
  int64_t intervals = (since - kStallEndMargin) / *m_interval + 1;
  TimePoint end =
    *aHistory.m_anchor + *m_interval * intervals + kStallEndMargin;
  TimePoint begin = end - kStallEndMargin - StallLength();
  return aNow + aWork > begin ? std::optional(end) : std::nullopt;
}

void
StallForecast::AddStall(History& aHistory)
{
  const std::vector<History::Stall>& stalls = aHistory.m_stalls;
  if (stalls.size() < 2) {
    return;
  }
  const History::Stall& before = stalls[stalls.size() - 2];
  Duration length = before.m_firstAnsweredAt - before.m_firstSentAt;
  if (m_stallLengths.size() < kMaxStallLengths) {
    m_stallLengths.push_back(length);
  } else {
    m_stallLengths[m_nextStallLength] = length;
    m_nextStallLength = (m_nextStallLength + 1) % kMaxStallLengths;
  }
  Duration span = stalls.back().m_firstAnsweredAt - before.m_firstAnsweredAt;
  if (span >= kMinInterval && span < kBinWidth * kBinCount) {
    ++m_spanCounts[static_cast<size_t>(span / kBinWidth)];
    ++m_totalSpans;
    UpdateInterval();
  }
  UpdateAnchor(aHistory);
}

void
StallForecast::UpdateInterval()
{
  if (m_totalSpans > kMaxSpans) {
    std::ranges::for_each(m_spanCounts, [](uint16_t& aCount) { aCount /= 2; });
    m_totalSpans =
      std::accumulate(m_spanCounts.begin(), m_spanCounts.end(), size_t{ 0 });
  }
  size_t best = 0;
  int bestCount = 0;
  for (size_t bin = 1; bin + 1 < kBinCount; ++bin) {
    int count =
      m_spanCounts[bin - 1] + m_spanCounts[bin] + m_spanCounts[bin + 1];
    if (count > bestCount) {
      best = bin;
      bestCount = count;
    }
  }
  if (bestCount < kMinAgreeingSpans ||
      bestCount < kMinAgreeingShare * static_cast<double>(m_totalSpans)) {
    m_interval.reset();
    return;
  }
  // The weighted mean of the centres of the three bins.
  double shift = (m_spanCounts[best + 1] - m_spanCounts[best - 1]) /
                 static_cast<double>(bestCount);
  double middle = static_cast<double>(best) + 0.5 + shift;
  m_interval = Duration(
    static_cast<int64_t>(middle * static_cast<double>(kBinWidth.count())));
}

void
StallForecast::UpdateAnchor(History& aHistory) const
{
  if (!m_interval) {
    return;
  }
  TimePoint latest = aHistory.m_stalls.back().m_firstAnsweredAt;
  bool regular =
    std::any_of(aHistory.m_stalls.begin(),
                aHistory.m_stalls.end() - 1,
                [&](const History::Stall& aStall) {
                  Duration span = latest - aStall.m_firstAnsweredAt;
                  return span >= *m_interval / 2 &&
                         span <= *m_interval * kMaxMissedIntervals &&
                         DistanceFromMultiple(span) <= kIntervalTolerance;
                });
  if (regular) {
    aHistory.m_anchor = latest;
  }
}

Duration
StallForecast::DistanceFromMultiple(Duration aSpan) const
{
  Duration rest = aSpan % *m_interval;
  return std::min(rest, *m_interval - rest);
}

Duration
StallForecast::StallLength() const
{
  if (m_stallLengths.empty()) {
    return {};
  }
  std::vector<Duration> lengths = m_stallLengths;
  auto covered = static_cast<ptrdiff_t>(
    kStallLengthQuantile * static_cast<double>(lengths.size() - 1));
  std::ranges::nth_element(lengths, lengths.begin() + covered);
  return lengths[static_cast<size_t>(covered)];
}

} // namespace ebonykeel
