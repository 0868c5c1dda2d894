#include "cli/command_line.h"

#include <map>

#include <docopt/docopt.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace ebonykeel::cli {
namespace {

constexpr char kVersion[] = "ebonykeel 0.1.0";

constexpr char kUsage[] = R"(Checks, publishes, queries and operates ebonykeel.

Usage:
  ebonykeel check FILE... [options]
  ebonykeel publish FOLDER [options]
  ebonykeel history [options]
  ebonykeel status [options]
  ebonykeel where SERVICE [options]
  ebonykeel query TEXT (--service=NAME... | --group=NAME) [options]
  ebonykeel file SERVICE OPERATION [options]
  ebonykeel data-centre (out | in) NAME [options]
  ebonykeel upstream (drain | restore) ID [options]
  ebonykeel rollback GENERATION [options]
  ebonykeel report [options]
  ebonykeel load FILE [options]
  ebonykeel explain ID [FILE...] [options]
  ebonykeel explain-route HOST PATH [options]
  ebonykeel --help
  ebonykeel --version

Commands:
  check        Check service files without contacting an instance.
  publish      Check the service files (*.toml) of a folder and publish them.
  history      Show the changes of the configuration, newest first.
  status       Show the state of an instance and the configuration in force.
  where        Show which addresses to use for a service or group.
  query        Query the named services, or every service of a group.
  file         Run an operation at most once.
  data-centre  Take a data centre out of service, or back in.
  upstream     Drain an upstream, or restore it.
  rollback     Publish the services of an earlier generation again.
  report       Show the service-level burn of each service and its causes.
  load         Run an experiment file: open-loop load with scheduled faults.
  explain      Explain, from the logs of instances (or standard input), how a
               request in forward mode ended.
  explain-route  Ask an instance in forward mode where a request to HOST and PATH
               would go now and why, without sending it.

Options:
  --admin=HOST:PORT    Administration address of an instance [default: 127.0.0.1:7002].
  --node=HOST:PORT     Public address of an instance [default: 127.0.0.1:7001].
  --metrics=HOST:PORT  Metrics address of an instance in forward mode
                       [default: 127.0.0.1:9464].
  --token-file=FILE    File with the token of the administration address.
  --author=NAME        Author of the change [default: operator].
  --change-id=ID       Id of the change; use the same id to retry it.
  --base=GENERATION    Publish only if this generation is the current one.
  --wait=SECONDS       How long to wait until a change is in force everywhere;
                       0 does not wait [default: 10].
  --timeout=SECONDS    Timeout of one HTTP request [default: 15].
  --service=NAME       Service to query; may be repeated.
  --group=NAME         Query every service of this group.
  --limit=N            Maximum number of hits from each service [default: 10].
  --deadline-ms=N      Deadline of the request; 0 uses the service's default
                       [default: 0].
  --caller=NAME        Name of the caller [default: ebonykeel].
  --request-id=ID      Id of the request; use the same id to retry it.
  --key=KEY            Key of the filing.
  --payload=TEXT       Payload of the filing.
  --payload-file=FILE  File with the payload of the filing.
  --issued-at-ms=N     When the filing was first issued, in Unix milliseconds;
                       use the same time to retry it; 0 means now [default: 0].
  --workspace=NAME     Workspace of the request; its name, never a key.
  --body-bytes=N       Size of the request's body.
  --shard=NAME         Service of the route to show in detail.
  --result=FOLDER      Folder that load writes its result, data and plot
                       scripts to.
  --rate=N             Requests per second; overrides the experiment file.
  --duration=SECONDS   Duration; overrides the experiment file.
  --output=FORMAT      text or json [default: text].
  -h --help            Show this text.
  --version            Show the version.

Exit codes:
  0  success
  1  refused, or findings were reported; nothing was changed or run
  2  invalid command line or input
  3  the instance cannot be reached
  4  sent, but the outcome is unknown
  5  accepted, but not in force everywhere before the wait ended
)";

using Values = std::map<std::string, docopt::value>;

constexpr double kMaxSeconds = 3600;

std::string
TextOf(const Values& aValues, const std::string& aName)
{
  auto found = aValues.find(aName);
  bool given = found != aValues.end() && found->second.isString();
  return given ? found->second.asString() : std::string();
}

std::vector<std::string>
ListOf(const Values& aValues, const std::string& aName)
{
  auto found = aValues.find(aName);
  bool given = found != aValues.end() && found->second.isStringList();
  return given ? found->second.asStringList() : std::vector<std::string>();
}

bool
IsSet(const Values& aValues, const std::string& aName)
{
  auto found = aValues.find(aName);
  return found != aValues.end() && found->second.isBool() &&
         found->second.asBool();
}

// Converts the values from docopt to a CommandLine and collects the errors.
class Reader
{
public:
  explicit Reader(const Values& aValues)
    : m_values(aValues)
  {
  }

  CommandLineResult Read()
  {
    ReadCommand();
    ReadNumbers();
    m_line.m_files = ListOf(m_values, "FILE");
    m_line.m_tokenFile = TextOf(m_values, "--token-file");
    m_line.m_author = TextOf(m_values, "--author");
    m_line.m_changeId = TextOf(m_values, "--change-id");
    m_line.m_services = ListOf(m_values, "--service");
    m_line.m_group = TextOf(m_values, "--group");
    m_line.m_caller = TextOf(m_values, "--caller");
    m_line.m_requestId = TextOf(m_values, "--request-id");
    m_line.m_key = TextOf(m_values, "--key");
    m_line.m_payload = TextOf(m_values, "--payload");
    m_line.m_payloadFile = TextOf(m_values, "--payload-file");
    m_line.m_adminAddress = EndpointOf("--admin");
    m_line.m_publicAddress = EndpointOf("--node");
    m_line.m_metricsAddress = EndpointOf("--metrics");
    m_line.m_path = TextOf(m_values, "PATH");
    m_line.m_workspace = TextOf(m_values, "--workspace");
    m_line.m_shard = TextOf(m_values, "--shard");
    ReadOutput();
    if (!m_errors.empty()) {
      return { std::nullopt, m_errors, ExitCode::kUsage };
    }
    return { m_line, "", ExitCode::kOk };
  }

private:
  struct CommandSpec
  {
    const char* m_name;
    Command m_command;
    const char* m_subject;
  };

  void ReadCommand()
  {
    constexpr CommandSpec kCommands[] = {
      { "check", Command::kCheck, "" },
      { "publish", Command::kPublish, "FOLDER" },
      { "history", Command::kHistory, "" },
      { "status", Command::kStatus, "" },
      { "where", Command::kWhere, "SERVICE" },
      { "query", Command::kQuery, "TEXT" },
      { "file", Command::kFile, "SERVICE" },
      { "data-centre", Command::kDataCentre, "NAME" },
      { "upstream", Command::kUpstream, "ID" },
      { "rollback", Command::kRollback, "" },
      { "report", Command::kReport, "" },
      { "load", Command::kLoad, "" },
      { "explain", Command::kExplain, "ID" },
      { "explain-route", Command::kExplainRoute, "HOST" },
    };
    for (const CommandSpec& spec : kCommands) {
      if (IsSet(m_values, spec.m_name)) {
        m_line.m_command = spec.m_command;
        m_line.m_subject = TextOf(m_values, spec.m_subject);
      }
    }
    m_line.m_operation = TextOf(m_values, "OPERATION");
    for (const char* operation : { "out", "in", "drain", "restore" }) {
      if (IsSet(m_values, operation)) {
        m_line.m_operation = operation;
      }
    }
  }

  void ReadNumbers()
  {
    if (m_line.m_command == Command::kRollback) {
      m_line.m_generation = NumberOf("GENERATION");
    }
    if (!TextOf(m_values, "--base").empty()) {
      m_line.m_baseGeneration = NumberOf("--base");
    }
    m_line.m_limit = NumberOf("--limit");
    m_line.m_deadlineMs = NumberOf("--deadline-ms");
    m_line.m_issuedAtMs = NumberOf("--issued-at-ms");
    if (!TextOf(m_values, "--body-bytes").empty()) {
      m_line.m_bodyBytes = NumberOf("--body-bytes");
    }
    m_line.m_resultFolder = TextOf(m_values, "--result");
    if (!TextOf(m_values, "--rate").empty()) {
      m_line.m_rate = static_cast<double>(NumberOf("--rate"));
    }
    if (!TextOf(m_values, "--duration").empty()) {
      m_line.m_duration = SecondsOf("--duration", 0.001);
    }
    m_line.m_inForceTimeout = SecondsOf("--wait", 0);
    m_line.m_timeout = SecondsOf("--timeout", 0.001);
  }

  void ReadOutput()
  {
    std::string output = TextOf(m_values, "--output");
    if (output == "json") {
      m_line.m_output = OutputFormat::kJson;
    } else if (output != "text") {
      Report("--output", output, "text or json");
    }
  }

  uint64_t NumberOf(const std::string& aName)
  {
    std::string text = TextOf(m_values, aName);
    uint64_t number = 0;
    if (!absl::SimpleAtoi(text, &number)) {
      Report(aName, text, "a whole number");
    }
    return number;
  }

  Duration SecondsOf(const std::string& aName, double aMin)
  {
    std::string text = TextOf(m_values, aName);
    double seconds = 0;
    bool valid = absl::SimpleAtod(text, &seconds) && seconds >= aMin &&
                 seconds <= kMaxSeconds;
    if (!valid) {
      Report(aName, text, absl::StrCat(aMin, " to ", kMaxSeconds, " seconds"));
      return {};
    }
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  }

  Endpoint EndpointOf(const std::string& aName)
  {
    std::string text = TextOf(m_values, aName);
    std::optional<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint) {
      Report(aName, text, "an IP address and a port");
    }
    return endpoint.value_or(Endpoint{});
  }

  void Report(const std::string& aName,
              const std::string& aText,
              const std::string& aAllowed)
  {
    absl::StrAppend(
      &m_errors, aName, ": is \"", aText, "\" (allowed: ", aAllowed, ")\n");
  }

  const Values& m_values;
  CommandLine m_line;
  std::string m_errors;
};

} // namespace

CommandLineResult
ParseCommandLine(const std::vector<std::string>& aArguments)
{
  try {
    return Reader(docopt::docopt_parse(kUsage, aArguments, true, true)).Read();
  } catch (const docopt::DocoptExitHelp&) {
    return { std::nullopt, kUsage, ExitCode::kOk };
  } catch (const docopt::DocoptExitVersion&) {
    return { std::nullopt, absl::StrCat(kVersion, "\n"), ExitCode::kOk };
  } catch (const docopt::DocoptArgumentError&) {
    return { std::nullopt,
             "ebonykeel: invalid command line; see ebonykeel --help\n",
             ExitCode::kUsage };
  }
}

std::string_view
UsageText()
{
  return kUsage;
}

} // namespace ebonykeel::cli
