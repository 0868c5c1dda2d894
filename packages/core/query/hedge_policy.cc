#include "core/query/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace ebonykeel {

std::optional<Duration>
NoHedging::Delay(const ServiceName& /*aService*/, bool /*aIsHedge*/) const
{
  return std::nullopt;
}

uint32_t
NoHedging::QueryCap(uint32_t /*aShards*/) const
{
  return 0;
}

bool
NoHedging::TryTake(uint32_t /*aSent*/, uint32_t /*aShards*/)
{
  return false;
}

void
NoHedging::OnFirstAttempts(uint32_t /*aCount*/)
{
}

void
NoHedging::OnLatency(const ServiceName& /*aService*/, Duration /*aLatency*/)
{
}

QuantileHedging::QuantileHedging(const QuantileHedgingOptions& aOptions)
  : m_options(aOptions)
  , m_budget(aOptions.m_budgetShare, aOptions.m_budgetBurst)
{
}

std::optional<Duration>
QuantileHedging::Delay(const ServiceName& aService, bool aIsHedge) const
{
  auto found = m_latencies.find(aService);
  if (found == m_latencies.end() ||
      found->second.Count() < m_options.m_minSamples) {
    return std::nullopt;
  }
  Duration estimate = found->second.Quantile(
    aIsHedge ? m_options.m_rehedgeQuantile : m_options.m_quantile);
  return std::max(estimate, m_options.m_minDelay);
}

uint32_t
QuantileHedging::QueryCap(uint32_t aShards) const
{
  double share = std::ceil(m_options.m_queryCapShare * aShards);
  return std::max(m_options.m_minQueryCap, static_cast<uint32_t>(share));
}

bool
QuantileHedging::TryTake(uint32_t aSent, uint32_t aShards)
{
  return aSent < QueryCap(aShards) && m_budget.TryTake();
}

void
QuantileHedging::OnFirstAttempts(uint32_t aCount)
{
  m_budget.Earn(aCount);
}

void
QuantileHedging::OnLatency(const ServiceName& aService, Duration aLatency)
{
  auto [entry, added] = m_latencies.try_emplace(aService, m_options.m_halfLife);
  entry->second.Add(aLatency);
}

} // namespace ebonykeel
