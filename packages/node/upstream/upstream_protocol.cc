#include "node/upstream/upstream_protocol.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

std::string
HeaderText(const HttpResponse& aResponse, std::string_view aName)
{
  return std::string(FindHeader(aResponse.m_headers, aName).value_or(""));
}

BootId
ReadBootId(const HttpResponse& aResponse)
{
  BootId boot = 0;
  return absl::SimpleAtoi(HeaderText(aResponse, "x-boot-id"), &boot) ? boot : 0;
}

std::vector<IndexVersion>
ReadHeldVersions(const HttpResponse& aResponse)
{
  std::vector<IndexVersion> versions;
  for (absl::string_view item :
       absl::StrSplit(HeaderText(aResponse, "x-index-versions"), ',')) {
    IndexVersion version = 0;
    if (absl::SimpleAtoi(item, &version)) {
      versions.push_back(version);
    }
  }
  return versions;
}

std::string
StringField(const Json& aObject, const char* aKey)
{
  auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

uint64_t
NumberField(const Json& aObject, const char* aKey)
{
  auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<uint64_t>()
           : 0;
}

// Returns the remaining milliseconds to send to the upstream, at least 1.
std::string
DeadlineHeader(Duration aRemaining)
{
  return absl::StrCat(std::max<int64_t>(1, ToMilliseconds(aRemaining)));
}

// Returns the result of a request that got no complete response.
UpstreamResult
ReadFailure(const HttpReply& aReply)
{
  UpstreamResult result{ .m_connection = ConnectionDisposition::kClosed };
  if (aReply.m_progress == HttpProgress::kNotSent) {
    result.m_kind = UpstreamResultKind::kConnectFailed;
    return result;
  }
  switch (aReply.m_status.code()) {
    case absl::StatusCode::kDeadlineExceeded:
      result.m_kind = UpstreamResultKind::kTimeout;
      break;
    case absl::StatusCode::kDataLoss:
      result.m_kind = UpstreamResultKind::kBadAnswer;
      break;
    default:
      result.m_kind = UpstreamResultKind::kReset;
      break;
  }
  return result;
}

MissingReason
ToMissingReason(UpstreamResultKind aKind)
{
  switch (aKind) {
    case UpstreamResultKind::kOk:
      return MissingReason::kNone;
    case UpstreamResultKind::kShed:
      return MissingReason::kShed;
    case UpstreamResultKind::kVersionNotHeld:
      return MissingReason::kVersionNotHeld;
    case UpstreamResultKind::kDraining:
      return MissingReason::kWithdrawn;
    case UpstreamResultKind::kBadAnswer:
      return MissingReason::kBadAnswer;
    case UpstreamResultKind::kTimeout:
    case UpstreamResultKind::kCancelled:
      return MissingReason::kDeadline;
    case UpstreamResultKind::kReset:
    case UpstreamResultKind::kConnectFailed:
      return MissingReason::kUnreachable;
  }
  return MissingReason::kUnreachable;
}

// Returns the result according to the status, the headers and the error code of
// a response. The rest of the body has not been validated yet.
UpstreamResult
ReadStatus(const HttpResponse& aResponse, const Json& aBody)
{
  UpstreamResult result{ .m_kind = UpstreamResultKind::kBadAnswer,
                         .m_bootId = ReadBootId(aResponse),
                         .m_draining = FindHeader(aResponse.m_headers,
                                                  "x-draining") == "1" };
  std::string code = aBody.is_object() ? StringField(aBody, "code") : "";
  bool refused =
    aBody.is_object() && aBody.value("ran", Json(true)) == Json(false);
  if (aResponse.m_status == 200) {
    result.m_kind = UpstreamResultKind::kOk;
  } else if (refused && code == "version_not_held") {
    result.m_kind = UpstreamResultKind::kVersionNotHeld;
  } else if (refused && code == "draining") {
    result.m_kind = UpstreamResultKind::kDraining;
  } else if (refused && code == "shed") {
    result.m_kind = UpstreamResultKind::kShed;
  } else if (refused && code == "deadline") {
    // The request arrived too late to be started, which says nothing about the
    // state of the upstream.
    result.m_kind = UpstreamResultKind::kCancelled;
  }
  return result;
}

std::optional<std::vector<Hit>>
ReadHits(const Json& aBody)
{
  auto found = aBody.find("hits");
  if (found == aBody.end() || !found->is_array()) {
    return std::nullopt;
  }
  std::vector<Hit> hits;
  hits.reserve(found->size());
  for (const Json& entry : *found) {
    bool valid = entry.is_object() && entry.contains("score") &&
                 entry["score"].is_number() &&
                 std::isfinite(entry["score"].get<double>());
    if (!valid) {
      return std::nullopt;
    }
    hits.push_back({ StringField(entry, "document"),
                     entry["score"].get<double>(),
                     StringField(entry, "text") });
  }
  return hits;
}

bool
IsAnswerTo(const Json& aBody, const SubQuery& aSubQuery)
{
  return StringField(aBody, "request_id") == aSubQuery.m_id &&
         StringField(aBody, "service") == aSubQuery.m_service.Text() &&
         StringField(aBody, "shard") == aSubQuery.m_shard.Text() &&
         NumberField(aBody, "index_version") == aSubQuery.m_indexVersion;
}

// Sets the hits of `aAnswer` if `aBody` is complete and answers `aSubQuery`;
// returns false otherwise.
bool
ReadBody(const SubQuery& aSubQuery, const Json& aBody, SubAnswer& aAnswer)
{
  if (!aBody.is_object() || !IsAnswerTo(aBody, aSubQuery)) {
    return false;
  }
  std::optional<std::vector<Hit>> hits = ReadHits(aBody);
  auto whole = aBody.find("whole");
  if (!hits || whole == aBody.end() || !whole->is_boolean()) {
    return false;
  }
  aAnswer.m_hits = std::move(*hits);
  aAnswer.m_whole = whole->get<bool>();
  return true;
}

} // namespace

HttpRequest
MakeSearchRequest(const SubQuery& aSubQuery, Duration aRemaining)
{
  Json body{ { "query", aSubQuery.m_text }, { "limit", aSubQuery.m_limit } };
  return { .m_method = "POST",
           .m_path = "/search",
           .m_headers = { { "content-type", "application/json" },
                          { "x-request-id", aSubQuery.m_id },
                          { "x-deadline-ms", DeadlineHeader(aRemaining) },
                          { "x-index-version",
                            absl::StrCat(aSubQuery.m_indexVersion) },
                          { "x-service", aSubQuery.m_service.Text() },
                          { "x-shard", aSubQuery.m_shard.Text() } },
           .m_body =
             body.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

SearchReply
ReadSearchReply(const SubQuery& aSubQuery, const HttpReply& aReply)
{
  SearchReply reply;
  reply.m_answer.m_id = aSubQuery.m_id;
  reply.m_answer.m_upstream = aSubQuery.m_upstream;
  reply.m_answer.m_shard = aSubQuery.m_shard;
  reply.m_answer.m_indexVersion = aSubQuery.m_indexVersion;
  if (!aReply.m_status.ok()) {
    reply.m_upstreamResult = ReadFailure(aReply);
    reply.m_answer.m_reason = ToMissingReason(reply.m_upstreamResult.m_kind);
    return reply;
  }
  Json body = Json::parse(aReply.m_response.m_body, nullptr, false);
  reply.m_upstreamResult = ReadStatus(aReply.m_response, body);
  reply.m_answer.m_heldVersions = ReadHeldVersions(aReply.m_response);
  bool valid = reply.m_upstreamResult.m_kind != UpstreamResultKind::kOk ||
               ReadBody(aSubQuery, body, reply.m_answer);
  if (!valid) {
    reply.m_upstreamResult.m_kind = UpstreamResultKind::kBadAnswer;
  }
  reply.m_answer.m_reason = ToMissingReason(reply.m_upstreamResult.m_kind);
  return reply;
}

std::string
FilingRequestId(const UpstreamFiling& aRequest)
{
  return absl::StrCat(absl::WebSafeBase64Escape(aRequest.m_caller.Text()),
                      ".",
                      absl::WebSafeBase64Escape(aRequest.m_requestId.Text()));
}

HttpRequest
MakeFilingRequest(const UpstreamFiling& aRequest, Duration aRemaining)
{
  return { .m_method = "POST",
           .m_path = "/file",
           .m_headers = { { "content-type", "application/json" },
                          { "x-request-id", FilingRequestId(aRequest) },
                          { "x-deadline-ms", DeadlineHeader(aRemaining) },
                          { "x-service", aRequest.m_service.Text() },
                          { "x-shard", aRequest.m_shard.Text() },
                          { "x-caller", aRequest.m_caller.Text() },
                          { "x-operation", aRequest.m_operation } },
           .m_body = aRequest.m_payload };
}

UpstreamFilingReply
ReadFilingReply(const UpstreamFiling& aRequest, const HttpReply& aReply)
{
  UpstreamFilingReply reply;
  if (!aReply.m_status.ok()) {
    reply.m_upstreamResult = ReadFailure(aReply);
    reply.m_reason = ToMissingReason(reply.m_upstreamResult.m_kind);
    reply.m_outcome = aReply.m_progress == HttpProgress::kNotSent
                        ? Outcome::kNotRun
                        : Outcome::kUnknown;
    return reply;
  }
  Json body = Json::parse(aReply.m_response.m_body, nullptr, false);
  reply.m_upstreamResult = ReadStatus(aReply.m_response, body);
  reply.m_reason = ToMissingReason(reply.m_upstreamResult.m_kind);
  if (reply.m_upstreamResult.m_kind == UpstreamResultKind::kBadAnswer) {
    return reply;
  }
  if (reply.m_upstreamResult.m_kind != UpstreamResultKind::kOk) {
    reply.m_outcome = Outcome::kNotRun;
    return reply;
  }
  bool valid = body.is_object() &&
               StringField(body, "request_id") == FilingRequestId(aRequest) &&
               StringField(body, "outcome") == "ran";
  if (!valid) {
    reply.m_upstreamResult.m_kind = UpstreamResultKind::kBadAnswer;
    reply.m_reason = MissingReason::kBadAnswer;
    return reply;
  }
  reply.m_outcome = Outcome::kRan;
  auto result = body.find("result");
  if (result != body.end()) {
    reply.m_result =
      result->is_string() ? result->get<std::string>() : result->dump();
  }
  return reply;
}

ProbeResult
ReadProbe(const HttpReply& aReply)
{
  if (!aReply.m_status.ok() || aReply.m_response.m_status != 200) {
    return {};
  }
  Json body = Json::parse(aReply.m_response.m_body, nullptr, false);
  if (!body.is_object()) {
    return {};
  }
  BootId boot = ReadBootId(aReply.m_response);
  return { .m_answered = true,
           .m_bootId = boot != 0 ? boot : NumberField(body, "boot_id"),
           .m_draining = StringField(body, "state") == "draining" };
}

} // namespace ebonykeel
