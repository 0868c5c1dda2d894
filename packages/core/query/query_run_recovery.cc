// The retries, restarts and hedges of QueryRun.
#include <algorithm>
#include <utility>

#include "core/query/query_run.h"

namespace ebonykeel {
namespace {

// An attempt times out after this many hedge delays.
constexpr int kTimeoutInHedgeDelays = 4;
constexpr Duration kMinAttemptTimeout = Milliseconds(20);
// The attempt timeout is at most the remaining time divided by this.
constexpr int kMaxAttemptTimeoutDivisor = 3;
// A restart on another snapshot needs at least the query's time divided by this
// as remaining time.
constexpr int kRestartTimeDivisor = 4;
// The maximum number of attempts for one shard on one snapshot.
constexpr size_t kMaxAttemptsPerShard = 4;
// The delay before a retry on a tried replica; doubles with each attempt.
constexpr Duration kRetryBackoff = Milliseconds(4);
// The delay is at least the remaining time divided by this.
constexpr int kMinRetryDelayDivisor = 8;

// Returns whether a sub-query refused for this reason caused no work on an
// upstream, so that sending it to another replica adds no load.
bool
CausedNoUpstreamWork(MissingReason aReason)
{
  return aReason == MissingReason::kWithdrawn ||
         aReason == MissingReason::kVersionNotHeld ||
         aReason == MissingReason::kNoOwner;
}

} // namespace

// Retries the shard on another replica at once, or on a tried replica after a
// delay, or restarts the service on another snapshot, or gives the shard up.
void
QueryRun::RetryOrGiveUp(ShardPosition aPosition,
                        TimePoint aNow,
                        Actions& aActions)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  shard.m_retryAt.reset();
  shard.m_hedgeAt.reset();
  if (shard.m_attempts.size() >= kMaxAttemptsPerShard) {
    shard.m_givenUp = true;
    return;
  }
  ReplicaChoice choice =
    ChooseReplica(state, shard, AttemptKind::kRetry, false, aNow);
  if (choice.m_replica != nullptr) {
    bool allowed = CausedNoUpstreamWork(shard.m_reason) ||
                   m_dependencies.m_retries.TryTake();
    if (allowed) {
      SendAttempt(
        aPosition, *choice.m_replica, AttemptKind::kRetry, aNow, aActions);
    } else {
      shard.m_givenUp = true;
    }
    return;
  }
  if (choice.m_reason == MissingReason::kVersionNotHeld &&
      RestartService(aPosition.m_serviceIndex, aNow, aActions)) {
    return;
  }
  ScheduleRetry(state, shard, choice.m_reason, aNow);
}

void
QueryRun::ScheduleRetry(ServiceState& aState,
                        ShardState& aShard,
                        MissingReason aReason,
                        TimePoint aNow)
{
  Duration backoff = kRetryBackoff * (1 << (aShard.m_attempts.size() - 1));
  Duration retryDelay =
    std::max(backoff, (m_answerDeadline - aNow) / kMinRetryDelayDivisor);
  ReplicaChoice retry =
    ChooseReplica(aState, aShard, AttemptKind::kRetry, true, aNow);
  bool late = aNow + retryDelay >= m_answerDeadline;
  if (retry.m_replica == nullptr || late) {
    bool moreSpecific = aShard.m_reason == MissingReason::kNone ||
                        aReason != MissingReason::kUnreachable;
    aShard.m_reason = moreSpecific ? aReason : aShard.m_reason;
    aShard.m_givenUp = true;
    return;
  }
  aShard.m_retryAt = aNow + retryDelay;
}

bool
QueryRun::RestartService(size_t aServiceIndex,
                         TimePoint aNow,
                         Actions& aActions)
{
  ServiceState& state = m_serviceStates[aServiceIndex];
  Duration total = m_answerDeadline - m_request.m_arrival;
  if (state.m_earlierPass ||
      m_answerDeadline - aNow < total / kRestartTimeDivisor) {
    return false;
  }
  std::optional<ServiceSnapshot> other =
    m_dependencies.m_snapshots.PinOther(state.m_pass.m_snapshot, aNow);
  if (!other) {
    return false;
  }
  for (ShardState& shard : state.m_pass.m_shards) {
    CancelOpenAttempts(state, shard, aNow, aActions);
  }
  state.m_earlierPass = std::exchange(state.m_pass, ServicePass(*other));
  ++m_counts.m_restarts;
  SendFirstAttempts(aServiceIndex, aNow, aActions);
  return true;
}

// Sends the scheduled retries that are due, and retries of timed-out attempts.
void
QueryRun::CheckShardTimers(TimePoint aNow, Actions& aActions)
{
  for (size_t serviceIndex = 0; serviceIndex < m_serviceStates.size();
       ++serviceIndex) {
    if (m_serviceStates[serviceIndex].m_done) {
      continue;
    }
    for (size_t index = 0;
         index < m_serviceStates[serviceIndex].m_pass.m_shards.size();
         ++index) {
      CheckShardTimer({ serviceIndex, index }, aNow, aActions);
    }
  }
}

void
QueryRun::CheckShardTimer(ShardPosition aPosition,
                          TimePoint aNow,
                          Actions& aActions)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  if (shard.IsSettled()) {
    return;
  }
  if (shard.m_retryAt && *shard.m_retryAt <= aNow) {
    SendScheduledRetry(aPosition, aNow, aActions);
    return;
  }
  if (MarkTimedOut(shard, aNow) &&
      shard.m_attempts.size() < kMaxAttemptsPerShard) {
    RetryAfterTimeout(aPosition, aNow, aActions);
  }
}

// Retries on an untried replica or, if there is none, on a tried one: its owner
// may have failed, and another instance may own it by now.
void
QueryRun::RetryAfterTimeout(ShardPosition aPosition,
                            TimePoint aNow,
                            Actions& aActions)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  ReplicaChoice choice =
    ChooseReplica(state, shard, AttemptKind::kRetry, false, aNow);
  if (choice.m_replica == nullptr) {
    choice = ChooseReplica(state, shard, AttemptKind::kRetry, true, aNow);
  }
  if (choice.m_replica != nullptr && m_dependencies.m_retries.TryTake()) {
    SendAttempt(
      aPosition, *choice.m_replica, AttemptKind::kRetry, aNow, aActions);
  }
}

// Marks the open attempts whose timeout has passed. Returns true if there was
// any and all other open attempts had timed out already.
bool
QueryRun::MarkTimedOut(ShardState& aShard, TimePoint aNow)
{
  bool anyTimedOut = false;
  for (Attempt& attempt : aShard.m_attempts) {
    bool due =
      attempt.m_open && !attempt.m_timedOut && attempt.m_timeoutAt <= aNow;
    if (due) {
      attempt.m_timedOut = true;
      anyTimedOut = true;
      m_dependencies.m_selector.OnTimeout(attempt.m_upstream, aNow);
    }
  }
  return anyTimedOut &&
         std::ranges::all_of(aShard.m_attempts, [](const auto& aAttempt) {
           return !aAttempt.m_open || aAttempt.m_timedOut;
         });
}

void
QueryRun::SendScheduledRetry(ShardPosition aPosition,
                             TimePoint aNow,
                             Actions& aActions)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  shard.m_retryAt.reset();
  ReplicaChoice choice =
    ChooseReplica(state, shard, AttemptKind::kRetry, true, aNow);
  if (choice.m_replica != nullptr && m_dependencies.m_retries.TryTake()) {
    SendAttempt(
      aPosition, *choice.m_replica, AttemptKind::kRetry, aNow, aActions);
    return;
  }
  shard.m_givenUp = true;
}

// Hedges the overdue shards. If there are more of them than a query may hedge,
// the cause is general slowness and not stragglers, and hedges are
// postponed.
void
QueryRun::SendHedges(TimePoint aNow, Actions& aActions)
{
  std::vector<ShardPosition> overdue = OverdueShards(aNow);
  bool generallySlow =
    overdue.size() > m_dependencies.m_hedges.QueryCap(ShardCount());
  for (ShardPosition position : overdue) {
    if (generallySlow) {
      PostponeHedge(position, aNow);
    } else {
      SendHedge(position, aNow, aActions);
    }
  }
}

std::vector<QueryRun::ShardPosition>
QueryRun::OverdueShards(TimePoint aNow) const
{
  std::vector<ShardPosition> overdue;
  for (size_t serviceIndex = 0; serviceIndex < m_serviceStates.size();
       ++serviceIndex) {
    if (m_serviceStates[serviceIndex].m_done) {
      continue;
    }
    const std::vector<ShardState>& shards =
      m_serviceStates[serviceIndex].m_pass.m_shards;
    for (size_t index = 0; index < shards.size(); ++index) {
      const ShardState& shard = shards[index];
      bool due = !shard.IsSettled() && shard.HasOpenAttempt() &&
                 shard.m_hedgeAt && *shard.m_hedgeAt <= aNow;
      if (due) {
        overdue.push_back({ serviceIndex, index });
      }
    }
  }
  return overdue;
}

// Sends a hedge to an untried replica. If none can be used and the shard has
// more than one attempt, a tried replica is used again.
void
QueryRun::SendHedge(ShardPosition aPosition, TimePoint aNow, Actions& aActions)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  shard.m_hedgeAt.reset();
  if (shard.m_attempts.size() >= kMaxAttemptsPerShard) {
    return;
  }
  ReplicaChoice choice =
    ChooseReplica(state, shard, AttemptKind::kHedge, false, aNow);
  if (choice.m_replica == nullptr && shard.m_attempts.size() > 1) {
    choice = ChooseReplica(state, shard, AttemptKind::kHedge, true, aNow);
  }
  bool allowed =
    choice.m_replica != nullptr &&
    m_dependencies.m_hedges.TryTake(m_counts.m_hedges, ShardCount());
  if (allowed) {
    SendAttempt(
      aPosition, *choice.m_replica, AttemptKind::kHedge, aNow, aActions);
  }
}

void
QueryRun::PostponeHedge(ShardPosition aPosition, TimePoint aNow)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  const ServiceName& service = state.m_pass.m_snapshot.m_service->m_name;
  std::optional<Duration> delay = m_dependencies.m_hedges.Delay(service, false);
  shard.m_hedgeAt.reset();
  if (delay) {
    shard.m_hedgeAt = aNow + *delay;
  }
}

ReplicaChoice
QueryRun::ChooseReplica(const ServiceState& aState,
                        const ShardState& aShard,
                        AttemptKind aKind,
                        bool aAllowTried,
                        TimePoint aNow)
{
  std::vector<UpstreamId> excluded;
  if (!aAllowTried) {
    excluded = aShard.TriedUpstreams();
  }
  IndexVersion version = aState.m_pass.m_snapshot.Version();
  size_t notHeld = 0;
  size_t allowed = 0;
  for (const UpstreamConfig& replica : aShard.m_shard->m_replicas) {
    if (!m_dependencies.m_selector.Allows(replica)) {
      continue;
    }
    ++allowed;
    if (!m_dependencies.m_snapshots.MayHold(replica.m_id, version, aNow)) {
      ++notHeld;
      excluded.push_back(replica.m_id);
    }
  }
  if (allowed > 0 && notHeld == allowed) {
    return { nullptr, MissingReason::kVersionNotHeld };
  }
  return m_dependencies.m_selector.Choose(
    *aShard.m_shard, excluded, aKind, aNow);
}

Duration
QueryRun::AttemptTimeout(const ServiceState& aState, TimePoint aNow) const
{
  Duration maxTimeout = (m_answerDeadline - aNow) / kMaxAttemptTimeoutDivisor;
  const ServiceName& service = aState.m_pass.m_snapshot.m_service->m_name;
  std::optional<Duration> delay = m_dependencies.m_hedges.Delay(service, false);
  if (!delay) {
    return maxTimeout;
  }
  return std::min(maxTimeout,
                  std::max(*delay * kTimeoutInHedgeDelays, kMinAttemptTimeout));
}

} // namespace ebonykeel
