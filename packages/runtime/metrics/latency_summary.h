// A running summary of latencies: count, mean, maximum and quantiles.
//
//   LatencySummary summary;
//   summary.Add(Milliseconds(7));
//   double p99 = summary.Quantile(LatencySummary::kP99);
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/base/time.h"

namespace ebonykeel {

// Estimates quantiles without storing samples, with Boost's P² accumulators.
// Movable, not copyable.
class LatencySummary
{
public:
  enum Percentile
  {
    kP50,
    kP90,
    kP99,
    kP999,
  };

  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary&&) noexcept;
  LatencySummary& operator=(LatencySummary&&) noexcept;

  void Add(Duration aLatency);

  [[nodiscard]] uint64_t Count() const;
  // Returns the mean in milliseconds; 0 without samples.
  [[nodiscard]] double Mean() const;
  // Returns the maximum in milliseconds; 0 without samples.
  [[nodiscard]] double Max() const;
  // Returns an estimate in milliseconds; 0 without samples.
  [[nodiscard]] double Quantile(Percentile aPercentile) const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> m_accumulators;
};

} // namespace ebonykeel
