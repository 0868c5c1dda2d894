#include "core/slo/burn_recorder.h"

#include <utility>

namespace ebonykeel {
namespace {

// The number of buckets of the recent ring in the short window.
constexpr int64_t kShortWindowBuckets = 5;
constexpr size_t kTargetWindowBuckets = 96;

} // namespace

std::optional<BurnCause>
FindBurnCause(const RequestSample& aSample, const ServiceLevelTarget& aTarget)
{
  if (aSample.m_result == RequestResult::kRefused) {
    return BurnCause::kRefused;
  }
  if (aSample.m_result == RequestResult::kFailed) {
    return BurnCause::kFailed;
  }
  if (aSample.m_coverage < aTarget.m_coverage) {
    return BurnCause::kUncovered;
  }
  if (aSample.m_latency > aTarget.m_latency) {
    return BurnCause::kLate;
  }
  return std::nullopt;
}

BurnRecorder::BurnRecorder(const BurnRecorderOptions& aOptions,
                           TimePoint aStart)
  : m_options(aOptions)
  , m_start(aStart)
{
}

void
BurnRecorder::SetTargets(const Configuration& aConfiguration)
{
  std::map<ServiceName, Service> services;
  auto recentBuckets = static_cast<size_t>(
    kShortWindowBuckets * m_options.m_longWindow / m_options.m_shortWindow);
  for (const ServiceConfig& config : aConfiguration.m_services) {
    auto kept = m_services.find(config.m_name);
    if (kept == m_services.end()) {
      services.emplace(
        config.m_name,
        Service{ config.m_target,
                 BurnRing(m_options.m_longWindow, recentBuckets),
                 BurnRing(config.m_target.m_window, kTargetWindowBuckets) });
      continue;
    }
    Service& service = kept->second;
    if (service.m_target.m_window != config.m_target.m_window) {
      service.m_targetWindowRing =
        BurnRing(config.m_target.m_window, kTargetWindowBuckets);
    }
    service.m_target = config.m_target;
    services.emplace(config.m_name, std::move(service));
  }
  m_services = std::move(services);
}

void
BurnRecorder::Record(const ServiceName& aService,
                     const RequestSample& aSample,
                     TimePoint aNow)
{
  auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return;
  }
  Service& service = found->second;
  std::optional<BurnCause> cause = FindBurnCause(aSample, service.m_target);
  service.m_recentRing.Add(aNow, cause);
  service.m_targetWindowRing.Add(aNow, cause);
}

BurnReport
BurnRecorder::Report(TimePoint aNow) const
{
  BurnReport report;
  report.m_countingTime = aNow - m_start;
  report.m_services.reserve(m_services.size());
  for (const auto& [name, service] : m_services) {
    Duration window = service.m_target.m_window;
    ServiceBurn burn;
    burn.m_service = name;
    burn.m_target = service.m_target;
    burn.m_short = { m_options.m_shortWindow,
                     service.m_recentRing.Count(aNow,
                                                m_options.m_shortWindow) };
    burn.m_long = { m_options.m_longWindow,
                    service.m_recentRing.Count(aNow, m_options.m_longWindow) };
    burn.m_whole = { window, service.m_targetWindowRing.Count(aNow, window) };
    report.m_services.push_back(std::move(burn));
  }
  return report;
}

} // namespace ebonykeel
