#include "load/load_runner.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "load/upstream_totals.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kMaxAttempts = 3;
constexpr size_t kMaxRoutingAttempts = 3;
constexpr Duration kRoutingTimeout = Milliseconds(500);
constexpr Duration kControlTimeout = Seconds(5);
constexpr Duration kProgressInterval = Milliseconds(250);
constexpr Duration kDefaultAddressLifetime = Seconds(1);
// The delay between the setup and the start of the experiment.
constexpr Duration kStartDelay = Milliseconds(20);

// Parses the answer of `/v1/instances`, whose addresses are strings or objects.
std::vector<Endpoint>
ReadAddresses(const Json& aBody)
{
  std::vector<Endpoint> endpoints;
  auto addresses = aBody.find("addresses");
  if (addresses == aBody.end() || !addresses->is_array()) {
    return endpoints;
  }
  for (const Json& entry : *addresses) {
    const Json& text =
      entry.is_object() && entry.contains("address") ? entry["address"] : entry;
    std::optional<Endpoint> endpoint;
    if (text.is_string()) {
      endpoint = ParseEndpoint(text.get<std::string>());
    }
    if (endpoint) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

// Returns the failure name of a request without an HTTP answer.
std::string
FailureName(const HttpReply& aReply)
{
  if (aReply.m_status.code() == absl::StatusCode::kDeadlineExceeded) {
    return "timeout";
  }
  return aReply.m_progress == HttpProgress::kNotSent ? "not_connected"
                                                     : "connection_lost";
}

} // namespace

LoadRunner::LoadRunner(Loop& aLoop,
                       HttpClient& aClient,
                       const Experiment& aExperiment,
                       std::string aRunTag,
                       absl::BitGenRef aRandom,
                       LoadProgress& aProgress)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_experiment(aExperiment)
  , m_runTag(std::move(aRunTag))
  , m_random(aRandom)
  , m_progress(aProgress)
  , m_schedule(aExperiment.m_arrivals, aExperiment.m_rate, aRandom)
  , m_tasks(*this)
{
}

LoadRunner::~LoadRunner() noexcept = default;

kj::Promise<LoadResult>
LoadRunner::Run()
{
  return ReadUpstreams(m_countersBefore)
    .then([this]() {
      m_start = m_loop.Clock().Now() + kStartDelay;
      m_tasks.add(InjectFaults(0));
      m_tasks.add(ShowProgress());
      m_tasks.add(SendArrivals());
      return m_tasks.onEmpty();
    })
    .then([this]() { return ReadUpstreams(m_countersAfter); })
    .then([this]() { return ReadExecutions(); })
    .then([this]() {
      if (!m_experiment.m_upstreams.empty()) {
        m_result.SetFilings(CheckFilings(m_filings, m_executions));
        m_result.SetUpstreams(SumUpstreams(m_countersBefore, m_countersAfter));
      }
      m_progress.Show(1, m_sent, 0);
      return std::move(m_result);
    });
}

Duration
LoadRunner::Elapsed() const
{
  return m_loop.Clock().Now() - m_start;
}

kj::Promise<void>
LoadRunner::SendArrivals()
{
  Duration next = m_schedule.Next();
  if (next >= m_experiment.m_duration) {
    return kj::READY_NOW;
  }
  return m_loop.Clock().At(m_start + next).then([this, next]() {
    StartRequest(next);
    return SendArrivals();
  });
}

kj::Promise<void>
LoadRunner::InjectFaults(size_t aIndex)
{
  if (aIndex >= m_experiment.m_faults.size()) {
    return kj::READY_NOW;
  }
  const ScheduledFault& fault = m_experiment.m_faults[aIndex];
  return m_loop.Clock()
    .At(m_start + fault.m_at)
    .then([this, &fault]() {
      HttpRequest request{ .m_method = fault.m_method,
                           .m_path = fault.m_path,
                           .m_query = fault.m_query,
                           .m_body = fault.m_body };
      return m_client.Send(
        fault.m_endpoint, std::move(request), kControlTimeout);
    })
    .then([this, aIndex, &fault](const HttpReply& aReply) {
      bool accepted =
        aReply.m_status.ok() && aReply.m_response.m_status / 100 == 2;
      m_result.AddFault(
        { .m_at = Elapsed(), .m_text = fault.m_label, .m_accepted = accepted });
      return InjectFaults(aIndex + 1);
    });
}

kj::Promise<void>
LoadRunner::ShowProgress()
{
  double share = std::chrono::duration<double>(Elapsed()) /
                 std::chrono::duration<double>(m_experiment.m_duration);
  m_progress.Show(std::clamp(share, 0.0, 1.0), m_sent, m_inFlight);
  if (share >= 1) {
    return kj::READY_NOW;
  }
  return m_loop.Clock().After(kProgressInterval).then([this]() {
    return ShowProgress();
  });
}

void
LoadRunner::StartRequest(Duration aIntendedStart)
{
  bool filing = absl::Bernoulli(m_random, m_experiment.m_filing.m_share);
  RequestPtr request = filing ? MakeFiling() : MakeQuery();
  request->m_record.m_start = aIntendedStart;
  request->m_record.m_attempts = 0;
  ++m_sent;
  ++m_inFlight;
  m_tasks.add(SendAttempt(request));
}

LoadRunner::RequestPtr
LoadRunner::MakeQuery()
{
  const QueryMix& mix = m_experiment.m_query;
  auto request = std::make_shared<Request>();
  request->m_number = m_sent;
  request->m_caller = m_sent % m_experiment.m_callers;
  request->m_id = absl::StrCat(m_runTag, "-q", m_sent);
  request->m_record.m_kind = RequestKind::kQuery;
  Json body = { { "query", absl::StrCat(mix.m_text, " ", m_sent) },
                { "limit", mix.m_limit },
                { "request_id", request->m_id },
                { "caller", absl::StrCat("load-", request->m_caller) } };
  if (mix.m_group.empty()) {
    body["services"] = mix.m_services;
    request->m_target = absl::StrCat("service=", mix.m_services.front());
  } else {
    body["group"] = mix.m_group;
    request->m_target = absl::StrCat("group=", mix.m_group);
  }
  if (mix.m_deadline > Duration::zero()) {
    body["deadline_ms"] = ToMilliseconds(mix.m_deadline);
  }
  request->m_message = { .m_method = "POST",
                         .m_path = "/v1/query",
                         .m_headers = { { "content-type",
                                          "application/json" } },
                         .m_body = body.dump() };
  return request;
}

LoadRunner::RequestPtr
LoadRunner::MakeFiling()
{
  const FilingMix& mix = m_experiment.m_filing;
  auto request = std::make_shared<Request>();
  request->m_number = m_sent;
  request->m_caller = m_sent % m_experiment.m_callers;
  request->m_id = absl::StrCat(m_runTag, "-f", m_sent);
  request->m_record.m_kind = RequestKind::kFiling;
  const std::string& service = mix.m_services[m_sent % mix.m_services.size()];
  request->m_target = absl::StrCat("service=", service);
  auto now = std::chrono::system_clock::now().time_since_epoch();
  Json body = {
    { "service", service },
    { "operation", mix.m_operation },
    { "caller", absl::StrCat("load-", request->m_caller) },
    { "request_id", request->m_id },
    { "key", absl::StrCat("key-", m_sent) },
    { "payload", "{}" },
    { "issued_at_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count() }
  };
  request->m_message = { .m_method = "POST",
                         .m_path = "/v1/file",
                         .m_headers = { { "content-type",
                                          "application/json" } },
                         .m_body = body.dump() };
  return request;
}

kj::Promise<void>
LoadRunner::SendAttempt(const RequestPtr& aRequest)
{
  ++aRequest->m_record.m_attempts;
  return EnsureFreshAddresses(*aRequest).then(
    [this, aRequest]() -> kj::Promise<void> {
      const Endpoint* picked = CacheFor(*aRequest).Pick(aRequest->m_number);
      if (picked == nullptr) {
        aRequest->m_record.m_outcome = Outcome::kNotRun;
        aRequest->m_record.m_refusal = "no_address";
        Finish(*aRequest);
        return kj::READY_NOW;
      }
      Endpoint endpoint = *picked;
      return m_client
        .Send(endpoint, aRequest->m_message, m_experiment.m_timeout)
        .then([this, aRequest, endpoint](const HttpReply& aReply) {
          return OnReply(aRequest, endpoint, aReply);
        });
    });
}

kj::Promise<void>
LoadRunner::OnReply(const RequestPtr& aRequest,
                    const Endpoint& aEndpoint,
                    const HttpReply& aReply)
{
  RequestRecord& record = aRequest->m_record;
  bool retryable = true;
  if (aReply.m_status.ok()) {
    ReadAnswer(*aRequest, aReply.m_response);
    retryable = aReply.m_response.m_status == 503;
  } else {
    record.m_outcome = aReply.m_progress == HttpProgress::kNotSent
                         ? Outcome::kNotRun
                         : Outcome::kUnknown;
    record.m_refusal = FailureName(aReply);
  }
  if (record.m_outcome != Outcome::kRan && retryable) {
    CacheFor(*aRequest).MarkFailed(aEndpoint);
  }
  bool timedOut = Elapsed() - record.m_start >= m_experiment.m_timeout;
  bool retry = record.m_outcome == Outcome::kNotRun && retryable && !timedOut &&
               record.m_attempts < kMaxAttempts;
  if (retry) {
    return SendAttempt(aRequest);
  }
  Finish(*aRequest);
  return kj::READY_NOW;
}

void
LoadRunner::ReadAnswer(Request& aRequest, const HttpResponse& aResponse)
{
  RequestRecord& record = aRequest.m_record;
  StatedOutcome stated = ReadOutcome(aResponse.m_body);
  record.m_outcome = stated.m_outcome;
  record.m_refusal.clear();
  if (aResponse.m_status != 200) {
    record.m_refusal = stated.m_code.empty()
                         ? absl::StrCat("status_", aResponse.m_status)
                         : stated.m_code;
    return;
  }
  if (record.m_kind == RequestKind::kFiling) {
    if (stated.m_requestId != aRequest.m_id) {
      record.m_violations.push_back(Violation::kForeignAnswer);
    }
    return;
  }
  record.m_outcome = Outcome::kRan;
  std::string query =
    absl::StrCat(m_experiment.m_query.m_text, " ", aRequest.m_number);
  QueryCheck check = CheckQueryAnswer(aRequest.m_id, query, aResponse.m_body);
  record.m_shards = check.m_shards;
  record.m_answered = check.m_answered;
  record.m_violations = std::move(check.m_violations);
}

void
LoadRunner::Finish(const Request& aRequest)
{
  --m_inFlight;
  RequestRecord record = aRequest.m_record;
  record.m_latency = Elapsed() - record.m_start;
  if (record.m_kind == RequestKind::kFiling) {
    m_filings.push_back({ absl::StrCat("load-", aRequest.m_caller),
                          aRequest.m_id,
                          record.m_outcome });
  }
  record.m_measured = record.m_start >= m_experiment.m_warmUp;
  m_result.Add(record);
}

kj::Promise<void>
LoadRunner::EnsureFreshAddresses(const Request& aRequest)
{
  AddressCache& cache = CacheFor(aRequest);
  if (cache.IsFresh(m_loop.Clock().Now())) {
    return kj::READY_NOW;
  }
  return FetchAddresses(cache, aRequest.m_target, aRequest.m_number, 0);
}

// If no instance returns addresses, the old ones stay in use.
kj::Promise<void>
LoadRunner::FetchAddresses(AddressCache& aCache,
                           const std::string& aTarget,
                           uint64_t aTurn,
                           size_t aFailedAttempts)
{
  const std::vector<Endpoint>& instances = m_experiment.m_instances;
  const Endpoint& instance =
    instances[(aTurn + aFailedAttempts) % instances.size()];
  std::string query = aTarget;
  if (!m_experiment.m_dataCentre.empty()) {
    absl::StrAppend(&query, "&data_centre=", m_experiment.m_dataCentre);
  }
  HttpRequest request{ .m_path = "/v1/instances", .m_query = query };
  return m_client.Send(instance, std::move(request), kRoutingTimeout)
    .then([this, &aCache, aTarget, aTurn, aFailedAttempts](
            const HttpReply& aReply) -> kj::Promise<void> {
      Json body = Json::parse(aReply.m_response.m_body, nullptr, false);
      std::vector<Endpoint> endpoints;
      if (aReply.m_status.ok() && body.is_object()) {
        endpoints = ReadAddresses(body);
      }
      if (!endpoints.empty()) {
        Json lifetime = body.value(
          "lifetime_ms", Json(ToMilliseconds(kDefaultAddressLifetime)));
        aCache.Set(
          m_loop.Clock().Now(),
          std::move(endpoints),
          Milliseconds(lifetime.is_number() ? lifetime.get<int64_t>() : 0));
        return kj::READY_NOW;
      }
      if (aFailedAttempts + 1 >=
          std::min(kMaxRoutingAttempts, m_experiment.m_instances.size())) {
        return kj::READY_NOW;
      }
      return FetchAddresses(aCache, aTarget, aTurn, aFailedAttempts + 1);
    });
}

AddressCache&
LoadRunner::CacheFor(const Request& aRequest)
{
  return m_caches[{ aRequest.m_caller, aRequest.m_target }];
}

kj::Promise<Json>
LoadRunner::ReadControl(const Endpoint& aEndpoint, std::string aPath)
{
  return m_client
    .Send(aEndpoint, { .m_path = std::move(aPath) }, kControlTimeout)
    .then([](const HttpReply& aReply) {
      return Json::parse(aReply.m_response.m_body, nullptr, false);
    });
}

kj::Promise<void>
LoadRunner::ReadUpstreams(std::vector<Json>& aCounters)
{
  auto reads =
    kj::heapArrayBuilder<kj::Promise<void>>(m_experiment.m_upstreams.size());
  for (const Endpoint& endpoint : m_experiment.m_upstreams) {
    reads.add(ReadControl(endpoint, "/standin/counters")
                .then([&aCounters](const Json& aBody) {
                  AppendCounters(aBody, aCounters);
                }));
  }
  return kj::joinPromises(reads.finish());
}

kj::Promise<void>
LoadRunner::ReadExecutions()
{
  auto reads =
    kj::heapArrayBuilder<kj::Promise<void>>(m_experiment.m_upstreams.size());
  for (const Endpoint& endpoint : m_experiment.m_upstreams) {
    reads.add(ReadControl(endpoint, "/standin/executions")
                .then([this](const Json& aBody) {
                  AppendExecutions(aBody, m_executions);
                }));
  }
  return kj::joinPromises(reads.finish());
}

void
LoadRunner::taskFailed(kj::Exception&& aException)
{
  // Every request adds its own record, so a failed task is a defect.
  m_result.Add({ .m_refusal = aException.getDescription().cStr() });
}

} // namespace ebonykeel
