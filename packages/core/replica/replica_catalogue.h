// Which searchers may get requests, by service.
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

#include "core/replica/replica.h"

namespace ebonykeel {

// The registrations as one instance sees them. A searcher is usable while it is
// registered, ready and outside the data centres that are taken out.
class ReplicaCatalogue
{
public:
  // Adds a registration or replaces the one of the same id.
  void Put(Replica aReplica);
  // Forgets a registration; nothing happens if the id is unknown.
  void Remove(std::string_view aId);
  // Names the data centres whose searchers get nothing.
  void SetExcludedDataCentres(std::set<DataCentre> aDataCentres);

  // Returns the usable searchers of a service. Valid until the next change.
  [[nodiscard]] std::span<const ReplicaPtr> Usable(
    std::string_view aService) const;
  [[nodiscard]] size_t Count() const { return m_replicas.size(); }
  // Counts usable searchers a data centre, over the named services.
  [[nodiscard]] std::map<DataCentre, size_t> CountUsableByDataCentre(
    std::span<const std::string> aServices) const;

private:
  [[nodiscard]] bool IsUsable(const Replica& aReplica) const;
  void Rebuild(const std::string& aService);

  std::map<std::string, ReplicaPtr, std::less<>> m_replicas;
  std::map<std::string, std::set<std::string>, std::less<>> m_idsByService;
  std::map<std::string, std::vector<ReplicaPtr>, std::less<>> m_usable;
  std::set<DataCentre> m_excluded;
};

} // namespace ebonykeel
