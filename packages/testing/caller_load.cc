#include "testing/caller_load.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "load/answer_check.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr char kCaller[] = "load";
constexpr char kQuery[] = "knots";
constexpr Duration kRetryDelay = Milliseconds(20);
// A request that was refused this often counts as failed.
constexpr int kMaxAttempts = 400;
// How long a caller uses addresses that came without a lifetime.
constexpr Duration kDefaultLifetime = Seconds(1);
constexpr size_t kMaxDescribed = 5;

std::string
FirstOf(const std::vector<std::string>& aTexts)
{
  auto last = aTexts.begin() + std::min(kMaxDescribed, aTexts.size());
  return absl::StrJoin(aTexts.begin(), last, " | ");
}

} // namespace

int64_t
WallMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
Describe(const CallerLoadReport& aReport)
{
  std::string text = absl::StrCat("whole ",
                                  aReport.m_wholeQueries,
                                  ", partial ",
                                  aReport.m_partialQueries,
                                  ", filings ",
                                  aReport.m_filings.size(),
                                  ", refused ",
                                  aReport.m_refusals,
                                  ", cut ",
                                  aReport.m_lostAnswers,
                                  ", failures ",
                                  aReport.m_failures.size(),
                                  ", violations ",
                                  aReport.m_violations.size());
  for (const auto& [reason, count] : aReport.m_missing) {
    absl::StrAppend(&text, ", missing ", reason, " ", count);
  }
  absl::StrAppend(&text,
                  "\n",
                  FirstOf(aReport.m_failures),
                  "\n",
                  FirstOf(aReport.m_violations));
  return text;
}

CallerLoad::CallerLoad(Cluster& aCluster, const CallerLoadOptions& aOptions)
  : m_cluster(aCluster)
  , m_options(aOptions)
  , m_tasks(*this)
{
}

void
CallerLoad::Start()
{
  m_stopping = false;
  for (size_t i = 0; i < m_options.m_queryWorkers; ++i) {
    m_tasks.add(RunWorker(false));
  }
  for (size_t i = 0; i < m_options.m_filingWorkers; ++i) {
    m_tasks.add(RunWorker(true));
  }
}

void
CallerLoad::Stop()
{
  m_stopping = true;
  m_tasks.onEmpty().wait(m_cluster.EventLoop().WaitScope());
  for (const PendingRequest& pending : std::exchange(m_unknownFilings, {})) {
    SendRequest(pending).wait(m_cluster.EventLoop().WaitScope());
  }
}

uint64_t
CallerLoad::ExecutedFilings() const
{
  return std::ranges::count(
    m_report.m_filings, Outcome::kRan, &FilingRecord::m_outcome);
}

uint64_t
CallerLoad::RefusedFilings() const
{
  return std::ranges::count(
    m_report.m_filings, Outcome::kNotRun, &FilingRecord::m_outcome);
}

FilingCheck
CallerLoad::CheckExecutions()
{
  CallResult result =
    m_cluster.Call(m_cluster.Upstreams(), "GET", "/standin/executions");
  if (result.m_status != 200) {
    m_report.m_violations.push_back("the execution lists cannot be read");
    return {};
  }
  std::vector<ExecutionRecord> executions;
  for (const Json& entry : result.m_body["executions"]) {
    // Instances pass filings to upstreams under an id that includes the caller.
    executions.push_back(
      { .m_requestId = entry["request_id"], .m_count = entry["count"] });
  }
  return CheckFilings(m_report.m_filings, executions);
}

kj::Promise<void>
CallerLoad::RunWorker(bool aFiling)
{
  if (m_stopping) {
    return kj::READY_NOW;
  }
  return SendRequest(NewRequest(aFiling))
    .then([this]() {
      return m_cluster.EventLoop().Clock().After(m_options.m_requestDelay);
    })
    .then([this, aFiling]() { return RunWorker(aFiling); });
}

kj::Promise<void>
CallerLoad::SendRequest(PendingRequest aRequest)
{
  if (m_addresses.empty() ||
      m_cluster.EventLoop().Clock().Now() >= m_addressesExpireAt) {
    return RefreshAddresses().then(
      [this, pending = std::move(aRequest)]() mutable {
        if (m_addresses.empty()) {
          return Retry(std::move(pending));
        }
        return SendRequest(std::move(pending));
      });
  }
  Endpoint endpoint = m_addresses[++m_addressIndex % m_addresses.size()];
  HttpRequest request = MakeRequest(aRequest);
  return m_cluster.Client()
    .Send(endpoint, std::move(request), m_options.m_timeout)
    .then([this, endpoint, pending = std::move(aRequest)](
            HttpReply&& aReply) mutable {
      return OnReply(std::move(pending), endpoint, aReply);
    });
}

kj::Promise<void>
CallerLoad::OnReply(PendingRequest aRequest,
                    const Endpoint& aEndpoint,
                    const HttpReply& aReply)
{
  if (!aReply.m_status.ok()) {
    RemoveAddress(aEndpoint);
    if (aReply.m_progress == HttpProgress::kNotSent) {
      return Retry(std::move(aRequest));
    }
    OnAnswerLost(aRequest, aReply);
    return kj::READY_NOW;
  }
  if (aReply.m_response.m_status == 200) {
    OnAnswered(aRequest, aReply.m_response);
    return kj::READY_NOW;
  }
  const std::string& body = aReply.m_response.m_body;
  StatedOutcome stated = ReadOutcome(body);
  if (stated.m_outcome == Outcome::kNotRun) {
    ++m_report.m_refusals;
    Json json = Json::parse(body, nullptr, false);
    if (json.contains("addresses")) {
      SetAddresses(json["addresses"], kDefaultLifetime);
    }
    if (aRequest.m_filing) {
      RecordFiling(aRequest, Outcome::kNotRun);
      // Retries under a new id, so that the refusal of the old one can be
      // checked.
      aRequest.m_id = NewRequest(true).m_id;
    }
    return Retry(std::move(aRequest));
  }
  m_report.m_failures.push_back(
    absl::StrCat(aReply.m_response.m_status, " ", body.substr(0, 200)));
  if (aRequest.m_filing) {
    RecordFiling(aRequest, stated.m_outcome);
  }
  return kj::READY_NOW;
}

kj::Promise<void>
CallerLoad::Retry(PendingRequest aRequest)
{
  if (++aRequest.m_attempts >= kMaxAttempts) {
    m_report.m_failures.push_back("refused too often: " + aRequest.m_id);
    return kj::READY_NOW;
  }
  return m_cluster.EventLoop()
    .Clock()
    .After(kRetryDelay)
    .then([this, pending = std::move(aRequest)]() mutable {
      return SendRequest(std::move(pending));
    });
}

kj::Promise<void>
CallerLoad::RefreshAddresses()
{
  std::vector<Endpoint> sources = m_addresses;
  for (const std::string& id : m_cluster.InstanceIds()) {
    sources.push_back(m_cluster.Instance(id).m_public);
  }
  if (sources.empty()) {
    return kj::READY_NOW;
  }
  HttpRequest request{ .m_path = "/v1/instances",
                       .m_query =
                         absl::StrCat("service=", std::string(kTestService)) };
  Endpoint source = sources[++m_addressIndex % sources.size()];
  return m_cluster.Client()
    .Send(source, std::move(request), Seconds(1))
    .then([this, source](HttpReply&& aReply) {
      if (!aReply.m_status.ok() || aReply.m_response.m_status != 200) {
        RemoveAddress(source);
        return;
      }
      Json body = Json::parse(aReply.m_response.m_body, nullptr, false);
      SetAddresses(body["addresses"],
                   Milliseconds(body["lifetime_ms"].get<int64_t>()));
    });
}

HttpRequest
CallerLoad::MakeRequest(const PendingRequest& aRequest)
{
  Json body{ { "caller", kCaller }, { "request_id", aRequest.m_id } };
  if (aRequest.m_filing) {
    body["service"] = kTestService;
    body["operation"] = "file";
    body["key"] = aRequest.m_id;
    body["payload"] = "payload";
    body["issued_at_ms"] = aRequest.m_issuedAt;
  } else {
    body["services"] = { kTestService };
    body["query"] = kQuery;
    body["limit"] = 10;
    if (m_options.m_deadline) {
      body["deadline_ms"] = ToMilliseconds(*m_options.m_deadline);
    }
  }
  return { .m_method = "POST",
           .m_path = aRequest.m_filing ? "/v1/file" : "/v1/query",
           .m_body = body.dump() };
}

void
CallerLoad::OnAnswered(const PendingRequest& aRequest,
                       const HttpResponse& aResponse)
{
  if (aRequest.m_filing) {
    StatedOutcome stated = ReadOutcome(aResponse.m_body);
    if (stated.m_requestId != aRequest.m_id) {
      m_report.m_violations.push_back("foreign filing " + aResponse.m_body);
    }
    RecordFiling(aRequest, stated.m_outcome);
    return;
  }
  QueryCheck check = CheckQueryAnswer(aRequest.m_id, kQuery, aResponse.m_body);
  for (Violation violation : check.m_violations) {
    m_report.m_violations.push_back(
      absl::StrCat(std::string(ViolationName(violation)),
                   " in ",
                   aResponse.m_body.substr(0, 300)));
  }
  bool whole = check.m_answered == check.m_shards;
  ++(whole ? m_report.m_wholeQueries : m_report.m_partialQueries);
  Json body = Json::parse(aResponse.m_body, nullptr, false);
  if (body["whole"] != whole) {
    m_report.m_violations.push_back("whole is untrue");
  }
  for (const Json& service : body["services"]) {
    ++m_report.m_versions[service["index_version"].get<uint64_t>()];
    for (const Json& missing : service["coverage"]["missing"]) {
      ++m_report.m_missing[missing["reason"].get<std::string>()];
    }
  }
}

void
CallerLoad::OnAnswerLost(const PendingRequest& aRequest,
                         const HttpReply& aReply)
{
  ++m_report.m_lostAnswers;
  if (aRequest.m_filing) {
    RecordFiling(aRequest, Outcome::kUnknown);
  }
  m_report.m_failures.push_back(
    absl::StrCat("cut ", aRequest.m_id, ": ", aReply.m_status.ToString()));
}

void
CallerLoad::RecordFiling(const PendingRequest& aRequest, Outcome aOutcome)
{
  auto [entry, added] =
    m_filingIndex.emplace(aRequest.m_id, m_report.m_filings.size());
  if (added) {
    m_report.m_filings.push_back(
      { .m_caller = kCaller, .m_requestId = aRequest.m_id });
  }
  if (aOutcome == Outcome::kUnknown) {
    m_unknownFilings.push_back(aRequest);
  }
  m_report.m_filings[entry->second].m_outcome = aOutcome;
}

void
CallerLoad::SetAddresses(const Json& aAddresses, Duration aLifetime)
{
  m_addresses.clear();
  for (const Json& entry : aAddresses) {
    auto endpoint = ParseEndpoint(entry["address"].get<std::string>());
    if (endpoint) {
      m_addresses.push_back(*endpoint);
    }
  }
  m_addressesExpireAt = m_cluster.EventLoop().Clock().Now() + aLifetime;
}

void
CallerLoad::RemoveAddress(const Endpoint& aEndpoint)
{
  std::erase(m_addresses, aEndpoint);
}

CallerLoad::PendingRequest
CallerLoad::NewRequest(bool aFiling)
{
  return { .m_filing = aFiling,
           .m_id = absl::StrCat("r-", ++m_requests),
           .m_issuedAt = WallMilliseconds() };
}

void
CallerLoad::taskFailed(kj::Exception&& aException)
{
  m_report.m_failures.push_back(aException.getDescription().cStr());
}

} // namespace ebonykeel
