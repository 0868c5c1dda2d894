#include "core/upstream/concurrency_policy.h"

#include <algorithm>

namespace ebonykeel {
namespace {

Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

// Returns `aAverage` moved by an eighth of the distance to `aSample`.
Duration
Smooth(Duration aAverage, Duration aSample)
{
  return aAverage + (aSample - aAverage) / 8;
}

// Returns the median of `aSamples`, which must not be empty. Reorders them.
Duration
Median(std::vector<Duration>& aSamples)
{
  auto middle =
    aSamples.begin() + static_cast<std::ptrdiff_t>(aSamples.size() / 2);
  std::ranges::nth_element(aSamples, middle);
  return *middle;
}

} // namespace

ColdStartRamp::ColdStartRamp(uint32_t aSlots,
                             const ColdStartSettings& aSettings,
                             TimePoint aNow)
  : m_slots(std::max(aSlots, 1U))
  , m_settings(aSettings)
  , m_coldSince(aNow)
  , m_baselineLatency(aSettings.m_baselineLatency)
  , m_expectedLatency(aSettings.m_initialLatency)
{
}

uint32_t
ColdStartRamp::Limit() const
{
  return m_limit;
}

bool
ColdStartRamp::Warm() const
{
  return m_limit >= m_slots;
}

Duration
ColdStartRamp::ExpectedLatency() const
{
  return m_expectedLatency;
}

void
ColdStartRamp::OnAnswer(Duration aLatency,
                        TimePoint aDispatchedAt,
                        TimePoint aNow)
{
  m_expectedLatency = Smooth(m_expectedLatency, aLatency);
  if (aDispatchedAt < m_coldSince) {
    return;
  }
  if (Warm()) {
    OnWarmAnswer(aLatency, aNow);
  } else {
    OnColdAnswer(aLatency, aNow);
  }
}

void
ColdStartRamp::OnTimeout(TimePoint aDispatchedAt, TimePoint aNow)
{
  // A timeout after less time than a slow answer takes says nothing about the
  // upstream.
  bool slow =
    aNow - aDispatchedAt > Scale(m_baselineLatency, m_settings.m_slowFactor);
  if (aDispatchedAt < m_coldSince || !slow) {
    return;
  }
  m_group.clear();
  CountSlow(aNow);
}

void
ColdStartRamp::BecomeCold(TimePoint aNow)
{
  m_limit = 1;
  m_coldSince = aNow;
  m_group.clear();
  m_groups = 0;
  m_lastMedian = Duration{ 0 };
  m_stableGroups = 0;
  m_referenceMedian = Duration{ 0 };
  m_dropSeen = false;
  m_slowAnswers = 0;
}

void
ColdStartRamp::Resume(uint32_t aLimit, Duration aExpectedLatency)
{
  m_limit = std::clamp(aLimit, m_limit, m_slots);
  m_baselineLatency = aExpectedLatency;
  m_expectedLatency = aExpectedLatency;
}

void
ColdStartRamp::OnColdAnswer(Duration aLatency, TimePoint aNow)
{
  m_group.push_back(aLatency);
  if (m_group.size() < m_settings.m_answersPerStep) {
    return;
  }
  ++m_groups;
  Duration median = Median(m_group);
  m_group.clear();
  bool overloaded = m_limit > 1 && median > 2 * m_lastMedian;
  if (overloaded) {
    BecomeCold(aNow);
    return;
  }
  bool stable = IsStable(median);
  m_lastMedian = median;
  if (!stable) {
    return;
  }
  ++m_limit;
  bool adoptBaseline = Warm() && m_baselineLatency.count() == 0;
  m_baselineLatency = adoptBaseline ? median : m_baselineLatency;
}

bool
ColdStartRamp::IsStable(Duration aMedian)
{
  if (m_baselineLatency.count() == 0) {
    return IsStableWithoutBaseline(aMedian);
  }
  if (aMedian <= Scale(m_baselineLatency, m_settings.m_stableFactor)) {
    return true;
  }
  bool replaceBaseline = m_groups >= m_settings.m_groupsToReplaceBaseline &&
                         2 * aMedian > m_lastMedian &&
                         aMedian < 2 * m_lastMedian;
  m_baselineLatency = replaceBaseline ? aMedian : m_baselineLatency;
  return replaceBaseline;
}

bool
ColdStartRamp::IsStableWithoutBaseline(Duration aMedian)
{
  // A drop to less than half shows that the earlier answers were those of a
  // cold upstream.
  bool first = m_referenceMedian.count() == 0;
  bool drops = !first && aMedian < m_referenceMedian / 2;
  m_dropSeen = m_dropSeen || drops;
  m_referenceMedian = first || drops ? aMedian : m_referenceMedian;
  m_stableGroups = drops ? 1 : m_stableGroups + 1;
  uint32_t needed = m_dropSeen ? m_settings.m_groupsAfterDrop
                               : m_settings.m_groupsWithoutBaseline;
  return m_stableGroups >= needed;
}

void
ColdStartRamp::OnWarmAnswer(Duration aLatency, TimePoint aNow)
{
  if (m_baselineLatency.count() == 0) {
    m_baselineLatency = aLatency;
  }
  if (aLatency > Scale(m_baselineLatency, m_settings.m_slowFactor)) {
    CountSlow(aNow);
    return;
  }
  m_slowAnswers = 0;
  Duration step = m_baselineLatency / 32;
  m_baselineLatency += aLatency > m_baselineLatency ? step : -step;
}

void
ColdStartRamp::CountSlow(TimePoint aNow)
{
  ++m_slowAnswers;
  if (m_slowAnswers >= m_settings.m_slowAnswers) {
    BecomeCold(aNow);
  }
}

FixedLimit::FixedLimit(uint32_t aSlots)
  : m_slots(std::max(aSlots, 1U))
{
}

uint32_t
FixedLimit::Limit() const
{
  return m_slots;
}

bool
FixedLimit::Warm() const
{
  return true;
}

Duration
FixedLimit::ExpectedLatency() const
{
  return m_expectedLatency;
}

void
FixedLimit::OnAnswer(Duration aLatency,
                     TimePoint /*aDispatchedAt*/,
                     TimePoint /*aNow*/)
{
  m_expectedLatency = Smooth(m_expectedLatency, aLatency);
}

void
FixedLimit::OnTimeout(TimePoint /*aDispatchedAt*/, TimePoint /*aNow*/)
{
}

void
FixedLimit::BecomeCold(TimePoint /*aNow*/)
{
}

void
FixedLimit::Resume(uint32_t /*aLimit*/, Duration /*aExpectedLatency*/)
{
}

} // namespace ebonykeel
