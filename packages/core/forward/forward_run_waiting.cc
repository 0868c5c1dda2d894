// The part of `ForwardRun` that waits for an upstream's capacity.
#include <algorithm>
#include <utility>

#include "core/forward/forward_run.h"
#include "core/forward/service_coverage.h"

namespace ebonykeel {
namespace {

// A request of which nothing was sent is refused after the target latency
// divided by this: an early refusal serves the caller better than a late one.
constexpr int kCapacityWaitDivisor = 5;
// The places of an upstream beyond its slots that less urgent requests use
// where they leave places. One keeps the upstream busy while an answer is on
// its way.
constexpr size_t kLessUrgentPlaces = 1;

} // namespace

TimePoint
ForwardRun::UnsentRefusalTime() const
{
  return m_request.m_receivedAt +
         m_request.m_route->m_targetLatency / kCapacityWaitDivisor;
}

bool
ForwardRun::WaitsUnsent() const
{
  return std::ranges::all_of(m_subRequests,
                             [](const SubRequest& aSubRequest) {
                               return aSubRequest.m_attempts.empty();
                             }) &&
         std::ranges::any_of(m_subRequests, &SubRequest::m_waitingForCapacity);
}

WaitingRank
ForwardRun::RankAt(TimePoint aNow) const
{
  return { .m_priority = m_request.m_priority,
           .m_inTimeUntil = EarlyAnswerTime() - TypicalLatency(aNow),
           .m_workspace = m_request.m_workspace };
}

bool
ForwardRun::MayStartBeforeWaiting(const SubRequest& aSubRequest,
                                  TimePoint aNow) const
{
  CapacityQueue& queue = m_environment->m_waiters;
  return queue.IsEmpty(aSubRequest.m_service) ||
         queue.MayStart(aSubRequest.m_service, RankAt(aNow), aNow);
}

std::vector<ReplicaPtr>
ForwardRun::ReservedReplicas(const SubRequest& aSubRequest,
                             TimePoint aNow) const
{
  std::vector<ReplicaPtr> reserved;
  if (m_environment->m_waiters.LeavesPlaces(aSubRequest.m_service,
                                            m_request.m_priority,
                                            m_request.m_usesWorkspaces,
                                            aNow)) {
    std::ranges::copy_if(
      m_environment->m_catalogue.Usable(aSubRequest.m_service),
      std::back_inserter(reserved),
      [this](const ReplicaPtr& aReplica) {
        return m_environment->m_load.InFlight(*aReplica) >=
               aReplica->m_slots + kLessUrgentPlaces;
      });
  }
  return reserved;
}

bool
ForwardRun::IsCapacityLeft(SubRequest& aSubRequest, TimePoint aNow) const
{
  std::vector<ReplicaPtr> reserved = ReservedReplicas(aSubRequest, aNow);
  const ReplicaLoad& load = m_environment->m_load;
  return std::ranges::any_of(
    UsableReplicas(aSubRequest, aNow), [&](const ReplicaPtr& aReplica) {
      return load.HasQueueCapacity(*aReplica, aNow) &&
             !load.UnavailableUntil(*aReplica, aNow) &&
             std::ranges::find(reserved, aReplica) == reserved.end();
    });
}

void
ForwardRun::WaitForCapacity(SubRequest& aSubRequest, TimePoint aNow)
{
  if (!aSubRequest.m_waitingForCapacity) {
    aSubRequest.m_waitingForCapacity = true;
    aSubRequest.m_ticket = m_environment->m_waiters.Enter(
      aSubRequest.m_service, RankAt(aNow), *this, aNow);
  }
  aSubRequest.m_nextCapacityCheck =
    aNow + m_environment->m_options.m_capacityRecheckInterval;
}

void
ForwardRun::StopWaiting(SubRequest& aSubRequest)
{
  if (std::exchange(aSubRequest.m_waitingForCapacity, false)) {
    m_environment->m_waiters.Leave(aSubRequest.m_service, aSubRequest.m_ticket);
  }
}

void
ForwardRun::OnTurn(uint64_t aTicket)
{
  for (SubRequest& subRequest : m_subRequests) {
    if (subRequest.m_waitingForCapacity && subRequest.m_ticket == aTicket) {
      subRequest.m_nextCapacityCheck = TimePoint{};
    }
  }
  m_port->RequestTimer();
}

void
ForwardRun::SendWaitingSubRequests(TimePoint aNow)
{
  CapacityQueue& queue = m_environment->m_waiters;
  for (uint32_t index = 0; index < m_subRequests.size(); ++index) {
    SubRequest& subRequest = m_subRequests[index];
    if (!subRequest.m_waitingForCapacity ||
        subRequest.m_nextCapacityCheck > aNow) {
      continue;
    }
    bool isNext = queue.IsNext(subRequest.m_service, subRequest.m_ticket, aNow);
    const ReplicaPtr* replica =
      isNext ? ChooseReplica(subRequest, true, aNow) : nullptr;
    bool first = subRequest.m_attempts.empty();
    if (replica != nullptr && (first || m_environment->m_budget.TryTake(
                                          subRequest.m_service, aNow))) {
      SendTo(index,
             *replica,
             first ? AttemptReason::kFirst : AttemptReason::kRetry,
             aNow);
      // The next one is called after this one's work was counted.
      StopWaiting(subRequest);
    } else if (HasAvailableReplica(subRequest.m_service, aNow)) {
      WaitForCapacity(subRequest, aNow);
      if (isNext) {
        queue.OnTurnUnused(subRequest.m_service,
                           subRequest.m_ticket,
                           IsCapacityLeft(subRequest, aNow),
                           subRequest.m_nextCapacityCheck,
                           aNow);
      }
    } else {
      StopWaiting(subRequest);
      subRequest.m_failed = true;
    }
  }
}

bool
ForwardRun::HasAvailableReplica(const std::string& aService,
                                TimePoint aNow) const
{
  return !UnavailableUntil(aService,
                           m_environment->m_catalogue,
                           m_environment->m_load,
                           m_environment->m_options.m_noReplicaRetryAfter,
                           aNow)
            .has_value();
}

} // namespace ebonykeel
