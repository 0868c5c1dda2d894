// When a slow sub-query is sent to a second replica as well, and how often.
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

// Decides on hedges for all queries of one instance.
class HedgePolicy
{
public:
  HedgePolicy() = default;
  HedgePolicy(const HedgePolicy&) = delete;
  HedgePolicy& operator=(const HedgePolicy&) = delete;
  virtual ~HedgePolicy() = default;

  // Returns how long a sub-query of `aService` may be unanswered before it is
  // hedged; nothing when it must not be hedged. `aIsHedge` tells that it is a
  // hedge itself.
  [[nodiscard]] virtual std::optional<Duration> Delay(
    const ServiceName& aService,
    bool aIsHedge) const = 0;

  // Returns the most hedges that a query over `aShards` shards may send.
  [[nodiscard]] virtual uint32_t QueryCap(uint32_t aShards) const = 0;

  // Takes one hedge out of the budget, for a query over `aShards` shards that
  // already sent `aSent` hedges. Returns false when there is none left.
  [[nodiscard]] virtual bool TryTake(uint32_t aSent, uint32_t aShards) = 0;

  // Tells that `aCount` first attempts were sent.
  virtual void OnFirstAttempts(uint32_t aCount) = 0;

  // Tells how long a first attempt took, or, if it was abandoned, how long it
  // had been unanswered by then.
  virtual void OnLatency(const ServiceName& aService, Duration aLatency) = 0;
};

// Sends no hedge.
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
  // The share of sub-queries, in (0, 1), that are answered before the delay.
  double m_quantile = 0.97;
  // The same for hedges, which are so few that an earlier one costs little.
  double m_rehedgeQuantile = 0.85;
  // Hedges for each first attempt, in [0, 1].
  double m_budgetShare = 0.03;
  // Hedges that may be sent at once after a quiet time.
  double m_budgetBurst = 50;
  // The most hedges of one query, as a share of its shards.
  double m_queryCapShare = 0.15;
  // The most hedges of a query over few shards.
  uint32_t m_minQueryCap = 2;
  // Answers of a service that are needed before it is hedged.
  uint32_t m_minSamples = 100;
  // The answers after which an earlier one counts half.
  double m_halfLife = 4000;
  Duration m_minDelay = Milliseconds(1);
};

// Hedges what is slower than a learnt quantile of its service's latency.
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
