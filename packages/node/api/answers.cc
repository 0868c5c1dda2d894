#include "node/api/answers.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "node/api/api_error.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

Json
CoverageJson(const Coverage& aCoverage)
{
  Json missing = Json::array();
  for (const MissingShard& shard : aCoverage.m_missing) {
    missing.push_back({ { "shard", shard.m_shard.Text() },
                        { "reason", MissingReasonName(shard.m_reason) },
                        { "partial", shard.m_partial } });
  }
  return { { "shards", aCoverage.m_shards },
           { "answered", aCoverage.m_answered },
           { "missing", std::move(missing) } };
}

Json
ServiceJson(const ServiceAnswer& aAnswer)
{
  Json hits = Json::array();
  for (const Hit& hit : aAnswer.m_hits) {
    hits.push_back({ { "document", hit.m_document },
                     { "score", hit.m_score },
                     { "text", hit.m_text } });
  }
  return { { "service", aAnswer.m_service.Text() },
           { "index_version", aAnswer.m_indexVersion },
           { "coverage", CoverageJson(aAnswer.m_coverage) },
           { "hits", std::move(hits) } };
}

int
FilingStatus(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kRan:
      return 200;
    case Outcome::kNotRun:
      return 503;
    case Outcome::kUnknown:
      return 504;
  }
  return 500;
}

} // namespace

HttpResponse
QueryResponse(const QueryAnswer& aAnswer)
{
  Json services = Json::array();
  for (const ServiceAnswer& service : aAnswer.m_services) {
    services.push_back(ServiceJson(service));
  }
  HttpResponse response =
    JsonResponse({ { "request_id", aAnswer.m_requestId.Text() },
                   { "services", std::move(services) },
                   { "whole", aAnswer.Whole() },
                   { "outcome", OutcomeName(aAnswer.m_outcome) } });
  response.m_headers.push_back({ "x-request-id", aAnswer.m_requestId.Text() });
  return response;
}

HttpResponse
FilingResponse(const RequestId& aRequest, const FilingAnswer& aAnswer)
{
  Json body{ { "request_id", aRequest.Text() },
             { "outcome", OutcomeName(aAnswer.m_outcome) },
             { "repeated", aAnswer.m_repeated } };
  if (aAnswer.m_outcome == Outcome::kRan) {
    body["result"] = aAnswer.m_result;
    body["result_kept"] = aAnswer.m_resultKept;
  } else {
    body["code"] = FilingReasonName(aAnswer.m_reason);
    body["message"] = absl::StrCat("the filing is ",
                                   std::string(OutcomeName(aAnswer.m_outcome)));
    body["refusal"] = MissingReasonName(aAnswer.m_refusal);
    body["earlier_unknown"] = aAnswer.m_earlierUnknown;
  }
  HttpResponse response = JsonResponse(body);
  response.m_status = FilingStatus(aAnswer.m_outcome);
  response.m_headers.push_back(
    { "x-outcome", std::string(OutcomeName(aAnswer.m_outcome)) });
  return response;
}

Json
AddressesJson(const RoutingAnswer& aAnswer)
{
  Json addresses = Json::array();
  for (const RoutedAddress& address : aAnswer.m_addresses) {
    addresses.push_back({ { "instance", address.m_instance.Text() },
                          { "address", address.m_publicAddress },
                          { "data_centre", address.m_dataCentre.Text() } });
  }
  return addresses;
}

} // namespace ebonykeel
