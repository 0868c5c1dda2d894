#include "node/entry/forward_stats.h"

#include "absl/strings/str_cat.h"

namespace ebonykeel {

void
ForwardStats::OnRequestEnded(const std::string& aRoute,
                             std::string_view aStatus,
                             Duration aTook)
{
  ++m_requests[{ aRoute, std::string(aStatus) }];
  m_latencies[aRoute].Add(aTook);
}

void
ForwardStats::OnAttemptEnded(std::string_view aReason,
                             std::string_view aOutcome)
{
  ++m_attempts[{ std::string(aReason), std::string(aOutcome) }];
}

void
ForwardStats::OnAccessRefused(std::string_view aReason)
{
  ++m_accessRefusals[std::string(aReason)];
}

std::string
ForwardStats::Render() const
{
  std::string text;
  text += "# TYPE ebonykeel_requests_total counter\n";
  for (const auto& [key, count] : m_requests) {
    absl::StrAppend(&text,
                    "ebonykeel_requests_total{route=\"",
                    key.first,
                    "\",status=\"",
                    key.second,
                    "\"} ",
                    count,
                    "\n");
  }
  text += "# TYPE ebonykeel_sendings_total counter\n";
  for (const auto& [key, count] : m_attempts) {
    absl::StrAppend(&text,
                    "ebonykeel_sendings_total{reason=\"",
                    key.first,
                    "\",outcome=\"",
                    key.second,
                    "\"} ",
                    count,
                    "\n");
  }
  text += "# TYPE ebonykeel_access_refused_total counter\n";
  for (const auto& [reason, count] : m_accessRefusals) {
    absl::StrAppend(&text,
                    "ebonykeel_access_refused_total{reason=\"",
                    reason,
                    "\"} ",
                    count,
                    "\n");
  }
  text += "# TYPE ebonykeel_request_seconds summary\n";
  for (const auto& [route, latency] : m_latencies) {
    std::string label = absl::StrCat("{route=\"", route, "\",quantile=\"");
    absl::StrAppend(&text,
                    "ebonykeel_request_seconds",
                    label,
                    "0.5\"} ",
                    latency.Quantile(LatencySummary::kP50) / 1000,
                    "\nebonykeel_request_seconds",
                    label,
                    "0.99\"} ",
                    latency.Quantile(LatencySummary::kP99) / 1000,
                    "\nebonykeel_request_seconds_count{route=\"",
                    route,
                    "\"} ",
                    latency.Count(),
                    "\n");
  }
  return text;
}

} // namespace ebonykeel
