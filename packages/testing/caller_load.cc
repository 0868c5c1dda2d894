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
constexpr Duration kRetryPause = Milliseconds(20);
// A request that was refused this often has failed.
constexpr int kMaxTries = 400;
// A caller who was given no lifetime keeps addresses this long.
constexpr Duration kDefaultLifetime = Seconds(1);
constexpr size_t kDescribed = 5;

std::string
FirstOf(const std::vector<std::string>& aTexts)
{
  auto last = aTexts.begin() + std::min(kDescribed, aTexts.size());
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
                                  aReport.m_cut,
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
  for (const Attempt& attempt : std::exchange(m_unknown, {})) {
    RunOne(attempt).wait(m_cluster.EventLoop().WaitScope());
  }
}

uint64_t
CallerLoad::FilingsRan() const
{
  return std::ranges::count(
    m_report.m_filings, Outcome::kRan, &FilingRecord::m_outcome);
}

uint64_t
CallerLoad::FilingsNotRun() const
{
  return std::ranges::count(
    m_report.m_filings, Outcome::kNotRun, &FilingRecord::m_outcome);
}

FilingCheck
CallerLoad::CheckExecutions()
{
  CallResult result =
    m_cluster.Call(m_cluster.Searchers(), "GET", "/standin/executions");
  if (result.m_status != 200) {
    m_report.m_violations.push_back("the execution lists cannot be read");
    return {};
  }
  std::vector<ExecutionRecord> executions;
  for (const Json& entry : result.m_body["executions"]) {
    // Nodes pass a filing on under a name that holds its caller.
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
  return RunOne(NewAttempt(aFiling))
    .then([this]() {
      return m_cluster.EventLoop().Clock().After(m_options.m_pause);
    })
    .then([this, aFiling]() { return RunWorker(aFiling); });
}

kj::Promise<void>
CallerLoad::RunOne(Attempt aAttempt)
{
  if (m_addresses.empty() || m_cluster.EventLoop().Clock().Now() >= m_expires) {
    return Route().then([this, attempt = std::move(aAttempt)]() mutable {
      if (m_addresses.empty()) {
        return TryAgain(std::move(attempt));
      }
      return RunOne(std::move(attempt));
    });
  }
  Endpoint endpoint = m_addresses[++m_turn % m_addresses.size()];
  HttpRequest request = MakeRequest(aAttempt);
  return m_cluster.Client()
    .Send(endpoint, std::move(request), m_options.m_timeout)
    .then([this, endpoint, attempt = std::move(aAttempt)](
            HttpReply&& aReply) mutable {
      return OnReply(std::move(attempt), endpoint, aReply);
    });
}

kj::Promise<void>
CallerLoad::OnReply(Attempt aAttempt,
                    const Endpoint& aEndpoint,
                    const HttpReply& aReply)
{
  if (!aReply.m_status.ok()) {
    Forget(aEndpoint);
    if (aReply.m_progress == HttpProgress::kNotSent) {
      return TryAgain(std::move(aAttempt));
    }
    OnCut(aAttempt, aReply);
    return kj::READY_NOW;
  }
  if (aReply.m_response.m_status == 200) {
    OnAnswered(aAttempt, aReply.m_response);
    return kj::READY_NOW;
  }
  const std::string& body = aReply.m_response.m_body;
  StatedOutcome stated = ReadOutcome(body);
  if (stated.m_outcome == Outcome::kNotRun) {
    ++m_report.m_refusals;
    Json json = Json::parse(body, nullptr, false);
    if (json.contains("addresses")) {
      Adopt(json["addresses"], kDefaultLifetime);
    }
    if (aAttempt.m_filing) {
      RecordFiling(aAttempt, Outcome::kNotRun);
      // Another id, so that the refusal of this one can be checked.
      aAttempt.m_id = NewAttempt(true).m_id;
    }
    return TryAgain(std::move(aAttempt));
  }
  m_report.m_failures.push_back(
    absl::StrCat(aReply.m_response.m_status, " ", body.substr(0, 200)));
  if (aAttempt.m_filing) {
    RecordFiling(aAttempt, stated.m_outcome);
  }
  return kj::READY_NOW;
}

kj::Promise<void>
CallerLoad::TryAgain(Attempt aAttempt)
{
  if (++aAttempt.m_tries >= kMaxTries) {
    m_report.m_failures.push_back("refused too often: " + aAttempt.m_id);
    return kj::READY_NOW;
  }
  return m_cluster.EventLoop()
    .Clock()
    .After(kRetryPause)
    .then([this, attempt = std::move(aAttempt)]() mutable {
      return RunOne(std::move(attempt));
    });
}

kj::Promise<void>
CallerLoad::Route()
{
  std::vector<Endpoint> sources = m_addresses;
  for (const std::string& id : m_cluster.NodeIds()) {
    sources.push_back(m_cluster.Node(id).m_public);
  }
  if (sources.empty()) {
    return kj::READY_NOW;
  }
  HttpRequest request{ .m_path = "/v1/instances",
                       .m_query =
                         absl::StrCat("service=", std::string(kTestService)) };
  Endpoint source = sources[++m_turn % sources.size()];
  return m_cluster.Client()
    .Send(source, std::move(request), Seconds(1))
    .then([this, source](HttpReply&& aReply) {
      if (!aReply.m_status.ok() || aReply.m_response.m_status != 200) {
        Forget(source);
        return;
      }
      Json body = Json::parse(aReply.m_response.m_body, nullptr, false);
      Adopt(body["addresses"],
            Milliseconds(body["lifetime_ms"].get<int64_t>()));
    });
}

HttpRequest
CallerLoad::MakeRequest(const Attempt& aAttempt)
{
  Json body{ { "caller", kCaller }, { "request_id", aAttempt.m_id } };
  if (aAttempt.m_filing) {
    body["service"] = kTestService;
    body["operation"] = "file";
    body["key"] = aAttempt.m_id;
    body["payload"] = "payload";
    body["issued_at_ms"] = aAttempt.m_issuedAt;
  } else {
    body["services"] = { kTestService };
    body["query"] = kQuery;
    body["limit"] = 10;
    if (m_options.m_deadline) {
      body["deadline_ms"] = ToMilliseconds(*m_options.m_deadline);
    }
  }
  return { .m_method = "POST",
           .m_path = aAttempt.m_filing ? "/v1/file" : "/v1/query",
           .m_body = body.dump() };
}

void
CallerLoad::OnAnswered(const Attempt& aAttempt, const HttpResponse& aResponse)
{
  if (aAttempt.m_filing) {
    StatedOutcome stated = ReadOutcome(aResponse.m_body);
    if (stated.m_requestId != aAttempt.m_id) {
      m_report.m_violations.push_back("foreign filing " + aResponse.m_body);
    }
    RecordFiling(aAttempt, stated.m_outcome);
    return;
  }
  QueryCheck check = CheckQueryAnswer(aAttempt.m_id, kQuery, aResponse.m_body);
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
CallerLoad::OnCut(const Attempt& aAttempt, const HttpReply& aReply)
{
  ++m_report.m_cut;
  if (aAttempt.m_filing) {
    RecordFiling(aAttempt, Outcome::kUnknown);
  }
  m_report.m_failures.push_back(
    absl::StrCat("cut ", aAttempt.m_id, ": ", aReply.m_status.ToString()));
}

void
CallerLoad::RecordFiling(const Attempt& aAttempt, Outcome aOutcome)
{
  auto [entry, added] =
    m_filingIndex.emplace(aAttempt.m_id, m_report.m_filings.size());
  if (added) {
    m_report.m_filings.push_back(
      { .m_caller = kCaller, .m_requestId = aAttempt.m_id });
  }
  if (aOutcome == Outcome::kUnknown) {
    m_unknown.push_back(aAttempt);
  }
  m_report.m_filings[entry->second].m_outcome = aOutcome;
}

void
CallerLoad::Adopt(const Json& aAddresses, Duration aLifetime)
{
  m_addresses.clear();
  for (const Json& entry : aAddresses) {
    auto endpoint = ParseEndpoint(entry["address"].get<std::string>());
    if (endpoint) {
      m_addresses.push_back(*endpoint);
    }
  }
  m_expires = m_cluster.EventLoop().Clock().Now() + aLifetime;
}

void
CallerLoad::Forget(const Endpoint& aEndpoint)
{
  std::erase(m_addresses, aEndpoint);
}

CallerLoad::Attempt
CallerLoad::NewAttempt(bool aFiling)
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
