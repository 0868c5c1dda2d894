// One searcher's HTTP API over its capacity model, with the faults that a test
// switches on.
//
//   UpstreamService service(loop.Clock(), settings, random);
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
  // What it serves; empty means every service or shard.
  std::string m_service;
  std::vector<std::string> m_shards;
  std::vector<IndexVersion> m_indexVersions{ 1 };
  // A connection over this limit is reset; 0 means no limit.
  uint32_t m_connectionLimit = 0;
  // How long the first request of a new connection is held back.
  Duration m_connectTime = Duration::zero();
  UpstreamModelOptions m_model;
};

// Faults in what a searcher says, beside those of its model.
struct UpstreamFaults
{
  // Searches and filings are received and never answered.
  bool m_hang = false;
  // Connections are refused and reset.
  bool m_down = false;
  // "truncate", "wrong_id", "wrong_version", "wrong_shard", "oversized",
  // "not_json", "endless" or "previous" (the answer before).
  std::string m_garble;
  // The share of answers that cover only half of their shard.
  double m_partialShare = 0;
  // What the health report claims in place of the truth.
  std::string m_reportedHealth;
};

struct ConnectionCounters
{
  uint64_t m_open = 0;
  uint64_t m_max = 0;
  uint64_t m_refused = 0;
};

// How often one filing was executed.
struct Execution
{
  std::string m_caller;
  std::string m_requestId;
  std::string m_operation;
  uint64_t m_count = 0;
};

// `aSeed` decides the service times, `aBootBase` the boot ids, which must
// differ between two runs of one searcher. The clock must outlive the service.
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

  // Sets the faults that `aFaults` names and leaves the others.
  void SetFaults(const nlohmann::json& aFaults);
  [[nodiscard]] nlohmann::json CountersJson() const;
  void ResetCounters();
  [[nodiscard]] std::vector<Execution> Executions() const;

private:
  // How a piece of work ended.
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
    // Set for a filing: runs when the work starts.
    kj::Maybe<kj::Function<void()>> m_sideEffect;
  };

  kj::Promise<Reply> HandleSearch(HttpRequest aRequest);
  kj::Promise<Reply> HandleFiling(const HttpRequest& aRequest);
  kj::Promise<Reply> HandleCancel(const HttpRequest& aRequest);
  kj::Promise<Reply> HandleHealth();

  // Resolves when the work has ended. `aDone` makes the answer once it ran.
  kj::Promise<Reply> RunWork(const HttpRequest& aRequest,
                             kj::Maybe<kj::Function<void()>> aSideEffect,
                             kj::Function<Reply()> aMakeReply);
  void ApplyEffects(const Effects& aEffects);
  void EndWork(WorkId aId, WorkEnd aEnd);
  [[nodiscard]] Reply ReplyForEnd(WorkEnd aEnd,
                                  kj::Function<Reply()>& aMakeReply);
  [[nodiscard]] Reply SearchReply(const HttpRequest& aRequest);
  [[nodiscard]] Reply Garble(Reply aReply, nlohmann::json aBody);
  // Adds the headers that every answer carries.
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
  // Distinguishes runs of the process; each restart of the model adds one.
  uint64_t m_bootBase;
  WorkId m_lastWorkId = 0;
  std::map<WorkId, PendingWork> m_pending;
  std::map<std::string, WorkId, std::less<>> m_workByRequest;
  std::map<std::pair<std::string, std::string>, Execution> m_executions;
  std::string m_previousBody;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
