#include "core/rollout/rollout.h"

namespace ebonykeel {

std::string_view
RolloutStageName(RolloutStage aStage)
{
  switch (aStage) {
    case RolloutStage::kWaiting:
      return "waiting";
    case RolloutStage::kCanary:
      return "canary";
    case RolloutStage::kRamp:
      return "ramp";
    case RolloutStage::kFull:
      return "full";
    case RolloutStage::kCompleted:
      return "completed";
    case RolloutStage::kRolledBack:
      return "rolled-back";
  }
  return "";
}

} // namespace ebonykeel
