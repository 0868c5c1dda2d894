#include "core/quota/granter_election.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

bool
Contains(QuotaGroupSet aGroups, uint32_t aGroup)
{
  return (aGroups & (1U << aGroup)) != 0;
}

} // namespace

GranterElection::GranterElection(std::string aHost,
                                 uint64_t aProcessStart,
                                 GranterElectionOptions aOptions,
                                 TimePoint aNow)
  : m_host(std::move(aHost))
  , m_processStart(aProcessStart)
  , m_options(aOptions)
  , m_startedAt(aNow)
  , m_nextRequest(aNow)
{
}

void
GranterElection::SetMembers(std::set<std::string> aHosts,
                            std::set<std::string> aWitnesses,
                            bool aMayBeIncomplete,
                            TimePoint aNow)
{
  m_witnesses = std::move(aWitnesses);
  if (aHosts == m_members && aMayBeIncomplete == m_mayBeIncomplete) {
    return;
  }
  m_members = std::move(aHosts);
  m_mayBeIncomplete = aMayBeIncomplete;
  m_voters.assign(m_members.begin(), m_members.end());
  std::ranges::sort(
    m_voters, {}, [](const std::string& aHost) { return StableHash(aHost); });
  if (m_voters.size() > m_options.m_maxVoters) {
    m_voters.resize(m_options.m_maxVoters);
  }
  std::erase_if(m_support, [&](const auto& aEntry) {
    return std::ranges::find(m_voters, aEntry.first) == m_voters.end();
  });
  m_nextRequest = aNow;
  UpdateRoles(aNow);
}

void
GranterElection::SetCandidacy(QuotaGroupSet aGroups, TimePoint aNow)
{
  if (aGroups == m_candidacy) {
    return;
  }
  auto released = static_cast<QuotaGroupSet>(m_candidacy & ~aGroups);
  m_candidacy = aGroups;
  m_nextRequest = aNow;
  if (released != 0) {
    m_releasePending = true;
    // Answers to earlier requests must not count after the release.
    m_sentAt.clear();
    for (auto& [host, support] : m_support) {
      for (uint32_t group = 0; group < kQuotaGroups; ++group) {
        if (Contains(released, group)) {
          support.m_until[group] = {};
        }
      }
    }
  }
  UpdateRoles(aNow);
}

std::vector<OutgoingVoteRequest>
GranterElection::OnTimer(TimePoint aNow)
{
  UpdateRoles(aNow);
  bool due = m_candidacy != 0 && aNow >= m_nextRequest;
  if (!due && !m_releasePending) {
    return {};
  }
  m_releasePending = false;
  m_nextRequest = aNow + m_options.m_requestInterval;
  std::erase_if(m_sentAt, [&](const auto& aEntry) {
    return aNow - aEntry.second >= m_options.m_supportLifetime;
  });
  QuotaVoteRequest request{ .m_processStart = m_processStart,
                            .m_sequence = ++m_sequence,
                            .m_groups = m_candidacy };
  m_sentAt[request.m_sequence] = aNow;
  std::vector<OutgoingVoteRequest> outgoing;
  for (const std::string& voter : m_voters) {
    if (voter != m_host) {
      outgoing.push_back({ voter, request });
    }
  }
  for (const std::string& witness : m_witnesses) {
    outgoing.push_back({ witness, request });
  }
  if (std::ranges::find(m_voters, m_host) != m_voters.end()) {
    OnVote(m_host, OnVoteRequest(m_host, request, aNow), aNow);
  }
  return outgoing;
}

std::optional<TimePoint>
GranterElection::NextTimer() const
{
  if (m_candidacy == 0 && !m_releasePending) {
    return std::nullopt;
  }
  return m_nextRequest;
}

QuotaVote
GranterElection::OnVoteRequest(const std::string& aSender,
                               const QuotaVoteRequest& aRequest,
                               TimePoint aNow)
{
  QuotaVote vote{ .m_processStart = aRequest.m_processStart,
                  .m_sequence = aRequest.m_sequence,
                  .m_knownInstances = static_cast<uint32_t>(m_members.size()) };
  bool isNew = aNow - m_startedAt < m_options.m_promise;
  for (uint32_t group = 0; group < kQuotaGroups; ++group) {
    Promise& promise = m_promises[group];
    bool sameRun = promise.m_host == aSender &&
                   promise.m_processStart == aRequest.m_processStart;
    if (sameRun && aRequest.m_sequence < promise.m_sequence) {
      continue;
    }
    bool isFree =
      !isNew && (promise.m_until <= aNow || promise.m_host == aSender);
    if (Contains(aRequest.m_groups, group) && isFree) {
      promise = { aSender,
                  aRequest.m_processStart,
                  aRequest.m_sequence,
                  aNow + m_options.m_promise };
      vote.m_groups |= static_cast<QuotaGroupSet>(1U << group);
    } else if (sameRun && !Contains(aRequest.m_groups, group)) {
      promise.m_sequence = aRequest.m_sequence;
      promise.m_until = aNow;
    }
  }
  return vote;
}

void
GranterElection::OnVote(const std::string& aSender,
                        const QuotaVote& aVote,
                        TimePoint aNow)
{
  auto sent = m_sentAt.find(aVote.m_sequence);
  if (aVote.m_processStart != m_processStart || sent == m_sentAt.end()) {
    return;
  }
  m_knownCounts[aSender] = { aVote.m_knownInstances, aNow };
  m_heardWitness = m_heardWitness || m_witnesses.contains(aSender);
  if (std::ranges::find(m_voters, aSender) == m_voters.end()) {
    UpdateRoles(aNow);
    return;
  }
  Support& support = m_support[aSender];
  for (uint32_t group = 0; group < kQuotaGroups; ++group) {
    if (Contains(aVote.m_groups & m_candidacy, group)) {
      support.m_until[group] = std::max(
        support.m_until[group], sent->second + m_options.m_supportLifetime);
    }
  }
  UpdateRoles(aNow);
}

QuotaVote
GranterElection::AnswerAsWitness(const QuotaVoteRequest& aRequest,
                                 size_t aKnownInstances)
{
  return { .m_processStart = aRequest.m_processStart,
           .m_sequence = aRequest.m_sequence,
           .m_knownInstances = static_cast<uint32_t>(aKnownInstances) };
}

bool
GranterElection::IsGranter(uint32_t aGroup, TimePoint aNow) const
{
  return aNow < m_roles[aGroup].m_until;
}

QuotaGroupSet
GranterElection::GrantedGroups(TimePoint aNow) const
{
  QuotaGroupSet groups = 0;
  for (uint32_t group = 0; group < kQuotaGroups; ++group) {
    if (IsGranter(group, aNow)) {
      groups |= static_cast<QuotaGroupSet>(1U << group);
    }
  }
  return groups;
}

TimePoint
GranterElection::GranterSince(uint32_t aGroup) const
{
  return m_roles[aGroup].m_since;
}

TimePoint
GranterElection::SupportedUntil(uint32_t aGroup, TimePoint aNow) const
{
  bool isUnknown = !m_witnesses.empty() && !m_heardWitness;
  if (m_mayBeIncomplete || isUnknown || m_voters.empty()) {
    return {};
  }
  size_t known = m_members.size();
  for (const auto& [host, count] : m_knownCounts) {
    if (aNow - count.m_at < m_options.m_countRetention) {
      known = std::max<size_t>(known, count.m_instances);
    }
  }
  std::vector<TimePoint> until;
  for (const auto& [host, support] : m_support) {
    until.push_back(support.m_until[aGroup]);
  }
  std::ranges::sort(until, std::greater{});
  size_t quorum = known > m_options.m_maxVoters ? m_options.m_quorumOfMaxVoters
                                                : known / 2 + 1;
  return until.size() >= quorum ? until[quorum - 1] : TimePoint{};
}

void
GranterElection::UpdateRoles(TimePoint aNow)
{
  for (uint32_t group = 0; group < kQuotaGroups; ++group) {
    Role& role = m_roles[group];
    TimePoint until =
      Contains(m_candidacy, group) ? SupportedUntil(group, aNow) : TimePoint{};
    if (role.m_until <= aNow && until > aNow) {
      role.m_since = aNow;
    }
    role.m_until = until;
  }
}

} // namespace ebonykeel
