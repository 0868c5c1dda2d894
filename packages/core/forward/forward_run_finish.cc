// The part of `ForwardRun` that decides when a run ends, and with which result.
#include <algorithm>
#include <utility>

#include "core/forward/forward_run.h"
#include "core/forward/refusal_policy.h"

namespace ebonykeel {

void
ForwardRun::FinishIfDue(TimePoint aNow)
{
  if (m_ended) {
    return;
  }
  if (WaitsUnsent() && aNow >= m_refuseUnsentAt) {
    FinishWithoutAnswer(false, aNow);
    return;
  }
  if (m_request.IsGathered()) {
    FinishGathered(aNow);
  } else {
    FinishSingle(aNow);
  }
}

void
ForwardRun::FinishGathered(TimePoint aNow)
{
  ForwardResult result;
  uint32_t pending = 0;
  for (uint32_t index = 0; index < m_subRequests.size(); ++index) {
    const SubRequest& subRequest = m_subRequests[index];
    if (subRequest.m_answer) {
      result.m_answers.push_back({ index, *subRequest.m_answer });
    } else if (!subRequest.m_failed) {
      ++pending;
    }
  }
  auto answered = static_cast<uint32_t>(result.m_answers.size());
  result.m_missing = static_cast<uint32_t>(m_subRequests.size()) - answered;
  bool enough = answered >= m_request.Required();
  if (enough && (pending == 0 || aNow >= m_earlyAnswerAt)) {
    result.m_status =
      result.m_missing == 0 ? ForwardStatus::kWhole : ForwardStatus::kPartial;
    result.m_reason = pending == 0 ? "complete" : "early";
    Finish(result);
    return;
  }
  if (aNow >= m_timeoutAt) {
    FinishWithoutAnswer(true, aNow);
  } else if (answered + pending < m_request.Required()) {
    FinishWithoutAnswer(false, aNow);
  }
}

void
ForwardRun::FinishSingle(TimePoint aNow)
{
  const SubRequest& subRequest = m_subRequests.front();
  if (subRequest.m_answer) {
    Finish({ .m_status = ForwardStatus::kWhole,
             .m_answers = { { 0, *subRequest.m_answer } },
             .m_reason = "complete" });
  } else if (subRequest.m_failed && subRequest.m_failure &&
             !subRequest.m_outcomeUnknown) {
    Finish({ .m_status = ForwardStatus::kUpstreamFailure,
             .m_answers = { { 0, *subRequest.m_failure } },
             .m_missing = 1,
             .m_reason = "upstream-failure" });
  } else if (subRequest.m_failed) {
    FinishWithoutAnswer(false, aNow);
  } else if (aNow >= m_timeoutAt) {
    FinishWithoutAnswer(true, aNow);
  }
}

void
ForwardRun::FinishWithoutAnswer(bool aTimedOut, TimePoint aNow)
{
  bool mayHaveRun =
    std::ranges::any_of(m_subRequests, [](const SubRequest& aSubRequest) {
      return std::ranges::any_of(aSubRequest.m_attempts,
                                 &Attempt::m_mayHaveRun);
    });
  CancelOpenAttempts();
  if (!mayHaveRun) {
    RefusalPolicy policy(
      m_request, *m_environment, m_environment->m_retrySpread, aNow);
    Finish(policy.RefuseNotRun());
    return;
  }
  Finish(
    { .m_status = aTimedOut ? ForwardStatus::kTimedOut : ForwardStatus::kFailed,
      .m_missing = static_cast<uint32_t>(m_subRequests.size()),
      .m_reason = aTimedOut ? "timeout" : "upstream-broken" });
}

void
ForwardRun::Finish(const ForwardResult& aResult)
{
  End();
  m_port->Finish(aResult);
}

void
ForwardRun::End()
{
  std::ranges::for_each(m_subRequests, [this](SubRequest& aSubRequest) {
    StopWaiting(aSubRequest);
  });
  m_ended = true;
}

void
ForwardRun::CancelOpenAttempts()
{
  for (uint32_t index = 0; index < m_subRequests.size(); ++index) {
    for (uint32_t attempt = 0; attempt < m_subRequests[index].m_attempts.size();
         ++attempt) {
      if (m_subRequests[index].m_attempts[attempt].m_open) {
        m_subRequests[index].m_attempts[attempt].m_open = false;
        m_port->Cancel(index, attempt);
      }
    }
  }
}

} // namespace ebonykeel
