// Decides which requests are refused as not run, and when their callers may
// return.
//
// The loads that it answers: upstreams that are gone, out of reach or push
// back; shards that get more than they can answer before the deadline; an
// instance that stops. A request that cannot be served is refused at once,
// before anything is sent: admitted, it would wait until its deadline, and
// others behind it.
//
//   RefusalPolicy policy(request, environment, now);
//   if (auto refusal = policy.RefuseUnsent(timeoutAt, endBy)) { ... }
#pragma once

#include <optional>

#include "core/forward/forward_request.h"
#include "core/forward/forward_result.h"
#include "core/forward/service_coverage.h"

namespace ebonykeel {

// Everything that is passed by reference must outlive the policy.
class RefusalPolicy
{
public:
  // `aRetrySpread` spreads the retry delays; nothing else changes.
  RefusalPolicy(const ForwardRequest& aRequest,
                const ForwardEnvironment& aEnvironment,
                RetrySpread& aRetrySpread,
                TimePoint aNow);

  // Returns the refusal of a request of which nothing was sent; nothing if it
  // can be served. `aTimeoutAt` is when it has to be answered, `aEndBy` when
  // the process stops, if it does.
  [[nodiscard]] std::optional<ForwardResult> RefuseUnsent(
    TimePoint aTimeoutAt,
    std::optional<TimePoint> aEndBy) const;
  // Returns the refusal of a request that no upstream executed.
  [[nodiscard]] ForwardResult RefuseNotRun() const;

private:
  [[nodiscard]] std::optional<ForwardResult> RefuseIfStopping(
    std::optional<TimePoint> aEndBy) const;
  [[nodiscard]] std::optional<ForwardResult> RefuseIfUnavailable() const;
  [[nodiscard]] std::optional<ForwardResult> RefuseIfOverloaded(
    TimePoint aTimeoutAt) const;
  // Returns `aDelay`, or more so that callers that were refused for overload
  // return over the time that the upstreams need for what waits here, or over
  // `aDelay` if that is longer.
  [[nodiscard]] Duration SpreadOverload(Duration aDelay) const;
  [[nodiscard]] ServiceCoverage CountCoverage() const;
  // Returns whether too few services are available, and enough were if their
  // upstreams did not push back.
  [[nodiscard]] bool IsPushedBack(const ServiceCoverage& aCoverage) const;
  // Returns the refusal of a request until the upstreams stop pushing back.
  [[nodiscard]] ForwardResult RefusePushedBack(
    const ServiceCoverage& aCoverage) const;

  const ForwardRequest& m_request;
  const ForwardEnvironment& m_environment;
  RetrySpread& m_retrySpread;
  TimePoint m_now;
};

} // namespace ebonykeel
