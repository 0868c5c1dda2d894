#include "core/replica/stall_forecast.h"

#include <algorithm>
#include <numeric>

namespace ebonykeel {
namespace {

// Stalls of one searcher that are remembered.
constexpr size_t kMostStalls = 4;
// Spans counted before all counts are halved, so that old ones fade.
constexpr size_t kMostSpans = 400;
// Spans that must agree before an interval is believed, at least and as a share
// of all.
constexpr int kFewestAgreeing = 6;
constexpr double kAgreeingShare = 0.2;
// How far the end of a stall may lie from where the interval puts it: requests
// end some time after it.
constexpr Duration kTolerance = Milliseconds(45);
// A stall that was not seen again for so many intervals is not foreseen.
constexpr int kMostIntervals = 6;
// Intervals below this are no rhythm that can be avoided.
constexpr Duration kShortestInterval = Milliseconds(750);
// Stalls whose lengths are remembered, and the share of them that the foreseen
// length covers.
constexpr size_t kLengths = 64;
constexpr double kCoveredLengths = 0.9;
// Longer ones are failures, not stalls.
constexpr Duration kLongestStall = Milliseconds(500);
// Added to the end of a foreseen stall.
constexpr Duration kMargin = Milliseconds(10);

} // namespace

void
StallForecast::OnSlowAnswer(History& aHistory,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (aNow - aSentAt > kLongestStall) {
    return;
  }
  std::vector<History::Stall>& stalls = aHistory.m_stalls;
  if (!stalls.empty() && aSentAt < stalls.back().m_to) {
    stalls.back().m_from = std::min(stalls.back().m_from, aSentAt);
    return;
  }
  if (stalls.size() == kMostStalls) {
    stalls.erase(stalls.begin());
  }
  stalls.push_back({ .m_from = aSentAt, .m_to = aNow });
  OnNewStall(aHistory);
}

std::optional<TimePoint>
StallForecast::EndOfStall(const History& aHistory,
                          TimePoint aNow,
                          Duration aWork) const
{
  if (!m_interval || !aHistory.m_anchor) {
    return std::nullopt;
  }
  Duration since = aNow - *aHistory.m_anchor;
  if (since <= kMargin || since > *m_interval * kMostIntervals) {
    return std::nullopt;
  }
  int64_t intervals = (since - kMargin) / *m_interval + 1;
  TimePoint end = *aHistory.m_anchor + *m_interval * intervals + kMargin;
  TimePoint begin = end - kMargin - Length();
  return aNow + aWork > begin ? std::optional(end) : std::nullopt;
}

void
StallForecast::OnNewStall(History& aHistory)
{
  const std::vector<History::Stall>& stalls = aHistory.m_stalls;
  if (stalls.size() < 2) {
    return;
  }
  const History::Stall& before = stalls[stalls.size() - 2];
  Duration length = before.m_to - before.m_from;
  if (m_lengths.size() < kLengths) {
    m_lengths.push_back(length);
  } else {
    m_lengths[m_nextLength] = length;
    m_nextLength = (m_nextLength + 1) % kLengths;
  }
  Duration span = stalls.back().m_to - before.m_to;
  if (span >= kShortestInterval && span < kBin * kBins) {
    ++m_spans[static_cast<size_t>(span / kBin)];
    ++m_spanCount;
    UpdateInterval();
  }
  UpdateAnchor(aHistory);
}

void
StallForecast::UpdateInterval()
{
  if (m_spanCount > kMostSpans) {
    std::ranges::for_each(m_spans, [](uint16_t& aCount) { aCount /= 2; });
    m_spanCount = std::accumulate(m_spans.begin(), m_spans.end(), size_t{ 0 });
  }
  size_t best = 0;
  int bestCount = 0;
  for (size_t bin = 1; bin + 1 < kBins; ++bin) {
    int count = m_spans[bin - 1] + m_spans[bin] + m_spans[bin + 1];
    if (count > bestCount) {
      best = bin;
      bestCount = count;
    }
  }
  if (bestCount < kFewestAgreeing ||
      bestCount < kAgreeingShare * static_cast<double>(m_spanCount)) {
    m_interval.reset();
    return;
  }
  // The mean of the three bins' middles.
  double shift =
    (m_spans[best + 1] - m_spans[best - 1]) / static_cast<double>(bestCount);
  double middle = static_cast<double>(best) + 0.5 + shift;
  m_interval =
    Duration(static_cast<int64_t>(middle * static_cast<double>(kBin.count())));
}

void
StallForecast::UpdateAnchor(History& aHistory) const
{
  if (!m_interval) {
    return;
  }
  TimePoint latest = aHistory.m_stalls.back().m_to;
  bool regular = std::any_of(aHistory.m_stalls.begin(),
                             aHistory.m_stalls.end() - 1,
                             [&](const History::Stall& aStall) {
                               Duration span = latest - aStall.m_to;
                               return span >= *m_interval / 2 &&
                                      span <= *m_interval * kMostIntervals &&
                                      OffInterval(span) <= kTolerance;
                             });
  if (regular) {
    aHistory.m_anchor = latest;
  }
}

Duration
StallForecast::OffInterval(Duration aSpan) const
{
  Duration rest = aSpan % *m_interval;
  return std::min(rest, *m_interval - rest);
}

Duration
StallForecast::Length() const
{
  if (m_lengths.empty()) {
    return {};
  }
  std::vector<Duration> lengths = m_lengths;
  auto covered = static_cast<ptrdiff_t>(
    kCoveredLengths * static_cast<double>(lengths.size() - 1));
  std::ranges::nth_element(lengths, lengths.begin() + covered);
  return lengths[static_cast<size_t>(covered)];
}

} // namespace ebonykeel
