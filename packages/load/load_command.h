// The command `ebonykeel load`: runs an experiment and writes its result.
//
//   LoadCommandOptions options{ .m_experiment = "stragglers.toml",
//                               .m_output = "results/stragglers" };
//   LoadExit exit =
//     RunLoadCommand(loop, client, options, std::cout, std::cerr);
#pragma once

#include <optional>
#include <ostream>
#include <string>

#include "load/load_result.h"
#include "load/load_runner.h"
#include "runtime/http/client.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {

struct LoadCommandOptions
{
  // The path of the experiment file.
  std::string m_experiment;
  // The folder for the result, the data and the plot scripts; created if it
  // does not exist. Empty writes no files.
  std::string m_output;
  // Prints the result as JSON instead of text.
  bool m_json = false;
  // Draws a progress bar on the error stream.
  bool m_progressBar = false;
  // Override the values of the experiment file.
  std::optional<double> m_rate;
  std::optional<Duration> m_duration;
};

enum class LoadExit
{
  kOk = 0,
  // A guarantee was violated, or no request was answered.
  kFailed = 1,
  // The experiment file or the output folder cannot be used.
  kBadInput = 2,
};

// Runs the experiment and the event loop until the experiment has ended.
[[nodiscard]] LoadExit
RunLoadCommand(Loop& aLoop,
               HttpClient& aClient,
               const LoadCommandOptions& aOptions,
               std::ostream& aOut,
               std::ostream& aError);

// Returns a summary of the result as a few lines of text.
[[nodiscard]] std::string
FormatResult(const LoadResult& aResult);

} // namespace ebonykeel
