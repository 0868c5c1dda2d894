// Decides in which order the sub-requests that wait on this instance for an
// upstream's capacity start.
//
// The load that it answers: for a while a service gets more requests than its
// upstreams can take, as in a burst, after a pause or when callers return
// together. What cannot be sent waits here, and the order decides who is served
// in time: the most urgent priority first; among these, those that can still be
// answered within their target latency; among these, the workspace that has
// used least work; and then the one that came first. A newcomer must not take a
// place from one that waits with a higher rank.
//
// Less urgent requests also leave places beyond an upstream's slots to more
// urgent ones, if there are any: otherwise urgent requests would queue at the
// upstream behind them. Where the configuration has workspaces this holds
// always; elsewhere only while requests wait here, so that such deployments are
// served as before when nothing waits.
//
//   CapacityQueue queue;
//   queue.OnRequest("shard-07", rank.m_priority, now);
//   if (!queue.MayStart("shard-07", rank, now)) {
//     uint64_t ticket = queue.Enter("shard-07", rank, waiter, now);
//   }
//   queue.OnCapacity("shard-07", now);  // calls the first in rank
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/forward/workspace_usage.h"

namespace ebonykeel {

class CapacityWaiter
{
public:
  virtual ~CapacityWaiter() = default;
  // Called when it is the turn of the sub-request that entered with `aTicket`.
  // Must not call the queue.
  virtual void OnTurn(uint64_t aTicket) = 0;
};

// What the rank of a sub-request depends on.
struct WaitingRank
{
  // 0 is the most urgent.
  uint32_t m_priority = 0;
  // Until when it has to start in order to be answered within its target
  // latency.
  TimePoint m_inTimeUntil;
  std::string m_workspace;
  // Work that the workspace is about to use and that is not counted yet.
  Duration m_uncountedWork{};
};

class CapacityQueue
{
public:
  // Called for each request to a service before anything else.
  void OnRequest(const std::string& aService,
                 uint32_t aPriority,
                 TimePoint aNow);
  // Called when an attempt is sent.
  void OnSent(const std::string& aWorkspace, Duration aWork, TimePoint aNow)
  {
    m_usage.Add(aWorkspace, aWork, aNow);
  }
  // Returns whether a newcomer may take a place: nobody waits with a higher
  // rank.
  [[nodiscard]] bool MayStart(const std::string& aService,
                              const WaitingRank& aRank,
                              TimePoint aNow);
  // Returns what `MayStart` would, without keeping what it computes.
  [[nodiscard]] bool WouldStart(const std::string& aService,
                                const WaitingRank& aRank,
                                TimePoint aNow) const;
  // Adds a sub-request. `aWaiter` must stay valid until `Leave`. Returns its
  // ticket, which is never 0.
  [[nodiscard]] uint64_t Enter(const std::string& aService,
                               const WaitingRank& aRank,
                               CapacityWaiter& aWaiter,
                               TimePoint aNow);
  // Called when a sub-request starts or ends; gives the turn to the next one,
  // because there may be room for several.
  void Leave(const std::string& aService, uint64_t aTicket);
  // Returns whether it is the turn of a sub-request that waits.
  [[nodiscard]] bool IsNext(const std::string& aService,
                            uint64_t aTicket,
                            TimePoint aNow);
  // Called when the sub-request whose turn it is finds no upstream that it may
  // use. If another one might (`aIsCapacityLeft`), that one gets the turn until
  // `aUntil`, so that nobody holds up the others.
  void OnTurnUnused(const std::string& aService,
                    uint64_t aTicket,
                    bool aIsCapacityLeft,
                    TimePoint aUntil,
                    TimePoint aNow);
  // Called when an upstream of the service may have capacity: gives the turn
  // to the first in rank.
  void OnCapacity(const std::string& aService, TimePoint aNow);
  // Returns whether requests of this priority leave places to more urgent ones:
  // one came lately, and some request waits or the configuration has
  // workspaces.
  [[nodiscard]] bool LeavesPlaces(const std::string& aService,
                                  uint32_t aPriority,
                                  bool aUsesWorkspaces,
                                  TimePoint aNow) const;
  // Returns whether nothing waits for the service.
  [[nodiscard]] bool IsEmpty(const std::string& aService) const
  {
    return !m_services.contains(aService);
  }
  // Returns the number of those that wait and are at least as urgent.
  [[nodiscard]] size_t CountAhead(const std::string& aService,
                                  uint32_t aPriority) const;

private:
  struct Entry
  {
    WaitingRank m_rank;
    CapacityWaiter* m_waiter = nullptr;
    // Whether it has the turn and has not used it yet.
    bool m_isCalled = false;
    // Until when others go before it, because it could not use its turn.
    TimePoint m_passedOverUntil;
  };
  struct Service
  {
    // By ticket, which is the order of arrival.
    std::map<uint64_t, Entry> m_entries;
    // The first in rank as of `m_firstAt`; 0 if it is not known.
    uint64_t m_first = 0;
    TimePoint m_firstAt;
  };
  struct UrgentKind
  {
    uint32_t m_priority = 0;
    TimePoint m_seenAt;
  };

  // Returns whether `aLeft` goes before `aRight`, which came later.
  [[nodiscard]] bool GoesBefore(const WaitingRank& aLeft,
                                const WaitingRank& aRight,
                                TimePoint aNow) const;
  // Returns what counts as used by the workspace, in seconds of work.
  [[nodiscard]] double UsageOf(const WaitingRank& aRank, TimePoint aNow) const;
  // Returns whether the first in rank is known as of about `aNow`.
  [[nodiscard]] static bool IsFirstKnown(const Service& aService,
                                         TimePoint aNow);
  // Returns the ticket of the first in rank; 0 if there is none.
  [[nodiscard]] uint64_t ComputeFirst(const Service& aService,
                                      TimePoint aNow) const;
  // Returns the same, and keeps it for a short time.
  uint64_t FindFirst(Service& aService, TimePoint aNow);
  void CallFirst(Service& aService, TimePoint aNow);

  // The services for which something waits.
  std::unordered_map<std::string, Service> m_services;
  // The most urgent kind of request that came lately, by service.
  std::unordered_map<std::string, UrgentKind> m_urgentKinds;
  WorkspaceUsage m_usage;
  uint64_t m_nextTicket = 1;
  // The time of the latest call.
  TimePoint m_latest;
};

} // namespace ebonykeel
