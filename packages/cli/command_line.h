// Parses the command line of `ebonykeel` into typed values.
//
//   CommandLineResult result = ParseCommandLine(arguments);
//   if (!result.m_line) {
//     print(result.m_text);
//     return result.m_exit;
//   }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"
#include "core/base/time.h"
#include "runtime/http/message.h"

namespace ebonykeel::cli {

enum class Command
{
  kCheck,
  kPublish,
  kHistory,
  kStatus,
  kWhere,
  kQuery,
  kFile,
  kDataCentre,
  kUpstream,
  kRollback,
  kReport,
  kLoad,
  kExplain,
  kExplainRoute,
};

enum class OutputFormat
{
  kText,
  kJson,
};

struct CommandLine
{
  Command m_command = Command::kCheck;
  OutputFormat m_output = OutputFormat::kText;
  // The service files of `check`, the log files of `explain`, or the experiment
  // file of `load`.
  std::vector<std::string> m_files;
  // The main argument: the folder of `publish`, the service of `where` and
  // `file`, the name of the data centre, the id of the upstream, the text of
  // `query`, the request id of `explain`, or the host of `explain-route`.
  std::string m_subject;
  // "out" or "in" for `data-centre`, "drain" or "restore" for `upstream`, the
  // operation for `file`.
  std::string m_operation;
  uint64_t m_generation = 0;
  Endpoint m_adminAddress;
  Endpoint m_publicAddress;
  Endpoint m_metricsAddress;
  std::string m_tokenFile;
  std::string m_author;
  // Empty to use a random id.
  std::string m_changeId;
  std::optional<uint64_t> m_baseGeneration;
  // How long to wait until a change is in force everywhere; 0 does not wait.
  Duration m_inForceTimeout{};
  // Timeout of one HTTP request.
  Duration m_timeout{};
  std::vector<std::string> m_services;
  std::string m_group;
  uint64_t m_limit = 10;
  // 0 uses the default of the service.
  uint64_t m_deadlineMs = 0;
  std::string m_caller;
  // Empty to use a random id.
  std::string m_requestId;
  std::string m_key;
  std::string m_payload;
  std::string m_payloadFile;
  // When the filing was first issued, in Unix milliseconds; 0 means now.
  uint64_t m_issuedAtMs = 0;
  // The request that `explain-route` asks about, besides its host.
  std::string m_path;
  std::string m_workspace;
  std::optional<uint64_t> m_bodyBytes;
  // The service that `explain-route` shows in detail; empty to show several.
  std::string m_shard;
  // The folder that `load` writes its result to; empty writes no files.
  std::string m_resultFolder;
  // Override the values of the experiment file.
  std::optional<double> m_rate;
  std::optional<Duration> m_duration;
};

// Holds either a parsed command line, or a text to print and an exit code.
struct CommandLineResult
{
  std::optional<CommandLine> m_line;
  std::string m_text;
  ExitCode m_exit = ExitCode::kOk;
};

// Parses the arguments that follow the name of the program.
[[nodiscard]] CommandLineResult
ParseCommandLine(const std::vector<std::string>& aArguments);

// Returns the text that `--help` prints.
[[nodiscard]] std::string_view
UsageText();

} // namespace ebonykeel::cli
