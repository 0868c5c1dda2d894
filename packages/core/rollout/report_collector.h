// The reports of all instances about one order.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/rollout/rollout.h"

namespace ebonykeel {

// What a report adds to the earlier ones of its instance.
struct ReportGain
{
  // Nothing was known of the process run before.
  bool m_isNew = false;
  std::vector<RouteCounts> m_routes;
};

class ReportCollector
{
public:
  ReportGain Add(const std::string& aHost, const RolloutReport& aReport);

  // Returns the newest report of an instance; null if there is none.
  [[nodiscard]] const RolloutReport* Find(const std::string& aHost) const;
  // Returns whether every one of `aHosts` has reported.
  [[nodiscard]] bool HasAll(std::span<const std::string> aHosts) const;
  // Returns whether an instance has stopped; see `RolloutReport::m_stopped`.
  [[nodiscard]] bool AnyStopped() const;
  [[nodiscard]] uint64_t Requests() const;
  [[nodiscard]] uint64_t TargetRequests() const;
  [[nodiscard]] uint64_t CurrentAnswers() const;
  [[nodiscard]] AnswerCounts TargetAnswers() const;

private:
  struct Process
  {
    RolloutReport m_last;
    std::map<std::string, RouteCounts> m_routes;
  };

  // By the process run; the last one is the present one.
  using Processes = std::map<uint64_t, Process>;

  std::map<std::string, Processes> m_hosts;
};

} // namespace ebonykeel
