#include "core/upstream/admission_policy.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// Returns `aSpan` times `aFactor`.
Duration
Scale(Duration aSpan, double aFactor)
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aSpan.count()) * aFactor));
}

// Moves `aAverage` an eighth of the way towards `aSample`.
Duration
Smooth(Duration aAverage, Duration aSample)
{
  return aAverage + (aSample - aAverage) / 8;
}

// Returns the median of `aSamples`, which is not empty, and reorders them.
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
  , m_usualLatency(aSettings.m_usualLatency)
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
  // A deadline shorter than a slow answer says nothing about the upstream.
  bool slow =
    aNow - aDispatchedAt > Scale(m_usualLatency, m_settings.m_slowFactor);
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
  m_steadyGroups = 0;
  m_reference = Duration{ 0 };
  m_fallSeen = false;
  m_slowAnswers = 0;
}

void
ColdStartRamp::Resume(uint32_t aLimit, Duration aExpectedLatency)
{
  m_limit = std::clamp(aLimit, m_limit, m_slots);
  m_usualLatency = aExpectedLatency;
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
  bool burdened = m_limit > 1 && median > 2 * m_lastMedian;
  if (burdened) {
    BecomeCold(aNow);
    return;
  }
  bool settled = Settled(median);
  m_lastMedian = median;
  if (!settled) {
    return;
  }
  ++m_limit;
  bool learnt = Warm() && m_usualLatency.count() == 0;
  m_usualLatency = learnt ? median : m_usualLatency;
}

bool
ColdStartRamp::Settled(Duration aMedian)
{
  if (m_usualLatency.count() == 0) {
    return SettledBlind(aMedian);
  }
  if (aMedian <= Scale(m_usualLatency, m_settings.m_settledFactor)) {
    return true;
  }
  bool relearn = m_groups >= m_settings.m_relearnGroups &&
                 2 * aMedian > m_lastMedian && aMedian < 2 * m_lastMedian;
  m_usualLatency = relearn ? aMedian : m_usualLatency;
  return relearn;
}

bool
ColdStartRamp::SettledBlind(Duration aMedian)
{
  // A fall by half shows that the earlier answers were those of a cold
  // upstream.
  bool first = m_reference.count() == 0;
  bool falls = !first && aMedian < m_reference / 2;
  m_fallSeen = m_fallSeen || falls;
  m_reference = first || falls ? aMedian : m_reference;
  m_steadyGroups = falls ? 1 : m_steadyGroups + 1;
  uint32_t needed =
    m_fallSeen ? m_settings.m_groupsAfterFall : m_settings.m_blindGroups;
  return m_steadyGroups >= needed;
}

void
ColdStartRamp::OnWarmAnswer(Duration aLatency, TimePoint aNow)
{
  if (m_usualLatency.count() == 0) {
    m_usualLatency = aLatency;
  }
  if (aLatency > Scale(m_usualLatency, m_settings.m_slowFactor)) {
    CountSlow(aNow);
    return;
  }
  m_slowAnswers = 0;
  Duration step = m_usualLatency / 32;
  m_usualLatency += aLatency > m_usualLatency ? step : -step;
}

void
ColdStartRamp::CountSlow(TimePoint aNow)
{
  ++m_slowAnswers;
  if (m_slowAnswers >= m_settings.m_slowAnswers) {
    BecomeCold(aNow);
  }
}

IndependentLimit::IndependentLimit(uint32_t aSlots)
  : m_slots(std::max(aSlots, 1U))
{
}

uint32_t
IndependentLimit::Limit() const
{
  return m_slots;
}

bool
IndependentLimit::Warm() const
{
  return true;
}

Duration
IndependentLimit::ExpectedLatency() const
{
  return m_expectedLatency;
}

void
IndependentLimit::OnAnswer(Duration aLatency,
                           TimePoint /*aDispatchedAt*/,
                           TimePoint /*aNow*/)
{
  m_expectedLatency = Smooth(m_expectedLatency, aLatency);
}

void
IndependentLimit::OnTimeout(TimePoint /*aDispatchedAt*/, TimePoint /*aNow*/)
{
}

void
IndependentLimit::BecomeCold(TimePoint /*aNow*/)
{
}

void
IndependentLimit::Resume(uint32_t /*aLimit*/, Duration /*aExpectedLatency*/)
{
}

} // namespace ebonykeel
