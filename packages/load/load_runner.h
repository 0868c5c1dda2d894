// Runs an experiment against running instances.
//
//   LoadRunner runner(loop, client, experiment, runTag, random, progress);
//   LoadResult result = runner.Run().wait(loop.WaitScope());
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "absl/random/bit_gen_ref.h"
#include "load/address_cache.h"
#include "load/experiment.h"
#include "load/load_result.h"
#include "runtime/http/client.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {

// Receives periodic progress updates of an experiment.
class LoadProgress
{
public:
  virtual ~LoadProgress() = default;
  // `aShare` is the elapsed share of the experiment, from 0 to 1.
  virtual void Show(double aShare, uint64_t aSent, uint64_t aInFlight) = 0;
};

// Runs one experiment once. All references must outlive the runner.
class LoadRunner final : private kj::TaskSet::ErrorHandler
{
public:
  // `aRunTag` makes the request ids of different runs distinct.
  LoadRunner(Loop& aLoop,
             HttpClient& aClient,
             const Experiment& aExperiment,
             std::string aRunTag,
             absl::BitGenRef aRandom,
             LoadProgress& aProgress);
  ~LoadRunner() noexcept;
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  // Resolves when every request has ended and the counters are collected.
  [[nodiscard]] kj::Promise<LoadResult> Run();

private:
  // One request with all its caller attempts.
  struct Request
  {
    uint64_t m_number = 0;
    uint32_t m_caller = 0;
    // The query parameter for the request for addresses, such as
    // "service=desk".
    std::string m_target;
    std::string m_id;
    HttpRequest m_message;
    RequestRecord m_record;
  };
  using RequestPtr = std::shared_ptr<Request>;

  [[nodiscard]] Duration Elapsed() const;
  kj::Promise<void> SendArrivals();
  kj::Promise<void> InjectFaults(size_t aIndex);
  kj::Promise<void> ShowProgress();

  void StartRequest(Duration aIntendedStart);
  [[nodiscard]] RequestPtr MakeQuery();
  [[nodiscard]] RequestPtr MakeFiling();
  kj::Promise<void> SendAttempt(const RequestPtr& aRequest);
  kj::Promise<void> OnReply(const RequestPtr& aRequest,
                            const Endpoint& aEndpoint,
                            const HttpReply& aReply);
  void ReadAnswer(Request& aRequest, const HttpResponse& aResponse);
  void Finish(const Request& aRequest);

  kj::Promise<void> EnsureFreshAddresses(const Request& aRequest);
  kj::Promise<void> FetchAddresses(AddressCache& aCache,
                                   const std::string& aTarget,
                                   uint64_t aTurn,
                                   size_t aFailedAttempts);
  [[nodiscard]] AddressCache& CacheFor(const Request& aRequest);

  kj::Promise<nlohmann::json> ReadControl(const Endpoint& aEndpoint,
                                          std::string aPath);
  kj::Promise<void> ReadUpstreams(std::vector<nlohmann::json>& aCounters);
  kj::Promise<void> ReadExecutions();
  void taskFailed(kj::Exception&& aException) override;

  Loop& m_loop;
  HttpClient& m_client;
  const Experiment& m_experiment;
  std::string m_runTag;
  absl::BitGenRef m_random;
  LoadProgress& m_progress;
  ArrivalSchedule m_schedule;
  TimePoint m_start;
  uint64_t m_sent = 0;
  uint64_t m_inFlight = 0;
  std::map<std::pair<uint32_t, std::string>, AddressCache> m_caches;
  std::vector<FilingRecord> m_filings;
  std::vector<ExecutionRecord> m_executions;
  std::vector<nlohmann::json> m_countersBefore;
  std::vector<nlohmann::json> m_countersAfter;
  LoadResult m_result;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
