#include "cli/runner.h"

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "cli/explain.h"
#include "cli/text_view.h"
#include "core/base/finding.h"

namespace ebonykeel::cli {
namespace {

using Json = nlohmann::json;

constexpr Duration kPollInterval = Milliseconds(100);
constexpr int kProgressBarWidth = 30;
constexpr char kStandardInput[] = "/dev/stdin";
constexpr int kFirstHttpError = 400;

std::string
Dump(const Json& aValue)
{
  return absl::StrCat(
    aValue.dump(-1, ' ', false, Json::error_handler_t::replace), "\n");
}

Json
FindingJson(const Finding& aFinding)
{
  return { { "file", aFinding.m_place.m_file },
           { "line", aFinding.m_place.m_line },
           { "column", aFinding.m_place.m_column },
           { "key", aFinding.m_key },
           { "problem", aFinding.m_problem },
           { "allowed", aFinding.m_allowed } };
}

uint64_t
NumberAt(const Json& aObject, const char* aKey)
{
  auto found = aObject.is_object() ? aObject.find(aKey) : aObject.end();
  bool number = found != aObject.end() && found->is_number_unsigned();
  return number ? found->get<uint64_t>() : 0;
}

bool
IsInForceEverywhere(const Json& aInForce)
{
  uint64_t total = NumberAt(aInForce, "of");
  return total > 0 && NumberAt(aInForce, "on") >= total;
}

} // namespace

Runner::Runner(InstanceClient& aClient,
               const FileReader& aFiles,
               Console& aConsole,
               absl::BitGenRef aRandom)
  : m_client(aClient)
  , m_files(aFiles)
  , m_console(aConsole)
  , m_random(aRandom)
{
}

ExitCode
Runner::Run(const CommandLine& aLine, int64_t aUnixMs)
{
  if (aLine.m_command == Command::kCheck) {
    return Check(aLine);
  }
  if (aLine.m_command == Command::kExplain) {
    return Explain(aLine);
  }
  std::optional<RequestContext> context = MakeContext(aLine, aUnixMs);
  if (!context) {
    m_console.PrintError(absl::StrCat(aLine.m_tokenFile, ": cannot be read\n"));
    return ExitCode::kUsage;
  }
  if (aLine.m_command == Command::kPublish) {
    return Publish(aLine, *context);
  }
  CommandLine line = aLine;
  if (!aLine.m_payloadFile.empty()) {
    std::optional<std::string> payload = m_files.Read(aLine.m_payloadFile);
    if (!payload) {
      m_console.PrintError(
        absl::StrCat(aLine.m_payloadFile, ": cannot be read\n"));
      return ExitCode::kUsage;
    }
    line.m_payload = *std::move(payload);
  }
  return Send(line, *context, MakeRequest(line, *context));
}

std::optional<RequestContext>
Runner::MakeContext(const CommandLine& aLine, int64_t aUnixMs)
{
  RequestContext context;
  context.m_unixMs = aUnixMs;
  context.m_randomId = absl::StrCat(
    absl::Hex(absl::Uniform<uint64_t>(m_random), absl::kZeroPad16),
    absl::Hex(absl::Uniform<uint64_t>(m_random), absl::kZeroPad16));
  if (aLine.m_tokenFile.empty()) {
    return context;
  }
  std::optional<std::string> text = m_files.Read(aLine.m_tokenFile);
  if (!text) {
    return std::nullopt;
  }
  std::string firstLine = text->substr(0, text->find('\n'));
  context.m_token = std::string(absl::StripAsciiWhitespace(firstLine));
  return context;
}

ExitCode
Runner::Explain(const CommandLine& aLine)
{
  std::vector<std::string> paths = aLine.m_files;
  if (paths.empty()) {
    paths.emplace_back(kStandardInput);
  }
  std::vector<LogText> logs;
  for (const std::string& path : paths) {
    std::optional<std::string> text = m_files.Read(path);
    if (!text) {
      m_console.PrintError(absl::StrCat(path, ": cannot be read\n"));
      return ExitCode::kUsage;
    }
    logs.push_back({ path, *std::move(text) });
  }
  Explanation explanation = ExplainRequest(aLine.m_subject, logs);
  m_console.Print(explanation.m_text);
  return explanation.m_found ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode
Runner::Check(const CommandLine& aLine)
{
  CheckResult checked = CheckFiles(m_files, aLine.m_files);
  if (!checked.m_findings.empty()) {
    return ShowFindings(aLine, checked);
  }
  if (aLine.m_output == OutputFormat::kJson) {
    m_console.Print(Dump({ { "ok", true },
                           { "files", checked.m_files.size() },
                           { "findings", Json::array() } }));
  } else {
    m_console.Print(absl::StrCat(checked.m_files.size(), " files: ok\n"));
  }
  return ExitCode::kOk;
}

ExitCode
Runner::ShowFindings(const CommandLine& aLine, const CheckResult& aChecked)
{
  if (aLine.m_output == OutputFormat::kJson) {
    Json findings = Json::array();
    std::ranges::transform(
      aChecked.m_findings, std::back_inserter(findings), FindingJson);
    m_console.Print(Dump({ { "ok", false },
                           { "files", aChecked.m_files.size() },
                           { "findings", findings } }));
  } else {
    m_console.PrintError(FormatFindings(aChecked.m_findings));
    m_console.PrintError(
      absl::StrCat(aChecked.m_findings.size(), " findings\n"));
  }
  return ExitCode::kRefused;
}

ExitCode
Runner::Publish(const CommandLine& aLine, const RequestContext& aContext)
{
  std::optional<std::vector<std::string>> paths =
    m_files.ListToml(aLine.m_subject);
  if (!paths || paths->empty()) {
    m_console.PrintError(
      absl::StrCat(aLine.m_subject, ": contains no service files (*.toml)\n"));
    return ExitCode::kUsage;
  }
  CheckResult checked = CheckFiles(m_files, *paths);
  if (!checked.m_findings.empty()) {
    return ShowFindings(aLine, checked);
  }
  return Send(
    aLine, aContext, MakePublishRequest(aLine, aContext, checked.m_files));
}

ExitCode
Runner::Send(const CommandLine& aLine,
             const RequestContext& aContext,
             const InstanceRequest& aRequest)
{
  CallResult result =
    m_client.Call(aRequest.m_endpoint, aRequest.m_http, aLine.m_timeout);
  if (result.m_status != CallStatus::kAnswered) {
    return ShowNoAnswer(aLine, aContext, aRequest, result);
  }
  return ShowAnswer(aLine, aContext, aRequest, result.m_response);
}

ExitCode
Runner::ShowNoAnswer(const CommandLine& aLine,
                     const RequestContext& aContext,
                     const InstanceRequest& aRequest,
                     const CallResult& aResult)
{
  bool outcomeUnknown =
    aRequest.m_hasEffect && aResult.m_status == CallStatus::kNoAnswer;
  std::string instance = FormatEndpoint(aRequest.m_endpoint);
  std::string givenId =
    aRequest.m_changesConfiguration ? aLine.m_changeId : aLine.m_requestId;
  std::string id = givenId.empty() ? aContext.m_randomId : givenId;
  if (aLine.m_output == OutputFormat::kJson) {
    m_console.Print(
      Dump({ { "code", outcomeUnknown ? "no_answer" : "unreachable" },
             { "message", aResult.m_problem },
             { "outcome", outcomeUnknown ? "unknown" : "not-run" },
             { "id", id } }));
    return outcomeUnknown ? ExitCode::kUnknown : ExitCode::kUnreachable;
  }
  if (!outcomeUnknown) {
    m_console.PrintError(
      absl::StrCat(instance, ": cannot be reached: ", aResult.m_problem, "\n"));
    return ExitCode::kUnreachable;
  }
  m_console.PrintError(absl::StrCat(
    instance,
    ": no answer: ",
    aResult.m_problem,
    " (outcome: unknown)\nto retry, use ",
    aRequest.m_changesConfiguration ? "--change-id=" : "--request-id=",
    id,
    "\n"));
  return ExitCode::kUnknown;
}

ExitCode
Runner::ShowAnswer(const CommandLine& aLine,
                   const RequestContext& aContext,
                   const InstanceRequest& aRequest,
                   const HttpResponse& aResponse)
{
  Json answer = Json::parse(aResponse.m_body, nullptr, false);
  if (aResponse.m_status >= kFirstHttpError || !answer.is_object()) {
    bool outcomeUnknown =
      aRequest.m_hasEffect &&
      (!answer.is_object() ||
       answer.value("outcome", Json("unknown")) == "unknown");
    if (aLine.m_output == OutputFormat::kJson && answer.is_object()) {
      m_console.Print(Dump(answer));
    } else {
      m_console.PrintError(RenderError(aResponse.m_status, answer));
    }
    return outcomeUnknown ? ExitCode::kUnknown : ExitCode::kRefused;
  }
  if (aRequest.m_changesConfiguration) {
    answer = WaitUntilInForce(aLine, aContext, std::move(answer));
  }
  m_console.Print(aLine.m_output == OutputFormat::kJson
                    ? Dump(answer)
                    : RenderAnswer(aLine.m_command, answer));
  bool mustBeInForce = aRequest.m_changesConfiguration &&
                       aLine.m_inForceTimeout > Duration::zero();
  bool inForce = !mustBeInForce || IsInForceEverywhere(answer["in_force"]);
  return inForce ? ExitCode::kOk : ExitCode::kNotInForce;
}

nlohmann::json
Runner::WaitUntilInForce(const CommandLine& aLine,
                         const RequestContext& aContext,
                         Json aAnswer)
{
  uint64_t generation = NumberAt(aAnswer, "generation");
  TimePoint end = m_client.Now() + aLine.m_inForceTimeout;
  InstanceRequest request = MakeStatusRequest(aLine, aContext);
  while (!IsInForceEverywhere(aAnswer["in_force"]) && m_client.Now() < end) {
    DrawProgress(aAnswer["in_force"]);
    m_client.Pause(kPollInterval);
    CallResult result =
      m_client.Call(request.m_endpoint, request.m_http, aLine.m_timeout);
    Json status = Json::parse(result.m_response.m_body, nullptr, false);
    bool isCurrent = result.m_status == CallStatus::kAnswered &&
                     status.is_object() && status.contains("in_force") &&
                     NumberAt(status, "generation") >= generation;
    if (isCurrent) {
      aAnswer["in_force"] = status["in_force"];
    }
  }
  ClearProgress();
  return aAnswer;
}

void
Runner::DrawProgress(const Json& aInForce)
{
  if (!m_console.IsTerminal()) {
    return;
  }
  uint64_t total = std::max<uint64_t>(NumberAt(aInForce, "of"), 1);
  auto filled = static_cast<size_t>(
    kProgressBarWidth * std::min(NumberAt(aInForce, "on"), total) / total);
  m_console.PrintError(
    absl::StrCat("\r[",
                 std::string(filled, '#'),
                 std::string(kProgressBarWidth - filled, '.'),
                 "] ",
                 RenderInForce(aInForce),
                 "\x1b[K"));
}

void
Runner::ClearProgress()
{
  if (m_console.IsTerminal()) {
    m_console.PrintError("\r\x1b[K");
  }
}

} // namespace ebonykeel::cli
