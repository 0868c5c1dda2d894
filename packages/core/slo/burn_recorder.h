// Counts the requests of every service against its service-level target.
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

// How a request ended.
enum class RequestResult
{
  kAnswered,
  // Refused and not run.
  kRefused,
  // Failed, or its outcome is not known.
  kFailed,
};

// What counts of one request for one service.
struct RequestSample
{
  RequestResult m_result = RequestResult::kAnswered;
  Duration m_latency{};
  // AnsweredSample shards over all shards; 1 for requests without coverage.
  double m_coverage = 1.0;
};

// Returns why the request was not good, or nothing if it was. A request that
// was late and uncovered counts as uncovered.
[[nodiscard]] std::optional<BurnCause>
FindBurnCause(const RequestSample& aSample, const ServiceLevelTarget& aTarget);

struct BurnRecorderOptions
{
  Duration m_shortWindow = Seconds(300);
  Duration m_longWindow = Seconds(3600);
};

// Holds a fixed amount for each service: about 5 KB.
class BurnRecorder
{
public:
  // `aStart` is when counting begins.
  BurnRecorder(const BurnRecorderOptions& aOptions, TimePoint aStart);

  // Follows the services in force: counts of services that have left are
  // dropped, and a service whose window changed starts that window anew.
  void SetTargets(const Configuration& aConfiguration);

  // Counts one request; one for an unknown service is left out.
  void Record(const ServiceName& aService,
              const RequestSample& aSample,
              TimePoint aNow);

  [[nodiscard]] BurnReport Report(TimePoint aNow) const;

private:
  struct Service
  {
    ServiceLevelTarget m_target;
    // Spans the long window.
    BurnRing m_recentRing;
    // Spans the target's window.
    BurnRing m_targetWindowRing;
  };

  BurnRecorderOptions m_options;
  TimePoint m_start;
  std::map<ServiceName, Service> m_services;
};

} // namespace ebonykeel
