// A run in tests: shards with two replicas each, a recording port and a clock
// that the test sets.
//
//   ForwardRunFixture fixture(4);
//   fixture.Start();
//   fixture.Succeed(0);
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "core/forward/forward_run.h"

namespace ebonykeel {

inline constexpr TimePoint kStart{ Seconds(100) };

struct SentAttempt
{
  uint32_t m_subRequest;
  uint32_t m_attempt;
  std::string m_replica;
  AttemptReason m_reason;
  Duration m_deadline;
};

// Records the calls of a run.
class FakePort final : public ForwardPort
{
public:
  explicit FakePort(ReplicaLoad& aLoad)
    : m_load(aLoad)
  {
  }
  void Send(uint32_t aSubRequest,
            uint32_t aAttempt,
            const ReplicaPtr& aReplica,
            AttemptReason aReason,
            Duration aDeadline) override
  {
    m_load.OnSent(*aReplica, m_now);
    m_sent.push_back(
      { aSubRequest, aAttempt, aReplica->m_id, aReason, aDeadline });
  }
  void Cancel(uint32_t aSubRequest, uint32_t aAttempt) override
  {
    m_cancelled.emplace_back(aSubRequest, aAttempt);
  }
  void Finish(const ForwardResult& aResult) override
  {
    DOCTEST_CHECK_FALSE(m_result.has_value());
    m_result = aResult;
  }

  ReplicaLoad& m_load;
  TimePoint m_now = kStart;
  std::vector<SentAttempt> m_sent;
  std::vector<std::pair<uint32_t, uint32_t>> m_cancelled;
  std::optional<ForwardResult> m_result;
};

// Shards "s0", "s1", ... with replicas "s0a", "s0b" in two data centres.
struct ForwardRunFixture
{
  explicit ForwardRunFixture(size_t aShards,
                             RouteTarget aTarget = RouteTarget::kShards)
  {
    m_route.m_name = "r";
    m_route.m_target = aTarget;
    m_route.m_idempotent = true;
    m_route.m_maxAttempts = 2;
    m_route.m_timeout = Milliseconds(600);
    m_route.m_targetLatency = Milliseconds(60);
    m_route.m_minShare = 0.75;
    for (size_t i = 0; i < aShards; ++i) {
      std::string shard = "s" + std::to_string(i);
      m_route.m_services.push_back(shard);
      AddReplica(shard, "a", "here");
      AddReplica(shard, "b", "there");
    }
  }

  void AddReplica(const std::string& aShard,
                  const char* aName,
                  const char* aDataCentre)
  {
    m_catalogue.Put({ .m_id = aShard + aName,
                      .m_startUnixMs = 1,
                      .m_service = aShard,
                      .m_address = { "10.0.0.1", 80 },
                      .m_dataCentre = DataCentre(aDataCentre),
                      .m_slots = 2 });
  }

  ForwardRun& Start(Duration aRemaining = Milliseconds(600),
                    Duration aElapsed = {})
  {
    m_run.emplace(ForwardRequest{ .m_route = &m_route,
                                  .m_services = m_route.m_services,
                                  .m_receivedAt = kStart,
                                  .m_remaining = aRemaining,
                                  .m_elapsed = aElapsed },
                  m_environment,
                  m_port);
    m_run->Start(kStart);
    return *m_run;
  }

  void SetTime(Duration aSinceStart) { m_port.m_now = kStart + aSinceStart; }
  void Succeed(uint32_t aSubRequest, uint32_t aAttempt = 0)
  {
    m_run->OnOutcome(
      aSubRequest, aAttempt, AttemptOutcome::kSuccess, m_port.m_now);
  }
  void Fail(uint32_t aSubRequest, uint32_t aAttempt, AttemptOutcome aOutcome)
  {
    m_run->OnOutcome(aSubRequest, aAttempt, aOutcome, m_port.m_now);
  }
  void RunTimer() { m_run->OnTimer(m_port.m_now); }

  Route m_route;
  ReplicaCatalogue m_catalogue;
  ReplicaLoad m_load{ { .m_dataCentre = DataCentre("here") } };
  LatencyModel m_latencies;
  // Large enough that no test exhausts it.
  ExtraBudget m_budget{ { .m_share = 10, .m_burst = 500 }, "here" };
  ForwardEnvironment m_environment{ .m_catalogue = m_catalogue,
                                    .m_load = m_load,
                                    .m_latencies = m_latencies,
                                    .m_budget = m_budget,
                                    .m_options = {} };
  FakePort m_port{ m_load };
  std::optional<ForwardRun> m_run;
};

} // namespace ebonykeel
