// Plays an overload of a few shards against the decisions of runs and checks
// what callers get. Time is simulated.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/forward/forward_run.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kStep = Milliseconds(1);
constexpr Duration kServiceTime = Milliseconds(20);
constexpr Duration kSlowServiceTime = Milliseconds(200);
constexpr size_t kShards = 20;
constexpr size_t kUpstreamQueue = 12;

class Caller;

// The requests at one upstream: those in its slots first, then its queue.
struct Upstream
{
  struct Work
  {
    Caller* m_caller = nullptr;
    uint32_t m_subRequest = 0;
    uint32_t m_attempt = 0;
    TimePoint m_sentAt;
    std::optional<TimePoint> m_endsAt;
  };

  ReplicaPtr m_replica;
  Duration m_serviceTime = kServiceTime;
  std::deque<Work> m_work;
};

struct Outcome
{
  ForwardStatus m_status = ForwardStatus::kFailed;
  Duration m_took{};
  Duration m_retryAfter{};
};

// One instance with one replica for each shard.
class OverloadedCluster
{
public:
  explicit OverloadedCluster(size_t aSlowShards);
  // Sends `aPerSecond` requests a second for `aDuration`, then waits until all
  // have ended.
  void Play(int aPerSecond, Duration aDuration);

  [[nodiscard]] const std::vector<Outcome>& Outcomes() const
  {
    return m_outcomes;
  }
  [[nodiscard]] size_t CountStatus(ForwardStatus aStatus) const
  {
    return static_cast<size_t>(
      std::ranges::count(m_outcomes, aStatus, &Outcome::m_status));
  }

private:
  friend class Caller;
  void Send(const ReplicaPtr& aReplica, Upstream::Work aWork);
  void Cancel(const Caller& aCaller, uint32_t aSubRequest, uint32_t aAttempt);
  void Work(Upstream& aUpstream);
  void Step();

  TimePoint m_now = kStart;
  Route m_route;
  ReplicaCatalogue m_catalogue;
  ReplicaLoad m_load{ { .m_dataCentre = DataCentre("here") } };
  LatencyModel m_latencies;
  ExtraBudget m_budget{ {}, "here" };
  ForwardEnvironment m_environment{ .m_catalogue = m_catalogue,
                                    .m_load = m_load,
                                    .m_latencies = m_latencies,
                                    .m_budget = m_budget,
                                    .m_options = {} };
  std::map<std::string, Upstream> m_upstreams;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<Outcome> m_outcomes;
};

// A caller's request and its run.
class Caller final : public ForwardPort
{
public:
  explicit Caller(OverloadedCluster& aCluster)
    : m_cluster(aCluster)
    , m_sentAt(aCluster.m_now)
    , m_run({ .m_route = &aCluster.m_route,
              .m_services = aCluster.m_route.m_services,
              .m_receivedAt = aCluster.m_now,
              .m_remaining = aCluster.m_route.m_timeout },
            aCluster.m_environment,
            *this)
  {
  }

  void Send(uint32_t aSubRequest,
            uint32_t aAttempt,
            const ReplicaPtr& aReplica,
            AttemptReason /*aReason*/,
            Duration /*aDeadline*/) override
  {
    m_cluster.Send(aReplica,
                   { .m_caller = this,
                     .m_subRequest = aSubRequest,
                     .m_attempt = aAttempt,
                     .m_sentAt = m_cluster.m_now });
  }
  void Cancel(uint32_t aSubRequest, uint32_t aAttempt) override
  {
    m_cluster.Cancel(*this, aSubRequest, aAttempt);
  }
  void Finish(const ForwardResult& aResult) override
  {
    m_cluster.m_outcomes.push_back({ .m_status = aResult.m_status,
                                     .m_took = m_cluster.m_now - m_sentAt,
                                     .m_retryAfter = aResult.m_retryAfter });
    for (uint32_t i = 0; i < m_cluster.m_route.m_services.size(); ++i) {
      m_cluster.Cancel(*this, i, 0);
    }
  }

  ForwardRun& Run() { return m_run; }

private:
  OverloadedCluster& m_cluster;
  TimePoint m_sentAt;
  ForwardRun m_run;
};

OverloadedCluster::OverloadedCluster(size_t aSlowShards)
{
  m_route.m_name = "r";
  m_route.m_target = RouteTarget::kShards;
  m_route.m_idempotent = true;
  m_route.m_maxAttempts = 2;
  m_route.m_timeout = Milliseconds(1500);
  m_route.m_targetLatency = Milliseconds(150);
  m_route.m_minShare = 0.9;
  for (size_t i = 0; i < kShards; ++i) {
    std::string shard = "s" + std::to_string(i);
    m_route.m_services.push_back(shard);
    m_catalogue.Put({ .m_id = shard,
                      .m_startUnixMs = 1,
                      .m_service = shard,
                      .m_address = { "10.0.0.1", 80 },
                      .m_dataCentre = DataCentre("here"),
                      .m_slots = 2 });
    Upstream& upstream = m_upstreams[shard];
    upstream.m_replica = m_catalogue.Usable(shard).front();
    upstream.m_serviceTime = i < aSlowShards ? kSlowServiceTime : kServiceTime;
  }
}

void
OverloadedCluster::Send(const ReplicaPtr& aReplica, Upstream::Work aWork)
{
  m_load.OnSent(*aReplica, m_now);
  m_upstreams.at(aReplica->m_id).m_work.push_back(aWork);
}

void
OverloadedCluster::Cancel(const Caller& aCaller,
                          uint32_t aSubRequest,
                          uint32_t aAttempt)
{
  Upstream& upstream = m_upstreams.at(m_route.m_services[aSubRequest]);
  std::erase_if(upstream.m_work, [&](const Upstream::Work& aWork) {
    bool cancelled = aWork.m_caller == &aCaller &&
                     (aAttempt == 0 || aWork.m_attempt == aAttempt);
    if (cancelled) {
      m_load.OnAttemptCancelledLate(*upstream.m_replica,
                                    aWork.m_sentAt,
                                    m_latencies.Typical(m_route),
                                    m_now);
    }
    return cancelled;
  });
}

void
OverloadedCluster::Work(Upstream& aUpstream)
{
  size_t slots = aUpstream.m_replica->m_slots;
  while (aUpstream.m_work.size() > slots + kUpstreamQueue) {
    Upstream::Work shed = aUpstream.m_work.back();
    aUpstream.m_work.pop_back();
    m_load.OnFailed(*aUpstream.m_replica, shed.m_sentAt, m_now);
    shed.m_caller->Run().OnOutcome(
      shed.m_subRequest, shed.m_attempt, AttemptOutcome::kNotExecuted, m_now);
  }
  for (size_t i = 0; i < std::min(slots, aUpstream.m_work.size()); ++i) {
    if (!aUpstream.m_work[i].m_endsAt) {
      aUpstream.m_work[i].m_endsAt = m_now + aUpstream.m_serviceTime;
    }
  }
  while (!aUpstream.m_work.empty() && aUpstream.m_work.front().m_endsAt &&
         *aUpstream.m_work.front().m_endsAt <= m_now) {
    Upstream::Work done = aUpstream.m_work.front();
    aUpstream.m_work.pop_front();
    Duration typical = m_latencies.Typical(m_route);
    m_load.OnAnswered(*aUpstream.m_replica, done.m_sentAt, typical, m_now);
    m_latencies.Add(m_route, m_now - done.m_sentAt);
    done.m_caller->Run().OnOutcome(
      done.m_subRequest, done.m_attempt, AttemptOutcome::kSuccess, m_now);
  }
}

void
OverloadedCluster::Step()
{
  for (auto& [id, upstream] : m_upstreams) {
    Work(upstream);
  }
  for (std::unique_ptr<Caller>& caller : m_callers) {
    std::optional<TimePoint> due = caller->Run().NextTimer();
    if (due && *due <= m_now) {
      caller->Run().OnTimer(m_now);
    }
  }
  m_now += kStep;
}

void
OverloadedCluster::Play(int aPerSecond, Duration aDuration)
{
  Duration interval = Seconds(1) / aPerSecond;
  TimePoint end = m_now + aDuration;
  TimePoint next = m_now;
  while (m_now < end + m_route.m_timeout + kStep) {
    if (m_now >= next && m_now < end) {
      m_callers.push_back(std::make_unique<Caller>(*this));
      m_callers.back()->Run().Start(m_now);
      next += interval;
    }
    Step();
  }
}

// Four shards of 20 get four times what they can serve, and two may be missing
// from an answer. Without early refusals their queues grow until requests run
// into their deadlines.
DOCTEST_TEST_CASE(
  "what overloaded shards cannot serve in time is refused at once")
{
  OverloadedCluster cluster(4);
  cluster.Play(40, Seconds(8));
  const std::vector<Outcome>& outcomes = cluster.Outcomes();
  DOCTEST_REQUIRE(outcomes.size() == 320);
  size_t served = cluster.CountStatus(ForwardStatus::kWhole) +
                  cluster.CountStatus(ForwardStatus::kPartial);
  size_t refused = cluster.CountStatus(ForwardStatus::kRefused);
  size_t failed = outcomes.size() - served - refused;
  DOCTEST_MESSAGE(
    "served ", served, ", refused ", refused, ", failed ", failed);
  // The four shards together answer 40 sub-requests a second, and a request
  // needs two of them.
  DOCTEST_CHECK(served >= 80);
  DOCTEST_CHECK(failed <= outcomes.size() / 10);
  bool refusedAtOnce = std::ranges::all_of(outcomes, [](const Outcome& aEnd) {
    return aEnd.m_status != ForwardStatus::kRefused ||
           (aEnd.m_took <= Milliseconds(50) && aEnd.m_retryAfter > Duration{});
  });
  DOCTEST_CHECK(refusedAtOnce);
}

DOCTEST_TEST_CASE("nothing is refused while enough shards are fast")
{
  OverloadedCluster cluster(2);
  cluster.Play(40, Seconds(8));
  DOCTEST_CHECK(cluster.CountStatus(ForwardStatus::kPartial) +
                  cluster.CountStatus(ForwardStatus::kWhole) ==
                320);
}

} // namespace
} // namespace ebonykeel
