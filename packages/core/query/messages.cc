#include "core/query/messages.h"

namespace ebonykeel {

std::string_view
MissingReasonName(MissingReason aReason)
{
  switch (aReason) {
    case MissingReason::kNone:
      return "none";
    case MissingReason::kDeadline:
      return "deadline";
    case MissingReason::kShed:
      return "shed";
    case MissingReason::kUnreachable:
      return "unreachable";
    case MissingReason::kVersionNotHeld:
      return "version_not_held";
    case MissingReason::kWithdrawn:
      return "withdrawn";
    case MissingReason::kBadAnswer:
      return "bad_answer";
    case MissingReason::kOverloaded:
      return "overloaded";
    case MissingReason::kNoOwner:
      return "no_owner";
  }
  return "none";
}

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace ebonykeel
