// The routes, upstreams and excluded data centres of an instance, built from
// its feeds of the store's objects.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
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

private:
  void ApplyConfiguration(const FeedObject& aObject);
  void ApplyReplica(const FeedObject& aObject, TimePoint aNow);
  void ApplyExclusion(const FeedObject& aObject);

  const StoreProtocol& m_protocol;
  ReplicaLoad& m_load;
  LineLog& m_log;
  std::shared_ptr<const RouteTable> m_routes;
  ReplicaCatalogue m_catalogue;
  std::set<DataCentre> m_excludedDataCentres;
};

} // namespace ebonykeel
