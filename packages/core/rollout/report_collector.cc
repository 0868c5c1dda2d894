#include "core/rollout/report_collector.h"

#include <algorithm>

namespace ebonykeel {
namespace {

// Adopts a total, which never falls; returns by how much it grew.
uint64_t
Raise(uint64_t& aTotal, uint64_t aReported)
{
  uint64_t gain = aReported > aTotal ? aReported - aTotal : 0;
  aTotal += gain;
  return gain;
}

AnswerCounts
Raise(AnswerCounts& aTotal, const AnswerCounts& aReported)
{
  return { .m_answers = Raise(aTotal.m_answers, aReported.m_answers),
           .m_failures = Raise(aTotal.m_failures, aReported.m_failures),
           .m_slow = Raise(aTotal.m_slow, aReported.m_slow) };
}

} // namespace

ReportGain
ReportCollector::Add(const std::string& aHost, const RolloutReport& aReport)
{
  auto [found, isNew] = m_hosts[aHost].try_emplace(aReport.m_processStart);
  Process& process = found->second;
  ReportGain gain{ .m_isNew = isNew };
  if (isNew || aReport.m_sequence >= process.m_last.m_sequence) {
    process.m_last = aReport;
    process.m_last.m_routes.clear();
  }
  for (const RouteCounts& reported : aReport.m_routes) {
    RouteCounts& total = process.m_routes[reported.m_route];
    gain.m_routes.push_back(
      { .m_route = reported.m_route,
        .m_current = Raise(total.m_current, reported.m_current),
        .m_target = Raise(total.m_target, reported.m_target) });
  }
  return gain;
}

const RolloutReport*
ReportCollector::Find(const std::string& aHost) const
{
  auto found = m_hosts.find(aHost);
  return found == m_hosts.end() ? nullptr
                                : &found->second.rbegin()->second.m_last;
}

bool
ReportCollector::HasAll(std::span<const std::string> aHosts) const
{
  return std::ranges::all_of(aHosts, [this](const std::string& aHost) {
    return m_hosts.contains(aHost);
  });
}

bool
ReportCollector::AnyStopped() const
{
  return std::ranges::any_of(m_hosts, [](const auto& aHost) {
    return std::ranges::any_of(aHost.second, [](const auto& aProcess) {
      return aProcess.second.m_last.m_stopped;
    });
  });
}

uint64_t
ReportCollector::Requests() const
{
  uint64_t sum = 0;
  for (const auto& [host, processes] : m_hosts) {
    for (const auto& [start, process] : processes) {
      sum += process.m_last.m_requests;
    }
  }
  return sum;
}

uint64_t
ReportCollector::TargetRequests() const
{
  uint64_t sum = 0;
  for (const auto& [host, processes] : m_hosts) {
    for (const auto& [start, process] : processes) {
      sum += process.m_last.m_targetRequests;
    }
  }
  return sum;
}

uint64_t
ReportCollector::CurrentAnswers() const
{
  uint64_t sum = 0;
  for (const auto& [host, processes] : m_hosts) {
    for (const auto& [start, process] : processes) {
      for (const auto& [name, route] : process.m_routes) {
        sum += route.m_current.m_answers;
      }
    }
  }
  return sum;
}

AnswerCounts
ReportCollector::TargetAnswers() const
{
  AnswerCounts sum;
  for (const auto& [host, processes] : m_hosts) {
    for (const auto& [start, process] : processes) {
      for (const auto& [name, route] : process.m_routes) {
        sum.m_answers += route.m_target.m_answers;
        sum.m_failures += route.m_target.m_failures;
        sum.m_slow += route.m_target.m_slow;
      }
    }
  }
  return sum;
}

} // namespace ebonykeel
