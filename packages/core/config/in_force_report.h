// Reports on which instances a generation is in force. An accepted generation
// is not yet in force on instances that have not received it.
//
//   InForceReport report = ReportInForce(12, instances);
//   std::string text = FormatInForce(report); // "in force on 14 of 15, ..."
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/base/ids.h"

namespace ebonykeel {

// The generation that an instance last reported to be in force there.
struct InstanceGeneration
{
  InstanceId m_instance;
  Generation m_generation = 0;
  // Instances that are leaving are not counted.
  bool m_leaving = false;
};

struct InForceReport
{
  Generation m_generation = 0;
  // Instances that have the generation, or a later one, in force.
  uint32_t m_inForceCount = 0;
  // All instances that are not leaving.
  uint32_t m_instanceCount = 0;
  // Instances on which the generation is not in force yet, sorted.
  std::vector<InstanceId> m_missing;

  [[nodiscard]] bool Everywhere() const
  {
    return m_inForceCount == m_instanceCount;
  }

  friend bool operator==(const InForceReport&, const InForceReport&) = default;
};

// Counts the instances on which `aGeneration` or a later one is in force.
[[nodiscard]] InForceReport
ReportInForce(Generation aGeneration,
              std::span<const InstanceGeneration> aInstances);

// Returns a line such as "in force on 2 of 3, missing: entry-03".
[[nodiscard]] std::string
FormatInForce(const InForceReport& aReport);

} // namespace ebonykeel
