// Runs one command: sends its request, prints the answer and returns the exit
// code.
//
//   Runner runner(client, files, console, random);
//   return static_cast<int>(runner.Run(line, unixMs));
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/random/bit_gen_ref.h"

#include "cli/check.h"
#include "cli/command_line.h"
#include "cli/exit_code.h"
#include "cli/files.h"
#include "cli/instance_client.h"
#include "cli/requests.h"

namespace ebonykeel::cli {

// The output streams of the tool.
class Console
{
public:
  virtual ~Console() = default;
  virtual void Print(std::string_view aText) = 0;
  virtual void PrintError(std::string_view aText) = 0;
  // Returns true if errors go to a terminal, where a line can be overwritten.
  [[nodiscard]] virtual bool IsTerminal() const = 0;
};

// The arguments of the constructor must outlive the runner.
class Runner
{
public:
  Runner(InstanceClient& aClient,
         const FileReader& aFiles,
         Console& aConsole,
         absl::BitGenRef aRandom);

  // `aUnixMs` is the wall-clock time in milliseconds since 1970.
  [[nodiscard]] ExitCode Run(const CommandLine& aLine, int64_t aUnixMs);

private:
  ExitCode Check(const CommandLine& aLine);
  ExitCode Explain(const CommandLine& aLine);
  ExitCode Publish(const CommandLine& aLine, const RequestContext& aContext);
  ExitCode Send(const CommandLine& aLine,
                const RequestContext& aContext,
                const InstanceRequest& aRequest);
  ExitCode ShowAnswer(const CommandLine& aLine,
                      const RequestContext& aContext,
                      const InstanceRequest& aRequest,
                      const HttpResponse& aResponse);
  ExitCode ShowNoAnswer(const CommandLine& aLine,
                        const RequestContext& aContext,
                        const InstanceRequest& aRequest,
                        const CallResult& aResult);
  ExitCode ShowFindings(const CommandLine& aLine, const CheckResult& aChecked);
  nlohmann::json WaitUntilInForce(const CommandLine& aLine,
                                  const RequestContext& aContext,
                                  nlohmann::json aAnswer);
  void DrawProgress(const nlohmann::json& aInForce);
  void ClearProgress();
  std::optional<RequestContext> MakeContext(const CommandLine& aLine,
                                            int64_t aUnixMs);

  InstanceClient& m_client;
  const FileReader& m_files;
  Console& m_console;
  absl::BitGenRef m_random;
};

} // namespace ebonykeel::cli
