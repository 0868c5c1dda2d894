// The command `ebonykeel load`: runs an experiment file and writes its result.
//
//   LoadCommandOptions options{ .m_experiment = "stragglers.toml",
//                               .m_output = "results/stragglers" };
//   int exitCode = RunLoadCommand(loop, client, options, std::cout, std::cerr);
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
  // The folder for the result, the data and the plot scripts; made if it is
  // not there. Empty writes none.
  std::string m_output;
  // Prints the result as JSON in place of text.
  bool m_json = false;
  // Draws a progress bar on the error stream.
  bool m_progressBar = false;
  // Take the place of the file's values.
  std::optional<double> m_rate;
  std::optional<Duration> m_duration;
};

enum class LoadExit
{
  kOk = 0,
  // A promise was broken, or no request was answered.
  kFailed = 1,
  // The experiment file or the output folder cannot be used.
  kBadInput = 2,
};

// Runs the loop until the experiment has ended.
[[nodiscard]] LoadExit
RunLoadCommand(Loop& aLoop,
               HttpClient& aClient,
               const LoadCommandOptions& aOptions,
               std::ostream& aOut,
               std::ostream& aError);

// Returns the result in a few lines of text.
[[nodiscard]] std::string
FormatResult(const LoadResult& aResult);

} // namespace ebonykeel
