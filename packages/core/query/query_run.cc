#include "core/query/query_run.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ebonykeel {
namespace {

// The part of the caller's time budget reserved for returning the answer.
constexpr Duration kAnswerReserve = Milliseconds(3);
// The reserve is at most the time from arrival to deadline divided by this.
constexpr int kAnswerReserveDivisor = 5;

TimePoint
AnswerDeadline(const QueryRequest& aRequest)
{
  Duration total = aRequest.m_deadline - aRequest.m_arrival;
  return aRequest.m_deadline -
         std::min(kAnswerReserve, total / kAnswerReserveDivisor);
}

// Sets `aNext` to the earlier of both; nullopt means never.
void
KeepEarlier(std::optional<TimePoint>& aNext, std::optional<TimePoint> aOther)
{
  if (aOther && (!aNext || *aOther < *aNext)) {
    aNext = aOther;
  }
}

// Returns whether an upstream failed for the shard. This is a more specific
// reason for a missing shard than an overloaded queue for the next upstream.
bool
HasFailedUpstream(const internal::ShardState& aShard)
{
  return aShard.m_reason == MissingReason::kBadAnswer ||
         aShard.m_reason == MissingReason::kUnreachable ||
         std::ranges::any_of(aShard.m_attempts, &internal::Attempt::m_timedOut);
}

} // namespace

bool
QueryAnswer::Whole() const
{
  return m_unknownServices.empty() &&
         std::ranges::all_of(m_services, [](const ServiceAnswer& aService) {
           return aService.m_coverage.Whole();
         });
}

QueryRun::QueryRun(QueryRequest aRequest,
                   const QueryDependencies& aDependencies,
                   SubQueryIds aIds)
  : m_request(std::move(aRequest))
  , m_dependencies(aDependencies)
  , m_ids(std::move(aIds))
  , m_answerDeadline(AnswerDeadline(m_request))
{
}

std::vector<QueryAction>
QueryRun::Start(TimePoint aNow)
{
  Actions actions;
  for (const ServiceName& service : m_request.m_services) {
    AddService(service, aNow);
  }
  if (aNow < m_answerDeadline) {
    for (size_t serviceIndex = 0; serviceIndex < m_serviceStates.size();
         ++serviceIndex) {
      SendFirstAttempts(serviceIndex, aNow, actions);
    }
  }
  FinishCompletedServices(aNow, actions);
  return actions;
}

void
QueryRun::AddService(const ServiceName& aService, TimePoint aNow)
{
  std::optional<ServiceSnapshot> pinned =
    m_dependencies.m_snapshots.Pin(aService, aNow);
  if (!pinned) {
    m_unknownServices.push_back(aService);
    return;
  }
  const ServiceConfig& config = *pinned->m_service;
  TimePoint target =
    std::min(m_request.m_arrival + config.m_target.m_latency, m_answerDeadline);
  m_serviceStates.push_back(
    { .m_pass = ServicePass(*pinned),
      .m_preference = m_request.m_preference.value_or(config.m_preference),
      .m_latencyTarget = target });
}

void
QueryRun::SendFirstAttempts(size_t aServiceIndex,
                            TimePoint aNow,
                            Actions& aActions)
{
  ServiceState& state = m_serviceStates[aServiceIndex];
  uint32_t sent = 0;
  for (size_t index = 0; index < state.m_pass.m_shards.size(); ++index) {
    ShardState& shard = state.m_pass.m_shards[index];
    ReplicaChoice choice =
      ChooseReplica(state, shard, AttemptKind::kFirst, false, aNow);
    if (choice.m_replica == nullptr) {
      shard.m_givenUp = true;
      shard.m_reason = choice.m_reason;
      continue;
    }
    SendAttempt({ aServiceIndex, index },
                *choice.m_replica,
                AttemptKind::kFirst,
                aNow,
                aActions);
    ++sent;
  }
  m_dependencies.m_hedges.OnFirstAttempts(sent);
  m_dependencies.m_retries.Earn(sent);
}

void
QueryRun::SendAttempt(ShardPosition aPosition,
                      const UpstreamConfig& aReplica,
                      AttemptKind aKind,
                      TimePoint aNow,
                      Actions& aActions)
{
  ServiceState& state = m_serviceStates[aPosition.m_serviceIndex];
  ShardState& shard = state.m_pass.m_shards[aPosition.m_shardIndex];
  const ServiceName& service = state.m_pass.m_snapshot.m_service->m_name;
  SubQuery subQuery{ .m_id = m_ids.Next(),
                     .m_service = service,
                     .m_shard = shard.m_shard->m_name,
                     .m_upstream = aReplica.m_id,
                     .m_indexVersion = state.m_pass.m_snapshot.Version(),
                     .m_text = m_request.m_text,
                     .m_limit = m_request.m_limit,
                     .m_hedge = aKind == AttemptKind::kHedge };
  shard.m_attempts.push_back(
    { .m_id = subQuery.m_id,
      .m_upstream = aReplica.m_id,
      .m_kind = aKind,
      .m_sentAt = aNow,
      .m_timeoutAt = aNow + AttemptTimeout(state, aNow) });
  aPosition.m_restarted = state.m_earlierPass.has_value();
  m_positions.emplace(subQuery.m_id, aPosition);
  m_dependencies.m_selector.OnSent(aReplica.m_id);
  std::optional<Duration> delay =
    m_dependencies.m_hedges.Delay(service, aKind == AttemptKind::kHedge);
  shard.m_hedgeAt.reset();
  if (delay) {
    shard.m_hedgeAt = aNow + *delay;
  }
  CountAttempt(aKind);
  aActions.emplace_back(SendSubQuery{ .m_subQuery = std::move(subQuery),
                                      .m_attemptKind = aKind,
                                      .m_remaining = m_answerDeadline - aNow });
}

void
QueryRun::CountAttempt(AttemptKind aKind)
{
  m_counts.m_first += aKind == AttemptKind::kFirst ? 1 : 0;
  m_counts.m_hedges += aKind == AttemptKind::kHedge ? 1 : 0;
  m_counts.m_retries += aKind == AttemptKind::kRetry ? 1 : 0;
}

std::vector<QueryAction>
QueryRun::OnSubAnswer(const SubAnswer& aAnswer, TimePoint aNow)
{
  Actions actions;
  auto found = m_positions.find(aAnswer.m_id);
  if (found == m_positions.end()) {
    ++m_counts.m_ignoredUnknown;
    return actions;
  }
  ShardPosition position = found->second;
  ServiceState& state = m_serviceStates[position.m_serviceIndex];
  bool current = position.m_restarted == state.m_earlierPass.has_value();
  if (m_finished || !current) {
    ++m_counts.m_ignoredLate;
    return actions;
  }
  ShardState& shard = state.m_pass.m_shards[position.m_shardIndex];
  Attempt* attempt = shard.FindAttempt(aAnswer.m_id);
  if (attempt == nullptr || !attempt->m_open) {
    ++m_counts.m_ignoredLate;
    return actions;
  }
  attempt->m_open = false;
  bool mismatched =
    aAnswer.m_reason == MissingReason::kNone &&
    (aAnswer.m_upstream != attempt->m_upstream ||
     aAnswer.m_shard != shard.m_shard->m_name ||
     aAnswer.m_indexVersion != state.m_pass.m_snapshot.Version());
  if (mismatched) {
    ++m_counts.m_ignoredMismatched;
    SubAnswer badAnswer{ .m_id = aAnswer.m_id,
                         .m_reason = MissingReason::kBadAnswer };
    RecordAnswer(state, *attempt, badAnswer, aNow);
    OnFailedAttempt(position, MissingReason::kBadAnswer, aNow, actions);
  } else {
    RecordAnswer(state, *attempt, aAnswer, aNow);
    ApplyAnswer(position, aAnswer, aNow, actions);
  }
  FinishCompletedServices(aNow, actions);
  return actions;
}

void
QueryRun::RecordAnswer(const ServiceState& aState,
                       const Attempt& aAttempt,
                       const SubAnswer& aAnswer,
                       TimePoint aNow)
{
  const ServiceSnapshot& snapshot = aState.m_pass.m_snapshot;
  Duration latency = aNow - aAttempt.m_sentAt;
  m_dependencies.m_selector.OnSubAnswer(
    aAttempt.m_upstream, aAnswer, latency, aNow);
  m_dependencies.m_snapshots.OnSubAnswer(
    aAttempt.m_upstream, snapshot.Version(), aAnswer, aNow);
  bool measured = aAnswer.m_reason == MissingReason::kNone &&
                  aAttempt.m_kind == AttemptKind::kFirst;
  if (measured) {
    m_dependencies.m_hedges.OnLatency(snapshot.m_service->m_name, latency);
  }
}

void
QueryRun::ApplyAnswer(ShardPosition aPosition,
                      const SubAnswer& aAnswer,
                      TimePoint aNow,
                      Actions& aActions)
{
  ShardState& shard = m_serviceStates[aPosition.m_serviceIndex]
                        .m_pass.m_shards[aPosition.m_shardIndex];
  if (aAnswer.m_reason != MissingReason::kNone) {
    OnFailedAttempt(aPosition, aAnswer.m_reason, aNow, aActions);
    return;
  }
  if (!aAnswer.m_whole) {
    if (!shard.m_partial) {
      shard.m_partial = aAnswer;
    }
    OnFailedAttempt(aPosition, MissingReason::kNone, aNow, aActions);
    return;
  }
  shard.m_whole = aAnswer;
  CancelOpenAttempts(
    m_serviceStates[aPosition.m_serviceIndex], shard, aNow, aActions);
}

void
QueryRun::OnFailedAttempt(ShardPosition aPosition,
                          MissingReason aReason,
                          TimePoint aNow,
                          Actions& aActions)
{
  ShardState& shard = m_serviceStates[aPosition.m_serviceIndex]
                        .m_pass.m_shards[aPosition.m_shardIndex];
  if (aReason != MissingReason::kOverloaded || !HasFailedUpstream(shard)) {
    shard.m_reason = aReason;
  }
  if (!shard.HasOpenAttempt()) {
    RetryOrGiveUp(aPosition, aNow, aActions);
  }
}

void
QueryRun::CancelOpenAttempts(const ServiceState& aState,
                             ShardState& aShard,
                             TimePoint aNow,
                             Actions& aActions)
{
  for (Attempt& attempt : aShard.m_attempts) {
    if (!attempt.m_open) {
      continue;
    }
    attempt.m_open = false;
    Duration elapsed = aNow - attempt.m_sentAt;
    m_dependencies.m_selector.OnCancelled(attempt.m_upstream, elapsed, aNow);
    if (attempt.m_kind == AttemptKind::kFirst) {
      m_dependencies.m_hedges.OnLatency(
        aState.m_pass.m_snapshot.m_service->m_name, elapsed);
    }
    aActions.emplace_back(CancelSubQuery{ attempt.m_id, attempt.m_upstream });
  }
}

std::vector<QueryAction>
QueryRun::OnTimer(TimePoint aNow)
{
  Actions actions;
  if (m_finished) {
    return actions;
  }
  if (aNow < m_answerDeadline) {
    CheckShardTimers(aNow, actions);
    SendHedges(aNow, actions);
  }
  FinishCompletedServices(aNow, actions);
  return actions;
}

bool
QueryRun::IsServiceDone(const ServiceState& aState, TimePoint aNow) const
{
  if (aNow >= m_answerDeadline) {
    return true;
  }
  const std::vector<ShardState>& shards = aState.m_pass.m_shards;
  if (std::ranges::all_of(shards, &ShardState::IsSettled)) {
    return true;
  }
  if (aState.m_preference != Preference::kLatency ||
      aNow < aState.m_latencyTarget) {
    return false;
  }
  double sufficient = aState.m_pass.m_snapshot.m_service->m_sufficientCoverage *
                      static_cast<double>(shards.size());
  return aState.m_pass.AnsweredShards() >= sufficient;
}

void
QueryRun::FinishCompletedServices(TimePoint aNow, Actions& aActions)
{
  for (ServiceState& state : m_serviceStates) {
    state.m_latencyTargetPassed = aNow >= state.m_latencyTarget;
    if (state.m_done || !IsServiceDone(state, aNow)) {
      continue;
    }
    state.m_done = true;
    for (ShardState& shard : state.m_pass.m_shards) {
      CancelOpenAttempts(state, shard, aNow, aActions);
    }
  }
  if (!m_finished &&
      std::ranges::all_of(m_serviceStates, &ServiceState::m_done)) {
    m_finished = true;
    aActions.emplace_back(Finish{ Assemble() });
  }
}

std::optional<TimePoint>
QueryRun::NextTimer() const
{
  if (m_finished) {
    return std::nullopt;
  }
  std::optional<TimePoint> next = m_answerDeadline;
  for (const ServiceState& state : m_serviceStates) {
    if (state.m_done) {
      continue;
    }
    if (state.m_preference == Preference::kLatency &&
        !state.m_latencyTargetPassed) {
      KeepEarlier(next, state.m_latencyTarget);
    }
    for (const ShardState& shard : state.m_pass.m_shards) {
      if (shard.IsSettled()) {
        continue;
      }
      KeepEarlier(next, shard.m_hedgeAt);
      KeepEarlier(next, shard.m_retryAt);
      for (const Attempt& attempt : shard.m_attempts) {
        if (attempt.m_open && !attempt.m_timedOut) {
          KeepEarlier(next, attempt.m_timeoutAt);
        }
      }
    }
  }
  return next;
}

uint32_t
QueryRun::ShardCount() const
{
  return std::accumulate(m_serviceStates.begin(),
                         m_serviceStates.end(),
                         0U,
                         [](uint32_t aSum, const auto& aState) {
                           return aSum + static_cast<uint32_t>(
                                           aState.m_pass.m_shards.size());
                         });
}

QueryAnswer
QueryRun::Assemble() const
{
  QueryAnswer answer{ .m_requestId = m_request.m_requestId,
                      .m_caller = m_request.m_caller,
                      .m_unknownServices = m_unknownServices };
  for (const ServiceState& state : m_serviceStates) {
    bool earlierCoversMore =
      state.m_earlierPass &&
      state.m_earlierPass->AnsweredShards() > state.m_pass.AnsweredShards();
    const ServicePass& best =
      earlierCoversMore ? *state.m_earlierPass : state.m_pass;
    answer.m_services.push_back(best.Assemble(m_request.m_limit));
  }
  answer.m_outcome = m_counts.m_first > 0 ? Outcome::kRan : Outcome::kNotRun;
  return answer;
}

} // namespace ebonykeel
