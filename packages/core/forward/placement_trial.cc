// Compares ways to choose a replica on simulated replicas, over seeds. Prints
// one line for each scenario and way: the mean over the seeds of the callers'
// p50 and p99 and of the share answered within the target latency.
//
// Usage: placement_trial [SEEDS]
#include <array>
#include <charconv>
#include <cstdio>
#include <span>
#include <string_view>
#include <utility>

#include "core/forward/placement_simulation.h"

namespace ebonykeel {
namespace {

void
Print(const PlacementScenario& aScenario,
      TrialPolicy aPolicy,
      const char* aName,
      uint64_t aSeeds)
{
  double p50 = 0;
  double p99 = 0;
  double inTime = 0;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    PlacementResult result = SimulatePlacement(aScenario, aPolicy, seed);
    p50 += ToMillisecondsF(result.m_p50);
    p99 += ToMillisecondsF(result.m_p99);
    inTime += result.m_inTime;
  }
  auto seeds = static_cast<double>(aSeeds);
  std::printf("| %s | %s | %.1f | %.1f | %.4f |\n",
              aScenario.m_name.c_str(),
              aName,
              p50 / seeds,
              p99 / seeds,
              inTime / seeds);
}

void
Compare(uint64_t aSeeds)
{
  constexpr std::array<std::pair<TrialPolicy, const char*>, 3> kPolicies = {
    { { TrialPolicy::kLatency, "latency factor" },
      { TrialPolicy::kTwoChoices, "two random choices" },
      { TrialPolicy::kWork, "least expected completion" } }
  };
  std::printf("| scenario | choice | p50 ms | p99 ms | in time |\n"
              "|---|---|---|---|---|\n");
  for (const PlacementScenario& scenario : PlacementScenarios()) {
    for (const auto& [policy, name] : kPolicies) {
      Print(scenario, policy, name, aSeeds);
    }
  }
}

} // namespace
} // namespace ebonykeel

int
main(int aCount, char** aArguments)
{
  std::span<char*> arguments(aArguments, static_cast<size_t>(aCount));
  uint64_t seeds = 10;
  if (arguments.size() > 1) {
    std::string_view text = arguments[1];
    std::from_chars(text.data(), text.data() + text.size(), seeds);
  }
  ebonykeel::Compare(seeds);
  return 0;
}
