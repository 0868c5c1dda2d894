// Bounds the requests that searchers get beyond the first of each, for all of a
// service's searchers together.
//
//   ExtraBudget budget({ .m_share = 0.2, .m_burst = 126 });
//   budget.SetInstances(18);
//   budget.OnFirst("shard-07");
//   if (budget.TryTake("shard-07")) { ... send once more ... }
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/query/token_budget.h"

namespace ebonykeel {

// The fleet's limit over any window.
struct ExtraBudgetLimit
{
  // Extra requests for each first one.
  double m_share = 0.2;
  // Extra requests of the whole fleet beside the share.
  double m_burst = 100;
};

// One instance's part of the budget: its own first requests earn the share, and
// the burst is divided among the instances.
class ExtraBudget
{
public:
  explicit ExtraBudget(ExtraBudgetLimit aLimit);

  // Sets by how many instances the burst is divided; >= 1. Before that it is
  // divided by many: an instance that just started knows no other yet.
  void SetInstances(size_t aCount);
  void OnFirst(const std::string& aService);
  // Takes one extra request; returns false if none is left.
  [[nodiscard]] bool TryTake(const std::string& aService);

private:
  // The instances that are assumed before any is known.
  static constexpr size_t kAssumedInstances = 100;

  [[nodiscard]] double Burst() const;
  TokenBudget& Of(const std::string& aService);

  ExtraBudgetLimit m_limit;
  size_t m_instances = kAssumedInstances;
  std::unordered_map<std::string, TokenBudget> m_budgets;
};

} // namespace ebonykeel
