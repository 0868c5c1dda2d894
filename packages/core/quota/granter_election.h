// Decides which instance of a data centre grants the tokens of each group of
// workspaces, such that no two do at the same time.
//
// Every instance of the data centre supports at most one instance as the
// granter of a group, for a time that it promises. An instance is the granter
// of a group while the support of a quorum is valid. Support counts from the
// sending of the request, by the granter's clock, and is valid for less than
// the voter's promise, so that a granter that freezes or is cut off stops
// before another one starts.
//
//   GranterElection election("10.1.0.9", processStart, {}, now);
//   election.SetMembers({ "10.1.0.9", "10.1.0.10" }, now);
//   election.SetCandidacy(groups, now);
//   for (auto& outgoing : election.OnTimer(now)) { ... send it ... }
//   if (election.IsGranter(group, now)) { ... }
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/quota/quota_message.h"

namespace ebonykeel {

struct GranterElectionOptions
{
  // How long support is valid, counted from the sending of its request. One
  // lost request does not end it. After a restart of all instances there is no
  // granter for as long as a promise lasts, so it is short.
  Duration m_supportLifetime = Milliseconds(600);
  // How long a voter supports no other instance, counted from the arrival of
  // the request. The difference covers clocks that differ. A voter that started
  // less than this ago supports none, since it may have forgotten a promise.
  Duration m_promise = Milliseconds(700);
  Duration m_requestInterval = Milliseconds(250);
  // The number of instances that vote in a large data centre, and the quorum of
  // these. The quorum is one more than a majority, so that the quorums of two
  // instances intersect even if their voters differ by one.
  size_t m_maxVoters = 7;
  size_t m_quorumOfMaxVoters = 5;
  // How long the number of instances that another one remembers counts.
  Duration m_countRetention = Seconds(300);
};

struct OutgoingVoteRequest
{
  std::string m_host;
  QuotaVoteRequest m_request;
};

class GranterElection
{
public:
  // `aHost` is the address of this instance.
  GranterElection(std::string aHost,
                  uint64_t aProcessStart,
                  GranterElectionOptions aOptions,
                  TimePoint aNow);

  // Sets the instances of the data centre, including this one and those that
  // were lost not long ago. `aWitnesses` are instances of other data centres.
  // They do not vote, but state how many instances of this data centre they
  // remember: an instance that starts while its data centre is cut in two knows
  // only those on its side. `aMayBeIncomplete` says that there may be others
  // because this instance had no contact to any yet.
  void SetMembers(std::set<std::string> aHosts,
                  std::set<std::string> aWitnesses,
                  bool aMayBeIncomplete,
                  TimePoint aNow);
  // Sets the groups of which this instance should be the granter. It stops
  // granting the others at once and releases the voters from their promises.
  void SetCandidacy(QuotaGroupSet aGroups, TimePoint aNow);
  // Returns the requests that are due.
  [[nodiscard]] std::vector<OutgoingVoteRequest> OnTimer(TimePoint aNow);
  // Returns when `OnTimer` is due; nothing unless this instance is a candidate
  // or has to release voters.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] QuotaVote OnVoteRequest(const std::string& aSender,
                                        const QuotaVoteRequest& aRequest,
                                        TimePoint aNow);
  // Answers a request of an instance of another data centre, of which this one
  // remembers `aKnownInstances`.
  [[nodiscard]] static QuotaVote AnswerAsWitness(
    const QuotaVoteRequest& aRequest,
    size_t aKnownInstances);
  void OnVote(const std::string& aSender,
              const QuotaVote& aVote,
              TimePoint aNow);

  [[nodiscard]] bool IsGranter(uint32_t aGroup, TimePoint aNow) const;
  // Returns the groups of which this instance is the granter.
  [[nodiscard]] QuotaGroupSet GrantedGroups(TimePoint aNow) const;
  // Returns when this instance became the granter of a group. Nothing was
  // granted by others since then.
  [[nodiscard]] TimePoint GranterSince(uint32_t aGroup) const;

private:
  struct Support
  {
    std::array<TimePoint, kQuotaGroups> m_until{};
  };
  // The number of instances that another one remembers.
  struct KnownCount
  {
    uint32_t m_instances = 0;
    TimePoint m_at;
  };
  // What this instance promised as a voter.
  struct Promise
  {
    std::string m_host;
    uint64_t m_processStart = 0;
    // Of the latest request that the promise answers. An earlier one that
    // arrives late must not end it.
    uint64_t m_sequence = 0;
    TimePoint m_until;
  };
  struct Role
  {
    TimePoint m_since;
    TimePoint m_until;
  };

  // Returns until when a quorum supports this instance.
  [[nodiscard]] TimePoint SupportedUntil(uint32_t aGroup, TimePoint aNow) const;
  void UpdateRoles(TimePoint aNow);

  std::string m_host;
  uint64_t m_processStart;
  GranterElectionOptions m_options;
  TimePoint m_startedAt;
  std::set<std::string> m_members;
  // The members that vote, this instance first if it does.
  std::vector<std::string> m_voters;
  std::set<std::string> m_witnesses;
  bool m_mayBeIncomplete = true;
  bool m_heardWitness = false;
  QuotaGroupSet m_candidacy = 0;
  // Whether voters are still to be told of a smaller candidacy.
  bool m_releasePending = false;
  TimePoint m_nextRequest;
  uint64_t m_sequence = 0;
  // When recent requests were sent.
  std::map<uint64_t, TimePoint> m_sentAt;
  std::map<std::string, Support> m_support;
  std::map<std::string, KnownCount> m_knownCounts;
  std::array<Promise, kQuotaGroups> m_promises;
  std::array<Role, kQuotaGroups> m_roles;
};

} // namespace ebonykeel
