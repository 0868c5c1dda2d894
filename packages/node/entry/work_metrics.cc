#include "node/entry/work_metrics.h"

#include <cstddef>
#include <cstdint>

#include "absl/strings/str_cat.h"

namespace ebonykeel {

std::string
RenderWorkRatios(const WorkModel& aModel)
{
  std::string text = "# TYPE ebonykeel_work_ratio histogram\n";
  const WorkModel::RatioCounts& counts = aModel.CountsByRatio();
  uint64_t cumulative = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    cumulative += counts[i];
    std::string bound = i < WorkModel::kRatioBounds.size()
                          ? absl::StrCat(WorkModel::kRatioBounds[i])
                          : "+Inf";
    absl::StrAppend(&text,
                    "ebonykeel_work_ratio_bucket{le=\"",
                    bound,
                    "\"} ",
                    cumulative,
                    "\n");
  }
  absl::StrAppend(&text,
                  "ebonykeel_work_ratio_sum ",
                  aModel.RatioSum(),
                  "\nebonykeel_work_ratio_count ",
                  cumulative,
                  "\n");
  return text;
}

} // namespace ebonykeel
