#include "runtime/metrics/latency_summary.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace ebonykeel {
namespace {

namespace accumulators = boost::accumulators;

using Totals =
  accumulators::accumulator_set<double,
                                accumulators::stats<accumulators::tag::count,
                                                    accumulators::tag::mean,
                                                    accumulators::tag::max>>;
using QuantileEstimate = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::p_square_quantile>>;

QuantileEstimate
MakeEstimate(double aProbability)
{
  return QuantileEstimate(accumulators::quantile_probability = aProbability);
}

} // namespace

struct LatencySummary::Accumulators
{
  Totals m_totals;
  // Indexed by `Percentile`.
  std::array<QuantileEstimate, 4> m_quantiles{ MakeEstimate(0.5),
                                               MakeEstimate(0.9),
                                               MakeEstimate(0.99),
                                               MakeEstimate(0.999) };
};

LatencySummary::LatencySummary()
  : m_accumulators(std::make_unique<Accumulators>())
{
}

LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary&&) noexcept = default;
LatencySummary&
LatencySummary::operator=(LatencySummary&&) noexcept = default;

void
LatencySummary::Add(Duration aLatency)
{
  double milliseconds = ToMillisecondsF(aLatency);
  m_accumulators->m_totals(milliseconds);
  for (QuantileEstimate& estimate : m_accumulators->m_quantiles) {
    estimate(milliseconds);
  }
}

uint64_t
LatencySummary::Count() const
{
  return accumulators::count(m_accumulators->m_totals);
}

double
LatencySummary::Mean() const
{
  return Count() == 0 ? 0 : accumulators::mean(m_accumulators->m_totals);
}

double
LatencySummary::Max() const
{
  return Count() == 0 ? 0 : accumulators::max(m_accumulators->m_totals);
}

double
LatencySummary::Quantile(Percentile aPercentile) const
{
  return Count() == 0 ? 0
                      : accumulators::p_square_quantile(
                          m_accumulators->m_quantiles[aPercentile]);
}

} // namespace ebonykeel
