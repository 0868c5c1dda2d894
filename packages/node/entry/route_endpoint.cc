#include "node/entry/route_endpoint.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <set>
#include <span>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "core/config/address.h"
#include "runtime/http/message.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr int kOkStatus = 200;
constexpr int kBadRequestStatus = 400;
constexpr int kMethodNotAllowedStatus = 405;
constexpr int kTooManyRequestsStatus = 429;
// The maximum length of a decoded parameter: that of the longest path that is
// worth asking about.
constexpr size_t kMaxParameterBytes = 2048;
// Enough for every parameter at its maximum length, fully percent-encoded.
constexpr size_t kMaxQueryBytes = 32768;
// The maximum number of parts of a split in an answer.
constexpr size_t kMaxSplitParts = 24;
// 1 TiB: no request is longer, and sums with it do not overflow.
constexpr uint64_t kMaxBodyBytes = uint64_t{ 1 } << 40;

bool
HasMalformedEscape(std::string_view aText)
{
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' &&
        (i + 2 >= aText.size() || !absl::ascii_isxdigit(aText[i + 1]) ||
         !absl::ascii_isxdigit(aText[i + 2]))) {
      return true;
    }
  }
  return false;
}

bool
HasControlByte(std::string_view aText)
{
  return std::ranges::any_of(
    aText, [](unsigned char aByte) { return absl::ascii_iscntrl(aByte); });
}

// Reads one parameter into `aQuestion`. Returns the problem, or an empty
// string.
std::string
ReadParameter(RouteQuestion& aQuestion,
              const std::string& aName,
              const std::string& aValue)
{
  const std::array<std::pair<std::string_view, std::string*>, 4> texts{ {
    { "host", &aQuestion.m_host },
    { "path", &aQuestion.m_path },
    { "workspace", &aQuestion.m_workspace },
    { "service", &aQuestion.m_service },
  } };
  for (const auto& [name, text] : texts) {
    if (aName == name) {
      *text = aValue;
      return {};
    }
  }
  if (aName != "body_bytes") {
    return "a parameter is unknown (allowed: host, path, workspace, service, "
           "body_bytes)";
  }
  uint64_t bytes = 0;
  bool isNumber =
    !aValue.empty() &&
    std::ranges::all_of(
      aValue, [](unsigned char aByte) { return absl::ascii_isdigit(aByte); }) &&
    absl::SimpleAtoi(aValue, &bytes) && bytes <= kMaxBodyBytes;
  if (!isNumber) {
    return absl::StrCat("body_bytes is not a whole number from 0 to ",
                        kMaxBodyBytes);
  }
  aQuestion.m_bodyBytes = bytes;
  return {};
}

// Returns the problem of a parameter's encoding, or an empty string.
std::string
CheckEncoding(std::string_view aName,
              std::string_view aEncoded,
              std::string_view aDecoded)
{
  if (HasMalformedEscape(aEncoded)) {
    return absl::StrCat(std::string(aName), " has a malformed percent escape");
  }
  if (aDecoded.size() > kMaxParameterBytes) {
    return absl::StrCat(
      std::string(aName), " is longer than ", kMaxParameterBytes, " bytes");
  }
  if (HasControlByte(aDecoded)) {
    return absl::StrCat(std::string(aName), " contains a control byte");
  }
  return {};
}

// Returns the problem of a question whose parameters could be read, or an empty
// string.
std::string
CheckQuestion(const RouteQuestion& aQuestion)
{
  if (aQuestion.m_host.empty()) {
    return "host is missing";
  }
  if (!aQuestion.m_path.starts_with('/')) {
    return "path is missing or does not start with a slash";
  }
  return {};
}

// Returns milliseconds with three digits after the point.
double
RoundedMs(Duration aDuration)
{
  constexpr double kDigits = 1000;
  return std::round(ToMillisecondsF(aDuration) * kDigits) / kDigits;
}

double
Rounded(double aValue)
{
  constexpr double kDigits = 1000;
  return std::round(aValue * kDigits) / kDigits;
}

// Adds the time until `aUntil`, if there is one.
void
AddRemaining(Json& aObject,
             const char* aKey,
             const std::optional<TimePoint>& aUntil,
             TimePoint aNow)
{
  if (aUntil) {
    aObject[aKey] = RoundedMs(*aUntil - aNow);
  }
}

Json
CandidateJson(const CandidateExplanation& aCandidate,
              bool aPlacesByWork,
              TimePoint aNow)
{
  const Replica& replica = *aCandidate.m_replica;
  const ReplicaStatus& status = aCandidate.m_status;
  Json candidate{ { "id", replica.m_id },
                  { "address", FormatAddress(replica.m_address) },
                  { "data_centre", replica.m_dataCentre.Text() },
                  { "remote", status.m_isRemote },
                  { "version", replica.m_version },
                  { "state", CandidateStateName(aCandidate.m_state) },
                  { "chosen", aCandidate.m_isChosen },
                  { "slots", replica.m_slots },
                  { "in_flight", status.m_inFlight },
                  { "latency_factor", Rounded(status.m_latencyFactor) },
                  { "error_rate", Rounded(status.m_errorRate) },
                  { "predicted_ms", RoundedMs(status.m_predictedLatency) },
                  { "cost_ms", RoundedMs(status.m_cost) } };
  if (aPlacesByWork) {
    candidate["unfinished_work_ms"] = RoundedMs(status.m_unfinishedWork);
  }
  if (status.m_isResuming) {
    candidate["resuming"] = true;
  }
  AddRemaining(candidate, "cold_for_ms", status.m_coldUntil, aNow);
  AddRemaining(
    candidate, "unreachable_for_ms", status.m_unreachableUntil, aNow);
  AddRemaining(
    candidate, "pushing_back_for_ms", status.m_pushesBackUntil, aNow);
  return candidate;
}

Json
ServiceJson(const ServiceExplanation& aService,
            bool aPlacesByWork,
            TimePoint aNow)
{
  Json candidates = Json::array();
  std::ranges::transform(aService.m_candidates,
                         std::back_inserter(candidates),
                         [&](const CandidateExplanation& aCandidate) {
                           return CandidateJson(
                             aCandidate, aPlacesByWork, aNow);
                         });
  Json service{ { "service", aService.m_service },
                { "decision", PartDecisionName(aService.m_decision) },
                { "reason", aService.m_reason },
                { "eligible", aService.m_eligible },
                { "registered", aService.m_registered },
                { "candidates", std::move(candidates) } };
  auto chosen = std::ranges::find_if(aService.m_candidates,
                                     &CandidateExplanation::m_isChosen);
  if (chosen != aService.m_candidates.end()) {
    service["chosen"] = chosen->m_replica->m_id;
  }
  return service;
}

std::string_view
TargetName(RouteTarget aTarget)
{
  switch (aTarget) {
    case RouteTarget::kService:
      return "service";
    case RouteTarget::kSplit:
      return "split";
    case RouteTarget::kShards:
      return "shards";
  }
  return "service";
}

Json
RouteJson(const RouteExplanation& aExplanation)
{
  const Route& route = *aExplanation.m_route;
  Json json{ { "name", route.m_name },
             { "host", route.m_host },
             { "path_prefix", route.m_pathPrefix },
             { "target", TargetName(route.m_target) },
             { "public", route.m_isPublic },
             { "idempotent", route.m_idempotent },
             { "target_latency_ms", RoundedMs(route.m_targetLatency) },
             { "timeout_ms", RoundedMs(route.m_timeout) } };
  if (!aExplanation.m_splitService.empty()) {
    json["split_service"] = aExplanation.m_splitService;
    size_t shown = std::min(route.m_split.size(), kMaxSplitParts);
    for (const SplitPart& part : std::span(route.m_split).first(shown)) {
      json["split"].push_back(
        { { "service", part.m_service }, { "weight", part.m_weight } });
    }
  }
  return json;
}

Json
WorkspaceJson(const WorkspaceExplanation& aWorkspace)
{
  Json quota{ { "rate_per_s", aWorkspace.m_ratePerSecond },
              { "burst", aWorkspace.m_burst } };
  if (aWorkspace.m_ratePerSecond <= 0) {
    quota["left"] = "unlimited";
  } else if (aWorkspace.m_tokensHeld) {
    quota["left"] = *aWorkspace.m_tokensHeld;
  } else {
    quota["left"] = "unknown";
  }
  return { { "name", aWorkspace.m_name }, { "quota", std::move(quota) } };
}

Json
AdmissionJson(const AdmissionExplanation& aAdmission)
{
  Json json{ { "decision", AdmissionDecisionName(aAdmission.m_decision) } };
  if (aAdmission.m_decision == AdmissionDecision::kRefused) {
    json["status"] = aAdmission.m_status;
    json["reason"] = aAdmission.m_reason;
  }
  if (aAdmission.m_retryAfter) {
    json["retry_after_ms"] = RoundedMs(*aAdmission.m_retryAfter);
  }
  if (aAdmission.m_decision == AdmissionDecision::kWaits) {
    json["max_wait_ms"] = RoundedMs(aAdmission.m_maxWait);
  }
  return json;
}

Json
SummaryJson(const PartsSummary& aSummary)
{
  Json json{ { "services", aSummary.m_services },
             { "required", aSummary.m_required },
             { "with_candidate", aSummary.m_withEligible },
             { "sent", aSummary.m_sent },
             { "waiting", aSummary.m_waiting },
             { "unavailable", aSummary.m_unavailable } };
  if (!aSummary.m_slowest.empty()) {
    json["slowest"] = { { "service", aSummary.m_slowest },
                        { "predicted_ms",
                          RoundedMs(aSummary.m_slowestPredicted) } };
  }
  return json;
}

Json
ExplanationJson(const RouteExplanation& aExplanation,
                const RouteEndpointInstance& aInstance,
                TimePoint aNow)
{
  Json json{ { "instance", aInstance.m_id },
             { "data_centre", aInstance.m_dataCentre.Text() },
             { "version", aExplanation.m_routes->Config()->m_version },
             { "starting", aExplanation.m_isStarting },
             { "placement", aExplanation.m_placesByWork ? "work" : "latency" },
             { "typical_ms", RoundedMs(aExplanation.m_typical) },
             { "route", RouteJson(aExplanation) },
             { "priority", aExplanation.m_priority },
             { "admission", AdmissionJson(aExplanation.m_admission) },
             { "summary", SummaryJson(aExplanation.m_summary) },
             { "services", Json::array() } };
  if (aExplanation.m_workspace) {
    json["workspace"] = WorkspaceJson(*aExplanation.m_workspace);
  }
  for (const ServiceExplanation& service : aExplanation.m_services) {
    json["services"].push_back(
      ServiceJson(service, aExplanation.m_placesByWork, aNow));
  }
  return json;
}

Http1Response
JsonResponse(int aStatus, std::string aBody)
{
  return { .m_status = aStatus,
           .m_headers = { { "Content-Type", "application/json" } },
           .m_body = std::move(aBody) };
}

std::string
RenderProblem(std::string_view aCode, std::string_view aMessage)
{
  // Texts from the store or the request need not be UTF-8.
  return Json{ { "code", aCode }, { "message", aMessage } }.dump(
    -1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

RouteQuestionResult
ReadRouteQuestion(std::string_view aQuery)
{
  if (aQuery.size() > kMaxQueryBytes) {
    return { .m_problem = "the parameters are too long" };
  }
  RouteQuestion question;
  std::set<std::string> seen;
  absl::string_view query(aQuery.data(), aQuery.size());
  for (absl::string_view pair : absl::StrSplit(query, '&', absl::SkipEmpty())) {
    std::string text(pair);
    std::string name = text.substr(0, text.find('='));
    // An unknown name is not repeated in the message: it may be anything.
    std::string value = QueryParameter(text, name).value_or("");
    std::string encoded =
      name.size() < text.size() ? text.substr(name.size() + 1) : std::string();
    std::string problem = ReadParameter(question, name, value);
    if (problem.empty()) {
      problem = CheckEncoding(name, encoded, value);
    }
    if (problem.empty() && !seen.insert(name).second) {
      problem = absl::StrCat(name, " occurs twice");
    }
    if (!problem.empty()) {
      return { .m_problem = std::move(problem) };
    }
  }
  std::string problem = CheckQuestion(question);
  if (!problem.empty()) {
    return { .m_problem = std::move(problem) };
  }
  question.m_path = std::string(PathOf(question.m_path));
  return { .m_question = std::move(question) };
}

bool
QuestionLimit::Admit(TimePoint aNow)
{
  if (m_admitted.Available(aNow) >= kMaxPerSecond) {
    return false;
  }
  m_admitted.Add(1, aNow);
  return true;
}

std::string
RenderRouteAnswer(const RouteAnswer& aAnswer,
                  const RouteEndpointInstance& aInstance,
                  TimePoint aNow)
{
  if (!aAnswer.m_explanation) {
    return RenderProblem(aAnswer.m_problem.m_code, aAnswer.m_problem.m_message);
  }
  return ExplanationJson(*aAnswer.m_explanation, aInstance, aNow)
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Http1Response
AnswerExplainRoute(
  const Http1Request& aRequest,
  const RouteEndpointInstance& aInstance,
  QuestionLimit& aLimit,
  TimePoint aNow,
  const std::function<RouteAnswer(const RouteQuestion&)>& aExplain)
{
  if (aRequest.m_method != "GET") {
    Http1Response response =
      JsonResponse(kMethodNotAllowedStatus,
                   RenderProblem("method-not-allowed", "only GET is allowed"));
    response.m_headers.push_back({ "Allow", "GET" });
    return response;
  }
  RouteQuestionResult read = ReadRouteQuestion(QueryOf(aRequest.m_target));
  if (!read.m_question) {
    return JsonResponse(kBadRequestStatus,
                        RenderProblem("bad-parameter", read.m_problem));
  }
  if (!aLimit.Admit(aNow)) {
    return JsonResponse(
      kTooManyRequestsStatus,
      RenderProblem("too-many-questions",
                    "the instance answers a bounded number of questions a "
                    "second"));
  }
  RouteAnswer answer = aExplain(*read.m_question);
  int status = answer.m_explanation ? kOkStatus : answer.m_problem.m_status;
  return JsonResponse(status, RenderRouteAnswer(answer, aInstance, aNow));
}

} // namespace ebonykeel
