#include "cli/text_view.h"

#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "cli/json_text.h"
#include "cli/route_view.h"
#include "core/base/finding.h"

namespace ebonykeel::cli {
namespace {

using Json = nlohmann::json;

std::string
JoinArray(const Json& aArray)
{
  std::string text;
  if (aArray.is_array()) {
    for (const Json& entry : aArray) {
      absl::StrAppend(&text, text.empty() ? "" : ", ", Scalar(entry));
    }
  }
  return text.empty() ? "none" : text;
}

std::string
RenderChange(const Json& aAnswer)
{
  return absl::StrCat("accepted: generation ",
                      Text(aAnswer, "generation"),
                      "\n",
                      RenderInForce(Member(aAnswer, "in_force")),
                      "\n");
}

std::string
RenderHistory(const Json& aAnswer)
{
  return RenderEach(aAnswer, "history", [](const Json& aEntry) {
    return absl::StrFormat("%6s  %-16s %s  (%s)\n",
                           Text(aEntry, "generation"),
                           Text(aEntry, "author"),
                           Text(aEntry, "summary"),
                           Text(aEntry, "change_id"));
  });
}

std::string
RenderStatus(const Json& aAnswer)
{
  std::string text =
    absl::StrCat("instance ",
                 Text(aAnswer, "id"),
                 " is ",
                 Text(aAnswer, "state"),
                 "\ngeneration ",
                 Text(aAnswer, "generation"),
                 " with ",
                 Text(aAnswer, "services"),
                 " services, ",
                 RenderInForce(Member(aAnswer, "in_force")),
                 "\ndata centres out: ",
                 JoinArray(Member(aAnswer, "data_centres_out")),
                 "\nupstreams drained: ",
                 JoinArray(Member(aAnswer, "upstreams_drained")),
                 "\n");
  return text + RenderEach(aAnswer, "members", [](const Json& aMember) {
           bool suspected = Member(aMember, "suspected") == Json(true);
           return absl::StrFormat("  %-16s %-12s %-8s generation %s  %s%s\n",
                                  Text(aMember, "id"),
                                  Text(aMember, "data_centre"),
                                  Text(aMember, "state"),
                                  Text(aMember, "generation"),
                                  Text(aMember, "public_address"),
                                  suspected ? "  suspected" : "");
         });
}

std::string
RenderAddresses(const Json& aAnswer)
{
  return RenderEach(aAnswer,
                    "addresses",
                    [](const Json& aAddress) {
                      return absl::StrFormat("%-22s %-16s %s\n",
                                             Text(aAddress, "address"),
                                             Text(aAddress, "data_centre"),
                                             Text(aAddress, "instance"));
                    }) +
         absl::StrCat("keep for ", Text(aAnswer, "lifetime_ms"), " ms\n");
}

std::string
RenderService(const Json& aService)
{
  const Json& coverage = Member(aService, "coverage");
  std::string missing = RenderEach(coverage, "missing", [](const Json& aShard) {
    return absl::StrCat(
      ", missing ", Text(aShard, "shard"), " (", Text(aShard, "reason"), ")");
  });
  std::string text = absl::StrCat(Text(aService, "service"),
                                  ": index version ",
                                  Text(aService, "index_version"),
                                  ", ",
                                  Text(coverage, "answered"),
                                  " of ",
                                  Text(coverage, "shards"),
                                  " shards",
                                  missing,
                                  "\n");
  return text + RenderEach(aService, "hits", [](const Json& aHit) {
           return absl::StrFormat("  %-10s %s  %s\n",
                                  Text(aHit, "score"),
                                  Text(aHit, "document"),
                                  Text(aHit, "text"));
         });
}

std::string
RenderQuery(const Json& aAnswer)
{
  bool whole = Member(aAnswer, "whole") == Json(true);
  return absl::StrCat(RenderEach(aAnswer, "services", RenderService),
                      whole ? "whole" : "partial",
                      ", request ",
                      Text(aAnswer, "request_id"),
                      "\n");
}

std::string
RenderFiling(const Json& aAnswer)
{
  bool repeated = Member(aAnswer, "repeated") == Json(true);
  std::string text =
    absl::StrCat(Text(aAnswer, "outcome"),
                 repeated ? " (earlier, under this request id)" : "",
                 ", request ",
                 Text(aAnswer, "request_id"),
                 "\n");
  std::string result = Text(aAnswer, "result");
  return result.empty() ? text : absl::StrCat(text, result, "\n");
}

std::string
RenderReport(const Json& aAnswer)
{
  std::string text = Text(aAnswer, "text");
  return text.empty() ? absl::StrCat(aAnswer.dump(2), "\n") : text;
}

uint32_t
Position(const Json& aFinding, const char* aKey)
{
  const Json& value = Member(aFinding, aKey);
  return value.is_number_unsigned() ? value.get<uint32_t>() : 0;
}

std::string
RenderFinding(const Json& aFinding)
{
  Finding finding{ .m_place = { Text(aFinding, "file"),
                                Position(aFinding, "line"),
                                Position(aFinding, "column") },
                   .m_key = Text(aFinding, "key"),
                   .m_problem = Text(aFinding, "problem"),
                   .m_allowed = Text(aFinding, "allowed") };
  return absl::StrCat(FormatFinding(finding), "\n");
}

} // namespace

std::string
RenderAnswer(Command aCommand, const Json& aAnswer)
{
  switch (aCommand) {
    case Command::kPublish:
    case Command::kDataCentre:
    case Command::kUpstream:
    case Command::kRollback:
      return RenderChange(aAnswer);
    case Command::kHistory:
      return RenderHistory(aAnswer);
    case Command::kStatus:
      return RenderStatus(aAnswer);
    case Command::kWhere:
      return RenderAddresses(aAnswer);
    case Command::kQuery:
      return RenderQuery(aAnswer);
    case Command::kFile:
      return RenderFiling(aAnswer);
    case Command::kReport:
      return RenderReport(aAnswer);
    case Command::kExplainRoute:
      return RenderRoute(aAnswer);
    case Command::kCheck:
    case Command::kLoad:
    case Command::kExplain:
      break;
  }
  return {};
}

std::string
RenderError(int aStatus, const Json& aAnswer)
{
  std::string findings = RenderEach(aAnswer, "findings", RenderFinding);
  std::string code = Text(aAnswer, "code");
  std::string outcome = Text(aAnswer, "outcome");
  std::string message = findings.empty() ? Text(aAnswer, "message") : "";
  return absl::StrCat(findings,
                      "error: ",
                      code.empty() ? absl::StrCat("HTTP ", aStatus) : code,
                      message.empty() ? "" : ": ",
                      message,
                      outcome.empty() ? "" : " (outcome: ",
                      outcome,
                      outcome.empty() ? "\n" : ")\n");
}

std::string
RenderInForce(const Json& aInForce)
{
  std::string text = absl::StrCat(
    "in force on ", Text(aInForce, "on"), " of ", Text(aInForce, "of"));
  const Json& missing = Member(aInForce, "missing");
  if (missing.is_array() && !missing.empty()) {
    absl::StrAppend(&text, ", missing: ", JoinArray(missing));
  }
  return text;
}

} // namespace ebonykeel::cli
