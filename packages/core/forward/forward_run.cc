#include "core/forward/forward_run.h"

#include <algorithm>
#include <utility>

#include "core/forward/coverage.h"

namespace ebonykeel {
namespace {

// Sendings of one leg beyond the searchers that may run it: statements that a
// request was not run do not count there, but must not go on for ever.
constexpr uint32_t kMostNotRun = 2;
// The part of its target that a request to one service waits untried.
constexpr int kParkShare = 5;
// A request is not sent on with less time than this: no searcher could use it.
constexpr Duration kShortestDeadline = Milliseconds(2);

bool
MeansNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::kNotExecuted ||
         aOutcome == AttemptOutcome::kWrongInstance ||
         aOutcome == AttemptOutcome::kNotSent;
}

} // namespace

std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::kSuccess:
      return "success";
    case AttemptOutcome::kFailure:
      return "failure";
    case AttemptOutcome::kNotExecuted:
      return "not-executed";
    case AttemptOutcome::kWrongInstance:
      return "wrong-instance";
    case AttemptOutcome::kNotSent:
      return "not-sent";
    case AttemptOutcome::kBroken:
      return "broken";
  }
  return "broken";
}

std::string_view
AttemptReasonName(AttemptReason aReason)
{
  switch (aReason) {
    case AttemptReason::kFirst:
      return "first";
    case AttemptReason::kHedge:
      return "hedge";
    case AttemptReason::kRetry:
      return "repeat";
  }
  return "first";
}

std::string_view
ForwardStatusName(ForwardStatus aStatus)
{
  switch (aStatus) {
    case ForwardStatus::kWhole:
      return "whole";
    case ForwardStatus::kPartial:
      return "partial";
    case ForwardStatus::kUpstreamFailure:
      return "upstream-failure";
    case ForwardStatus::kRefused:
      return "refused";
    case ForwardStatus::kFailed:
      return "failed";
    case ForwardStatus::kTimedOut:
      return "timed-out";
  }
  return "failed";
}

ForwardRun::ForwardRun(ForwardRequest aRequest,
                       ForwardEnvironment& aEnvironment,
                       ForwardPort& aPort)
  : m_request(std::move(aRequest))
  , m_environment(&aEnvironment)
  , m_port(&aPort)
{
  const Route& route = *m_request.m_route;
  m_legs.resize(m_request.m_services.size());
  for (size_t i = 0; i < m_legs.size(); ++i) {
    m_legs[i].m_service = m_request.m_services[i];
  }
  Duration wait = std::min(route.m_timeout, m_request.m_remaining);
  m_timeoutAt = m_request.m_receivedAt + wait;
  m_answerAt = m_timeoutAt;
  if (IsGathered() && m_environment->m_options.m_earlyAnswers) {
    m_answerAt = std::min(m_timeoutAt, AnswerDue());
  }
}

TimePoint
ForwardRun::AnswerDue() const
{
  Duration target = m_request.m_route->m_targetLatency;
  // A caller whose target has passed gains nothing from haste.
  Duration spent = m_request.m_spent < target ? m_request.m_spent : Duration{};
  Duration left = target - m_environment->m_options.m_answerMargin - spent;
  return m_request.m_receivedAt + std::max(left, Duration{});
}

void
ForwardRun::Start(TimePoint aNow)
{
  if (RefuseIfBlocked(aNow)) {
    return;
  }
  for (uint32_t leg = 0; leg < m_legs.size(); ++leg) {
    m_environment->m_budget.OnFirst(m_legs[leg].m_service, aNow);
    const ReplicaPtr* replica = ChooseFor(m_legs[leg], false, aNow);
    if (replica != nullptr) {
      SendTo(leg, *replica, AttemptReason::kFirst, aNow);
    } else if (IsServed(m_legs[leg].m_service, aNow)) {
      Park(m_legs[leg], aNow);
    } else {
      m_legs[leg].m_failed = true;
    }
  }
  FinishIfDue(aNow);
}

void
ForwardRun::OnOutcome(uint32_t aLeg,
                      uint32_t aAttempt,
                      AttemptOutcome aOutcome,
                      TimePoint aNow)
{
  if (m_ended) {
    return;
  }
  Leg& leg = m_legs[aLeg];
  Attempt& attempt = leg.m_attempts[aAttempt];
  attempt.m_open = false;
  attempt.m_mayHaveRun = !MeansNotRun(aOutcome);
  if (leg.m_answer) {
    return;
  }
  if (aOutcome == AttemptOutcome::kSuccess) {
    leg.m_answer = aAttempt;
    leg.m_failed = false;
    for (uint32_t other = 0; other < leg.m_attempts.size(); ++other) {
      if (leg.m_attempts[other].m_open) {
        leg.m_attempts[other].m_open = false;
        m_port->Cancel(aLeg, other);
      }
    }
  } else {
    if (aOutcome == AttemptOutcome::kFailure) {
      leg.m_failure = aAttempt;
    }
    leg.m_unknown = leg.m_unknown || aOutcome == AttemptOutcome::kBroken;
    OnFailedAttempt(aLeg, aOutcome, aNow);
  }
  FinishIfDue(aNow);
}

void
ForwardRun::OnTimer(TimePoint aNow)
{
  if (m_ended) {
    return;
  }
  ResendParked(aNow);
  HedgeLate(aNow);
  FinishIfDue(aNow);
}

void
ForwardRun::Abandon()
{
  if (m_ended) {
    return;
  }
  CancelOpen();
  m_ended = true;
}

std::optional<TimePoint>
ForwardRun::NextTimer() const
{
  if (m_ended) {
    return std::nullopt;
  }
  TimePoint next = m_timeoutAt;
  auto answered = std::ranges::count_if(
    m_legs, [](const Leg& aLeg) { return aLeg.m_answer.has_value(); });
  if (IsGathered() && answered >= Needed()) {
    next = std::min(next, m_answerAt);
  }
  for (const Leg& leg : m_legs) {
    if (!leg.m_answer && !leg.m_failed && leg.m_hedgeAt != TimePoint{}) {
      next = std::min(next, leg.m_hedgeAt);
    }
    if (leg.m_parked) {
      next = std::min(next, leg.m_resendAt);
    }
  }
  return next;
}

bool
ForwardRun::IsGathered() const
{
  return m_request.m_route->m_target == RouteTarget::kShards;
}

uint32_t
ForwardRun::Needed() const
{
  return NeededLegs(m_request.m_route->m_minShare, m_legs.size());
}

bool
ForwardRun::RefuseIfBlocked(TimePoint aNow)
{
  size_t needed = IsGathered() ? Needed() : 1;
  Coverage coverage(m_request.m_services,
                    m_environment->m_catalogue,
                    m_environment->m_load,
                    m_environment->m_options.m_absentRetryAfter,
                    aNow);
  if (coverage.Allows(needed)) {
    return false;
  }
  Finish({ .m_status = ForwardStatus::kRefused,
           .m_missing = static_cast<uint32_t>(coverage.Blocked()),
           .m_retryAfter = coverage.AllowedAt(needed) - aNow,
           .m_reason = "no-replica" });
  return true;
}

void
ForwardRun::SendTo(uint32_t aLeg,
                   const ReplicaPtr& aReplica,
                   AttemptReason aReason,
                   TimePoint aNow)
{
  Leg& leg = m_legs[aLeg];
  auto attempt = static_cast<uint32_t>(leg.m_attempts.size());
  leg.m_attempts.push_back({ .m_replica = aReplica, .m_sentAt = aNow });
  const Route& route = *m_request.m_route;
  bool mayHedge = m_environment->m_options.m_hedging && route.m_idempotent &&
                  aReason == AttemptReason::kFirst && route.m_maxAttempts > 1;
  leg.m_hedgeAt =
    mayHedge ? aNow + m_environment->m_latencies.Late(route) : TimePoint{};
  m_port->Send(aLeg, attempt, aReplica, aReason, m_timeoutAt - aNow);
}

const ReplicaPtr*
ForwardRun::ChooseFor(const Leg& aLeg, bool aRepeatSame, TimePoint aNow) const
{
  std::vector<ReplicaPtr> tried;
  for (const Attempt& attempt : aLeg.m_attempts) {
    tried.push_back(attempt.m_replica);
  }
  std::span<const ReplicaPtr> usable =
    m_environment->m_catalogue.Usable(aLeg.m_service);
  Duration typical = m_environment->m_latencies.Typical(*m_request.m_route);
  const ReplicaPtr* replica =
    m_environment->m_load.Choose(usable, tried, typical, aNow);
  if (replica == nullptr && aRepeatSame) {
    replica = m_environment->m_load.Choose(usable, {}, typical, aNow);
  }
  if (replica != nullptr &&
      m_environment->m_load.UnreachableUntil(**replica, aNow)) {
    return nullptr;
  }
  return replica;
}

bool
ForwardRun::MayRepeat(const Leg& aLeg, AttemptOutcome aOutcome) const
{
  const Route& route = *m_request.m_route;
  if (!route.m_idempotent && !MeansNotRun(aOutcome)) {
    return false;
  }
  auto ran =
    std::ranges::count_if(aLeg.m_attempts, [](const Attempt& aAttempt) {
      return aAttempt.m_mayHaveRun;
    });
  return ran < route.m_maxAttempts &&
         aLeg.m_attempts.size() < route.m_maxAttempts + kMostNotRun;
}

bool
ForwardRun::HasOpen(const Leg& aLeg)
{
  return std::ranges::any_of(aLeg.m_attempts, &Attempt::m_open);
}

void
ForwardRun::OnFailedAttempt(uint32_t aLeg,
                            AttemptOutcome aOutcome,
                            TimePoint aNow)
{
  Leg& leg = m_legs[aLeg];
  bool enoughTime = aNow + kShortestDeadline < m_timeoutAt;
  if (!HasOpen(leg) && enoughTime && MayRepeat(leg, aOutcome)) {
    const ReplicaPtr* replica = ChooseFor(leg, true, aNow);
    // A sending that did not reach its searcher is no arrival there.
    bool free = aOutcome == AttemptOutcome::kNotSent;
    if (replica != nullptr &&
        (free || m_environment->m_budget.TryTake(leg.m_service, aNow))) {
      SendTo(aLeg, *replica, AttemptReason::kRetry, aNow);
      return;
    }
  }
  bool shed = aOutcome == AttemptOutcome::kNotExecuted && IsGathered();
  if (!HasOpen(leg) && shed && enoughTime && MayRepeat(leg, aOutcome)) {
    Park(leg, aNow);
    return;
  }
  leg.m_failed = !HasOpen(leg);
}

void
ForwardRun::Park(Leg& aLeg, TimePoint aNow)
{
  aLeg.m_parked = true;
  aLeg.m_resendAt = aNow + m_environment->m_options.m_parkRecheck;
}

void
ForwardRun::ResendParked(TimePoint aNow)
{
  for (uint32_t index = 0; index < m_legs.size(); ++index) {
    Leg& leg = m_legs[index];
    if (!leg.m_parked || leg.m_resendAt > aNow) {
      continue;
    }
    const ReplicaPtr* replica = ChooseFor(leg, true, aNow);
    bool first = leg.m_attempts.empty();
    if (replica != nullptr &&
        (first || m_environment->m_budget.TryTake(leg.m_service, aNow))) {
      leg.m_parked = false;
      SendTo(index,
             *replica,
             first ? AttemptReason::kFirst : AttemptReason::kRetry,
             aNow);
    } else if (IsServed(leg.m_service, aNow)) {
      Park(leg, aNow);
    } else {
      leg.m_parked = false;
      leg.m_failed = true;
    }
  }
}

bool
ForwardRun::IsServed(const std::string& aService, TimePoint aNow) const
{
  return !BlockedUntil(aService,
                       m_environment->m_catalogue,
                       m_environment->m_load,
                       m_environment->m_options.m_absentRetryAfter,
                       aNow)
            .has_value();
}

void
ForwardRun::HedgeLate(TimePoint aNow)
{
  for (uint32_t index = 0; index < m_legs.size(); ++index) {
    Leg& leg = m_legs[index];
    bool due = !leg.m_answer && !leg.m_failed && leg.m_hedgeAt != TimePoint{} &&
               leg.m_hedgeAt <= aNow;
    if (due) {
      TryHedge(index, aNow);
    }
  }
}

void
ForwardRun::TryHedge(uint32_t aLeg, TimePoint aNow)
{
  Leg& leg = m_legs[aLeg];
  leg.m_hedgeAt = aNow + m_environment->m_options.m_hedgeRecheck;
  const ReplicaPtr* replica = ChooseFor(leg, false, aNow);
  if (replica == nullptr) {
    leg.m_hedgeAt = TimePoint{};
    return;
  }
  const ReplicaLoad& load = m_environment->m_load;
  Duration typical = m_environment->m_latencies.Typical(*m_request.m_route);
  bool useful =
    load.HasFreeSlot(**replica) &&
    aNow + load.PredictLatency(**replica, typical, aNow) < m_timeoutAt;
  if (useful && m_environment->m_budget.TryTake(leg.m_service, aNow)) {
    SendTo(aLeg, *replica, AttemptReason::kHedge, aNow);
  }
}

void
ForwardRun::FinishIfDue(TimePoint aNow)
{
  if (m_ended) {
    return;
  }
  if (IsGathered()) {
    FinishGathered(aNow);
  } else {
    FinishSingle(aNow);
  }
}

void
ForwardRun::FinishGathered(TimePoint aNow)
{
  ForwardResult result;
  uint32_t inPlay = 0;
  for (uint32_t index = 0; index < m_legs.size(); ++index) {
    const Leg& leg = m_legs[index];
    if (leg.m_answer) {
      result.m_answers.push_back({ index, *leg.m_answer });
    } else if (!leg.m_failed) {
      ++inPlay;
    }
  }
  auto answered = static_cast<uint32_t>(result.m_answers.size());
  result.m_missing = static_cast<uint32_t>(m_legs.size()) - answered;
  bool enough = answered >= Needed();
  if (enough && (inPlay == 0 || aNow >= m_answerAt)) {
    result.m_status =
      result.m_missing == 0 ? ForwardStatus::kWhole : ForwardStatus::kPartial;
    result.m_reason = inPlay == 0 ? "complete" : "early";
    Finish(result);
    return;
  }
  if (aNow >= m_timeoutAt) {
    FinishFailed(true);
  } else if (answered + inPlay < Needed()) {
    FinishFailed(false);
  }
}

void
ForwardRun::FinishSingle(TimePoint aNow)
{
  const Leg& leg = m_legs.front();
  // A caller is better told early that every searcher is full.
  bool waitedLong = leg.m_parked && leg.m_attempts.empty() &&
                    aNow - m_request.m_receivedAt >=
                      m_request.m_route->m_targetLatency / kParkShare;
  if (waitedLong) {
    FinishFailed(false);
    return;
  }
  if (leg.m_answer) {
    Finish({ .m_status = ForwardStatus::kWhole,
             .m_answers = { { 0, *leg.m_answer } },
             .m_reason = "complete" });
  } else if (leg.m_failed && leg.m_failure && !leg.m_unknown) {
    Finish({ .m_status = ForwardStatus::kUpstreamFailure,
             .m_answers = { { 0, *leg.m_failure } },
             .m_missing = 1,
             .m_reason = "upstream-failure" });
  } else if (leg.m_failed) {
    FinishFailed(false);
  } else if (aNow >= m_timeoutAt) {
    FinishFailed(true);
  }
}

void
ForwardRun::FinishFailed(bool aTimedOut)
{
  bool mayHaveRun = std::ranges::any_of(m_legs, [](const Leg& aLeg) {
    return std::ranges::any_of(aLeg.m_attempts, &Attempt::m_mayHaveRun);
  });
  CancelOpen();
  ForwardResult result;
  result.m_missing = static_cast<uint32_t>(m_legs.size());
  if (!mayHaveRun) {
    Duration typical = m_environment->m_latencies.Typical(*m_request.m_route);
    result.m_status = ForwardStatus::kRefused;
    result.m_retryAfter =
      std::max(typical, m_environment->m_options.m_hedgeRecheck);
    result.m_reason = "not-run";
  } else {
    result.m_status =
      aTimedOut ? ForwardStatus::kTimedOut : ForwardStatus::kFailed;
    result.m_reason = aTimedOut ? "timeout" : "upstream-broken";
  }
  Finish(result);
}

void
ForwardRun::Finish(const ForwardResult& aResult)
{
  m_ended = true;
  m_port->Finish(aResult);
}

void
ForwardRun::CancelOpen()
{
  for (uint32_t index = 0; index < m_legs.size(); ++index) {
    for (uint32_t attempt = 0; attempt < m_legs[index].m_attempts.size();
         ++attempt) {
      if (m_legs[index].m_attempts[attempt].m_open) {
        m_legs[index].m_attempts[attempt].m_open = false;
        m_port->Cancel(index, attempt);
      }
    }
  }
}

} // namespace ebonykeel
