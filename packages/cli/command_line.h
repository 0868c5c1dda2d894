// The command line of `ebonykeel`, as typed values.
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
  // The service files of `check`, the logs of `explain`.
  std::vector<std::string> m_files;
  // The folder of `publish`, the service of `where` and `file`, the data
  // centre, the upstream, the text of `query`, or the request of `explain`.
  std::string m_subject;
  // "out" or "in"; "drain" or "restore"; the operation of `file`.
  std::string m_operation;
  uint64_t m_generation = 0;
  Endpoint m_adminAddress;
  Endpoint m_publicAddress;
  std::string m_tokenFile;
  std::string m_author;
  // Empty for a random one.
  std::string m_changeId;
  std::optional<uint64_t> m_baseGeneration;
  // How long a change may take to be in force everywhere; 0 does not wait.
  Duration m_inForceTimeout{};
  // The bound of one call.
  Duration m_timeout{};
  std::vector<std::string> m_services;
  std::string m_group;
  uint64_t m_limit = 10;
  // 0 leaves it to the service.
  uint64_t m_deadlineMs = 0;
  std::string m_caller;
  // Empty for a random one.
  std::string m_requestId;
  std::string m_key;
  std::string m_payload;
  std::string m_payloadFile;
  // When the filing was first issued, in Unix milliseconds; 0 for now.
  uint64_t m_issuedAtMs = 0;
  // Where `load` writes its result; empty for nowhere. The rest replaces what
  // the experiment file says.
  std::string m_resultFolder;
  std::optional<double> m_rate;
  std::optional<Duration> m_duration;
};

// Either a command line, or a text to print and how to exit.
struct CommandLineResult
{
  std::optional<CommandLine> m_line;
  std::string m_text;
  ExitCode m_exit = ExitCode::kOk;
};

// Parses the arguments after the program's name.
[[nodiscard]] CommandLineResult
ParseCommandLine(const std::vector<std::string>& aArguments);

// Returns what `--help` prints.
[[nodiscard]] std::string_view
UsageText();

} // namespace ebonykeel::cli
