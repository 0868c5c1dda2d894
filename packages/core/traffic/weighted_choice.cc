#include "core/traffic/weighted_choice.h"

#include <algorithm>
#include <numeric>

namespace ebonykeel {

const SplitPart&
WeightedChoice::Next(std::span<const SplitPart> aParts)
{
  double total = std::accumulate(
    aParts.begin(), aParts.end(), 0.0, [](double aSum, const SplitPart& aPart) {
      return aSum + aPart.m_weight;
    });
  const SplitPart* best = &aParts.front();
  double bestCredit = -1;
  for (const SplitPart& part : aParts) {
    double& credit = m_credits[part.m_service];
    credit += part.m_weight;
    if (part.m_weight > 0 && credit > bestCredit) {
      best = &part;
      bestCredit = credit;
    }
  }
  m_credits[best->m_service] -= total;
  return *best;
}

} // namespace ebonykeel
