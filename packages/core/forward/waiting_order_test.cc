// Plays kinds of requests of different urgency at a service that gets more than
// it can answer, and checks who is served. Time is simulated.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/forward/forward_run.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(100) };
constexpr Duration kStep = Milliseconds(1);
constexpr Duration kLength = Seconds(20);
constexpr size_t kReplicas = 3;
constexpr uint32_t kSlots = 2;

// Requests of one route and workspace.
struct Kind
{
  uint32_t m_priority = 0;
  std::string m_workspace{};
  Duration m_work = Milliseconds(10);
  Duration m_target = Milliseconds(120);
  // The work that arrives relative to what the upstreams can do; by the time
  // since the start.
  std::function<double(Duration)> m_load;
};

struct KindResult
{
  double m_sent = 0;
  double m_served = 0;
  double m_inTime = 0;
  // The latest refusal, relative to the target latency.
  double m_latestRefusal = 0;
  std::vector<Duration> m_retryAfter;

  [[nodiscard]] double ServedShare() const { return m_served / m_sent; }
  [[nodiscard]] double InTimeShare() const { return m_inTime / m_sent; }
};

struct Instance
{
  explicit Instance(bool aByWork)
    : m_load({ .m_dataCentre = DataCentre("here"), .m_placeByWork = aByWork })
  {
    for (size_t i = 0; i < kReplicas; ++i) {
      m_catalogue.Put({ .m_id = std::to_string(i),
                        .m_startUnixMs = 1,
                        .m_service = "s",
                        .m_address = { "10.0.0.1", 80 },
                        .m_dataCentre = DataCentre("here"),
                        .m_slots = kSlots });
    }
  }

  ReplicaCatalogue m_catalogue;
  ReplicaLoad m_load;
  LatencyModel m_latencies;
  ExtraBudget m_budget{ {}, "here" };
  ForwardEnvironment m_environment{ .m_catalogue = m_catalogue,
                                    .m_load = m_load,
                                    .m_latencies = m_latencies,
                                    .m_budget = m_budget,
                                    .m_options = {} };
};

class Cluster;

class Caller final : public ForwardPort
{
public:
  Caller(Cluster& aCluster, Instance& aInstance, size_t aKind);

  void Send(uint32_t aSubRequest,
            uint32_t aAttempt,
            const ReplicaPtr& aReplica,
            AttemptReason aReason,
            Duration aDeadline) override;
  void Cancel(uint32_t /*aSubRequest*/, uint32_t /*aAttempt*/) override {}
  void Finish(const ForwardResult& aResult) override;

  Cluster& m_cluster;
  Instance& m_instance;
  size_t m_kind;
  TimePoint m_sentAt;
  ForwardRun m_run;
};

// Upstreams that work in the order of arrival, and instances that do not see
// each other's requests.
class Cluster
{
public:
  Cluster(std::vector<Kind> aKinds, size_t aInstances, bool aByWork)
    : m_kinds(std::move(aKinds))
    , m_results(m_kinds.size())
  {
    for (size_t i = 0; i < aInstances; ++i) {
      m_instances.push_back(std::make_unique<Instance>(aByWork));
    }
    for (const Kind& kind : m_kinds) {
      m_routes.push_back({ .m_name = "r" + std::to_string(m_routes.size()),
                           .m_services = { "s" },
                           .m_maxAttempts = 1,
                           .m_timeout = Milliseconds(1500),
                           .m_targetLatency = kind.m_target,
                           .m_priority = kind.m_priority });
    }
  }

  std::vector<KindResult> Play(uint64_t aSeed);

private:
  friend class Caller;
  struct Work
  {
    std::shared_ptr<Caller> m_caller;
    ReplicaPtr m_replica;
    TimePoint m_sentAt;
    Duration m_left;
  };

  void Arrive(std::mt19937_64& aRandom);
  void WorkOn(std::deque<Work>& aQueue);
  void RunTimers();

  std::vector<Kind> m_kinds;
  std::vector<Route> m_routes;
  std::vector<KindResult> m_results;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::map<std::string, std::deque<Work>> m_upstreams;
  std::vector<std::shared_ptr<Caller>> m_callers;
  TimePoint m_now = kStart;
};

Caller::Caller(Cluster& aCluster, Instance& aInstance, size_t aKind)
  : m_cluster(aCluster)
  , m_instance(aInstance)
  , m_kind(aKind)
  , m_sentAt(aCluster.m_now)
  , m_run({ .m_route = &aCluster.m_routes[aKind],
            .m_services = { "s" },
            .m_receivedAt = aCluster.m_now,
            .m_remaining = aCluster.m_routes[aKind].m_timeout,
            .m_priority = aCluster.m_kinds[aKind].m_priority,
            .m_workspace = aCluster.m_kinds[aKind].m_workspace,
            .m_usesWorkspaces = !aCluster.m_kinds[aKind].m_workspace.empty() },
          aInstance.m_environment,
          *this)
{
}

void
Caller::Send(uint32_t aSubRequest,
             uint32_t aAttempt,
             const ReplicaPtr& aReplica,
             AttemptReason /*aReason*/,
             Duration /*aDeadline*/)
{
  m_instance.m_load.OnSent(
    *aReplica, m_cluster.m_now, m_run.ExpectedWorkOf(aSubRequest, aAttempt));
  auto self =
    std::ranges::find(m_cluster.m_callers, this, &std::shared_ptr<Caller>::get);
  m_cluster.m_upstreams[aReplica->m_id].push_back(
    { *self, aReplica, m_cluster.m_now, m_cluster.m_kinds[m_kind].m_work });
}

void
Caller::Finish(const ForwardResult& aResult)
{
  KindResult& result = m_cluster.m_results[m_kind];
  Duration took = m_cluster.m_now - m_sentAt;
  Duration target = m_cluster.m_kinds[m_kind].m_target;
  result.m_sent += 1;
  if (aResult.m_status == ForwardStatus::kWhole) {
    result.m_served += 1;
    result.m_inTime += took <= target ? 1 : 0;
  } else if (aResult.m_status == ForwardStatus::kRefused) {
    result.m_latestRefusal = std::max(
      result.m_latestRefusal, ToMillisecondsF(took) / ToMillisecondsF(target));
    result.m_retryAfter.push_back(aResult.m_retryAfter);
  }
}

void
Cluster::Arrive(std::mt19937_64& aRandom)
{
  for (size_t number = 0; number < m_kinds.size(); ++number) {
    const Kind& kind = m_kinds[number];
    double perStep = kind.m_load(m_now - kStart) * kReplicas * kSlots *
                     ToMillisecondsF(kStep) / ToMillisecondsF(kind.m_work);
    std::poisson_distribution<int> count(std::max(perStep, 1e-9));
    for (int i = count(aRandom); i > 0; --i) {
      Instance& instance = *m_instances[aRandom() % m_instances.size()];
      m_callers.push_back(std::make_shared<Caller>(*this, instance, number));
      m_callers.back()->m_run.Start(m_now);
    }
  }
}

void
Cluster::WorkOn(std::deque<Work>& aQueue)
{
  std::vector<Work> done;
  for (size_t i = 0; i < std::min<size_t>(kSlots, aQueue.size()); ++i) {
    aQueue[i].m_left -= kStep;
  }
  for (auto work = aQueue.begin(); work != aQueue.end();) {
    if (work->m_left <= Duration{}) {
      done.push_back(*work);
      work = aQueue.erase(work);
    } else {
      ++work;
    }
  }
  for (const Work& work : done) {
    Instance& instance = work.m_caller->m_instance;
    const Route& route = m_routes[work.m_caller->m_kind];
    auto sample =
      instance.m_load.OnAnswered(*work.m_replica,
                                 work.m_sentAt,
                                 instance.m_latencies.Typical(route),
                                 m_now);
    if (sample) {
      instance.m_environment.m_work.Add(
        route,
        m_kinds[work.m_caller->m_kind].m_workspace,
        sample->m_expected,
        sample->m_seen,
        m_now);
    }
    instance.m_latencies.Add(route, m_now - work.m_sentAt);
    instance.m_environment.m_waiters.OnCapacity("s", m_now);
    work.m_caller->m_run.OnOutcome(0, 0, AttemptOutcome::kSuccess, m_now);
  }
}

void
Cluster::RunTimers()
{
  // A call of one run may make another one due.
  for (int i = 0; i < 3; ++i) {
    for (size_t number = 0; number < m_callers.size(); ++number) {
      std::optional<TimePoint> due = m_callers[number]->m_run.NextTimer();
      if (due && *due <= m_now) {
        m_callers[number]->m_run.OnTimer(m_now);
      }
    }
  }
  std::erase_if(m_callers, [](const std::shared_ptr<Caller>& aCaller) {
    return aCaller->m_run.Ended();
  });
}

std::vector<KindResult>
Cluster::Play(uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (m_now < kStart + kLength + Seconds(2)) {
    if (m_now < kStart + kLength) {
      Arrive(random);
    }
    for (auto& [id, queue] : m_upstreams) {
      WorkOn(queue);
    }
    RunTimers();
    m_now += kStep;
  }
  return m_results;
}

// Returns a constant load.
std::function<double(Duration)>
Always(double aLoad)
{
  return [aLoad](Duration) { return aLoad; };
}

// Returns a load for the second half of each 4 s.
std::function<double(Duration)>
Bursts(double aLoad)
{
  return [aLoad](Duration aTime) {
    return aTime % Seconds(4) < Seconds(2) ? 0.0 : aLoad;
  };
}

// Calls `aCheck` for one and two instances and both placements.
void
ForEachSetup(const std::function<void(size_t aInstances, bool aByWork)>& aCheck)
{
  for (size_t instances : { 1, 2 }) {
    for (bool byWork : { false, true }) {
      DOCTEST_CAPTURE(instances);
      DOCTEST_CAPTURE(byWork);
      aCheck(instances, byWork);
    }
  }
}

// The share of urgent requests that are answered in time with a burst of less
// urgent, long ones, and without it.
struct BurstResult
{
  double m_with = 0;
  double m_without = 0;
};

BurstResult
PlayBurst(size_t aInstances, bool aByWork, bool aUsesWorkspaces)
{
  Kind urgent{ .m_workspace = aUsesWorkspaces ? "urgent" : "",
               .m_work = Milliseconds(9),
               .m_load = Always(0.4) };
  Kind burst{ .m_priority = 1,
              .m_workspace = aUsesWorkspaces ? "burst" : "",
              .m_work = Milliseconds(28),
              .m_target = Milliseconds(300),
              .m_load = Bursts(3) };
  BurstResult result;
  constexpr uint64_t kSeeds = 3;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    result.m_without += Cluster({ urgent }, aInstances, aByWork)
                          .Play(seed)
                          .front()
                          .InTimeShare() /
                        kSeeds;
    result.m_with += Cluster({ urgent, burst }, aInstances, aByWork)
                       .Play(seed)
                       .front()
                       .InTimeShare() /
                     kSeeds;
  }
  DOCTEST_MESSAGE(
    "in time without ", result.m_without, ", with ", result.m_with);
  return result;
}

// Guards against urgent requests that queue behind a burst of others, here or
// at the upstreams.
DOCTEST_TEST_CASE("a burst of less urgent requests does not worsen the share "
                  "of urgent ones in time")
{
  ForEachSetup([](size_t aInstances, bool aByWork) {
    BurstResult result = PlayBurst(aInstances, aByWork, true);
    // One in a thousand is not told apart from none.
    DOCTEST_CHECK(result.m_with >= result.m_without - 0.001);
  });
}

// Without workspaces a burst fills the places at the upstreams as long as
// nothing waits, and two instances fill twice as many: until these are empty
// again some urgent requests are refused.
DOCTEST_TEST_CASE("without workspaces a burst costs urgent requests at most "
                  "what it finds free")
{
  ForEachSetup([](size_t aInstances, bool aByWork) {
    BurstResult result = PlayBurst(aInstances, aByWork, false);
    DOCTEST_CHECK(result.m_with >= result.m_without - 0.01);
  });
}

DOCTEST_TEST_CASE("a less urgent kind is not served better than a more urgent "
                  "one by over 5 in 100")
{
  struct Loads
  {
    std::function<double(Duration)> m_urgent;
    std::function<double(Duration)> m_less;
  };
  for (const Loads& loads : { Loads{ Always(0.6), Always(0.8) },
                              Loads{ Always(1.3), Always(0.3) },
                              Loads{ Always(1.0), Always(0.02) },
                              Loads{ Bursts(2), Always(0.5) },
                              Loads{ Bursts(0.9), Bursts(2) } }) {
    ForEachSetup([&](size_t aInstances, bool aByWork) {
      std::vector<KindResult> results =
        Cluster({ { .m_workspace = "urgent",
                    .m_work = Milliseconds(9),
                    .m_load = loads.m_urgent },
                  { .m_priority = 1,
                    .m_workspace = "less",
                    .m_work = Milliseconds(28),
                    .m_target = Milliseconds(300),
                    .m_load = loads.m_less } },
                aInstances,
                aByWork)
          .Play(1);
      DOCTEST_MESSAGE("served ",
                      results[0].ServedShare(),
                      " and ",
                      results[1].ServedShare(),
                      ", in time ",
                      results[0].InTimeShare(),
                      " and ",
                      results[1].InTimeShare());
      DOCTEST_CHECK(results[1].ServedShare() <=
                    results[0].ServedShare() + 0.05);
      DOCTEST_CHECK(results[1].InTimeShare() <=
                    results[0].InTimeShare() + 0.05);
    });
  }
}

// Guards against a workspace that gets nothing while another one sends seven
// times its usual.
DOCTEST_TEST_CASE("no workspace starves while another one sends too much")
{
  ForEachSetup([](size_t aInstances, bool aByWork) {
    std::vector<KindResult> results =
      Cluster({ { .m_workspace = "loud", .m_load = Always(1.75) },
                { .m_workspace = "a", .m_load = Always(0.25) },
                { .m_workspace = "b", .m_load = Always(0.25) } },
              aInstances,
              aByWork)
        .Play(1);
    double served = 0;
    double sent = 0;
    for (const KindResult& result : results) {
      served += result.m_served;
      sent += result.m_sent;
    }
    for (const KindResult& result : results) {
      DOCTEST_MESSAGE("served ", result.ServedShare());
      DOCTEST_CHECK(result.ServedShare() >= served / sent / 4);
    }
    // Those that send what they have always sent keep it.
    DOCTEST_CHECK(results[1].ServedShare() > 0.95);
    DOCTEST_CHECK(results[2].ServedShare() > 0.95);
  });
}

DOCTEST_TEST_CASE("a less urgent kind gets what the more urgent one leaves")
{
  ForEachSetup([](size_t aInstances, bool aByWork) {
    std::vector<KindResult> results =
      Cluster(
        { { .m_load = Always(0.5) }, { .m_priority = 1, .m_load = Always(1) } },
        aInstances,
        aByWork)
        .Play(1);
    DOCTEST_MESSAGE("served ", results[1].ServedShare());
    DOCTEST_CHECK(results[1].ServedShare() > 0.4);
  });
}

// Guards against refusals that cost callers their target latency, and against
// callers that return all at once.
DOCTEST_TEST_CASE("refusals come within a quarter of the target latency, and "
                  "their retry delays are spread")
{
  ForEachSetup([](size_t aInstances, bool aByWork) {
    std::vector<KindResult> results =
      Cluster({ { .m_load = Always(0.8) },
                { .m_priority = 1, .m_load = Always(1.5) } },
              aInstances,
              aByWork)
        .Play(1);
    const KindResult& refused = results[1];
    DOCTEST_REQUIRE(refused.m_retryAfter.size() > 100);
    DOCTEST_CHECK(refused.m_latestRefusal <= 0.25);
    // No tenth of the range of delays has more than three tenths of the
    // callers.
    auto [least, greatest] = std::ranges::minmax(refused.m_retryAfter);
    DOCTEST_CHECK(least > Duration{});
    DOCTEST_CHECK(greatest >= least * 3 / 2);
    std::vector<size_t> counts(10);
    for (Duration delay : refused.m_retryAfter) {
      auto tenth = 10 * (delay - least) / (greatest - least + Duration(1));
      ++counts[static_cast<size_t>(tenth)];
    }
    DOCTEST_CHECK(std::ranges::max(counts) <=
                  refused.m_retryAfter.size() * 3 / 10);
  });
}

} // namespace
} // namespace ebonykeel
