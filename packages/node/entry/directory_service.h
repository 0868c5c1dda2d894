// Answers callers that ask which instances to connect to.
//
//   DirectoryService directory(loop, traffic, fleet, reachability, options);
//   directory.SetUpstreamCounts(routing.CountGatheredUpstreams());
//   exchange->Answer(directory.Answer(query));
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/caller_directory.h"
#include "core/fleet/fleet_view.h"
#include "core/fleet/upstream_reachability.h"
#include "node/entry/protocol.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

struct DirectoryOptions
{
  // How long callers may use an answer.
  Duration m_answerTtl = Seconds(1);
  // The number of instances that are offered to the callers of one data centre.
  size_t m_instancesPerCaller = 2;
  // The port of callers, which is that of all instances.
  uint16_t m_callerPort = 0;
  // When a caller may ask again if there is no instance to offer.
  Duration m_retryAfter = Milliseconds(100);
};

// Everything that is passed by reference must outlive the service.
class DirectoryService
{
public:
  DirectoryService(UvLoop& aLoop,
                   const TrafficProtocol& aTraffic,
                   const FleetView& aFleet,
                   const UpstreamReachability& aReachability,
                   DirectoryOptions aOptions);

  void SetOptions(const DirectoryOptions& aOptions) { m_options = aOptions; }
  // Sets the usable upstreams of all gathered routes, by data centre.
  void SetUpstreamCounts(std::map<DataCentre, size_t> aCounts)
  {
    m_upstreamCounts = std::move(aCounts);
  }

  [[nodiscard]] Http1Response Answer(const DirectoryQuery& aQuery) const;
  // Returns every host that is offered to callers of any data centre.
  [[nodiscard]] std::set<std::string> OfferedHosts() const;
  // Returns the longest time that a caller may use an answer.
  [[nodiscard]] Duration MaxCacheTime() const;

private:
  // Returns the instances that may be offered to callers.
  [[nodiscard]] std::vector<FleetRecord> Candidates() const;
  [[nodiscard]] CallerDirectoryOptions ChoiceOptions() const
  {
    return { .m_instancesPerCaller = m_options.m_instancesPerCaller };
  }

  UvLoop& m_loop;
  const TrafficProtocol& m_traffic;
  const FleetView& m_fleet;
  const UpstreamReachability& m_reachability;
  DirectoryOptions m_options;
  std::map<DataCentre, size_t> m_upstreamCounts;
};

} // namespace ebonykeel
