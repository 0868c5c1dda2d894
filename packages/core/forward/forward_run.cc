#include "core/forward/forward_run.h"

#include <algorithm>
#include <utility>

#include "core/forward/refusal_policy.h"

namespace ebonykeel {
namespace {

// The maximum number of attempts of one sub-request beyond the route's limit.
// Attempts that were not executed do not count against that limit, but must be
// bounded too.
constexpr uint32_t kMaxNotRunAttempts = 2;
// A failed attempt is not retried with less remaining time than this: no
// upstream could use it.
constexpr Duration kMinDeadline = Milliseconds(2);

bool
IsNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::kNotExecuted ||
         aOutcome == AttemptOutcome::kWrongInstance ||
         aOutcome == AttemptOutcome::kNotSent;
}

} // namespace

ForwardRun::ForwardRun(ForwardRequest aRequest,
                       ForwardEnvironment& aEnvironment,
                       ForwardPort& aPort)
  : m_request(std::move(aRequest))
  , m_environment(&aEnvironment)
  , m_port(&aPort)
{
  const Route& route = *m_request.m_route;
  m_subRequests.resize(m_request.m_services.size());
  for (size_t i = 0; i < m_subRequests.size(); ++i) {
    m_subRequests[i].m_service = m_request.m_services[i];
  }
  Duration wait = std::min(route.m_timeout, m_request.m_remaining);
  m_timeoutAt = m_request.m_receivedAt + wait;
  m_refuseUnsentAt = UnsentRefusalTime();
  m_earlyAnswerAt = m_timeoutAt;
  if (m_request.IsGathered() && m_environment->m_options.m_earlyAnswers) {
    m_earlyAnswerAt = std::min(m_timeoutAt, EarlyAnswerTime());
  }
  if (m_request.IsGathered() && m_environment->m_load.PlacesByWork()) {
    m_gatheredWork = std::make_shared<GatheredWork>();
  }
}

ForwardRun::~ForwardRun()
{
  std::ranges::for_each(m_subRequests, [this](SubRequest& aSubRequest) {
    StopWaiting(aSubRequest);
  });
}

TimePoint
ForwardRun::EarlyAnswerTime() const
{
  Duration target = m_request.m_route->m_targetLatency;
  // Once the target latency has passed, an earlier answer has no benefit for
  // the caller.
  Duration elapsed =
    m_request.m_elapsed < target ? m_request.m_elapsed : Duration{};
  Duration remaining =
    target - m_environment->m_options.m_answerMargin - elapsed;
  return m_request.m_receivedAt + std::max(remaining, Duration{});
}

void
ForwardRun::Start(TimePoint aNow)
{
  RefusalPolicy policy(
    m_request, *m_environment, m_environment->m_retrySpread, aNow);
  if (std::optional<ForwardResult> refusal =
        policy.RefuseUnsent(m_timeoutAt, m_endBy)) {
    Finish(*refusal);
    return;
  }
  for (uint32_t subRequest = 0; subRequest < m_subRequests.size();
       ++subRequest) {
    m_environment->m_budget.OnFirstAttempt(m_subRequests[subRequest].m_service,
                                           aNow);
    m_environment->m_waiters.OnRequest(
      m_subRequests[subRequest].m_service, m_request.m_priority, aNow);
    StartPlan plan =
      PlanStart(m_subRequests[subRequest],
                MayStartBeforeWaiting(m_subRequests[subRequest], aNow),
                m_environment->m_load.Rotation(),
                aNow);
    if (plan.m_replica != nullptr) {
      SendTo(subRequest, *plan.m_replica, AttemptReason::kFirst, aNow);
    } else if (plan.m_waits) {
      WaitForCapacity(m_subRequests[subRequest], aNow);
    } else {
      m_subRequests[subRequest].m_failed = true;
    }
  }
  FinishIfDue(aNow);
}

StartPreview
ForwardRun::PreviewStart(TimePoint aNow) const
{
  StartPreview preview{
    .m_typical = TypicalLatency(aNow),
    .m_maxUnsentWait = m_refuseUnsentAt - m_request.m_receivedAt,
  };
  // Copies take the changes that `Start` makes.
  RetrySpread retrySpread = m_environment->m_retrySpread;
  ChoiceRotation rotation = m_environment->m_load.Rotation();
  WaitingRank rank = RankAt(aNow);
  preview.m_refusal =
    RefusalPolicy(m_request, *m_environment, retrySpread, aNow)
      .RefuseUnsent(m_timeoutAt, m_endBy);
  for (SubRequest subRequest : m_subRequests) {
    subRequest.m_isPreview = true;
    PartPreview part{ .m_reserved = ReservedReplicas(subRequest, aNow) };
    if (!preview.m_refusal) {
      part.m_mayStart =
        m_environment->m_waiters.WouldStart(subRequest.m_service, rank, aNow);
      part.m_plan = PlanStart(subRequest, part.m_mayStart, rotation, aNow);
    }
    if (part.m_plan.m_replica != nullptr) {
      rank.m_uncountedWork += preview.m_typical;
    }
    preview.m_parts.push_back(std::move(part));
  }
  return preview;
}

StartPlan
ForwardRun::PlanStart(SubRequest& aSubRequest,
                      bool aMayStart,
                      ChoiceRotation& aRotation,
                      TimePoint aNow) const
{
  const ReplicaPtr* replica =
    aMayStart ? ChooseReplica(aSubRequest, false, aRotation, aNow) : nullptr;
  return { .m_replica = replica,
           .m_waits = replica == nullptr &&
                      HasAvailableReplica(aSubRequest.m_service, aNow) };
}

void
ForwardRun::OnOutcome(uint32_t aSubRequest,
                      uint32_t aAttempt,
                      AttemptOutcome aOutcome,
                      TimePoint aNow)
{
  if (m_ended) {
    return;
  }
  SubRequest& subRequest = m_subRequests[aSubRequest];
  Attempt& attempt = subRequest.m_attempts[aAttempt];
  attempt.m_open = false;
  attempt.m_mayHaveRun = !IsNotRun(aOutcome);
  if (subRequest.m_answer) {
    return;
  }
  if (aOutcome == AttemptOutcome::kSuccess) {
    subRequest.m_answer = aAttempt;
    subRequest.m_failed = false;
    if (m_gatheredWork != nullptr) {
      m_gatheredWork->OnPartAnswered(attempt.m_predicted,
                                     aNow - attempt.m_sentAt);
    }
    for (uint32_t other = 0; other < subRequest.m_attempts.size(); ++other) {
      if (subRequest.m_attempts[other].m_open) {
        subRequest.m_attempts[other].m_open = false;
        m_port->Cancel(aSubRequest, other);
      }
    }
  } else {
    if (aOutcome == AttemptOutcome::kFailure) {
      subRequest.m_failure = aAttempt;
    }
    subRequest.m_outcomeUnknown =
      subRequest.m_outcomeUnknown || aOutcome == AttemptOutcome::kBroken;
    OnFailedAttempt(aSubRequest, aOutcome, aNow);
  }
  FinishIfDue(aNow);
}

void
ForwardRun::OnTimer(TimePoint aNow)
{
  if (m_ended) {
    return;
  }
  SendWaitingSubRequests(aNow);
  HedgeLateSubRequests(aNow);
  FinishIfDue(aNow);
}

void
ForwardRun::EndBy(TimePoint aEnd)
{
  m_endBy = aEnd;
  m_timeoutAt = std::min(m_timeoutAt, aEnd);
  m_earlyAnswerAt = std::min(m_earlyAnswerAt, aEnd);
}

void
ForwardRun::Abandon()
{
  if (m_ended) {
    return;
  }
  CancelOpenAttempts();
  End();
}

std::optional<TimePoint>
ForwardRun::NextTimer() const
{
  if (m_ended) {
    return std::nullopt;
  }
  TimePoint next = m_timeoutAt;
  auto answered =
    std::ranges::count_if(m_subRequests, [](const SubRequest& aSubRequest) {
      return aSubRequest.m_answer.has_value();
    });
  if (m_request.IsGathered() && answered >= m_request.Required()) {
    next = std::min(next, m_earlyAnswerAt);
  }
  for (const SubRequest& subRequest : m_subRequests) {
    if (!subRequest.m_answer && !subRequest.m_failed &&
        subRequest.m_hedgeAt != TimePoint{}) {
      next = std::min(next, subRequest.m_hedgeAt);
    }
    if (subRequest.m_waitingForCapacity) {
      next = std::min(next, subRequest.m_nextCapacityCheck);
    }
  }
  if (WaitsUnsent()) {
    next = std::min(next, m_refuseUnsentAt);
  }
  return next;
}

void
ForwardRun::SendTo(uint32_t aSubRequest,
                   const ReplicaPtr& aReplica,
                   AttemptReason aReason,
                   TimePoint aNow)
{
  SubRequest& subRequest = m_subRequests[aSubRequest];
  auto attempt = static_cast<uint32_t>(subRequest.m_attempts.size());
  subRequest.m_attempts.push_back({ .m_replica = aReplica, .m_sentAt = aNow });
  const ReplicaLoad& load = m_environment->m_load;
  if (load.PlacesByWork()) {
    Attempt& sent = subRequest.m_attempts.back();
    sent.m_work = ExpectWork(aNow);
    sent.m_predicted =
      load.PredictCompletion(*aReplica, sent.m_work.m_mean, aNow);
  }
  const Route& route = *m_request.m_route;
  bool mayHedge = m_environment->m_options.m_hedging && route.m_idempotent &&
                  aReason == AttemptReason::kFirst && route.m_maxAttempts > 1;
  subRequest.m_hedgeAt =
    mayHedge ? aNow + m_environment->m_latencies.LateThreshold(route)
             : TimePoint{};
  m_environment->m_waiters.OnSent(
    m_request.m_workspace, TypicalLatency(aNow), aNow);
  m_port->Send(aSubRequest, attempt, aReplica, aReason, m_timeoutAt - aNow);
}

std::span<const ReplicaPtr>
ForwardRun::UsableReplicas(SubRequest& aSubRequest, TimePoint aNow) const
{
  std::span<const ReplicaPtr> usable =
    m_environment->m_catalogue.Usable(aSubRequest.m_service);
  if (m_environment->m_versions == nullptr) {
    return usable;
  }
  if (aSubRequest.m_isPreview) {
    return m_environment->m_versions->Preview(
      aSubRequest.m_service, usable, aSubRequest.m_version, aNow);
  }
  return m_environment->m_versions->Filter(aSubRequest.m_service,
                                           usable,
                                           aSubRequest.m_version,
                                           aSubRequest.m_attempts.empty(),
                                           aNow);
}

const ReplicaPtr*
ForwardRun::ChooseReplica(SubRequest& aSubRequest,
                          bool aAllowTried,
                          ChoiceRotation& aRotation,
                          TimePoint aNow) const
{
  const ReplicaPtr* replica =
    ChooseOfVersion(aSubRequest, aAllowTried, aRotation, aNow);
  if (replica == nullptr && aSubRequest.m_version == VersionChoice::kTarget) {
    // The current version serves the request instead.
    aSubRequest.m_version = VersionChoice::kCurrent;
    replica = ChooseOfVersion(aSubRequest, aAllowTried, aRotation, aNow);
  }
  return replica;
}

const ReplicaPtr*
ForwardRun::ChooseOfVersion(SubRequest& aSubRequest,
                            bool aAllowTried,
                            ChoiceRotation& aRotation,
                            TimePoint aNow) const
{
  std::vector<ReplicaPtr> reserved = ReservedReplicas(aSubRequest, aNow);
  std::vector<ReplicaPtr> tried = reserved;
  for (const Attempt& attempt : aSubRequest.m_attempts) {
    tried.push_back(attempt.m_replica);
  }
  std::span<const ReplicaPtr> usable = UsableReplicas(aSubRequest, aNow);
  Duration typical = TypicalLatency(aNow);
  const ReplicaPtr* replica =
    m_environment->m_load.Choose(usable, tried, typical, aRotation, aNow);
  if (replica == nullptr && aAllowTried) {
    replica =
      m_environment->m_load.Choose(usable, reserved, typical, aRotation, aNow);
  }
  if (replica != nullptr &&
      m_environment->m_load.UnreachableUntil(**replica, aNow)) {
    replica = nullptr;
  }
  if (replica == nullptr || m_environment->m_versions == nullptr) {
    return replica;
  }
  // What the filter returned is valid until its next call only.
  return &*std::ranges::find(
    m_environment->m_catalogue.Usable(aSubRequest.m_service), *replica);
}

Duration
ForwardRun::TypicalLatency(TimePoint aNow) const
{
  return m_environment->m_load.PlacesByWork()
           ? ExpectWork(aNow).Mean()
           : m_environment->m_latencies.Typical(*m_request.m_route);
}

ExpectedWork
ForwardRun::ExpectWork(TimePoint aNow) const
{
  ExpectedWork work = m_environment->m_work.Expect(
    *m_request.m_route, m_request.m_workspace, aNow);
  work.m_gathered = m_gatheredWork;
  return work;
}

bool
ForwardRun::MayRetry(const SubRequest& aSubRequest,
                     AttemptOutcome aOutcome) const
{
  const Route& route = *m_request.m_route;
  if (!route.m_idempotent && !IsNotRun(aOutcome)) {
    return false;
  }
  auto ran =
    std::ranges::count_if(aSubRequest.m_attempts, [](const Attempt& aAttempt) {
      return aAttempt.m_mayHaveRun;
    });
  return ran < route.m_maxAttempts &&
         aSubRequest.m_attempts.size() <
           route.m_maxAttempts + kMaxNotRunAttempts;
}

bool
ForwardRun::HasOpenAttempt(const SubRequest& aSubRequest)
{
  return std::ranges::any_of(aSubRequest.m_attempts, &Attempt::m_open);
}

void
ForwardRun::OnFailedAttempt(uint32_t aSubRequest,
                            AttemptOutcome aOutcome,
                            TimePoint aNow)
{
  SubRequest& subRequest = m_subRequests[aSubRequest];
  bool enoughTime = aNow + kMinDeadline < m_timeoutAt;
  if (!HasOpenAttempt(subRequest) && enoughTime &&
      MayRetry(subRequest, aOutcome)) {
    const ReplicaPtr* replica = ChooseReplica(subRequest, true, aNow);
    // An attempt that was not sent did not reach its upstream, so the retry is
    // not charged to the budget.
    bool isUncharged = aOutcome == AttemptOutcome::kNotSent;
    if (replica != nullptr && (isUncharged || m_environment->m_budget.TryTake(
                                                subRequest.m_service, aNow))) {
      SendTo(aSubRequest, *replica, AttemptReason::kRetry, aNow);
      return;
    }
  }
  bool shed =
    aOutcome == AttemptOutcome::kNotExecuted && m_request.IsGathered();
  if (!HasOpenAttempt(subRequest) && shed && enoughTime &&
      MayRetry(subRequest, aOutcome) &&
      HasAvailableReplica(subRequest.m_service, aNow)) {
    WaitForCapacity(subRequest, aNow);
    return;
  }
  subRequest.m_failed = !HasOpenAttempt(subRequest);
}

void
ForwardRun::HedgeLateSubRequests(TimePoint aNow)
{
  for (uint32_t index = 0; index < m_subRequests.size(); ++index) {
    SubRequest& subRequest = m_subRequests[index];
    bool due = !subRequest.m_answer && !subRequest.m_failed &&
               subRequest.m_hedgeAt != TimePoint{} &&
               subRequest.m_hedgeAt <= aNow;
    if (due) {
      TryHedge(index, aNow);
    }
  }
}

void
ForwardRun::TryHedge(uint32_t aSubRequest, TimePoint aNow)
{
  SubRequest& subRequest = m_subRequests[aSubRequest];
  subRequest.m_hedgeAt = aNow + m_environment->m_options.m_hedgeRecheckInterval;
  const ReplicaPtr* replica = ChooseReplica(subRequest, false, aNow);
  if (replica == nullptr) {
    subRequest.m_hedgeAt = TimePoint{};
    return;
  }
  if (!MayStartBeforeWaiting(subRequest, aNow)) {
    return;
  }
  const ReplicaLoad& load = m_environment->m_load;
  Duration typical = m_environment->m_latencies.Typical(*m_request.m_route);
  bool useful =
    load.HasFreeSlot(**replica) &&
    aNow + load.PredictLatency(**replica, typical, aNow) < m_timeoutAt;
  if (useful && m_environment->m_budget.TryTake(subRequest.m_service, aNow)) {
    SendTo(aSubRequest, *replica, AttemptReason::kHedge, aNow);
  }
}

} // namespace ebonykeel
