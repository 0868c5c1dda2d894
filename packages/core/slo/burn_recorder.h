// Counts good and bad requests of every service by its service-level target.
//
//   BurnRecorder recorder({}, start);
//   recorder.SetTargets(configuration);
//   recorder.Record(service, sample, now);
//   BurnReport report = recorder.Report(now);
#pragma once

#include <map>
#include <optional>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/slo/burn_counts.h"
#include "core/slo/burn_report.h"

namespace ebonykeel {

// The result of a request.
enum class RequestResult
{
  kAnswered,
  // The request was refused and not run.
  kRefused,
  // The request failed, or its outcome is unknown.
  kFailed,
};

// One finished request, as seen by one of its services.
struct RequestSample
{
  RequestResult m_result = RequestResult::kAnswered;
  Duration m_latency{};
  // Answered shards divided by all shards; 1 for requests without coverage.
  double m_coverage = 1.0;
};

// Returns why the request was bad, or nullopt if it was good. A request that
// was both late and uncovered counts as uncovered.
[[nodiscard]] std::optional<BurnCause>
FindBurnCause(const RequestSample& aSample, const ServiceLevelTarget& aTarget);

struct BurnRecorderOptions
{
  Duration m_shortWindow = Seconds(300);
  Duration m_longWindow = Seconds(3600);
};

// Uses a fixed amount of memory, about 5 KB, for each service.
class BurnRecorder
{
public:
  // `aStart` is the time at which counting begins.
  BurnRecorder(const BurnRecorderOptions& aOptions, TimePoint aStart);

  // Takes the services and targets from the configuration in force. Drops the
  // counts of services that were removed, and restarts the counts over the
  // target's window of a service whose window has changed.
  void SetTargets(const Configuration& aConfiguration);

  // Counts one request. Ignores a request for an unknown service.
  void Record(const ServiceName& aService,
              const RequestSample& aSample,
              TimePoint aNow);

  [[nodiscard]] BurnReport Report(TimePoint aNow) const;

private:
  struct Service
  {
    ServiceLevelTarget m_target;
    // Covers the short and the long window.
    BurnRing m_recentRing;
    // Covers the target's window.
    BurnRing m_targetWindowRing;
  };

  BurnRecorderOptions m_options;
  TimePoint m_start;
  std::map<ServiceName, Service> m_services;
};

} // namespace ebonykeel
