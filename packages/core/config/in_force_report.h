// Says on which instances a generation is in force, apart from whether it was
// accepted.
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

// The generation that an instance was last heard to have in force.
struct InstanceGeneration
{
  InstanceId m_instance;
  Generation m_generation = 0;
  // An instance that is leaving does not count.
  bool m_leaving = false;
};

struct InForceReport
{
  Generation m_generation = 0;
  uint32_t m_inForceCount = 0;
  uint32_t m_instanceCount = 0;
  // Sorted.
  std::vector<InstanceId> m_missing;

  [[nodiscard]] bool Everywhere() const
  {
    return m_inForceCount == m_instanceCount;
  }

  friend bool operator==(const InForceReport&, const InForceReport&) = default;
};

// Counts the instances that have `aGeneration` or a later one in force.
[[nodiscard]] InForceReport
ReportInForce(Generation aGeneration,
              std::span<const InstanceGeneration> aInstances);

// Returns "in force on 2 of 3, missing: entry-03".
[[nodiscard]] std::string
FormatInForce(const InForceReport& aReport);

} // namespace ebonykeel
