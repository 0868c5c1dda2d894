// Counters and latencies of forwarded requests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "runtime/metrics/latency_summary.h"

namespace ebonykeel {

class ForwardStats
{
public:
  // Records a request on `aRoute` that ended with `aStatus`, such as "whole".
  void OnRequestEnded(const std::string& aRoute,
                      std::string_view aStatus,
                      Duration aTook);
  // Records an attempt that was made for `aReason` and ended with `aOutcome`.
  void OnAttemptEnded(std::string_view aReason, std::string_view aOutcome);
  // Records a request that was refused because of its key, for one of a few
  // reasons.
  void OnAccessRefused(std::string_view aReason);

  // Returns the metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

private:
  std::map<std::pair<std::string, std::string>, uint64_t> m_requests;
  std::map<std::pair<std::string, std::string>, uint64_t> m_attempts;
  std::map<std::string, uint64_t> m_accessRefusals;
  std::map<std::string, LatencySummary> m_latencies;
};

} // namespace ebonykeel
