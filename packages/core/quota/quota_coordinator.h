// An instance's part in the quotas of the fleet: spends tokens, votes for
// granters, and grants tokens when it is one.
//
//   QuotaCoordinator quota(options, now);
//   quota.SetWorkspaces(config.m_workspaces, now);
//   quota.SetFleet(fleet, now);
//   QuotaDecision decision = quota.Admit(workspace, id, maxWait, now);
//   for (auto& [host, message] : quota.TakeMessages(now)) { ... send it ... }
//   for (auto& [id, decision] : quota.TakeDecisions()) { ... }
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/config/forward_settings.h"
#include "core/fleet/fleet_message.h"
#include "core/quota/granter_choice.h"
#include "core/quota/granter_election.h"
#include "core/quota/quota_granter.h"
#include "core/quota/quota_leases.h"
#include "core/quota/quota_message.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

struct QuotaCoordinatorOptions
{
  QuotaSettings m_settings;
  DataCentre m_dataCentre;
  // The address of this instance.
  std::string m_host;
  // Distinguishes runs of this process.
  uint64_t m_processStart = 0;
  // How long lost instances of the data centre are remembered.
  Duration m_memberRetention = Seconds(300);
};

// What an instance knows of the fleet.
struct QuotaFleet
{
  // This instance and the others that are alive, suspected or leaving.
  std::vector<FleetRecord> m_liveInstances;
  // The instances that the directory names to callers.
  std::set<std::string> m_namedHosts;
  // Whether there may be others, because this instance has heard of none since
  // its start although it has addresses of some.
  bool m_mayBeIncomplete = false;
  // Whether other instances were heard lately. One that hears none keeps its
  // part of the reserve: it cannot know who else has one.
  bool m_isInContact = false;
};

struct OutgoingQuotaMessage
{
  std::string m_host;
  QuotaMessage m_message;
};

class QuotaCoordinator
{
public:
  QuotaCoordinator(QuotaCoordinatorOptions aOptions, TimePoint aNow);
  QuotaCoordinator(const QuotaCoordinator&) = delete;
  QuotaCoordinator& operator=(const QuotaCoordinator&) = delete;

  void SetFleet(const QuotaFleet& aFleet, TimePoint aNow);
  void SetWorkspaces(std::span<const Workspace> aWorkspaces, TimePoint aNow);

  // See `QuotaLeases`.
  [[nodiscard]] QuotaDecision Admit(const Workspace& aWorkspace,
                                    uint64_t aId,
                                    Duration aMaxWait,
                                    TimePoint aNow);
  void Cancel(uint64_t aId);
  void GiveBack(const std::string& aWorkspace,
                TimePoint aTokenExpiresAt,
                TimePoint aNow);

  void OnMessage(const FleetRecord& aSender,
                 const QuotaMessage& aMessage,
                 TimePoint aNow);
  void OnTimer(TimePoint aNow);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] std::vector<OutgoingQuotaMessage> TakeMessages(TimePoint aNow);
  [[nodiscard]] std::vector<std::pair<uint64_t, QuotaDecision>> TakeDecisions();

  [[nodiscard]] const QuotaLeases& Leases() const { return m_leases; }
  [[nodiscard]] const QuotaGranter& Granter() const { return m_granter; }
  [[nodiscard]] QuotaGroupSet GrantedGroups(TimePoint aNow) const
  {
    return m_election.GrantedGroups(aNow);
  }

private:
  QuotaCoordinatorOptions m_options;
  QuotaPolicy m_policy;
  TimePoint m_startedAt;
  DataCentreMembers m_members;
  GranterElection m_election;
  QuotaGranter m_granter;
  QuotaLeases m_leases;
  std::vector<OutgoingQuotaMessage> m_outgoing;
};

} // namespace ebonykeel
