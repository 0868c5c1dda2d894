// How a run finds other replicas for what failed, fell silent or is slow.
#include <algorithm>
#include <utility>

#include "core/query/query_run.h"

namespace ebonykeel {
namespace {

// A sub-query unanswered for this many hedge delays is taken for lost.
constexpr int kTimeoutInHedgeDelays = 4;
constexpr Duration kMinAttemptTimeout = Milliseconds(20);
// A sub-query is taken for lost after at most this part of the time left.
constexpr int kMaxAttemptTimeoutDivisor = 3;
// A restart on another snapshot needs this part of the query's time.
constexpr int kRestartDivisor = 4;
// Sub-queries sent for one shard on one snapshot.
constexpr size_t kMaxAttemptsPerShard = 4;
// The wait before a replica that failed is asked again; doubles each time.
constexpr Duration kRetryBackoff = Milliseconds(4);
// The wait is at least this part of the time left.
constexpr int kRetryPauseDivisor = 8;

// Whether work refused for this reason never reached an upstream, so that
// sending it elsewhere adds no load.
bool
MovesWithoutLoad(MissingReason aReason)
{
  return aReason == MissingReason::kWithdrawn ||
         aReason == MissingReason::kVersionNotHeld ||
         aReason == MissingReason::kNoOwner;
}

} // namespace

// Sends the shard to another replica, or to the same one after a pause, or
// gives it up.
void
QueryRun::Recover(Position aPosition, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  shard.m_retryAt.reset();
  shard.m_hedgeAt.reset();
  if (shard.m_attempts.size() >= kMaxAttemptsPerShard) {
    shard.m_givenUp = true;
    return;
  }
  ReplicaChoice choice =
    ChooseReplica(part, shard, AttemptKind::kRetry, false, aNow);
  if (choice.m_replica != nullptr) {
    bool allowed =
      MovesWithoutLoad(shard.m_reason) || m_dependencies.m_retries.TryTake();
    if (allowed) {
      Send(aPosition, *choice.m_replica, AttemptKind::kRetry, aNow, aActions);
    } else {
      shard.m_givenUp = true;
    }
    return;
  }
  if (choice.m_reason == MissingReason::kVersionNotHeld &&
      Restart(aPosition.m_part, aNow, aActions)) {
    return;
  }
  RetryLater(part, shard, choice.m_reason, aNow);
}

void
QueryRun::RetryLater(ServicePart& aPart,
                     ShardState& aShard,
                     MissingReason aReason,
                     TimePoint aNow)
{
  Duration backoff = kRetryBackoff * (1 << (aShard.m_attempts.size() - 1));
  Duration pause = std::max(backoff, (m_answerBy - aNow) / kRetryPauseDivisor);
  ReplicaChoice again =
    ChooseReplica(aPart, aShard, AttemptKind::kRetry, true, aNow);
  bool late = aNow + pause >= m_answerBy;
  if (again.m_replica == nullptr || late) {
    bool better = aShard.m_reason == MissingReason::kNone ||
                  aReason != MissingReason::kUnreachable;
    aShard.m_reason = better ? aReason : aShard.m_reason;
    aShard.m_givenUp = true;
    return;
  }
  aShard.m_retryAt = aNow + pause;
}

bool
QueryRun::Restart(size_t aPart, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPart];
  Duration total = m_answerBy - m_request.m_arrival;
  if (part.m_earlierPass || m_answerBy - aNow < total / kRestartDivisor) {
    return false;
  }
  std::optional<ServiceSnapshot> other =
    m_dependencies.m_snapshots.PinOther(part.m_pass.m_snapshot, aNow);
  if (!other) {
    return false;
  }
  for (ShardState& shard : part.m_pass.m_shards) {
    CancelOpen(part, shard, aNow, aActions);
  }
  part.m_earlierPass = std::exchange(part.m_pass, ServicePass(*other));
  ++m_counts.m_restarts;
  SendFirst(aPart, aNow, aActions);
  return true;
}

// Sends retries whose pause is over, and retries for what fell silent.
void
QueryRun::CheckShardTimers(TimePoint aNow, Actions& aActions)
{
  for (size_t part = 0; part < m_parts.size(); ++part) {
    if (m_parts[part].m_done) {
      continue;
    }
    for (size_t index = 0; index < m_parts[part].m_pass.m_shards.size();
         ++index) {
      CheckShardTimer({ part, index }, aNow, aActions);
    }
  }
}

void
QueryRun::CheckShardTimer(Position aPosition, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  if (shard.IsSettled()) {
    return;
  }
  if (shard.m_retryAt && *shard.m_retryAt <= aNow) {
    RetrySame(aPosition, aNow, aActions);
    return;
  }
  if (MarkTimedOut(shard, aNow) &&
      shard.m_attempts.size() < kMaxAttemptsPerShard) {
    RetryTimedOut(aPosition, aNow, aActions);
  }
}

// Asks another replica, or if there is none the same one again: its owner may
// have been lost, and another instance may own it by now.
void
QueryRun::RetryTimedOut(Position aPosition, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  ReplicaChoice choice =
    ChooseReplica(part, shard, AttemptKind::kRetry, false, aNow);
  if (choice.m_replica == nullptr) {
    choice = ChooseReplica(part, shard, AttemptKind::kRetry, true, aNow);
  }
  if (choice.m_replica != nullptr && m_dependencies.m_retries.TryTake()) {
    Send(aPosition, *choice.m_replica, AttemptKind::kRetry, aNow, aActions);
  }
}

// Marks what fell silent by now. Returns whether there was any and nothing
// else is under way.
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
QueryRun::RetrySame(Position aPosition, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  shard.m_retryAt.reset();
  ReplicaChoice choice =
    ChooseReplica(part, shard, AttemptKind::kRetry, true, aNow);
  if (choice.m_replica != nullptr && m_dependencies.m_retries.TryTake()) {
    Send(aPosition, *choice.m_replica, AttemptKind::kRetry, aNow, aActions);
    return;
  }
  shard.m_givenUp = true;
}

// Hedges the shards that are overdue, if they are so few that stragglers and
// not a general slowness must be the cause.
void
QueryRun::SendHedges(TimePoint aNow, Actions& aActions)
{
  std::vector<Position> overdue = Overdue(aNow);
  bool general = overdue.size() > m_dependencies.m_hedges.QueryCap(Shards());
  for (Position position : overdue) {
    if (general) {
      Postpone(position, aNow);
    } else {
      SendHedge(position, aNow, aActions);
    }
  }
}

std::vector<QueryRun::Position>
QueryRun::Overdue(TimePoint aNow) const
{
  std::vector<Position> overdue;
  for (size_t part = 0; part < m_parts.size(); ++part) {
    if (m_parts[part].m_done) {
      continue;
    }
    const std::vector<ShardState>& shards = m_parts[part].m_pass.m_shards;
    for (size_t index = 0; index < shards.size(); ++index) {
      const ShardState& shard = shards[index];
      bool due = !shard.IsSettled() && shard.HasOpenAttempt() &&
                 shard.m_hedgeAt && *shard.m_hedgeAt <= aNow;
      if (due) {
        overdue.push_back({ part, index });
      }
    }
  }
  return overdue;
}

// Sends a hedge to an untried replica; when all replicas are slow, to one of
// them again.
void
QueryRun::SendHedge(Position aPosition, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  shard.m_hedgeAt.reset();
  if (shard.m_attempts.size() >= kMaxAttemptsPerShard) {
    return;
  }
  ReplicaChoice choice =
    ChooseReplica(part, shard, AttemptKind::kHedge, false, aNow);
  if (choice.m_replica == nullptr && shard.m_attempts.size() > 1) {
    choice = ChooseReplica(part, shard, AttemptKind::kHedge, true, aNow);
  }
  bool allowed = choice.m_replica != nullptr &&
                 m_dependencies.m_hedges.TryTake(m_counts.m_hedges, Shards());
  if (allowed) {
    Send(aPosition, *choice.m_replica, AttemptKind::kHedge, aNow, aActions);
  }
}

void
QueryRun::Postpone(Position aPosition, TimePoint aNow)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  const ServiceName& service = part.m_pass.m_snapshot.m_service->m_name;
  std::optional<Duration> delay = m_dependencies.m_hedges.Delay(service, false);
  shard.m_hedgeAt.reset();
  if (delay) {
    shard.m_hedgeAt = aNow + *delay;
  }
}

ReplicaChoice
QueryRun::ChooseReplica(const ServicePart& aPart,
                        const ShardState& aShard,
                        AttemptKind aKind,
                        bool aAgain,
                        TimePoint aNow)
{
  std::vector<UpstreamId> excluded;
  if (!aAgain) {
    excluded = aShard.TriedUpstreams();
  }
  IndexVersion version = aPart.m_pass.m_snapshot.Version();
  size_t behind = 0;
  size_t allowed = 0;
  for (const UpstreamConfig& replica : aShard.m_shard->m_replicas) {
    if (!m_dependencies.m_selector.Allows(replica)) {
      continue;
    }
    ++allowed;
    if (!m_dependencies.m_snapshots.MayHold(replica.m_id, version, aNow)) {
      ++behind;
      excluded.push_back(replica.m_id);
    }
  }
  if (allowed > 0 && behind == allowed) {
    return { nullptr, MissingReason::kVersionNotHeld };
  }
  return m_dependencies.m_selector.Choose(
    *aShard.m_shard, excluded, aKind, aNow);
}

Duration
QueryRun::AttemptTimeout(const ServicePart& aPart, TimePoint aNow) const
{
  Duration longest = (m_answerBy - aNow) / kMaxAttemptTimeoutDivisor;
  const ServiceName& service = aPart.m_pass.m_snapshot.m_service->m_name;
  std::optional<Duration> delay = m_dependencies.m_hedges.Delay(service, false);
  if (!delay) {
    return longest;
  }
  return std::min(longest,
                  std::max(*delay * kTimeoutInHedgeDelays, kMinAttemptTimeout));
}

} // namespace ebonykeel
