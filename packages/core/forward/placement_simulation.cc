#include "core/forward/placement_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "core/forward/latency_model.h"
#include "core/forward/work_model.h"
#include "core/replica/replica_load.h"

namespace ebonykeel {
namespace {

constexpr TimePoint kStart{ Seconds(1000) };
constexpr Duration kPauseInterval = Seconds(6);
constexpr Duration kPauseLength = Milliseconds(250);
constexpr Duration kSlowFrom = Seconds(20);
constexpr Duration kSlowUntil = Seconds(30);
constexpr double kSlowFactor = 8;
// The step in which an upstream's progress is computed.
constexpr Duration kStep = std::chrono::microseconds(250);

class Scheduler
{
public:
  [[nodiscard]] TimePoint Now() const { return m_now; }
  void At(TimePoint aTime, std::function<void()> aEvent)
  {
    m_events.emplace(aTime, std::move(aEvent));
  }
  void Run()
  {
    while (!m_events.empty()) {
      auto next = m_events.extract(m_events.begin());
      m_now = next.key();
      next.mapped()();
    }
  }

private:
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
};

// A server process that starts requests in the order of their arrival.
class SimulatedUpstream
{
public:
  SimulatedUpstream(Scheduler& aScheduler,
                    const PlacementScenario& aScenario,
                    size_t aIndex)
    : m_scheduler(aScheduler)
    , m_scenario(aScenario)
    , m_index(aIndex)
  {
  }

  void Receive(Duration aWork, std::function<void()> aAnswer)
  {
    m_queue.push_back({ aWork, std::move(aAnswer) });
    StartNext();
  }

private:
  struct Request
  {
    Duration m_work;
    std::function<void()> m_answer;
  };

  void StartNext()
  {
    if (m_running == m_scenario.m_slots || m_queue.empty()) {
      return;
    }
    ++m_running;
    Request request = std::move(m_queue.front());
    m_queue.pop_front();
    m_scheduler.At(EndOf(request.m_work), [this, answer = request.m_answer]() {
      --m_running;
      StartNext();
      answer();
    });
  }
  [[nodiscard]] TimePoint EndOf(Duration aWork) const
  {
    auto left = static_cast<double>(aWork.count());
    TimePoint time = m_scheduler.Now();
    while (left > 0) {
      double speed = SpeedAt(time);
      auto done = speed * static_cast<double>(kStep.count());
      time +=
        done < left ? kStep : Duration(static_cast<int64_t>(left / speed));
      left -= done;
    }
    return time;
  }
  [[nodiscard]] double SpeedAt(TimePoint aTime) const
  {
    Duration sinceStart = aTime - kStart;
    auto replicas = static_cast<int64_t>(m_scenario.m_speeds.size());
    Duration phase = kPauseInterval * static_cast<int64_t>(m_index) / replicas;
    if (m_scenario.m_pauses &&
        (sinceStart + phase) % kPauseInterval < kPauseLength) {
      return 0;
    }
    bool isSlow = m_scenario.m_slowPhase && m_index == 1 &&
                  sinceStart >= kSlowFrom && sinceStart < kSlowUntil;
    return m_scenario.m_speeds[m_index] / (isSlow ? kSlowFactor : 1);
  }

  Scheduler& m_scheduler;
  const PlacementScenario& m_scenario;
  size_t m_index;
  std::deque<Request> m_queue;
  uint32_t m_running = 0;
};

struct SimulatedRequest
{
  size_t m_kind = 0;
  Duration m_work{};
  TimePoint m_arrivedAt;
};

// An instance, with its own knowledge of the upstreams.
class Sender
{
public:
  using Report = std::function<void(const SimulatedRequest&)>;

  Sender(Scheduler& aScheduler,
         const PlacementScenario& aScenario,
         TrialPolicy aPolicy,
         std::vector<std::unique_ptr<SimulatedUpstream>>& aUpstreams,
         uint64_t aSeed,
         Report aReport)
    : m_scheduler(aScheduler)
    , m_policy(aPolicy)
    , m_upstreams(aUpstreams)
    , m_random(aSeed)
    , m_report(std::move(aReport))
    , m_load({ .m_dataCentre = DataCentre("here"),
               .m_placeByWork = aPolicy != TrialPolicy::kLatency })
  {
    for (const TrialKind& kind : aScenario.m_kinds) {
      m_routes.push_back({ .m_name = "r" + std::to_string(m_routes.size()),
                           .m_targetLatency = kind.m_targetLatency });
    }
    for (size_t i = 0; i < aScenario.m_speeds.size(); ++i) {
      m_replicas.push_back(std::make_shared<const Replica>(
        Replica{ .m_id = std::to_string(i),
                 .m_dataCentre = DataCentre("here"),
                 .m_slots = aScenario.m_slots }));
    }
  }

  void Receive(const SimulatedRequest& aRequest)
  {
    m_waiting.push_back(aRequest);
    SendWaiting();
  }

private:
  void SendWaiting()
  {
    while (!m_waiting.empty() && TrySend(m_waiting.front())) {
      m_waiting.pop_front();
    }
  }
  [[nodiscard]] bool TrySend(const SimulatedRequest& aRequest)
  {
    TimePoint now = m_scheduler.Now();
    const Route& route = m_routes[aRequest.m_kind];
    ExpectedWork work = m_model.Expect(route, "", now);
    Duration typical = m_policy == TrialPolicy::kLatency
                         ? m_latencies.Typical(route)
                         : work.Mean();
    std::vector<ReplicaPtr> candidates = m_replicas;
    if (m_policy == TrialPolicy::kTwoChoices) {
      std::erase_if(candidates, [this, now](const ReplicaPtr& aReplica) {
        return !m_load.HasQueueCapacity(*aReplica, now);
      });
      std::ranges::shuffle(candidates, m_random);
      candidates.resize(std::min<size_t>(candidates.size(), 2));
    }
    const ReplicaPtr* chosen = m_load.Choose(candidates, {}, typical, now);
    if (chosen == nullptr) {
      return false;
    }
    ReplicaPtr replica = *chosen;
    m_load.OnSent(*replica, now, work);
    m_upstreams[std::stoul(replica->m_id)]->Receive(
      aRequest.m_work, [this, aRequest, replica, now]() {
        OnAnswered(aRequest, *replica, now);
      });
    return true;
  }
  void OnAnswered(const SimulatedRequest& aRequest,
                  const Replica& aReplica,
                  TimePoint aSentAt)
  {
    TimePoint now = m_scheduler.Now();
    const Route& route = m_routes[aRequest.m_kind];
    auto sample =
      m_load.OnAnswered(aReplica, aSentAt, m_latencies.Typical(route), now);
    if (sample) {
      m_model.Add(route, "", sample->m_expected, sample->m_seen, now);
    }
    m_latencies.Add(route, now - aSentAt);
    m_report(aRequest);
    SendWaiting();
  }

  Scheduler& m_scheduler;
  TrialPolicy m_policy;
  std::vector<std::unique_ptr<SimulatedUpstream>>& m_upstreams;
  std::mt19937_64 m_random;
  Report m_report;
  ReplicaLoad m_load;
  LatencyModel m_latencies;
  WorkModel m_model;
  std::vector<Route> m_routes;
  std::vector<ReplicaPtr> m_replicas;
  std::deque<SimulatedRequest> m_waiting;
};

// Returns the arrivals of a scenario, which are the same for all policies.
std::vector<SimulatedRequest>
DrawArrivals(const PlacementScenario& aScenario, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> shares;
  double meanWork = 0;
  double shareSum = 0;
  for (const TrialKind& kind : aScenario.m_kinds) {
    shares.push_back(kind.m_share);
    shareSum += kind.m_share;
    meanWork += kind.m_share * static_cast<double>(kind.m_medianWork.count()) *
                std::exp(kind.m_logSpread * kind.m_logSpread / 2);
  }
  meanWork /= shareSum;
  double capacity = 0;
  for (double speed : aScenario.m_speeds) {
    capacity += speed * aScenario.m_slots;
  }
  std::exponential_distribution<double> interval(aScenario.m_load * capacity /
                                                 meanWork);
  std::discrete_distribution<size_t> kinds(shares.begin(), shares.end());
  std::normal_distribution<double> normal;
  std::vector<SimulatedRequest> arrivals;
  TimePoint time = kStart;
  while (time < kStart + aScenario.m_length) {
    time += Duration(static_cast<int64_t>(interval(random)));
    size_t number = kinds(random);
    const TrialKind& kind = aScenario.m_kinds[number];
    double work = static_cast<double>(kind.m_medianWork.count()) *
                  std::exp(kind.m_logSpread * normal(random));
    arrivals.push_back({ .m_kind = number,
                         .m_work = Duration(static_cast<int64_t>(work)),
                         .m_arrivedAt = time });
  }
  return arrivals;
}

} // namespace

std::vector<PlacementScenario>
PlacementScenarios()
{
  std::vector<TrialKind> mixed = {
    { .m_medianWork = Milliseconds(9), .m_targetLatency = Milliseconds(120) },
    { .m_medianWork = Milliseconds(28), .m_targetLatency = Milliseconds(300) }
  };
  std::vector<TrialKind> alike = { { .m_medianWork = Milliseconds(12),
                                     .m_targetLatency = Milliseconds(120) } };
  std::vector<TrialKind> spread = { { .m_medianWork = Milliseconds(9),
                                      .m_logSpread = 1.1,
                                      .m_targetLatency = Milliseconds(200) } };
  return {
    { .m_name = "mixed works, load 0.5", .m_kinds = mixed, .m_load = 0.5 },
    { .m_name = "mixed works, load 0.85", .m_kinds = mixed, .m_load = 0.85 },
    { .m_name = "mixed works, load 0.5, a slow phase",
      .m_kinds = mixed,
      .m_load = 0.5,
      .m_slowPhase = true },
    { .m_name = "mixed works, load 0.1, a slow phase",
      .m_kinds = mixed,
      .m_load = 0.1,
      .m_slowPhase = true },
    { .m_name = "one kind, load 0.6", .m_kinds = alike, .m_load = 0.6 },
    { .m_name = "one kind, heavy spread, load 0.8",
      .m_kinds = spread,
      .m_load = 0.8 },
  };
}

PlacementResult
SimulatePlacement(const PlacementScenario& aScenario,
                  TrialPolicy aPolicy,
                  uint64_t aSeed)
{
  Scheduler scheduler;
  std::vector<std::unique_ptr<SimulatedUpstream>> upstreams;
  for (size_t i = 0; i < aScenario.m_speeds.size(); ++i) {
    upstreams.push_back(
      std::make_unique<SimulatedUpstream>(scheduler, aScenario, i));
  }
  std::vector<Duration> latencies;
  size_t inTime = 0;
  auto report = [&](const SimulatedRequest& aRequest) {
    Duration latency = scheduler.Now() - aRequest.m_arrivedAt;
    latencies.push_back(latency);
    inTime +=
      latency <= aScenario.m_kinds[aRequest.m_kind].m_targetLatency ? 1 : 0;
  };
  std::vector<std::unique_ptr<Sender>> senders;
  for (size_t i = 0; i < aScenario.m_senders; ++i) {
    senders.push_back(std::make_unique<Sender>(
      scheduler, aScenario, aPolicy, upstreams, aSeed + i, report));
  }
  std::mt19937_64 random(aSeed);
  for (const SimulatedRequest& request : DrawArrivals(aScenario, aSeed)) {
    Sender& sender = *senders[random() % senders.size()];
    scheduler.At(request.m_arrivedAt,
                 [&sender, request]() { sender.Receive(request); });
  }
  scheduler.Run();
  std::ranges::sort(latencies);
  size_t count = latencies.size();
  return { .m_p50 = latencies[count / 2],
           .m_p99 = latencies[count * 99 / 100],
           .m_inTime =
             static_cast<double>(inTime) / static_cast<double>(count) };
}

} // namespace ebonykeel
