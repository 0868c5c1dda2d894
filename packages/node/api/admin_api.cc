#include "node/api/admin_api.h"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>

#include "absl/random/distributions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/config/service_file.h"
#include "node/api/api_error.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxHistoryEntries = 50;

Json
FindingsJson(std::span<const Finding> aFindings)
{
  Json findings = Json::array();
  for (const Finding& finding : aFindings) {
    findings.push_back({ { "file", finding.m_place.m_file },
                         { "line", finding.m_place.m_line },
                         { "column", finding.m_place.m_column },
                         { "key", finding.m_key },
                         { "problem", finding.m_problem },
                         { "allowed", finding.m_allowed } });
  }
  return findings;
}

HttpResponse
RefusedChangeResponse(const ChangeReply& aReply)
{
  std::string_view code = "invalid";
  int status = 400;
  if (aReply.m_refusal == ChangeRefusal::kNoChange) {
    code = "no_change";
    status = 409;
  } else if (aReply.m_refusal == ChangeRefusal::kNotFound) {
    code = "not_found";
    status = 404;
  }
  return ErrorResponse(
    { .m_status = status,
      .m_code = code,
      .m_message = FormatFindings(aReply.m_findings),
      .m_details = { { "findings", FindingsJson(aReply.m_findings) },
                     { "generation", aReply.m_generation } } });
}

HttpResponse
FailedChangeResponse(const ChangeReply& aReply)
{
  switch (aReply.m_outcome) {
    case ChangeOutcome::kConflict:
      return ErrorResponse(
        { .m_status = 409,
          .m_code = "conflict",
          .m_message = "another change was accepted first",
          .m_details = { { "generation", aReply.m_generation } } });
    case ChangeOutcome::kUnknown:
      return ErrorResponse(
        { .m_status = 504,
          .m_code = "unknown",
          .m_message = "the store did not answer; look at the history before "
                       "trying again",
          .m_outcome = Outcome::kUnknown });
    default:
      return ErrorResponse({ .m_status = 503,
                             .m_code = ChangeOutcomeName(aReply.m_outcome),
                             .m_message = "nothing was changed" });
  }
}

std::pair<std::string, std::string>
SplitLastSegment(std::string_view aPath)
{
  size_t slash = aPath.rfind('/');
  if (slash == std::string_view::npos) {
    return { std::string(aPath), "" };
  }
  return { std::string(aPath.substr(0, slash)),
           std::string(aPath.substr(slash + 1)) };
}

HttpResponse
NotFound()
{
  return ErrorResponse(
    { .m_status = 404, .m_code = "not_found", .m_message = "no such path" });
}

Json
ParseObject(const std::string& aText)
{
  Json body = Json::parse(aText, nullptr, false);
  return body.is_object() ? body : Json::object();
}

std::string
StringField(const Json& aBody, const char* aKey)
{
  auto found = aBody.find(aKey);
  return found != aBody.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

// Parses the service files of a publication. Appends the findings of all files
// to `aFindings`.
Publication
ReadPublication(const Json& aBody, Findings& aFindings)
{
  Publication publication;
  auto services = aBody.find("services");
  if (services == aBody.end() || !services->is_array()) {
    aFindings.push_back({ .m_key = "services",
                          .m_problem = "is missing",
                          .m_allowed = "a list of files" });
    return publication;
  }
  for (const Json& entry : *services) {
    std::string file = entry.is_object() ? StringField(entry, "file") : "";
    std::string text = entry.is_object() ? StringField(entry, "text") : "";
    ServiceFileResult result = ParseServiceFile(text, file);
    std::ranges::move(result.m_findings, std::back_inserter(aFindings));
    if (result.m_service) {
      publication.m_services.push_back({ file, *std::move(result.m_service) });
    }
  }
  return publication;
}

} // namespace

AdminApi::AdminApi(ConfigurationService& aConfiguration,
                   MembershipService& aMembership,
                   StatusPage& aStatus,
                   BurnReportService& aReports,
                   std::string aToken,
                   absl::BitGenRef aRandom)
  : m_configuration(aConfiguration)
  , m_membership(aMembership)
  , m_status(aStatus)
  , m_reports(aReports)
  , m_token(std::move(aToken))
  , m_random(aRandom)
{
}

kj::Promise<HttpResponse>
AdminApi::Handle(HttpRequest aRequest)
{
  if (!Authorized(aRequest)) {
    LogEvent(Event::kAdminRefused, { { "path", aRequest.m_path } });
    return ErrorResponse({ .m_status = 401,
                           .m_code = "unauthorized",
                           .m_message = "a valid bearer token is needed" });
  }
  constexpr std::string_view kDataCentres = "/v1/admin/data-centres/";
  constexpr std::string_view kUpstreams = "/v1/admin/upstreams/";
  std::string_view path = aRequest.m_path;
  bool isGet = aRequest.m_method == "GET";
  bool isPost = aRequest.m_method == "POST";
  if (isGet && path == "/v1/admin/configuration") {
    return HttpResponse{ .m_body = m_configuration.EncodedConfiguration() };
  }
  if (isGet && path == "/v1/admin/status") {
    return JsonResponse(m_status.Status());
  }
  if (isGet && path == "/v1/admin/report") {
    return m_reports.Collect().then([](BurnReport&& aReport) {
      return HttpResponse{ .m_body = EncodeBurnReport(aReport) };
    });
  }
  if (isGet && path == "/v1/admin/history") {
    return ListHistory(aRequest);
  }
  if (aRequest.m_method == "PUT" && path == "/v1/admin/services") {
    return Publish(aRequest);
  }
  if (isPost && path == "/v1/admin/rollback") {
    return RollBack(aRequest);
  }
  if (isPost && path.starts_with(kDataCentres)) {
    return ChangeDataCentre(aRequest, path.substr(kDataCentres.size()));
  }
  if (isPost && path.starts_with(kUpstreams)) {
    return ChangeUpstream(aRequest, path.substr(kUpstreams.size()));
  }
  return NotFound();
}

bool
AdminApi::Authorized(const HttpRequest& aRequest) const
{
  if (m_token.empty()) {
    return true;
  }
  std::string expected = absl::StrCat("Bearer ", m_token);
  std::string_view provided =
    FindHeader(aRequest.m_headers, "authorization").value_or("");
  return provided.size() == expected.size() &&
         CRYPTO_memcmp(provided.data(), expected.data(), expected.size()) == 0;
}

kj::Promise<HttpResponse>
AdminApi::Publish(const HttpRequest& aRequest)
{
  Json body = ParseObject(aRequest.m_body);
  Findings findings;
  Publication publication = ReadPublication(body, findings);
  if (!findings.empty()) {
    return RefusedChangeResponse({ .m_outcome = ChangeOutcome::kRefused,
                                   .m_refusal = ChangeRefusal::kInvalid,
                                   .m_findings = std::move(findings) });
  }
  for (const InstanceRecord& record : m_membership.View().m_records) {
    publication.m_knownDataCentres.insert(record.m_dataCentre);
  }
  if (body.value("any_data_centre", Json(false)) == Json(true)) {
    publication.m_knownDataCentres.clear();
  }
  ChangeMetadata metadata = MakeMetadata(body, "");
  ChangeRequest request{ .m_changeId = metadata.m_changeId,
                         .m_apply = [publication,
                                     metadata](const Configuration& aCurrent) {
                           return PublishServices(
                             aCurrent, publication, metadata);
                         } };
  if (body.contains("base_generation") &&
      body["base_generation"].is_number_unsigned()) {
    request.m_baseGeneration = body["base_generation"].get<Generation>();
  }
  return Apply(std::move(request));
}

kj::Promise<HttpResponse>
AdminApi::ChangeDataCentre(const HttpRequest& aRequest,
                           std::string_view aSubPath)
{
  auto [name, action] = SplitLastSegment(aSubPath);
  if (action != "out" && action != "in") {
    return NotFound();
  }
  AvailabilityChange change = action == "out" ? AvailabilityChange::kWithdraw
                                              : AvailabilityChange::kRestore;
  ChangeMetadata metadata = MakeMetadata(ParseObject(aRequest.m_body), "");
  return Apply({ .m_changeId = metadata.m_changeId,
                 .m_apply =
                   [dataCentre = DataCentre(name), change, metadata](
                     const Configuration& aCurrent) {
                     return SetDataCentre(
                       aCurrent, dataCentre, change, metadata);
                   },
                 .m_onConflict = OnConflict::kReapply });
}

kj::Promise<HttpResponse>
AdminApi::ChangeUpstream(const HttpRequest& aRequest, std::string_view aSubPath)
{
  auto [name, action] = SplitLastSegment(aSubPath);
  if (action != "drain" && action != "restore") {
    return NotFound();
  }
  AvailabilityChange change = action == "drain" ? AvailabilityChange::kWithdraw
                                                : AvailabilityChange::kRestore;
  ChangeMetadata metadata = MakeMetadata(ParseObject(aRequest.m_body), "");
  return Apply({ .m_changeId = metadata.m_changeId,
                 .m_apply =
                   [upstream = UpstreamId(name), change, metadata](
                     const Configuration& aCurrent) {
                     return SetUpstreamDrained(
                       aCurrent, upstream, change, metadata);
                   },
                 .m_onConflict = OnConflict::kReapply });
}

kj::Promise<HttpResponse>
AdminApi::RollBack(const HttpRequest& aRequest)
{
  Json body = ParseObject(aRequest.m_body);
  auto generation = body.find("generation");
  if (generation == body.end() || !generation->is_number_unsigned()) {
    return ErrorResponse(
      { .m_code = "bad_request", .m_message = "generation is needed" });
  }
  ChangeMetadata metadata = MakeMetadata(body, "");
  return m_configuration.ReadHistory(generation->get<Generation>())
    .then([this, metadata](
            const ConfigurationPtr& aEarlier) -> kj::Promise<HttpResponse> {
      if (aEarlier == nullptr) {
        return ErrorResponse(
          { .m_status = 404,
            .m_code = "not_found",
            .m_message = "that generation is not in the history" });
      }
      return Apply(
        { .m_changeId = metadata.m_changeId,
          .m_apply = [aEarlier, metadata](const Configuration& aCurrent) {
            return Rollback(aCurrent, *aEarlier, metadata);
          } });
    });
}

kj::Promise<HttpResponse>
AdminApi::ListHistory(const HttpRequest& aRequest)
{
  size_t count = 10;
  std::string text = QueryParameter(aRequest.m_query, "count").value_or("10");
  if (!absl::SimpleAtoi(text, &count)) {
    return ErrorResponse(
      { .m_code = "bad_request", .m_message = "count is not a number" });
  }
  ConfigurationPtr inForce = m_configuration.InForce();
  Generation newest = inForce == nullptr ? 0 : inForce->m_generation;
  return ListHistoryDownFrom(
    newest, std::min(count, kMaxHistoryEntries), Json::array());
}

kj::Promise<HttpResponse>
AdminApi::ListHistoryDownFrom(Generation aGeneration,
                              size_t aCount,
                              Json aEntries)
{
  if (aGeneration == 0 || aCount == 0) {
    return JsonResponse({ { "history", std::move(aEntries) } });
  }
  // The history contains a generation only after a later one has replaced it.
  ConfigurationPtr inForce = m_configuration.InForce();
  kj::Promise<ConfigurationPtr> read =
    inForce != nullptr && inForce->m_generation == aGeneration
      ? kj::Promise<ConfigurationPtr>(inForce)
      : m_configuration.ReadHistory(aGeneration);
  return read.then([this, aGeneration, aCount, entries = std::move(aEntries)](
                     const ConfigurationPtr& aEarlier) mutable {
    Json entry{ { "generation", aGeneration },
                { "kept", aEarlier != nullptr } };
    if (aEarlier != nullptr) {
      entry["author"] = aEarlier->m_author;
      entry["summary"] = aEarlier->m_summary;
      entry["change_id"] = aEarlier->m_changeId;
    }
    entries.push_back(std::move(entry));
    return ListHistoryDownFrom(aGeneration - 1, aCount - 1, std::move(entries));
  });
}

ChangeMetadata
AdminApi::MakeMetadata(const Json& aBody, std::string aSummary)
{
  ChangeMetadata metadata{ .m_author = StringField(aBody, "author"),
                           .m_changeId = StringField(aBody, "change_id"),
                           .m_summary = std::move(aSummary) };
  if (metadata.m_author.empty()) {
    metadata.m_author = "unnamed";
  }
  if (metadata.m_changeId.empty()) {
    metadata.m_changeId = absl::StrCat(
      absl::Hex(absl::Uniform<uint64_t>(m_random), absl::kZeroPad16),
      absl::Hex(absl::Uniform<uint64_t>(m_random), absl::kZeroPad16));
  }
  return metadata;
}

kj::Promise<HttpResponse>
AdminApi::Apply(ChangeRequest aRequest)
{
  return m_configuration.Change(std::move(aRequest))
    .then([this](ChangeReply&& aReply) {
      if (aReply.m_outcome == ChangeOutcome::kRefused) {
        return RefusedChangeResponse(aReply);
      }
      if (aReply.m_outcome != ChangeOutcome::kAccepted) {
        return FailedChangeResponse(aReply);
      }
      LogEvent(Event::kConfigurationAccepted,
               { { "generation", absl::StrCat(aReply.m_generation) } });
      return JsonResponse(
        { { "accepted", true },
          { "generation", aReply.m_generation },
          { "in_force", m_status.InForceJson(aReply.m_generation) } });
    });
}

} // namespace ebonykeel
