#include "core/forward/forward_result.h"

namespace ebonykeel {

std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      return "success";
    case AttemptOutcome::kFailure:
      return "failure";
    case AttemptOutcome::kNotExecuted:
      return "not-executed";
    case AttemptOutcome::kWrongInstance:
      return "wrong-instance";
    case AttemptOutcome::kNotSent:
      return "not-sent";
    case AttemptOutcome::kBroken:
      return "broken";
  }
  return "broken";
}

std::string_view
AttemptReasonName(AttemptReason aReason)
{
  switch (aReason) {
    case AttemptReason::kFirst:
      return "first";
    case AttemptReason::kHedge:
      return "hedge";
    case AttemptReason::kRetry:
      return "repeat";
  }
  return "first";
}

std::string_view
ForwardStatusName(ForwardStatus aStatus)
{
  switch (aStatus) {
    case ForwardStatus::kWhole:
      return "whole";
    case ForwardStatus::kPartial:
      return "partial";
    case ForwardStatus::kUpstreamFailure:
      return "upstream-failure";
    case ForwardStatus::kRefused:
      return "refused";
    case ForwardStatus::kFailed:
      return "failed";
    case ForwardStatus::kTimedOut:
      return "timed-out";
  }
  return "failed";
}

} // namespace ebonykeel
