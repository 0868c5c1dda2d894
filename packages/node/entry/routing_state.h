// The routes, upstreams and excluded data centres of an instance, built from
// its feeds of the store's objects and from what upstreams state in answers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/replica/replica_catalogue.h"
#include "core/replica/replica_load.h"
#include "core/traffic/traffic_config.h"
#include "node/entry/protocol.h"
#include "runtime/log/line_log.h"

namespace ebonykeel {

// Everything that is passed by reference must outlive the state.
class RoutingState
{
public:
  RoutingState(const StoreProtocol& aProtocol,
               ReplicaLoad& aLoad,
               LineLog& aLog);

  // Applies a changed object.
  void ApplyObject(FeedKind aKind, const FeedObject& aObject, TimePoint aNow);
  // Applies what an upstream stated in an answer.
  void ApplyNotices(const Replica& aReplica,
                    const UpstreamNotices& aNotices,
                    TimePoint aNow);
  // Logs which upstreams get requests again. Must be called regularly.
  void LogResumed(TimePoint aNow);

  // Returns the routes in force; null before a configuration is known.
  [[nodiscard]] const std::shared_ptr<const RouteTable>& Routes() const
  {
    return m_routes;
  }
  [[nodiscard]] const ReplicaCatalogue& Catalogue() const
  {
    return m_catalogue;
  }
  // Returns the number of usable upstreams of all gathered routes, by data
  // centre.
  [[nodiscard]] std::map<DataCentre, size_t> CountGatheredUpstreams() const;
  // Return how often an upstream announced that it is leaving, or asked for no
  // requests for a while, since the start.
  [[nodiscard]] uint64_t LeavingTotal() const { return m_leavingTotal; }
  [[nodiscard]] uint64_t PushbackTotal() const { return m_pushbackTotal; }

private:
  void ApplyConfiguration(const FeedObject& aObject);
  void ApplyReplica(const FeedObject& aObject, TimePoint aNow);
  void ApplyExclusion(const FeedObject& aObject);
  void ApplyRetryAfter(const Replica& aReplica,
                       Duration aRetryAfter,
                       TimePoint aNow);
  void LogResumed(const std::string& aId, std::string_view aCause);

  const StoreProtocol& m_protocol;
  ReplicaLoad& m_load;
  LineLog& m_log;
  std::shared_ptr<const RouteTable> m_routes;
  ReplicaCatalogue m_catalogue;
  std::set<DataCentre> m_excludedDataCentres;
  uint64_t m_leavingTotal = 0;
  uint64_t m_pushbackTotal = 0;
};

} // namespace ebonykeel
