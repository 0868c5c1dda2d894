#include "cli/requests.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace ebonykeel::cli {
namespace {

using Json = nlohmann::json;

std::string
Dump(const Json& aBody)
{
  return aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
}

InstanceRequest
MakeAdminRequest(const CommandLine& aLine,
                 const RequestContext& aContext,
                 std::string aMethod,
                 std::string aPath)
{
  InstanceRequest request;
  request.m_endpoint = aLine.m_adminAddress;
  request.m_http.m_method = std::move(aMethod);
  request.m_http.m_path = std::move(aPath);
  if (!aContext.m_token.empty()) {
    request.m_http.m_headers.push_back(
      { "authorization", absl::StrCat("Bearer ", aContext.m_token) });
  }
  return request;
}

void
SetBody(InstanceRequest& aRequest, const Json& aBody)
{
  aRequest.m_http.m_headers.push_back({ "content-type", "application/json" });
  aRequest.m_http.m_body = Dump(aBody);
}

std::string
IdOrRandom(const std::string& aId, const RequestContext& aContext)
{
  return aId.empty() ? aContext.m_randomId : aId;
}

Json
ChangeMetadata(const CommandLine& aLine, const RequestContext& aContext)
{
  return { { "author", aLine.m_author },
           { "change_id", IdOrRandom(aLine.m_changeId, aContext) } };
}

InstanceRequest
MakeChangeRequest(const CommandLine& aLine,
                  const RequestContext& aContext,
                  std::string aMethod,
                  std::string aPath,
                  const Json& aBody)
{
  InstanceRequest request =
    MakeAdminRequest(aLine, aContext, std::move(aMethod), std::move(aPath));
  SetBody(request, aBody);
  request.m_hasEffect = true;
  request.m_changesConfiguration = true;
  return request;
}

InstanceRequest
MakeWhereRequest(const CommandLine& aLine)
{
  InstanceRequest request;
  request.m_endpoint = aLine.m_publicAddress;
  request.m_http.m_path = "/v1/instances";
  request.m_http.m_query =
    absl::StrCat("service=", PercentEncode(aLine.m_subject));
  return request;
}

InstanceRequest
MakeQueryRequest(const CommandLine& aLine, const RequestContext& aContext)
{
  Json body{ { "query", aLine.m_subject },
             { "limit", aLine.m_limit },
             { "caller", aLine.m_caller },
             { "request_id", IdOrRandom(aLine.m_requestId, aContext) } };
  if (aLine.m_group.empty()) {
    body["services"] = aLine.m_services;
  } else {
    body["group"] = aLine.m_group;
  }
  if (aLine.m_deadlineMs > 0) {
    body["deadline_ms"] = aLine.m_deadlineMs;
  }
  InstanceRequest request;
  request.m_endpoint = aLine.m_publicAddress;
  request.m_http.m_method = "POST";
  request.m_http.m_path = "/v1/query";
  SetBody(request, body);
  return request;
}

InstanceRequest
MakeFilingRequest(const CommandLine& aLine, const RequestContext& aContext)
{
  Json body{ { "service", aLine.m_subject },
             { "operation", aLine.m_operation },
             { "caller", aLine.m_caller },
             { "request_id", IdOrRandom(aLine.m_requestId, aContext) },
             { "key", aLine.m_key },
             { "payload", aLine.m_payload },
             { "issued_at_ms",
               aLine.m_issuedAtMs != 0
                 ? static_cast<int64_t>(aLine.m_issuedAtMs)
                 : aContext.m_unixMs } };
  if (aLine.m_deadlineMs > 0) {
    body["deadline_ms"] = aLine.m_deadlineMs;
  }
  InstanceRequest request;
  request.m_endpoint = aLine.m_publicAddress;
  request.m_http.m_method = "POST";
  request.m_http.m_path = "/v1/file";
  request.m_hasEffect = true;
  SetBody(request, body);
  return request;
}

InstanceRequest
MakeRollbackRequest(const CommandLine& aLine, const RequestContext& aContext)
{
  Json body = ChangeMetadata(aLine, aContext);
  body["generation"] = aLine.m_generation;
  return MakeChangeRequest(aLine, aContext, "POST", "/v1/admin/rollback", body);
}

InstanceRequest
MakeExplainRouteRequest(const CommandLine& aLine)
{
  InstanceRequest request;
  request.m_endpoint = aLine.m_metricsAddress;
  request.m_http.m_path = "/explain-route";
  request.m_http.m_query = absl::StrCat("host=",
                                        PercentEncode(aLine.m_subject),
                                        "&path=",
                                        PercentEncode(aLine.m_path));
  auto add = [&request](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      absl::StrAppend(
        &request.m_http.m_query, "&", aName, "=", PercentEncode(aValue));
    }
  };
  add("workspace", aLine.m_workspace);
  add("service", aLine.m_shard);
  if (aLine.m_bodyBytes) {
    add("body_bytes", absl::StrCat(*aLine.m_bodyBytes));
  }
  return request;
}

} // namespace

InstanceRequest
MakeRequest(const CommandLine& aLine, const RequestContext& aContext)
{
  std::string subject = PercentEncode(aLine.m_subject);
  switch (aLine.m_command) {
    case Command::kWhere:
      return MakeWhereRequest(aLine);
    case Command::kQuery:
      return MakeQueryRequest(aLine, aContext);
    case Command::kFile:
      return MakeFilingRequest(aLine, aContext);
    case Command::kDataCentre:
      return MakeChangeRequest(
        aLine,
        aContext,
        "POST",
        absl::StrCat(
          "/v1/admin/data-centres/", subject, "/", aLine.m_operation),
        ChangeMetadata(aLine, aContext));
    case Command::kUpstream:
      return MakeChangeRequest(
        aLine,
        aContext,
        "POST",
        absl::StrCat("/v1/admin/upstreams/", subject, "/", aLine.m_operation),
        ChangeMetadata(aLine, aContext));
    case Command::kRollback:
      return MakeRollbackRequest(aLine, aContext);
    case Command::kHistory:
      return MakeAdminRequest(aLine, aContext, "GET", "/v1/admin/history");
    case Command::kReport:
      return MakeAdminRequest(aLine, aContext, "GET", "/v1/admin/report");
    case Command::kExplainRoute:
      return MakeExplainRouteRequest(aLine);
    case Command::kStatus:
    case Command::kCheck:
    case Command::kPublish:
    case Command::kLoad:
    case Command::kExplain:
      break;
  }
  return MakeStatusRequest(aLine, aContext);
}

InstanceRequest
MakePublishRequest(const CommandLine& aLine,
                   const RequestContext& aContext,
                   std::span<const ServiceFile> aFiles)
{
  Json body = ChangeMetadata(aLine, aContext);
  body["services"] = Json::array();
  for (const ServiceFile& file : aFiles) {
    body["services"].push_back(
      { { "file", file.m_path }, { "text", file.m_text } });
  }
  if (aLine.m_baseGeneration) {
    body["base_generation"] = *aLine.m_baseGeneration;
  }
  return MakeChangeRequest(aLine, aContext, "PUT", "/v1/admin/services", body);
}

InstanceRequest
MakeStatusRequest(const CommandLine& aLine, const RequestContext& aContext)
{
  return MakeAdminRequest(aLine, aContext, "GET", "/v1/admin/status");
}

} // namespace ebonykeel::cli
