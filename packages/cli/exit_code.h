// The exit codes of `ebonykeel`.
#pragma once

namespace ebonykeel::cli {

enum class ExitCode
{
  // Done.
  kOk = 0,
  // Refused, or a check had findings. Nothing was changed or run.
  kRefused = 1,
  // The command line is wrong.
  kUsage = 2,
  // The node cannot be reached, or does not answer a request that changes
  // nothing.
  kUnreachable = 3,
  // A change or filing was sent and its outcome is not known.
  kUnknown = 4,
  // A change was accepted, but is not in force everywhere within the bound.
  kNotInForce = 5,
};

} // namespace ebonykeel::cli
