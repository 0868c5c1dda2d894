#include "core/replica/unfinished_work.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace ebonykeel {
namespace {

// Bounds the expected time that is left of a request that has run for longer
// than expected, relative to its mean.
constexpr double kMaxResidual = 3;
// Requests that are expected to take less than this are not overdue sooner.
constexpr Duration kMinOverdueLimit = Milliseconds(1);

} // namespace

void
UnfinishedWork::Add(TimePoint aSentAt,
                    const ExpectedWork& aWork,
                    uint32_t aSlots)
{
  Request request{ .m_work = aWork };
  if (m_running < aSlots) {
    request.m_startedAt = aSentAt;
    ++m_running;
  }
  m_requests.emplace(aSentAt, request);
}

std::optional<EndedWork>
UnfinishedWork::Remove(TimePoint aSentAt, uint32_t aSlots, TimePoint aNow)
{
  auto found = m_requests.find(aSentAt);
  if (found == m_requests.end()) {
    return std::nullopt;
  }
  Request ended = found->second;
  m_requests.erase(found);
  if (!ended.m_startedAt) {
    return std::nullopt;
  }
  --m_running;
  for (auto& [sentAt, request] : m_requests) {
    if (m_running >= aSlots) {
      break;
    }
    if (!request.m_startedAt) {
      request.m_startedAt = aNow;
      ++m_running;
    }
  }
  if (ended.m_work.m_mean == Duration{}) {
    return std::nullopt;
  }
  return EndedWork{ .m_expected = ended.m_work.Mean(),
                    .m_spread = ended.m_work.Spread(),
                    .m_startedAt = *ended.m_startedAt };
}

Duration
UnfinishedWork::ExpectedWait(uint32_t aSlots,
                             double aSlowness,
                             TimePoint aNow) const
{
  if (m_requests.size() < aSlots) {
    return {};
  }
  // The times at which slots come free, as a heap with the soonest first.
  std::vector<Duration> slots(aSlots);
  for (const auto& [sentAt, request] : m_requests) {
    std::ranges::pop_heap(slots, std::greater());
    slots.back() += request.RemainingTime(aSlowness, aNow);
    std::ranges::push_heap(slots, std::greater());
  }
  return slots.front();
}

Duration
UnfinishedWork::OverdueAge(double aFactor, TimePoint aNow) const
{
  Duration oldest{};
  for (const auto& [sentAt, request] : m_requests) {
    if (request.m_startedAt) {
      Duration age = aNow - *request.m_startedAt;
      Duration limit = std::max(request.m_work.Mean() + request.m_work.Spread(),
                                kMinOverdueLimit);
      bool overdue = static_cast<double>(age.count()) >
                     aFactor * static_cast<double>(limit.count());
      oldest = overdue ? std::max(oldest, age) : oldest;
    }
  }
  return oldest;
}

Duration
UnfinishedWork::Remaining(double aSlowness, TimePoint aNow) const
{
  Duration total{};
  for (const auto& [sentAt, request] : m_requests) {
    total += request.RemainingTime(aSlowness, aNow);
  }
  return Duration(
    static_cast<int64_t>(static_cast<double>(total.count()) / aSlowness));
}

Duration
UnfinishedWork::Request::RemainingTime(double aSlowness, TimePoint aNow) const
{
  double mean = static_cast<double>(m_work.Mean().count()) * aSlowness;
  if (!m_startedAt || mean <= 0) {
    return Duration(static_cast<int64_t>(mean));
  }
  // Of a request whose work is known exactly, the rest of the mean is left. The
  // wider the spread, the less its age says, and beyond a spread as wide as the
  // mean an old request is likely to be one of the long ones.
  double spread = static_cast<double>(m_work.Spread().count()) * aSlowness;
  double residual = std::min(spread * spread / mean, kMaxResidual * mean);
  double age = static_cast<double>((aNow - *m_startedAt).count());
  double remaining =
    residual + (mean - residual) * std::max(0.0, 1 - age / mean);
  return Duration(static_cast<int64_t>(remaining));
}

} // namespace ebonykeel
