// Simulates callers whose requests cost different amounts of work, at replicas
// of different speed, and compares ways to choose a replica. Nothing is sent;
// time is simulated. For tests and `placement_trial`.
//
//   PlacementResult result =
//     SimulatePlacement(scenario, TrialPolicy::kWork, seed);
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

enum class TrialPolicy
{
  // The latency factor and the number of requests, as with
  // `forward.placement` = "latency".
  kLatency,
  // The better of two random replicas, by expected completion.
  kTwoChoices,
  // Least expected completion, as with `forward.placement` = "work".
  kWork,
};

// Requests on one route.
struct TrialKind
{
  Duration m_medianWork{};
  // The standard deviation of the logarithm of the work.
  double m_logSpread = 0.1;
  Duration m_targetLatency{};
  // Relative to the other kinds.
  double m_share = 1;
};

struct PlacementScenario
{
  std::string m_name;
  std::vector<TrialKind> m_kinds;
  // The work of all requests relative to what the replicas can do.
  double m_load = 0.5;
  std::vector<double> m_speeds = { 0.8, 1.0, 1.3 };
  uint32_t m_slots = 2;
  size_t m_senders = 2;
  // Whether each replica pauses for 250 ms each 6 s, at its own times.
  bool m_pauses = true;
  // Whether one replica is 8 times slower from 20 s to 30 s.
  bool m_slowPhase = false;
  Duration m_length = Seconds(60);
};

struct PlacementResult
{
  Duration m_p50{};
  Duration m_p99{};
  // The share of the requests that were answered within their target latency.
  double m_inTime = 0;
};

[[nodiscard]] std::vector<PlacementScenario>
PlacementScenarios();

[[nodiscard]] PlacementResult
SimulatePlacement(const PlacementScenario& aScenario,
                  TrialPolicy aPolicy,
                  uint64_t aSeed);

} // namespace ebonykeel
