// The exit codes of `ebonykeel`.
#pragma once

namespace ebonykeel::cli {

enum class ExitCode
{
  kOk = 0,
  // The request was refused, or a check had findings. Nothing was changed or
  // run.
  kRefused = 1,
  // The command line is invalid, or a file that it names cannot be used.
  kUsage = 2,
  // The instance cannot be reached, or does not answer a request that changes
  // nothing.
  kUnreachable = 3,
  // A change or filing was sent and its outcome is unknown.
  kUnknown = 4,
  // A change was accepted, but was not in force everywhere before the wait
  // ended.
  kNotInForce = 5,
};

} // namespace ebonykeel::cli
