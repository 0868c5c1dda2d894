// Simulates a cluster of upstreams in virtual time. It answers, loses, refuses,
// duplicates and mismatches sub-answers and changes the configuration while
// queries run. For tests only. The same parameters give the same history.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "core/query/testing/history.h"

namespace ebonykeel::testing {

// The faults, in percent of sub-queries, and the configuration changes.
struct Faults
{
  uint64_t m_seed = 1;
  int m_lostPercent = 0;
  int m_duplicatedPercent = 0;
  int m_mismatchedPercent = 0;
  int m_refusedPercent = 0;
  int m_partialPercent = 0;
  int m_stragglerPercent = 0;
  bool m_newVersion = false;
  bool m_repartition = false;
  bool m_withdrawal = false;
  bool m_drain = false;
  Preference m_preference = Preference::kCoverage;
};

// Runs queries over two services until all are answered.
class SimulatedCluster
{
public:
  SimulatedCluster(const Faults& aFaults,
                   HedgePolicy& aHedges,
                   RetryBudget& aRetries);

  // Runs `aQueries` queries, started 3 ms apart, and returns their history.
  [[nodiscard]] History Run(size_t aQueries);

private:
  void ChangeConfiguration(const std::function<void(Configuration&)>& aEdit);
  void ScheduleChanges();
  void Repartition(ServiceConfig& aService);
  void StartQuery();
  void Perform(size_t aQuery, const std::vector<QueryAction>& aActions);
  void ScheduleAnswer(size_t aQuery, const SubQuery& aSubQuery);
  void Deliver(size_t aQuery, const SubAnswer& aAnswer);
  [[nodiscard]] SubAnswer AnswerFor(const SubQuery& aSubQuery);
  [[nodiscard]] SubAnswer MakeMismatched(SubAnswer aAnswer);
  [[nodiscard]] bool DrawPercent(int aPercent);
  void Schedule(TimePoint aTime, std::function<void()> aEvent);
  void RunTimers();

  Faults m_faults;
  std::mt19937_64 m_random;
  TimePoint m_now;
  SnapshotTracker m_snapshots;
  AdaptiveSelector m_selector;
  QueryDependencies m_dependencies;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<std::unique_ptr<QueryRun>> m_runs;
  std::vector<SubQuery> m_sent;
  std::map<UpstreamId, std::set<IndexVersion>> m_held;
  Configuration m_configuration;
  History m_history;
};

} // namespace ebonykeel::testing
