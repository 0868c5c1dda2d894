#include "core/replica/replica_catalogue.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {

void
ReplicaCatalogue::Put(Replica aReplica)
{
  std::string id = aReplica.m_id;
  std::string service = aReplica.m_service;
  auto found = m_replicas.find(id);
  if (found != m_replicas.end()) {
    if (*found->second == aReplica) {
      return;
    }
    if (found->second->m_service != service) {
      Remove(id);
    }
  }
  m_replicas[id] = std::make_shared<const Replica>(std::move(aReplica));
  m_idsByService[service].insert(id);
  Rebuild(service);
}

void
ReplicaCatalogue::Remove(std::string_view aId)
{
  auto found = m_replicas.find(aId);
  if (found == m_replicas.end()) {
    return;
  }
  std::string service = found->second->m_service;
  m_idsByService[service].erase(std::string(aId));
  m_replicas.erase(found);
  Rebuild(service);
}

bool
ReplicaCatalogue::SetLeaving(const Replica& aReplica)
{
  bool isNew = m_leaving.Add(aReplica);
  if (isNew && m_replicas.contains(aReplica.m_id)) {
    Rebuild(m_replicas.at(aReplica.m_id)->m_service);
  }
  return isNew;
}

void
ReplicaCatalogue::SetExcludedDataCentres(std::set<DataCentre> aDataCentres)
{
  if (m_excluded == aDataCentres) {
    return;
  }
  m_excluded = std::move(aDataCentres);
  for (const auto& [service, ids] : m_idsByService) {
    Rebuild(service);
  }
}

std::span<const ReplicaPtr>
ReplicaCatalogue::Usable(std::string_view aService) const
{
  auto found = m_usable.find(aService);
  if (found == m_usable.end()) {
    return {};
  }
  return found->second;
}

std::vector<ReplicaPtr>
ReplicaCatalogue::Registered(std::string_view aService) const
{
  std::vector<ReplicaPtr> replicas;
  auto ids = m_idsByService.find(aService);
  if (ids != m_idsByService.end()) {
    std::ranges::transform(
      ids->second,
      std::back_inserter(replicas),
      [this](const std::string& aId) { return m_replicas.at(aId); });
  }
  return replicas;
}

std::map<DataCentre, size_t>
ReplicaCatalogue::CountUsableByDataCentre(
  std::span<const std::string> aServices) const
{
  std::map<DataCentre, size_t> counts;
  for (const std::string& service : aServices) {
    for (const ReplicaPtr& replica : Usable(service)) {
      ++counts[replica->m_dataCentre];
    }
  }
  return counts;
}

bool
ReplicaCatalogue::IsUsable(const Replica& aReplica) const
{
  return aReplica.m_state == ReplicaState::kReady &&
         !m_excluded.contains(aReplica.m_dataCentre) &&
         !m_leaving.Contains(aReplica);
}

void
ReplicaCatalogue::Rebuild(const std::string& aService)
{
  std::vector<ReplicaPtr>& usable = m_usable[aService];
  usable.clear();
  for (const std::string& id : m_idsByService[aService]) {
    const ReplicaPtr& replica = m_replicas.at(id);
    if (IsUsable(*replica)) {
      usable.push_back(replica);
    }
  }
}

} // namespace ebonykeel
