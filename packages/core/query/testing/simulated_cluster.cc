#include "core/query/testing/simulated_cluster.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace ebonykeel::testing {
namespace {

constexpr BootId kBoot = 0xb007;
constexpr Duration kQueryInterval = Milliseconds(3);
constexpr Duration kQueryTimeout = Milliseconds(120);

ServiceConfig
MakeService(const std::string& aName, int aShards, IndexVersion aVersion)
{
  ServiceConfig service{ .m_name = ServiceName(aName),
                         .m_indexVersion = aVersion };
  service.m_target.m_latency = Milliseconds(40);
  service.m_sufficientCoverage = 0.7;
  for (int number = 0; number < aShards; ++number) {
    ShardConfig& shard = service.m_shards.emplace_back();
    shard.m_name = ShardName(absl::StrCat("s", number));
    for (int replica = 0; replica < 3; ++replica) {
      shard.m_replicas.push_back(
        { .m_id = UpstreamId(absl::StrCat(aName, number, "-", replica)),
          .m_dataCentre = DataCentre(absl::StrCat("dc", replica)) });
    }
  }
  return service;
}

} // namespace

SimulatedCluster::SimulatedCluster(const Faults& aFaults,
                                   HedgePolicy& aHedges,
                                   RetryBudget& aRetries)
  : m_faults(aFaults)
  , m_random(aFaults.m_seed)
  , m_selector({ .m_ownDataCentre = DataCentre("dc0") }, m_random)
  , m_dependencies{ m_snapshots, m_selector, aHedges, aRetries }
{
}

History
SimulatedCluster::Run(size_t aQueries)
{
  ChangeConfiguration([](Configuration& aConfiguration) {
    aConfiguration.m_services = { MakeService("a", 6, 10),
                                  MakeService("b", 4, 20) };
  });
  for (const UpstreamConfig& upstream : m_snapshots.UsableUpstreams()) {
    m_held[upstream.m_id] = { 10, 20 };
  }
  for (size_t query = 0; query < aQueries; ++query) {
    Schedule(m_now + query * kQueryInterval, [this] { StartQuery(); });
  }
  ScheduleChanges();
  while (!m_events.empty()) {
    auto event = m_events.extract(m_events.begin());
    m_now = event.key();
    event.mapped()();
    RunTimers();
  }
  return m_history;
}

void
SimulatedCluster::ChangeConfiguration(
  const std::function<void(Configuration&)>& aEdit)
{
  aEdit(m_configuration);
  ++m_configuration.m_generation;
  auto inForce = std::make_shared<const Configuration>(m_configuration);
  m_snapshots.OnConfiguration(inForce);
  m_selector.OnConfiguration(inForce);
  m_history.m_events.push_back({ .m_kind = Event::Kind::kConfiguration,
                                 .m_at = m_now,
                                 .m_configuration = inForce });
}

void
SimulatedCluster::ScheduleChanges()
{
  auto soon = [&] { return m_now + Milliseconds(2 + m_random() % 60); };
  if (m_faults.m_newVersion || m_faults.m_repartition) {
    for (auto& [upstream, versions] : m_held) {
      Schedule(soon(), [&held = versions] { held.insert(11); });
      Schedule(soon(), [&held = versions] { held.erase(10); });
    }
    Schedule(soon(), [this] {
      ChangeConfiguration([this](Configuration& aConfiguration) {
        ServiceConfig& service = aConfiguration.m_services[0];
        service.m_indexVersion = 11;
        if (m_faults.m_repartition) {
          Repartition(service);
        }
      });
    });
  }
  if (m_faults.m_withdrawal) {
    DataCentre out(absl::StrCat("dc", m_random() % 3));
    Schedule(soon(), [this, out] {
      ChangeConfiguration([&](Configuration& aConfiguration) {
        aConfiguration.m_withdrawnDataCentres.insert(out);
      });
    });
  }
  if (m_faults.m_drain) {
    Schedule(soon(), [this] {
      ChangeConfiguration([&](Configuration& aConfiguration) {
        aConfiguration.m_drainedUpstreams.insert(UpstreamId("a0-0"));
        aConfiguration.m_drainedUpstreams.insert(UpstreamId("a0-1"));
      });
    });
  }
}

// Changes the shard map: splits the shard s0 into s0-lower and s0-upper.
void
SimulatedCluster::Repartition(ServiceConfig& aService)
{
  ShardConfig third = aService.m_shards[0];
  third.m_name = ShardName("s0-upper");
  aService.m_shards[0].m_name = ShardName("s0-lower");
  aService.m_shards.insert(aService.m_shards.begin(), third);
}

void
SimulatedCluster::StartQuery()
{
  size_t number = m_runs.size();
  QueryRequest request{ .m_requestId = RequestId(absl::StrCat("r", number)),
                        .m_services = { ServiceName("a"), ServiceName("b") },
                        .m_text = absl::StrCat("q", number),
                        .m_limit = 30,
                        .m_arrival = m_now,
                        .m_deadline = m_now + kQueryTimeout,
                        .m_preference = m_faults.m_preference };
  m_history.m_queries.push_back(request);
  m_runs.push_back(std::make_unique<QueryRun>(
    request, m_dependencies, SubQueryIds(kBoot, number)));
  Perform(number, m_runs.back()->Start(m_now));
}

void
SimulatedCluster::Perform(size_t aQuery,
                          const std::vector<QueryAction>& aActions)
{
  for (const QueryAction& action : aActions) {
    Event event{ .m_at = m_now, .m_query = aQuery };
    if (const auto* send = std::get_if<SendSubQuery>(&action)) {
      event.m_kind = Event::Kind::kSend;
      event.m_send = *send;
      m_sent.push_back(send->m_subQuery);
      ScheduleAnswer(aQuery, send->m_subQuery);
    } else if (const auto* cancel = std::get_if<CancelSubQuery>(&action)) {
      event.m_kind = Event::Kind::kCancel;
      event.m_cancelled = cancel->m_id;
    } else {
      event.m_kind = Event::Kind::kFinish;
      event.m_finish = std::get<Finish>(action).m_answer;
    }
    m_history.m_events.push_back(std::move(event));
  }
}

void
SimulatedCluster::ScheduleAnswer(size_t aQuery, const SubQuery& aSubQuery)
{
  if (DrawPercent(m_faults.m_lostPercent)) {
    return;
  }
  Duration latency = std::chrono::microseconds(1000 + m_random() % 8000);
  if (DrawPercent(m_faults.m_stragglerPercent)) {
    latency *= 12;
  }
  Schedule(m_now + latency, [this, aQuery, aSubQuery] {
    SubAnswer answer = AnswerFor(aSubQuery);
    if (DrawPercent(m_faults.m_mismatchedPercent)) {
      answer = MakeMismatched(std::move(answer));
    }
    Deliver(aQuery, answer);
    if (DrawPercent(m_faults.m_duplicatedPercent)) {
      Deliver(aQuery, answer);
    }
    if (DrawPercent(m_faults.m_mismatchedPercent)) {
      Deliver(m_random() % m_runs.size(), answer);
    }
  });
}

SubAnswer
SimulatedCluster::AnswerFor(const SubQuery& aSubQuery)
{
  SubAnswer answer{ .m_id = aSubQuery.m_id,
                    .m_upstream = aSubQuery.m_upstream,
                    .m_shard = aSubQuery.m_shard,
                    .m_indexVersion = aSubQuery.m_indexVersion };
  if (!m_held[aSubQuery.m_upstream].contains(aSubQuery.m_indexVersion)) {
    answer.m_reason = MissingReason::kVersionNotHeld;
    return answer;
  }
  if (DrawPercent(m_faults.m_refusedPercent)) {
    constexpr MissingReason kReasons[] = { MissingReason::kShed,
                                           MissingReason::kUnreachable,
                                           MissingReason::kWithdrawn,
                                           MissingReason::kNoOwner };
    answer.m_reason = kReasons[m_random() % std::size(kReasons)];
    return answer;
  }
  answer.m_whole = !DrawPercent(m_faults.m_partialPercent);
  answer.m_hits = { HitFor(aSubQuery, 0.01 * (m_random() % 100)) };
  return answer;
}

// Replaces the answer's id by another sub-query's or an unknown one, or its
// shard or index version by a wrong one.
SubAnswer
SimulatedCluster::MakeMismatched(SubAnswer aAnswer)
{
  const SubQuery& other = m_sent[m_random() % m_sent.size()];
  switch (m_random() % 4) {
    case 0:
      if (other.m_upstream != aAnswer.m_upstream) {
        aAnswer.m_id = other.m_id;
      }
      break;
    case 1:
      aAnswer.m_shard = ShardName("unknown-shard");
      break;
    case 2:
      aAnswer.m_indexVersion += 1;
      break;
    default:
      aAnswer.m_id = absl::StrCat("unknown-", aAnswer.m_id);
  }
  return aAnswer;
}

void
SimulatedCluster::Deliver(size_t aQuery, const SubAnswer& aAnswer)
{
  m_history.m_events.push_back({ .m_kind = Event::Kind::kDeliver,
                                 .m_at = m_now,
                                 .m_query = aQuery,
                                 .m_answer = aAnswer });
  Perform(aQuery, m_runs[aQuery]->OnSubAnswer(aAnswer, m_now));
}

bool
SimulatedCluster::DrawPercent(int aPercent)
{
  return static_cast<int>(m_random() % 100) < aPercent;
}

void
SimulatedCluster::Schedule(TimePoint aTime, std::function<void()> aEvent)
{
  m_events.emplace(aTime, std::move(aEvent));
}

// Runs the timers that are due before the next event, each at its time.
void
SimulatedCluster::RunTimers()
{
  while (true) {
    QueryRun* next = nullptr;
    for (const auto& run : m_runs) {
      bool sooner = run->NextTimer() &&
                    (next == nullptr || *run->NextTimer() < *next->NextTimer());
      next = sooner ? run.get() : next;
    }
    bool due =
      next != nullptr &&
      (m_events.empty() || *next->NextTimer() <= m_events.begin()->first);
    if (!due) {
      return;
    }
    m_now = std::max(m_now, *next->NextTimer());
    auto query =
      std::ranges::find(m_runs, next, &std::unique_ptr<QueryRun>::get);
    Perform(static_cast<size_t>(query - m_runs.begin()), next->OnTimer(m_now));
    if (next->NextTimer() && *next->NextTimer() <= m_now) {
      ++m_history.m_timersStillDue;
      return;
    }
  }
}

} // namespace ebonykeel::testing
