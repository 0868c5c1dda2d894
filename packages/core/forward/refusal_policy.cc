#include "core/forward/refusal_policy.h"

#include <algorithm>

#include "core/forward/overload_forecast.h"

namespace ebonykeel {
namespace {

// The shortest retry delay after a refusal for overload: a queue takes this
// long to become noticeably shorter.
constexpr Duration kMinOverloadRetryAfter = Milliseconds(50);
// The longest time over which the callers that were refused for overload
// return.
constexpr Duration kMaxOverloadSpread = Seconds(2);

} // namespace

RefusalPolicy::RefusalPolicy(const ForwardRequest& aRequest,
                             const ForwardEnvironment& aEnvironment,
                             RetrySpread& aRetrySpread,
                             TimePoint aNow)
  : m_request(aRequest)
  , m_environment(aEnvironment)
  , m_retrySpread(aRetrySpread)
  , m_now(aNow)
{
}

std::optional<ForwardResult>
RefusalPolicy::RefuseUnsent(TimePoint aTimeoutAt,
                            std::optional<TimePoint> aEndBy) const
{
  std::optional<ForwardResult> refusal = RefuseIfStopping(aEndBy);
  if (!refusal) {
    refusal = RefuseIfUnavailable();
  }
  if (!refusal) {
    refusal = RefuseIfOverloaded(aTimeoutAt);
  }
  return refusal;
}

ForwardResult
RefusalPolicy::RefuseNotRun() const
{
  ServiceCoverage coverage = CountCoverage();
  if (IsPushedBack(coverage)) {
    return RefusePushedBack(coverage);
  }
  Duration typical = m_environment.m_latencies.Typical(*m_request.m_route);
  return { .m_status = ForwardStatus::kRefused,
           .m_missing = static_cast<uint32_t>(m_request.m_services.size()),
           .m_retryAfter = SpreadOverload(
             std::max(typical, m_environment.m_options.m_hedgeRecheckInterval)),
           .m_reason = "not-run" };
}

Duration
RefusalPolicy::SpreadOverload(Duration aDelay) const
{
  Duration typical = m_environment.m_latencies.Typical(*m_request.m_route);
  Duration range = aDelay;
  for (const std::string& service : m_request.m_services) {
    int64_t slots = 0;
    for (const ReplicaPtr& replica :
         m_environment.m_catalogue.Usable(service)) {
      slots += replica->m_slots;
    }
    auto ahead = static_cast<int64_t>(
      m_environment.m_waiters.CountAhead(service, m_request.m_priority));
    range = std::max(range, typical * ahead / std::max<int64_t>(slots, 1));
  }
  return m_retrySpread.Spread(aDelay, std::min(range, kMaxOverloadSpread));
}

std::optional<ForwardResult>
RefusalPolicy::RefuseIfStopping(std::optional<TimePoint> aEndBy) const
{
  // The answer to a request that needs longer would come after the stop.
  if (!aEndBy || *aEndBy - m_now >= m_request.m_route->m_targetLatency) {
    return std::nullopt;
  }
  return ForwardResult{ .m_status = ForwardStatus::kRefused,
                        .m_missing =
                          static_cast<uint32_t>(m_request.m_services.size()),
                        .m_retryAfter =
                          m_environment.m_options.m_stopRetryAfter,
                        .m_reason = "stopping" };
}

std::optional<ForwardResult>
RefusalPolicy::RefuseIfUnavailable() const
{
  ServiceCoverage coverage = CountCoverage();
  if (coverage.HasAvailable(m_request.Required())) {
    return std::nullopt;
  }
  if (IsPushedBack(coverage)) {
    return RefusePushedBack(coverage);
  }
  return ForwardResult{ .m_status = ForwardStatus::kRefused,
                        .m_missing =
                          static_cast<uint32_t>(coverage.UnavailableCount()),
                        .m_retryAfter =
                          coverage.AvailableAt(m_request.Required()) - m_now,
                        .m_reason = "no-replica" };
}

std::optional<ForwardResult>
RefusalPolicy::RefuseIfOverloaded(TimePoint aTimeoutAt) const
{
  if (!m_request.IsGathered()) {
    return std::nullopt;
  }
  Duration typical = m_environment.m_latencies.Typical(*m_request.m_route);
  OverloadForecast forecast(m_environment.m_catalogue,
                            m_environment.m_load,
                            m_environment.m_waiters,
                            m_request.m_priority,
                            typical,
                            m_now);
  Duration expected =
    forecast.ExpectedLatency(m_request.m_services, m_request.Required());
  Duration remaining = aTimeoutAt - m_now;
  if (expected <= remaining) {
    return std::nullopt;
  }
  return ForwardResult{ .m_status = ForwardStatus::kRefused,
                        .m_missing =
                          static_cast<uint32_t>(m_request.m_services.size()),
                        .m_retryAfter = SpreadOverload(std::max(
                          expected - remaining, kMinOverloadRetryAfter)),
                        .m_reason = "overloaded" };
}

ServiceCoverage
RefusalPolicy::CountCoverage() const
{
  return { m_request.m_services,
           m_environment.m_catalogue,
           m_environment.m_load,
           m_environment.m_options.m_noReplicaRetryAfter,
           m_now };
}

bool
RefusalPolicy::IsPushedBack(const ServiceCoverage& aCoverage) const
{
  return !aCoverage.HasAvailable(m_request.Required()) &&
         aCoverage.HasReachable(m_request.Required());
}

ForwardResult
RefusalPolicy::RefusePushedBack(const ServiceCoverage& aCoverage) const
{
  Duration delay = aCoverage.AvailableAt(m_request.Required()) - m_now;
  return { .m_status = ForwardStatus::kRefused,
           .m_missing = static_cast<uint32_t>(aCoverage.UnavailableCount()),
           .m_retryAfter = m_retrySpread.Extend(delay),
           .m_reason = "pushed-back" };
}

} // namespace ebonykeel
