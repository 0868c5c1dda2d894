#include "core/quota/quota_coordinator.h"

#include <algorithm>
#include <iterator>

namespace ebonykeel {
namespace {

template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

QuotaCoordinator::QuotaCoordinator(QuotaCoordinatorOptions aOptions,
                                   TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_policy(m_options.m_settings)
  , m_startedAt(aNow)
  , m_members(m_options.m_memberRetention)
  , m_election(m_options.m_host, m_options.m_processStart, {}, aNow)
  , m_granter(m_policy, m_election)
  , m_leases(m_policy,
             { .m_host = m_options.m_host,
               .m_processStart = m_options.m_processStart })
{
}

void
QuotaCoordinator::SetFleet(const QuotaFleet& aFleet, TimePoint aNow)
{
  m_members.Update(aFleet.m_liveInstances, aNow);
  bool mayBeIncomplete = aFleet.m_mayBeIncomplete &&
                         aNow - m_startedAt < m_options.m_memberRetention;
  const std::vector<DataCentre>& dataCentres =
    m_options.m_settings.m_dataCentres;
  std::vector<QuotaGranters> granters = ChooseGranters(aFleet.m_liveInstances,
                                                       aFleet.m_namedHosts,
                                                       dataCentres,
                                                       m_options.m_dataCentre);
  // The granters of the other data centres' first group are the witnesses: a
  // few instances in different places.
  std::set<std::string> witnesses;
  for (const QuotaGranters& others :
       std::span(granters).subspan(std::min<size_t>(1, granters.size()))) {
    if (!others.front().empty()) {
      witnesses.insert(others.front());
    }
  }
  m_election.SetMembers(m_members.HostsIn(m_options.m_dataCentre),
                        std::move(witnesses),
                        mayBeIncomplete,
                        aNow);
  QuotaGroupSet candidacy = 0;
  if (std::ranges::find(dataCentres, m_options.m_dataCentre) !=
      dataCentres.end()) {
    for (uint32_t group = 0; group < kQuotaGroups; ++group) {
      if (granters.front()[group] == m_options.m_host) {
        candidacy |= static_cast<QuotaGroupSet>(1U << group);
      }
    }
  }
  m_election.SetCandidacy(candidacy, aNow);
  m_leases.SetGranters(std::move(granters));

  if (!aFleet.m_isInContact) {
    return;
  }
  std::set<std::string> sharers;
  for (const FleetRecord& record : aFleet.m_liveInstances) {
    if (record.m_dataCentre == m_options.m_dataCentre &&
        aFleet.m_namedHosts.contains(record.m_host)) {
      sharers.insert(record.m_host);
    }
  }
  m_leases.SetReserveSharers(std::move(sharers), aNow);
}

void
QuotaCoordinator::SetWorkspaces(std::span<const Workspace> aWorkspaces,
                                TimePoint aNow)
{
  m_granter.SetWorkspaces(aWorkspaces, aNow);
}

QuotaDecision
QuotaCoordinator::Admit(const Workspace& aWorkspace,
                        uint64_t aId,
                        Duration aMaxWait,
                        TimePoint aNow)
{
  return m_leases.Admit(aWorkspace, aId, aMaxWait, aNow);
}

void
QuotaCoordinator::Cancel(uint64_t aId)
{
  m_leases.Cancel(aId);
}

void
QuotaCoordinator::GiveBack(const std::string& aWorkspace,
                           TimePoint aTokenExpiresAt,
                           TimePoint aNow)
{
  m_leases.GiveBack(aWorkspace, aTokenExpiresAt, aNow);
}

void
QuotaCoordinator::OnMessage(const FleetRecord& aSender,
                            const QuotaMessage& aMessage,
                            TimePoint aNow)
{
  bool isLocal = aSender.m_dataCentre == m_options.m_dataCentre;
  auto send = [&](QuotaMessage aAnswer) {
    m_outgoing.push_back({ aSender.m_host, std::move(aAnswer) });
  };
  std::visit(
    Overloaded{
      [&](const QuotaRequest& aRequest) {
        send(m_granter.OnRequest(aSender.m_host, aRequest, aNow));
      },
      [&](const QuotaGrant& aGrant) { m_leases.OnGrant(aGrant, aNow); },
      [&](const QuotaVoteRequest& aRequest) {
        if (isLocal) {
          send(m_election.OnVoteRequest(aSender.m_host, aRequest, aNow));
        } else {
          send(GranterElection::AnswerAsWitness(
            aRequest, m_members.HostsIn(aSender.m_dataCentre).size()));
        }
      },
      [&](const QuotaVote& aVote) {
        m_election.OnVote(aSender.m_host, aVote, aNow);
      } },
    aMessage);
}

void
QuotaCoordinator::OnTimer(TimePoint aNow)
{
  for (OutgoingVoteRequest& outgoing : m_election.OnTimer(aNow)) {
    m_outgoing.push_back({ outgoing.m_host, outgoing.m_request });
  }
  m_leases.OnTimer(aNow);
}

std::optional<TimePoint>
QuotaCoordinator::NextTimer() const
{
  std::optional<TimePoint> election = m_election.NextTimer();
  std::optional<TimePoint> leases = m_leases.NextTimer();
  return election && leases ? std::min(*election, *leases)
         : election         ? election
                            : leases;
}

std::vector<OutgoingQuotaMessage>
QuotaCoordinator::TakeMessages(TimePoint aNow)
{
  // Messages of this instance to itself are handled at once; each answer may
  // make another message due.
  while (true) {
    std::vector<OutgoingQuotaRequest> requests = m_leases.TakeMessages(aNow);
    if (requests.empty()) {
      return std::exchange(m_outgoing, {});
    }
    for (OutgoingQuotaRequest& outgoing : requests) {
      if (outgoing.m_host == m_options.m_host) {
        m_leases.OnGrant(
          m_granter.OnRequest(m_options.m_host, outgoing.m_request, aNow),
          aNow);
      } else {
        m_outgoing.push_back(
          { std::move(outgoing.m_host), std::move(outgoing.m_request) });
      }
    }
  }
}

std::vector<std::pair<uint64_t, QuotaDecision>>
QuotaCoordinator::TakeDecisions()
{
  return m_leases.TakeDecisions();
}

} // namespace ebonykeel
