// Decides when a slow sub-query is hedged, that is, also sent to a second
// replica, and limits the number of hedges.
//
//   QuantileHedging hedges({});
//   std::optional<Duration> delay = hedges.Delay(service, false);
//   if (hedges.TryTake(sentInThisQuery, shardsOfThisQuery)) { ... }
#pragma once

#include <cstdint>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/query/decaying_histogram.h"
#include "core/query/token_budget.h"

namespace ebonykeel {

// The hedge policy for all queries of one instance.
class HedgePolicy
{
public:
  HedgePolicy() = default;
  HedgePolicy(const HedgePolicy&) = delete;
  HedgePolicy& operator=(const HedgePolicy&) = delete;
  virtual ~HedgePolicy() = default;

  // Returns how long an attempt of `aService` may be unanswered before it is
  // hedged, or nullopt if it must not be hedged. `aIsHedge` is true if the
  // attempt is itself a hedge.
  [[nodiscard]] virtual std::optional<Duration> Delay(
    const ServiceName& aService,
    bool aIsHedge) const = 0;

  // Returns the maximum number of hedges of a query over `aShards` shards.
  [[nodiscard]] virtual uint32_t QueryCap(uint32_t aShards) const = 0;

  // Takes one hedge from the budget for a query over `aShards` shards that has
  // already sent `aSent` hedges. Returns false if no hedge is allowed.
  [[nodiscard]] virtual bool TryTake(uint32_t aSent, uint32_t aShards) = 0;

  // Called after `aCount` first attempts were sent.
  virtual void OnFirstAttempts(uint32_t aCount) = 0;

  // Called when a first attempt was answered or cancelled. `aLatency` is the
  // time since it was sent.
  virtual void OnLatency(const ServiceName& aService, Duration aLatency) = 0;
};

// Never hedges.
class NoHedging final : public HedgePolicy
{
public:
  [[nodiscard]] std::optional<Duration> Delay(const ServiceName& aService,
                                              bool aIsHedge) const override;
  [[nodiscard]] uint32_t QueryCap(uint32_t aShards) const override;
  [[nodiscard]] bool TryTake(uint32_t aSent, uint32_t aShards) override;
  void OnFirstAttempts(uint32_t aCount) override;
  void OnLatency(const ServiceName& aService, Duration aLatency) override;
};

struct QuantileHedgingOptions
{
  // The latency quantile, in (0, 1), after which an attempt is hedged.
  double m_quantile = 0.97;
  // The same for hedging a hedge. It can be lower, since hedges are few and an
  // early second one costs little.
  double m_rehedgeQuantile = 0.85;
  // Hedges allowed for each first attempt, in [0, 1].
  double m_budgetShare = 0.03;
  // Hedges allowed in a burst.
  double m_budgetBurst = 50;
  // The maximum number of hedges of one query, as a share of its shards.
  double m_queryCapShare = 0.15;
  // The cap of a query over few shards is at least this many hedges.
  uint32_t m_minQueryCap = 2;
  // Latency samples of a service that are needed before it is hedged.
  uint32_t m_minSamples = 100;
  // The number of samples after which the weight of an earlier one halves.
  double m_halfLife = 4000;
  Duration m_minDelay = Milliseconds(1);
};

// Hedges an attempt that is slower than a quantile of its service's measured
// latencies.
class QuantileHedging final : public HedgePolicy
{
public:
  explicit QuantileHedging(const QuantileHedgingOptions& aOptions);

  [[nodiscard]] std::optional<Duration> Delay(const ServiceName& aService,
                                              bool aIsHedge) const override;
  [[nodiscard]] uint32_t QueryCap(uint32_t aShards) const override;
  [[nodiscard]] bool TryTake(uint32_t aSent, uint32_t aShards) override;
  void OnFirstAttempts(uint32_t aCount) override;
  void OnLatency(const ServiceName& aService, Duration aLatency) override;

private:
  QuantileHedgingOptions m_options;
  TokenBudget m_budget;
  absl::flat_hash_map<ServiceName, DecayingHistogram> m_latencies;
};

} // namespace ebonykeel
