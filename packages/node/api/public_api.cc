#include "node/api/public_api.h"

#include <algorithm>
#include <utility>

#include <kj/debug.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/routing/routing.h"
#include "node/api/answers.h"
#include "node/api/api_error.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

HttpResponse
BadRequestResponse(const HttpRequest& aRequest, const absl::Status& aStatus)
{
  LogEvent(Event::kBadRequest,
           { { "path", aRequest.m_path }, { "code", "bad_request" } });
  return ErrorResponse(
    { .m_code = "bad_request", .m_message = std::string(aStatus.message()) });
}

void
LogPartialAnswer(const QueryAnswer& aAnswer)
{
  for (const ServiceAnswer& service : aAnswer.m_services) {
    if (service.m_coverage.m_missing.empty()) {
      continue;
    }
    const MissingShard& first = service.m_coverage.m_missing.front();
    LogEvent(Event::kQueryPartial,
             { { "request", aAnswer.m_requestId.Text() },
               { "caller", aAnswer.m_caller.Text() },
               { "service", service.m_service.Text() },
               { "missing", absl::StrCat(service.m_coverage.m_missing.size()) },
               { "reason", std::string(MissingReasonName(first.m_reason)) } });
  }
}

// Returns the services that a query names, or all services of the group that it
// names.
std::vector<ServiceName>
ResolveServices(const Configuration& aConfiguration, const QueryBody& aBody)
{
  if (!aBody.m_services.empty()) {
    return aBody.m_services;
  }
  std::vector<ServiceName> services;
  for (const ServiceConfig& service : aConfiguration.m_services) {
    if (service.m_group == aBody.m_group) {
      services.push_back(service.m_name);
    }
  }
  return services;
}

uint32_t
CountShards(const Configuration& aConfiguration,
            std::span<const ServiceName> aServices)
{
  size_t shards = 0;
  for (const ServiceName& name : aServices) {
    shards += aConfiguration.FindService(name)->m_shards.size();
  }
  return static_cast<uint32_t>(std::max<size_t>(shards, 1));
}

RequestResult
ToRequestResult(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kRan:
      return RequestResult::kAnswered;
    case Outcome::kNotRun:
      return RequestResult::kRefused;
    case Outcome::kUnknown:
      return RequestResult::kFailed;
  }
  return RequestResult::kFailed;
}

HttpResponse
NotAdmittedResponse(const CallerName& aCaller, RefusalReason aReason)
{
  LogEvent(Event::kQueryRefused,
           { { "caller", aCaller.Text() },
             { "reason", std::string(RefusalReasonName(aReason)) } });
  return ErrorResponse(
    { .m_status = 429,
      .m_code = RefusalReasonName(aReason),
      .m_message = "this instance is too busy; the request was not run" });
}

Duration
MaxServiceDeadline(const Configuration& aConfiguration,
                   std::span<const ServiceName> aServices)
{
  Duration maxDeadline{ 0 };
  for (const ServiceName& name : aServices) {
    const ServiceConfig* service = aConfiguration.FindService(name);
    if (service != nullptr) {
      maxDeadline = std::max(maxDeadline, service->m_deadline);
    }
  }
  return maxDeadline;
}

} // namespace

PublicApi::PublicApi(Loop& aLoop,
                     MembershipService& aMembership,
                     SnapshotTracker& aSnapshots,
                     QueryService& aQueries,
                     FilingService& aFilings,
                     AdmissionService& aAdmission,
                     BurnRecorder& aBurn,
                     StatusPage& aStatus,
                     LatencySummary& aLatency,
                     absl::BitGenRef aRandom)
  : m_loop(aLoop)
  , m_membership(aMembership)
  , m_snapshots(aSnapshots)
  , m_queries(aQueries)
  , m_filings(aFilings)
  , m_admission(aAdmission)
  , m_burn(aBurn)
  , m_status(aStatus)
  , m_latency(aLatency)
  , m_random(aRandom)
{
}

kj::Promise<HttpResponse>
PublicApi::Handle(HttpRequest aRequest)
{
  if (aRequest.m_method == "GET" && aRequest.m_path == "/v1/instances") {
    return HandleInstances(aRequest);
  }
  if (aRequest.m_method == "POST" && aRequest.m_path == "/v1/query") {
    ++m_inFlight;
    return HandleQuery(aRequest).attach(kj::defer([this]() { --m_inFlight; }));
  }
  if (aRequest.m_method == "POST" && aRequest.m_path == "/v1/file") {
    ++m_inFlight;
    return HandleFiling(aRequest).attach(kj::defer([this]() { --m_inFlight; }));
  }
  if (aRequest.m_method == "GET" && aRequest.m_path == "/healthz") {
    return HttpResponse{ .m_contentType = "text/plain", .m_body = "ok\n" };
  }
  if (aRequest.m_method == "GET" && aRequest.m_path == "/v1/status") {
    return JsonResponse(m_status.Status());
  }
  if (aRequest.m_method == "GET" && aRequest.m_path == "/metrics") {
    return HttpResponse{ .m_contentType = "text/plain; version=0.0.4",
                         .m_body = m_status.Metrics() };
  }
  return ErrorResponse(
    { .m_status = 404, .m_code = "not_found", .m_message = "no such path" });
}

HttpResponse
PublicApi::HandleInstances(const HttpRequest& aRequest)
{
  std::optional<std::string> target =
    QueryParameter(aRequest.m_query, "service");
  if (!target) {
    target = QueryParameter(aRequest.m_query, "group");
  }
  if (!target || target->empty()) {
    return ErrorResponse(
      { .m_code = "bad_request", .m_message = "service or group is needed" });
  }
  std::string dataCentre =
    QueryParameter(aRequest.m_query, "data_centre").value_or("");
  size_t count = kDefaultAddressCount;
  std::string countText =
    QueryParameter(aRequest.m_query, "count").value_or("");
  if (!countText.empty() && !absl::SimpleAtoi(countText, &count)) {
    return ErrorResponse(
      { .m_code = "bad_request", .m_message = "count is not a number" });
  }
  RoutingAnswer answer = Route(*target,
                               DataCentre(dataCentre),
                               std::clamp<size_t>(count, 1, kMaxAddressCount));
  if (answer.m_status != RoutingStatus::kFound) {
    bool unknown = answer.m_status == RoutingStatus::kUnknownTarget;
    return ErrorResponse({ .m_status = unknown ? 404 : 503,
                           .m_code = RoutingStatusName(answer.m_status),
                           .m_message = "no address can be named" });
  }
  return JsonResponse({ { "addresses", AddressesJson(answer) },
                        { "lifetime_ms", ToMilliseconds(answer.m_lifetime) },
                        { "generation", answer.m_generation } });
}

kj::Promise<HttpResponse>
PublicApi::HandleQuery(const HttpRequest& aRequest)
{
  TimePoint arrival = m_loop.Clock().Now();
  absl::StatusOr<QueryBody> body = ReadQueryBody(aRequest.m_body);
  if (!body.ok()) {
    return BadRequestResponse(aRequest, body.status());
  }
  const std::string& target = body->m_services.empty()
                                ? body->m_group.Text()
                                : body->m_services.front().Text();
  if (std::optional<HttpResponse> refusal = UnavailableResponse(target)) {
    return std::move(*refusal);
  }
  const Configuration& configuration = *m_snapshots.InForce();
  std::vector<ServiceName> services = ResolveServices(configuration, *body);
  auto unknown =
    std::ranges::find_if(services, [&configuration](const ServiceName& aName) {
      return configuration.FindService(aName) == nullptr;
    });
  if (services.empty() || unknown != services.end()) {
    return ErrorResponse({ .m_status = 404,
                           .m_code = "unknown_service",
                           .m_message = services.empty() ? body->m_group.Text()
                                                         : unknown->Text() });
  }
  Duration maxDeadline = MaxServiceDeadline(configuration, services);
  Duration timeBudget =
    std::min(body->m_deadline.value_or(maxDeadline), maxDeadline);
  AdmissionTicket ticket{
    .m_caller = body->m_caller,
    .m_group = configuration.FindService(services.front())->m_group,
    .m_priority = body->m_batch ? Priority::kBatch : Priority::kInteractive,
    .m_cost = CountShards(configuration, services),
    .m_deadline = arrival + timeBudget
  };
  QueryRequest request{ .m_requestId = body->m_requestId,
                        .m_caller = body->m_caller,
                        .m_services = std::move(services),
                        .m_text = body->m_query,
                        .m_limit = body->m_limit,
                        .m_arrival = arrival,
                        .m_deadline = arrival + timeBudget };
  return m_admission.RequestAdmission(ticket).then(
    [this, request = std::move(request)](
      AdmissionResult&& aAdmission) mutable -> kj::Promise<HttpResponse> {
      KJ_IF_MAYBE (pass, aAdmission.m_pass) {
        return RunQuery(std::move(request)).attach(kj::mv(*pass));
      }
      RecordRefusal(request);
      return NotAdmittedResponse(request.m_caller, aAdmission.m_reason);
    });
}

kj::Promise<HttpResponse>
PublicApi::RunQuery(QueryRequest aRequest)
{
  TimePoint arrival = aRequest.m_arrival;
  return m_queries.Run(std::move(aRequest))
    .then([this, arrival](QueryAnswer&& aAnswer) {
      LogPartialAnswer(aAnswer);
      Duration latency = m_loop.Clock().Now() - arrival;
      m_latency.Add(latency);
      RecordAnswer(aAnswer, latency);
      return QueryResponse(aAnswer);
    });
}

void
PublicApi::RecordAnswer(const QueryAnswer& aAnswer, Duration aLatency)
{
  for (const ServiceAnswer& service : aAnswer.m_services) {
    const Coverage& coverage = service.m_coverage;
    double coveredShare =
      coverage.m_shards == 0
        ? 1.0
        : static_cast<double>(coverage.m_answered) / coverage.m_shards;
    m_burn.Record(service.m_service,
                  { .m_latency = aLatency, .m_coverage = coveredShare },
                  m_loop.Clock().Now());
  }
}

void
PublicApi::RecordRefusal(const QueryRequest& aRequest)
{
  for (const ServiceName& service : aRequest.m_services) {
    m_burn.Record(
      service, { .m_result = RequestResult::kRefused }, m_loop.Clock().Now());
  }
}

kj::Promise<HttpResponse>
PublicApi::HandleFiling(const HttpRequest& aRequest)
{
  TimePoint arrival = m_loop.Clock().Now();
  absl::StatusOr<FilingBody> body = ReadFilingBody(aRequest.m_body);
  if (!body.ok()) {
    return BadRequestResponse(aRequest, body.status());
  }
  if (std::optional<HttpResponse> refusal =
        UnavailableResponse(body->m_service.Text())) {
    return std::move(*refusal);
  }
  const ServiceConfig* service =
    m_snapshots.InForce()->FindService(body->m_service);
  if (service == nullptr) {
    return ErrorResponse({ .m_status = 404,
                           .m_code = "unknown_service",
                           .m_message = body->m_service.Text() });
  }
  if (std::ranges::find(service->m_onceOperations, body->m_operation) ==
      service->m_onceOperations.end()) {
    return ErrorResponse({ .m_status = 404,
                           .m_code = "unknown_operation",
                           .m_message = body->m_operation });
  }
  Duration timeBudget = std::min(body->m_deadline.value_or(service->m_deadline),
                                 service->m_deadline);
  FilingInput input{ .m_service = body->m_service,
                     .m_operation = body->m_operation,
                     .m_caller = body->m_caller,
                     .m_requestId = body->m_requestId,
                     .m_key = body->m_key,
                     .m_payload = body->m_payload,
                     .m_issuedAt = WallTime(
                       std::chrono::milliseconds(body->m_issuedAtMilliseconds)),
                     .m_deadline = arrival + timeBudget };
  AdmissionTicket ticket{ .m_caller = body->m_caller,
                          .m_group = service->m_group,
                          .m_priority = Priority::kFiling,
                          .m_deadline = arrival + timeBudget };
  return m_admission.RequestAdmission(ticket).then(
    [this, arrival, input = std::move(input)](
      AdmissionResult&& aAdmission) mutable -> kj::Promise<HttpResponse> {
      KJ_IF_MAYBE (pass, aAdmission.m_pass) {
        return RunFiling(std::move(input), arrival).attach(kj::mv(*pass));
      }
      m_burn.Record(input.m_service,
                    { .m_result = RequestResult::kRefused },
                    m_loop.Clock().Now());
      return NotAdmittedResponse(input.m_caller, aAdmission.m_reason);
    });
}

kj::Promise<HttpResponse>
PublicApi::RunFiling(FilingInput aInput, TimePoint aArrival)
{
  RequestId id = aInput.m_requestId;
  ServiceName service = aInput.m_service;
  return m_filings.Run(std::move(aInput))
    .then([this, id, service, aArrival](FilingAnswer&& aAnswer) {
      TimePoint now = m_loop.Clock().Now();
      m_burn.Record(service,
                    { .m_result = ToRequestResult(aAnswer.m_outcome),
                      .m_latency = now - aArrival },
                    now);
      return FilingResponse(id, aAnswer);
    });
}

RoutingAnswer
PublicApi::Route(const std::string& aTarget,
                 const DataCentre& aDataCentre,
                 size_t aCount)
{
  if (m_snapshots.InForce() == nullptr) {
    return { .m_status = RoutingStatus::kNoConfiguration };
  }
  const MembershipView& view = m_membership.View();
  std::vector<RoutingCandidate> candidates;
  candidates.reserve(view.m_records.size());
  for (const InstanceRecord& record : view.m_records) {
    candidates.push_back({ &record, m_membership.IsSuspected(record.m_id) });
  }
  return ChooseAddresses({ .m_target = aTarget,
                           .m_callerDataCentre = aDataCentre,
                           .m_count = aCount },
                         *m_snapshots.InForce(),
                         candidates,
                         m_random);
}

std::optional<HttpResponse>
PublicApi::UnavailableResponse(const std::string& aTarget)
{
  if (m_snapshots.InForce() == nullptr) {
    return ErrorResponse({ .m_status = 503,
                           .m_code = "no_configuration",
                           .m_message = "no configuration is in force here" });
  }
  bool withdrawn = InWithdrawnDataCentre();
  if (!m_refusingNewWork && !withdrawn) {
    return std::nullopt;
  }
  RoutingAnswer others = Route(aTarget, {}, kDefaultAddressCount);
  return ErrorResponse(
    { .m_status = 503,
      .m_code = withdrawn ? "data_centre_out" : "leaving",
      .m_message = "this instance takes no new work; use another",
      .m_details = { { "addresses", AddressesJson(others) } } });
}

bool
PublicApi::InWithdrawnDataCentre() const
{
  return m_snapshots.InForce()->m_withdrawnDataCentres.contains(
    m_membership.Self().m_dataCentre);
}

} // namespace ebonykeel
