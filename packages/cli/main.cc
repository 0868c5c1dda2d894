// The command line tool for operators and developers.
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

#include "absl/random/random.h"

#include "cli/command_line.h"
#include "cli/files.h"
#include "cli/http_instance_client.h"
#include "cli/runner.h"
#include "load/load_command.h"

namespace ebonykeel::cli {
namespace {

// An idle connection is closed after this time.
constexpr Duration kIdleTimeout = Seconds(5);

class StandardConsole final : public Console
{
public:
  void Print(std::string_view aText) override { std::cout << aText; }
  void PrintError(std::string_view aText) override
  {
    std::cerr << aText << std::flush;
  }
  [[nodiscard]] bool IsTerminal() const override
  {
    return isatty(STDERR_FILENO) == 1;
  }
};

int64_t
UnixMilliseconds()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

ExitCode
RunLoad(Loop& aLoop, HttpClient& aClient, const CommandLine& aLine)
{
  LoadCommandOptions options{ .m_experiment = aLine.m_files.front(),
                              .m_output = aLine.m_resultFolder,
                              .m_json = aLine.m_output == OutputFormat::kJson,
                              .m_progressBar = isatty(STDERR_FILENO) == 1,
                              .m_rate = aLine.m_rate,
                              .m_duration = aLine.m_duration };
  switch (RunLoadCommand(aLoop, aClient, options, std::cout, std::cerr)) {
    case LoadExit::kOk:
      return ExitCode::kOk;
    case LoadExit::kFailed:
      return ExitCode::kRefused;
    case LoadExit::kBadInput:
      return ExitCode::kUsage;
  }
  return ExitCode::kUsage;
}

ExitCode
Main(const std::vector<std::string>& aArguments)
{
  CommandLineResult parsed = ParseCommandLine(aArguments);
  if (!parsed.m_line) {
    bool requested = parsed.m_exit == ExitCode::kOk;
    (requested ? std::cout : std::cerr) << parsed.m_text;
    return parsed.m_exit;
  }
  Loop loop;
  H2oHttpClient http(loop, { .m_idleTimeout = kIdleTimeout });
  if (parsed.m_line->m_command == Command::kLoad) {
    return RunLoad(loop, http, *parsed.m_line);
  }
  HttpInstanceClient client(loop, http);
  DiskFileReader files;
  StandardConsole console;
  absl::BitGen random;
  Runner runner(client, files, console, random);
  return runner.Run(*parsed.m_line, UnixMilliseconds());
}

} // namespace
} // namespace ebonykeel::cli

int
main(int aCount, char** aArguments)
{
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(ebonykeel::cli::Main(arguments));
}
