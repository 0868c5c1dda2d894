#include "core/query/query_run.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ebonykeel {
namespace {

// What is kept of the caller's time for the answer's way back.
constexpr Duration kAnswerReserve = Milliseconds(3);
// The largest part of the caller's time that is kept, as its divisor.
constexpr int kAnswerReserveDivisor = 5;

TimePoint
AnswerBy(const QueryRequest& aRequest)
{
  Duration total = aRequest.m_deadline - aRequest.m_arrival;
  return aRequest.m_deadline -
         std::min(kAnswerReserve, total / kAnswerReserveDivisor);
}

void
Earlier(std::optional<TimePoint>& aNext, std::optional<TimePoint> aOther)
{
  if (aOther && (!aNext || *aOther < *aNext)) {
    aNext = aOther;
  }
}

// Whether an upstream failed the shard, which tells more than that the queue
// for the next one is too long.
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
  , m_answerBy(AnswerBy(m_request))
{
}

std::vector<QueryAction>
QueryRun::Start(TimePoint aNow)
{
  Actions actions;
  for (const ServiceName& service : m_request.m_services) {
    AddPart(service, aNow);
  }
  if (aNow < m_answerBy) {
    for (size_t part = 0; part < m_parts.size(); ++part) {
      SendFirst(part, aNow, actions);
    }
  }
  SettleParts(aNow, actions);
  return actions;
}

void
QueryRun::AddPart(const ServiceName& aService, TimePoint aNow)
{
  std::optional<ServiceSnapshot> pinned =
    m_dependencies.m_snapshots.Pin(aService, aNow);
  if (!pinned) {
    m_unknownServices.push_back(aService);
    return;
  }
  const ServiceConfig& config = *pinned->m_service;
  TimePoint target =
    std::min(m_request.m_arrival + config.m_target.m_latency, m_answerBy);
  m_parts.push_back(
    { .m_pass = ServicePass(*pinned),
      .m_preference = m_request.m_preference.value_or(config.m_preference),
      .m_latencyTarget = target });
}

void
QueryRun::SendFirst(size_t aPart, TimePoint aNow, Actions& aActions)
{
  ServicePart& part = m_parts[aPart];
  uint32_t sent = 0;
  for (size_t index = 0; index < part.m_pass.m_shards.size(); ++index) {
    ShardState& shard = part.m_pass.m_shards[index];
    ReplicaChoice choice =
      ChooseReplica(part, shard, AttemptKind::kFirst, false, aNow);
    if (choice.m_replica == nullptr) {
      shard.m_givenUp = true;
      shard.m_reason = choice.m_reason;
      continue;
    }
    Send(
      { aPart, index }, *choice.m_replica, AttemptKind::kFirst, aNow, aActions);
    ++sent;
  }
  m_dependencies.m_hedges.OnFirstAttempts(sent);
  m_dependencies.m_retries.Earn(sent);
}

void
QueryRun::Send(Position aPosition,
               const UpstreamConfig& aReplica,
               AttemptKind aKind,
               TimePoint aNow,
               Actions& aActions)
{
  ServicePart& part = m_parts[aPosition.m_part];
  ShardState& shard = part.m_pass.m_shards[aPosition.m_shard];
  const ServiceName& service = part.m_pass.m_snapshot.m_service->m_name;
  SubQuery subQuery{ .m_id = m_ids.Next(),
                     .m_service = service,
                     .m_shard = shard.m_shard->m_name,
                     .m_upstream = aReplica.m_id,
                     .m_indexVersion = part.m_pass.m_snapshot.Version(),
                     .m_text = m_request.m_text,
                     .m_limit = m_request.m_limit,
                     .m_hedge = aKind == AttemptKind::kHedge };
  shard.m_attempts.push_back(
    { .m_id = subQuery.m_id,
      .m_upstream = aReplica.m_id,
      .m_kind = aKind,
      .m_sentAt = aNow,
      .m_timeoutAt = aNow + AttemptTimeout(part, aNow) });
  aPosition.m_restarted = part.m_earlierPass.has_value();
  m_positions.emplace(subQuery.m_id, aPosition);
  m_dependencies.m_selector.OnSent(aReplica.m_id);
  std::optional<Duration> delay =
    m_dependencies.m_hedges.Delay(service, aKind == AttemptKind::kHedge);
  shard.m_hedgeAt.reset();
  if (delay) {
    shard.m_hedgeAt = aNow + *delay;
  }
  CountSent(aKind);
  aActions.emplace_back(SendSubQuery{ .m_subQuery = std::move(subQuery),
                                      .m_attemptKind = aKind,
                                      .m_remaining = m_answerBy - aNow });
}

void
QueryRun::CountSent(AttemptKind aKind)
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
  Position position = found->second;
  ServicePart& part = m_parts[position.m_part];
  bool current = position.m_restarted == part.m_earlierPass.has_value();
  if (m_finished || !current) {
    ++m_counts.m_ignoredLate;
    return actions;
  }
  ShardState& shard = part.m_pass.m_shards[position.m_shard];
  Attempt* attempt = shard.FindAttempt(aAnswer.m_id);
  if (attempt == nullptr || !attempt->m_open) {
    ++m_counts.m_ignoredLate;
    return actions;
  }
  attempt->m_open = false;
  bool crossed = aAnswer.m_reason == MissingReason::kNone &&
                 (aAnswer.m_upstream != attempt->m_upstream ||
                  aAnswer.m_shard != shard.m_shard->m_name ||
                  aAnswer.m_indexVersion != part.m_pass.m_snapshot.Version());
  if (crossed) {
    ++m_counts.m_ignoredCrossed;
    SubAnswer bad{ .m_id = aAnswer.m_id,
                   .m_reason = MissingReason::kBadAnswer };
    Learn(part, *attempt, bad, aNow);
    Fail(position, MissingReason::kBadAnswer, aNow, actions);
  } else {
    Learn(part, *attempt, aAnswer, aNow);
    Take(position, aAnswer, aNow, actions);
  }
  SettleParts(aNow, actions);
  return actions;
}

void
QueryRun::Learn(const ServicePart& aPart,
                const Attempt& aAttempt,
                const SubAnswer& aAnswer,
                TimePoint aNow)
{
  const ServiceSnapshot& snapshot = aPart.m_pass.m_snapshot;
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
QueryRun::Take(Position aPosition,
               const SubAnswer& aAnswer,
               TimePoint aNow,
               Actions& aActions)
{
  ShardState& shard =
    m_parts[aPosition.m_part].m_pass.m_shards[aPosition.m_shard];
  if (aAnswer.m_reason != MissingReason::kNone) {
    Fail(aPosition, aAnswer.m_reason, aNow, aActions);
    return;
  }
  if (!aAnswer.m_whole) {
    if (!shard.m_partial) {
      shard.m_partial = aAnswer;
    }
    Fail(aPosition, MissingReason::kNone, aNow, aActions);
    return;
  }
  shard.m_whole = aAnswer;
  CancelOpen(m_parts[aPosition.m_part], shard, aNow, aActions);
}

void
QueryRun::Fail(Position aPosition,
               MissingReason aReason,
               TimePoint aNow,
               Actions& aActions)
{
  ShardState& shard =
    m_parts[aPosition.m_part].m_pass.m_shards[aPosition.m_shard];
  if (aReason != MissingReason::kOverloaded || !HasFailedUpstream(shard)) {
    shard.m_reason = aReason;
  }
  if (!shard.HasOpenAttempt()) {
    Recover(aPosition, aNow, aActions);
  }
}

void
QueryRun::CancelOpen(const ServicePart& aPart,
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
        aPart.m_pass.m_snapshot.m_service->m_name, elapsed);
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
  if (aNow < m_answerBy) {
    CheckShardTimers(aNow, actions);
    SendHedges(aNow, actions);
  }
  SettleParts(aNow, actions);
  return actions;
}

bool
QueryRun::PartDone(const ServicePart& aPart, TimePoint aNow) const
{
  if (aNow >= m_answerBy) {
    return true;
  }
  const std::vector<ShardState>& shards = aPart.m_pass.m_shards;
  if (std::ranges::all_of(shards, &ShardState::IsSettled)) {
    return true;
  }
  if (aPart.m_preference != Preference::kLatency ||
      aNow < aPart.m_latencyTarget) {
    return false;
  }
  double wanted = aPart.m_pass.m_snapshot.m_service->m_sufficientCoverage *
                  static_cast<double>(shards.size());
  return aPart.m_pass.Answered() >= wanted;
}

void
QueryRun::SettleParts(TimePoint aNow, Actions& aActions)
{
  for (ServicePart& part : m_parts) {
    part.m_targetPassed = aNow >= part.m_latencyTarget;
    if (part.m_done || !PartDone(part, aNow)) {
      continue;
    }
    part.m_done = true;
    for (ShardState& shard : part.m_pass.m_shards) {
      CancelOpen(part, shard, aNow, aActions);
    }
  }
  if (!m_finished && std::ranges::all_of(m_parts, &ServicePart::m_done)) {
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
  std::optional<TimePoint> next = m_answerBy;
  for (const ServicePart& part : m_parts) {
    if (part.m_done) {
      continue;
    }
    if (part.m_preference == Preference::kLatency && !part.m_targetPassed) {
      Earlier(next, part.m_latencyTarget);
    }
    for (const ShardState& shard : part.m_pass.m_shards) {
      if (shard.IsSettled()) {
        continue;
      }
      Earlier(next, shard.m_hedgeAt);
      Earlier(next, shard.m_retryAt);
      for (const Attempt& attempt : shard.m_attempts) {
        if (attempt.m_open && !attempt.m_timedOut) {
          Earlier(next, attempt.m_timeoutAt);
        }
      }
    }
  }
  return next;
}

uint32_t
QueryRun::Shards() const
{
  return std::accumulate(
    m_parts.begin(), m_parts.end(), 0U, [](uint32_t aSum, const auto& aPart) {
      return aSum + static_cast<uint32_t>(aPart.m_pass.m_shards.size());
    });
}

QueryAnswer
QueryRun::Assemble() const
{
  QueryAnswer answer{ .m_requestId = m_request.m_requestId,
                      .m_caller = m_request.m_caller,
                      .m_unknownServices = m_unknownServices };
  for (const ServicePart& part : m_parts) {
    bool earlierCoversMore =
      part.m_earlierPass &&
      part.m_earlierPass->Answered() > part.m_pass.Answered();
    const ServicePass& best =
      earlierCoversMore ? *part.m_earlierPass : part.m_pass;
    answer.m_services.push_back(best.Assemble(m_request.m_limit));
  }
  answer.m_outcome = m_counts.m_first > 0 ? Outcome::kRan : Outcome::kNotRun;
  return answer;
}

} // namespace ebonykeel
