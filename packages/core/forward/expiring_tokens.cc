#include "core/forward/expiring_tokens.h"

#include <algorithm>
#include <numeric>

namespace ebonykeel {

ExpiringTokens::ExpiringTokens(Duration aLifetime)
  : m_slotLength(
      std::max(aLifetime / static_cast<int64_t>(kSlots), Duration(1)))
{
}

void
ExpiringTokens::Add(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  SlotOf(m_latestSlot) += aTokens;
}

double
ExpiringTokens::Available(TimePoint aNow)
{
  Advance(aNow);
  return std::accumulate(m_slots.begin(), m_slots.end(), 0.0);
}

void
ExpiringTokens::Take(double aTokens, TimePoint aNow)
{
  Advance(aNow);
  double left = aTokens;
  for (size_t age = kSlots; age > 0; --age) {
    double& slot = SlotOf(m_latestSlot - static_cast<int64_t>(age) + 1);
    double taken = std::min(slot, left);
    slot -= taken;
    left -= taken;
  }
}

double&
ExpiringTokens::SlotOf(int64_t aSlot)
{
  return m_slots.at(static_cast<size_t>(aSlot) % kSlots);
}

void
ExpiringTokens::Advance(TimePoint aNow)
{
  int64_t slot = aNow.time_since_epoch() / m_slotLength;
  if (slot - m_latestSlot >= static_cast<int64_t>(kSlots)) {
    m_slots.fill(0);
    m_latestSlot = slot;
  }
  while (m_latestSlot < slot) {
    ++m_latestSlot;
    SlotOf(m_latestSlot) = 0;
  }
}

} // namespace ebonykeel
