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

} // namespace

ColdStartRamp::ColdStartRamp(uint32_t aSlots,
                             const ColdStartSettings& aSettings,
                             TimePoint aNow)
  : m_slots(std::max(aSlots, 1U))
  , m_settings(aSettings)
  , m_coldSince(aNow)
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
    OnColdAnswer(aLatency);
  }
}

void
ColdStartRamp::OnTimeout(TimePoint aDispatchedAt, TimePoint aNow)
{
  if (aDispatchedAt < m_coldSince) {
    return;
  }
  m_settledAnswers = 0;
  CountSlow(aNow);
}

void
ColdStartRamp::BecomeCold(TimePoint aNow)
{
  m_limit = 1;
  m_settledAnswers = 0;
  m_coldAnswers = 0;
  m_slowAnswers = 0;
  m_coldSince = aNow;
  m_leastLatency = Duration{ 0 };
}

void
ColdStartRamp::Resume(uint32_t aLimit, Duration aExpectedLatency)
{
  m_limit = std::clamp(aLimit, m_limit, m_slots);
  m_usualLatency = aExpectedLatency;
  m_expectedLatency = aExpectedLatency;
}

void
ColdStartRamp::OnColdAnswer(Duration aLatency)
{
  ++m_coldAnswers;
  // A latency that still falls by half shows that the earlier answers were
  // those of a cold upstream.
  bool stillFalling =
    m_leastLatency.count() != 0 && aLatency < m_leastLatency / 2;
  bool first = m_leastLatency.count() == 0;
  m_leastLatency = first ? aLatency : std::min(m_leastLatency, aLatency);
  bool relearn = m_coldAnswers >= m_settings.m_relearnAnswers;
  if (relearn || m_usualLatency.count() == 0) {
    m_usualLatency = relearn ? m_leastLatency : m_usualLatency;
  }
  Duration reference =
    m_usualLatency.count() == 0 ? m_leastLatency : m_usualLatency;
  bool settled = aLatency <= Scale(reference, m_settings.m_settledFactor);
  m_settledAnswers = settled && !stillFalling ? m_settledAnswers + 1 : 0;
  if (m_settledAnswers < m_settings.m_answersPerStep) {
    return;
  }
  m_settledAnswers = 0;
  ++m_limit;
  if (Warm() && m_usualLatency.count() == 0) {
    m_usualLatency = m_expectedLatency;
  }
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
  m_usualLatency = Smooth(m_usualLatency, aLatency);
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
