// A simulated fleet for tests: instances with clocks of their own, a network
// that loses, repeats and delays messages, partitions, freezes, restarts and
// changes of the configuration.
//
//   QuotaFleetSimulation fleet(options, seed);
//   fleet.SetDemand("w", 120);
//   fleet.Run(Seconds(20));
//   fleet.WorstExcess();
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/quota/quota_coordinator.h"

namespace ebonykeel {

struct QuotaSimulationOptions
{
  size_t m_dataCentres = 3;
  size_t m_instancesPerDataCentre = 3;
  // The number of instances in each data centre that take callers.
  size_t m_namedPerDataCentre = 2;
  QuotaSettings m_settings;
  std::vector<Workspace> m_workspaces;
  // Clocks run up to this much faster or slower.
  double m_clockDrift = 0.01;
  // The share of admitted requests that are refused later without having run.
  double m_refusedLater = 0;
  // The greatest weight of an instance in the division of the demand, the least
  // being 1.
  double m_unevenness = 4;
};

struct QuotaNetworkFaults
{
  double m_loss = 0;
  double m_repetition = 0;
  double m_delay = 0;
  Duration m_maxDelay = Milliseconds(1500);
};

// The fate of the requests of a workspace since the last reset.
struct QuotaTally
{
  uint64_t m_sent = 0;
  uint64_t m_run = 0;
  uint64_t m_refused = 0;
  uint64_t m_callerGone = 0;
};

class QuotaFleetSimulation
{
public:
  QuotaFleetSimulation(QuotaSimulationOptions aOptions, uint64_t aSeed);

  // Sets the requests per second of a workspace over all instances.
  void SetDemand(const std::string& aWorkspace, double aRate);
  // Lets nearly all callers use one instance.
  void MoveCallersTo(size_t aInstance);
  void SetFaults(const QuotaNetworkFaults& aFaults) { m_faults = aFaults; }
  // Puts instances on sides that cannot reach each other.
  void SetSide(size_t aInstance, int aSide);
  void SetSideOfDataCentre(size_t aDataCentre, int aSide);
  void HealPartitions();
  void Freeze(size_t aInstance, Duration aFor);
  // Ends the process and starts another one after `aDownFor`.
  void Restart(size_t aInstance, Duration aDownFor);
  // Sets the limits; each instance applies them with a delay of its own, and
  // one that is cut off after the partition.
  void Configure(std::vector<Workspace> aWorkspaces, Duration aMaxDelay);

  void Run(Duration aFor);

  // The number of requests that ran beyond the bound in the worst window; at
  // most 0 if the bound was kept; minus infinity if none ran.
  [[nodiscard]] double WorstExcess() const;
  [[nodiscard]] QuotaTally Tally(const std::string& aWorkspace) const;
  void ResetTallies() { m_tallies.clear(); }
  [[nodiscard]] size_t InstanceCount() const { return m_instances.size(); }
  // Returns the number of messages that were sent, and an estimate of their
  // bytes in datagrams.
  [[nodiscard]] uint64_t MessageCount() const { return m_messageCount; }
  [[nodiscard]] uint64_t MessageBytes() const { return m_messageBytes; }
  [[nodiscard]] const QuotaCoordinator* Process(size_t aInstance) const;
  [[nodiscard]] TimePoint LocalNow(size_t aInstance) const;
  // Whether two instances of one data centre were granters of a group at the
  // same time.
  [[nodiscard]] bool HadTwoGranters() const { return m_hadTwoGranters; }

private:
  struct Limits
  {
    double m_rate = 0;
    double m_burst = 0;
  };
  // What one instance sees of another.
  struct Sight
  {
    bool m_isAlive = false;
    // When the sight follows the truth.
    std::optional<TimePoint> m_changesAt;
  };
  struct Instance
  {
    FleetRecord m_record;
    std::unique_ptr<QuotaCoordinator> m_process;
    double m_clockRate = 1;
    Duration m_clockOffset{};
    double m_weight = 1;
    bool m_takesCallers = false;
    int m_side = 0;
    bool m_hadContact = false;
    TimePoint m_frozenUntil;
    TimePoint m_startsAt;
    TimePoint m_nextTick;
    std::vector<Sight> m_sights;
    // Messages and requests that arrived while it was frozen.
    std::vector<std::pair<size_t, QuotaMessage>> m_backlog;
    std::vector<Workspace> m_workspaces;
    uint64_t m_version = 0;
    std::optional<TimePoint> m_configuresAt;
  };
  struct Delivery
  {
    TimePoint m_at;
    uint64_t m_number = 0;
    size_t m_from = 0;
    size_t m_to = 0;
    QuotaMessage m_message;

    friend bool operator<(const Delivery& aLeft, const Delivery& aRight)
    {
      return std::pair(aLeft.m_at, aLeft.m_number) >
             std::pair(aRight.m_at, aRight.m_number);
    }
  };
  struct PendingRequest
  {
    std::string m_workspace;
    size_t m_instance = 0;
  };
  // The greatest limits that were in force anywhere since a time.
  struct LimitsSince
  {
    TimePoint m_at;
    Limits m_limits;
  };

  [[nodiscard]] double Random();
  [[nodiscard]] Duration RandomSpan(Duration aMin, Duration aMax);
  [[nodiscard]] bool IsReachable(size_t aFrom, size_t aTo) const;
  [[nodiscard]] bool IsFrozen(const Instance& aInstance) const;
  void StartProcess(size_t aInstance);
  void UpdateSights(size_t aInstance);
  void Tick(size_t aInstance);
  void ApplyConfiguration(size_t aInstance);
  void RecordLimits();
  void Send(size_t aFrom, const OutgoingQuotaMessage& aOutgoing);
  void Deliver(const Delivery& aDelivery);
  void Flush(size_t aInstance);
  void SendRequests();
  void Settle(uint64_t aId,
              const PendingRequest& aRequest,
              const QuotaDecision& aDecision);
  void CheckGranters();
  [[nodiscard]] Limits GreatestLimits(const std::string& aWorkspace,
                                      TimePoint aFrom,
                                      TimePoint aTo) const;

  QuotaSimulationOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now{ Seconds(1000) };
  std::vector<Instance> m_instances;
  std::map<std::string, size_t> m_indexes;
  std::map<std::string, double> m_demand;
  QuotaNetworkFaults m_faults;
  std::priority_queue<Delivery> m_deliveries;
  uint64_t m_messageCount = 0;
  uint64_t m_messageBytes = 0;
  uint64_t m_nextId = 1;
  uint64_t m_nextProcessStart = 1;
  std::map<uint64_t, PendingRequest> m_pending;
  std::map<std::string, std::vector<TimePoint>> m_runs;
  std::map<std::string, QuotaTally> m_tallies;
  std::vector<Workspace> m_configuration;
  uint64_t m_configurationVersion = 1;
  std::map<std::string, std::vector<LimitsSince>> m_limits;
  bool m_hadTwoGranters = false;
};

} // namespace ebonykeel
