// Runs one experiment; the same as `ebonykeel load`.
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>
#include <unistd.h>

#include "load/load_command.h"

namespace ebonykeel {
namespace {

constexpr char kUsage[] =
  R"(Runs an experiment of open-loop load and scheduled faults.

Usage:
  ebonykeel_load [--output=FOLDER] [--json] FILE
  ebonykeel_load --help

Options:
  --output=FOLDER  Where to write result, data and plot scripts [default: ].
  --json           Print the result as JSON.
)";

LoadExit
Run(const std::map<std::string, docopt::value>& aArguments)
{
  Loop loop;
  H2oHttpClient client(loop, { .m_idleTimeout = Seconds(5) });
  LoadCommandOptions options{ .m_experiment = aArguments.at("FILE").asString(),
                              .m_output = aArguments.at("--output").asString(),
                              .m_json = aArguments.at("--json").asBool(),
                              .m_progressBar = isatty(STDERR_FILENO) == 1 };
  return RunLoadCommand(loop, client, options, std::cout, std::cerr);
}

} // namespace
} // namespace ebonykeel

int
main(int aCount, char** aArguments)
{
  return static_cast<int>(ebonykeel::Run(docopt::docopt(
    ebonykeel::kUsage, { aArguments + 1, aArguments + aCount }, true)));
}
