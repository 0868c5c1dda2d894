// Callers that send queries and filings continuously, follow routing answers,
// retry only requests that were refused as not run, and check every answer.
//
//   CallerLoad load(cluster, {});
//   load.Start();
//   ... inject a fault ...
//   load.Stop();
//   DOCTEST_CHECK(load.Report().m_violations.empty());
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "load/filing_check.h"
#include "runtime/http/client.h"
#include "testing/cluster.h"

namespace ebonykeel {

struct CallerLoadOptions
{
  size_t m_queryWorkers = 3;
  size_t m_filingWorkers = 1;
  // The deadline stated in queries; the service's deadline unless set.
  std::optional<Duration> m_deadline;
  // The caller's timeout for one request.
  Duration m_timeout = Seconds(8);
  // The delay between the end of a request and the next one of the same worker.
  Duration m_requestDelay = Milliseconds(10);
};

// What the callers observed.
struct CallerLoadReport
{
  uint64_t m_wholeQueries = 0;
  uint64_t m_partialQueries = 0;
  // The number of answers by index version.
  std::map<uint64_t, uint64_t> m_versions;
  // The number of missing shards by reason.
  std::map<std::string, uint64_t> m_missing;
  // Requests that were refused as not run and retried.
  uint64_t m_refusals = 0;
  // Requests whose connection or answer was lost after they were sent.
  uint64_t m_lostAnswers = 0;
  // The error of each request that did not succeed.
  std::vector<std::string> m_failures;
  // Answers that broke a promise.
  std::vector<std::string> m_violations;
  std::vector<FilingRecord> m_filings;
};

// Returns the wall-clock time since the Unix epoch, in milliseconds.
[[nodiscard]] int64_t
WallMilliseconds();

// Returns one line with the counts and the first failures and violations.
[[nodiscard]] std::string
Describe(const CallerLoadReport& aReport);

// Callers learn their first addresses from the running instances. The cluster
// must outlive the load.
class CallerLoad final : private kj::TaskSet::ErrorHandler
{
public:
  CallerLoad(Cluster& aCluster, const CallerLoadOptions& aOptions);

  void Start();
  // Waits for the running requests, sends each filing with an unknown outcome
  // once more under its old id, and returns when all have ended.
  void Stop();

  [[nodiscard]] const CallerLoadReport& Report() const { return m_report; }
  // Returns the number of filings whose answer stated that they ran.
  [[nodiscard]] uint64_t ExecutedFilings() const;
  // Returns the number of filings that were refused as not run.
  [[nodiscard]] uint64_t RefusedFilings() const;
  // Compares the filings with the upstreams' execution lists.
  [[nodiscard]] FilingCheck CheckExecutions();

private:
  // A request that has not ended yet.
  struct PendingRequest
  {
    bool m_filing = false;
    std::string m_id;
    // Wall-clock time in milliseconds; a retry keeps it.
    int64_t m_issuedAt = 0;
    int m_attempts = 0;
  };

  kj::Promise<void> RunWorker(bool aFiling);
  kj::Promise<void> SendRequest(PendingRequest aRequest);
  kj::Promise<void> OnReply(PendingRequest aRequest,
                            const Endpoint& aEndpoint,
                            const HttpReply& aReply);
  kj::Promise<void> Retry(PendingRequest aRequest);
  kj::Promise<void> RefreshAddresses();
  [[nodiscard]] HttpRequest MakeRequest(const PendingRequest& aRequest);
  void OnAnswered(const PendingRequest& aRequest,
                  const HttpResponse& aResponse);
  void OnAnswerLost(const PendingRequest& aRequest, const HttpReply& aReply);
  void RecordFiling(const PendingRequest& aRequest, Outcome aOutcome);
  void SetAddresses(const nlohmann::json& aAddresses, Duration aLifetime);
  void RemoveAddress(const Endpoint& aEndpoint);
  [[nodiscard]] PendingRequest NewRequest(bool aFiling);
  void taskFailed(kj::Exception&& aException) override;

  Cluster& m_cluster;
  CallerLoadOptions m_options;
  CallerLoadReport m_report;
  std::map<std::string, size_t> m_filingIndex;
  // Filings whose outcome is unknown to the caller.
  std::vector<PendingRequest> m_unknownFilings;
  std::vector<Endpoint> m_addresses;
  TimePoint m_addressesExpireAt;
  uint64_t m_addressIndex = 0;
  uint64_t m_requests = 0;
  bool m_stopping = false;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
