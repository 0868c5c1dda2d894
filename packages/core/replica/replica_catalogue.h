// The upstreams that may receive requests, by service.
//
//   ReplicaCatalogue catalogue;
//   catalogue.Put(replica);
//   for (const ReplicaPtr& replica : catalogue.Usable("shard-07")) { ... }
#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/replica/leaving_replicas.h"
#include "core/replica/replica.h"

namespace ebonykeel {

// The registrations known to one instance. An upstream is usable while it is
// registered, ready, not in an excluded data centre, and has not announced that
// it is leaving.
class ReplicaCatalogue
{
public:
  // Adds a registration, or replaces the one with the same ID.
  void Put(Replica aReplica);
  // Removes a registration; does nothing if the ID is unknown.
  void Remove(std::string_view aId);
  // Makes a start of an upstream unusable for good, whatever its registration
  // says. Returns false if it was before.
  bool SetLeaving(const Replica& aReplica);
  // Sets the data centres whose upstreams receive no requests.
  void SetExcludedDataCentres(std::set<DataCentre> aDataCentres);

  // Returns the usable upstreams of a service. Valid until the next change.
  [[nodiscard]] std::span<const ReplicaPtr> Usable(
    std::string_view aService) const;
  // Returns all upstreams of a service, also those that are not usable, by ID.
  [[nodiscard]] std::vector<ReplicaPtr> Registered(
    std::string_view aService) const;
  // Returns whether the data centre's upstreams receive no requests.
  [[nodiscard]] bool IsExcluded(const DataCentre& aDataCentre) const
  {
    return m_excluded.contains(aDataCentre);
  }
  // Returns whether this start of the upstream has announced that it is
  // leaving.
  [[nodiscard]] bool IsLeaving(const Replica& aReplica) const
  {
    return m_leaving.Contains(aReplica);
  }
  [[nodiscard]] size_t Count() const { return m_replicas.size(); }
  // Returns the number of upstreams that announced that they are leaving.
  [[nodiscard]] size_t LeavingCount() const { return m_leaving.Count(); }
  // Returns the number of usable upstreams of the given services, by data
  // centre.
  [[nodiscard]] std::map<DataCentre, size_t> CountUsableByDataCentre(
    std::span<const std::string> aServices) const;

private:
  [[nodiscard]] bool IsUsable(const Replica& aReplica) const;
  void Rebuild(const std::string& aService);

  std::map<std::string, ReplicaPtr, std::less<>> m_replicas;
  std::map<std::string, std::set<std::string>, std::less<>> m_idsByService;
  std::map<std::string, std::vector<ReplicaPtr>, std::less<>> m_usable;
  std::set<DataCentre> m_excluded;
  LeavingReplicas m_leaving;
};

} // namespace ebonykeel
