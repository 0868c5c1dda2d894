// The operators' and developers' tool.
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

#include "absl/random/random.h"

#include "cli/command_line.h"
#include "cli/files.h"
#include "cli/http_node_client.h"
#include "cli/runner.h"

namespace ebonykeel::cli {
namespace {

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
Main(const std::vector<std::string>& aArguments)
{
  CommandLineResult parsed = ParseCommandLine(aArguments);
  if (!parsed.m_line) {
    bool asked = parsed.m_exit == ExitCode::kOk;
    (asked ? std::cout : std::cerr) << parsed.m_text;
    return parsed.m_exit;
  }
  Loop loop;
  H2oHttpClient http(loop, {});
  HttpNodeClient client(loop, http);
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
