#include "load/arrivals.h"

#include <chrono>

#include "absl/random/distributions.h"

namespace ebonykeel {

ArrivalSchedule::ArrivalSchedule(ArrivalKind aKind,
                                 double aRate,
                                 absl::BitGenRef aRandom)
  : m_kind(aKind)
  , m_rate(aRate)
  , m_random(aRandom)
{
}

Duration
ArrivalSchedule::Next()
{
  m_seconds += m_kind == ArrivalKind::kConstant
                 ? 1 / m_rate
                 : absl::Exponential<double>(m_random, m_rate);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(m_seconds));
}

} // namespace ebonykeel
