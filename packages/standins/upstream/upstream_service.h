// The HTTP API of one upstream stand-in on top of its capacity model, with
// faults that a test can switch on.
//
//   UpstreamService service(loop.Clock(), settings, seed, bootBase);
//   HttpListener listener(loop, service);
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "core/base/ids.h"
#include "runtime/loop/loop.h"
#include "standins/support/http_listener.h"
#include "standins/upstream/upstream_model.h"

namespace ebonykeel::standins {

struct UpstreamSettings
{
  std::string m_id;
  uint16_t m_port = 0;
  // The service and the shards that the upstream serves; empty means all.
  std::string m_service;
  std::vector<std::string> m_shards;
  std::vector<IndexVersion> m_indexVersions{ 1 };
  // Connections beyond this number are reset; 0 means no limit.
  uint32_t m_connectionLimit = 0;
  // The delay before the first request of a new connection is read.
  Duration m_connectTime = Duration::zero();
  UpstreamModelOptions m_model;
};

// Faults in the replies of an upstream, in addition to those of its model.
struct UpstreamFaults
{
  // Searches and filings are received but neither run nor answered.
  bool m_hang = false;
  // New connections are refused; open ones are reset.
  bool m_down = false;
  // The fault in each search answer: "truncate", "wrong_id", "wrong_version",
  // "wrong_shard", "oversized", "not_json", "endless", "previous" (the body of
  // the previous answer is repeated), or empty for none.
  std::string m_garble;
  // The probability that a search answer covers only half of its shard.
  double m_partialShare = 0;
  // The state in the health report in place of the actual one, unless empty. If
  // set, answers also lack the header that marks a cold upstream.
  std::string m_reportedHealth;
};

struct ConnectionCounters
{
  uint64_t m_open = 0;
  uint64_t m_max = 0;
  uint64_t m_refused = 0;
};

// One filing and the number of its executions.
struct Execution
{
  std::string m_caller;
  std::string m_requestId;
  std::string m_operation;
  uint64_t m_count = 0;
};

// `aSeed` determines the service times, `aBootBase` the boot ids, which must
// differ between two process runs of one upstream. The clock must outlive the
// service.
class UpstreamService final
  : public StandinHandler
  , private kj::TaskSet::ErrorHandler
{
public:
  UpstreamService(RuntimeClock& aClock,
                  const UpstreamSettings& aSettings,
                  uint64_t aSeed,
                  uint64_t aBootBase);
  ~UpstreamService() noexcept override;

  kj::Promise<Reply> Handle(HttpRequest aRequest) override;
  std::optional<Duration> OnConnect() override;
  void OnDisconnect() override;

  [[nodiscard]] const std::string& Id() const { return m_settings.m_id; }
  [[nodiscard]] bool IsDown() const { return m_faults.m_down; }

  // Sets the faults that `aFaults` contains and keeps the others.
  void SetFaults(const nlohmann::json& aFaults);
  [[nodiscard]] nlohmann::json CountersJson() const;
  void ResetCounters();
  [[nodiscard]] std::vector<Execution> Executions() const;

private:
  enum class WorkEnd
  {
    kCompleted,
    kExpired,
    kCancelled,
    kReset,
  };
  struct PendingWork
  {
    kj::Own<kj::PromiseFulfiller<WorkEnd>> m_fulfiller;
    std::string m_requestId;
    // Called when the work starts; only filings have one.
    kj::Maybe<kj::Function<void()>> m_sideEffect;
  };

  kj::Promise<Reply> HandleSearch(HttpRequest aRequest);
  kj::Promise<Reply> HandleFiling(const HttpRequest& aRequest);
  kj::Promise<Reply> HandleCancel(const HttpRequest& aRequest);
  kj::Promise<Reply> HandleHealth();

  // Offers the request to the model and resolves to its reply: `aMakeReply`
  // makes the reply of completed work, the service makes all others.
  kj::Promise<Reply> RunWork(const HttpRequest& aRequest,
                             kj::Maybe<kj::Function<void()>> aSideEffect,
                             kj::Function<Reply()> aMakeReply);
  void ApplyEffects(const Effects& aEffects);
  void EndWork(WorkId aId, WorkEnd aEnd);
  [[nodiscard]] Reply ReplyForEnd(WorkEnd aEnd,
                                  kj::Function<Reply()>& aMakeReply);
  [[nodiscard]] Reply SearchReply(const HttpRequest& aRequest);
  // Returns `aReply` with `aBody` and the fault `m_garble`.
  [[nodiscard]] Reply Garble(Reply aReply, nlohmann::json aBody);
  // Returns `aReply` with the headers that all replies have.
  [[nodiscard]] Reply WithCommonHeaders(Reply aReply) const;
  [[nodiscard]] Reply RefusalReply(int aStatus, std::string_view aCode) const;
  [[nodiscard]] bool ServesTarget(const HttpRequest& aRequest) const;
  [[nodiscard]] bool HoldsVersion(IndexVersion aVersion) const;
  [[nodiscard]] uint64_t CurrentBootId() const;
  void taskFailed(kj::Exception&& aException) override;

  RuntimeClock& m_clock;
  UpstreamSettings m_settings;
  std::mt19937_64 m_random;
  UpstreamModel m_model;
  UpstreamFaults m_faults;
  ConnectionCounters m_connections;
  // Differs between process runs. The boot id adds the start count of the
  // model.
  uint64_t m_bootBase;
  WorkId m_lastWorkId = 0;
  std::map<WorkId, PendingWork> m_pending;
  std::map<std::string, WorkId, std::less<>> m_workByRequest;
  std::map<std::pair<std::string, std::string>, Execution> m_executions;
  std::string m_previousBody;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
