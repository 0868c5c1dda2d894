#include "core/config/in_force_report.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace ebonykeel {

InForceReport
ReportInForce(Generation aGeneration,
              std::span<const InstanceGeneration> aInstances)
{
  InForceReport report;
  report.m_generation = aGeneration;
  for (const InstanceGeneration& instance : aInstances) {
    if (instance.m_leaving) {
      continue;
    }
    ++report.m_instanceCount;
    if (instance.m_generation >= aGeneration) {
      ++report.m_inForceCount;
    } else {
      report.m_missing.push_back(instance.m_instance);
    }
  }
  std::ranges::sort(report.m_missing);
  return report;
}

std::string
FormatInForce(const InForceReport& aReport)
{
  std::string text = absl::StrCat(
    "in force on ", aReport.m_inForceCount, " of ", aReport.m_instanceCount);
  if (!aReport.m_missing.empty()) {
    auto append = [](std::string* aText, const InstanceId& aId) {
      aText->append(aId.Text());
    };
    absl::StrAppend(
      &text, ", missing: ", absl::StrJoin(aReport.m_missing, ", ", append));
  }
  return text;
}

} // namespace ebonykeel
