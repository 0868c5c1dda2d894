#include "core/ownership/owner_map.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <set>
#include <string>
#include <tuple>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

// The number of ranked instances that a unit keeps.
constexpr size_t kMaxRanked = 4;

// Identifies a unit: upstreams that are assigned to one owner together.
struct UnitKey
{
  GroupName m_group;
  DataCentre m_dataCentre;
  // The position among the replicas of the shard.
  size_t m_replica = 0;
  uint64_t m_bucket = 0;

  friend bool operator<(const UnitKey& aLeft, const UnitKey& aRight)
  {
    const auto tie = [](const UnitKey& aKey) {
      return std::tie(
        aKey.m_group, aKey.m_dataCentre, aKey.m_replica, aKey.m_bucket);
    };
    return tie(aLeft) < tie(aRight);
  }
};

struct UnitMembers
{
  std::vector<UpstreamId> m_upstreams;
  // The hashes of the shards, so that replicas of one shard get different
  // owners.
  std::vector<uint64_t> m_shards;
};

// The eligible instances of one data centre and the upstreams to assign.
struct Pool
{
  std::vector<const InstanceRecord*> m_instances;
  size_t m_upstreams = 0;
};

using Units = std::map<UnitKey, UnitMembers>;

uint64_t
ShardHash(const ServiceConfig& aService, const ShardConfig& aShard)
{
  return StableHash(aShard.m_name.View(), StableHash(aService.m_name.View()));
}

uint64_t
KeyHash(const UnitKey& aKey)
{
  return StableHash(aKey.m_group.View(),
                    StableHash(aKey.m_dataCentre.View(),
                               MixBits(aKey.m_bucket) ^ aKey.m_replica));
}

// Returns the group of a service; a service without one is a group of its own.
GroupName
GroupOf(const ServiceConfig& aService)
{
  return aService.m_group.empty() ? GroupName(aService.m_name.Text())
                                  : aService.m_group;
}

template<typename Visit>
void
ForEachReplica(const Configuration& aConfiguration, const Visit& aVisit)
{
  for (const ServiceConfig& service : aConfiguration.m_services) {
    for (const ShardConfig& shard : service.m_shards) {
      for (size_t index = 0; index < shard.m_replicas.size(); ++index) {
        aVisit(service, shard, index);
      }
    }
  }
}

// Returns the key of a replica without its bucket.
UnitKey
KeyWithoutBucket(const ServiceConfig& aService,
                 const ShardConfig& aShard,
                 size_t aIndex)
{
  return { .m_group = GroupOf(aService),
           .m_dataCentre = aShard.m_replicas[aIndex].m_dataCentre,
           .m_replica = aIndex };
}

Units
SplitIntoUnits(const Configuration& aConfiguration)
{
  std::map<UnitKey, size_t> counts;
  ForEachReplica(aConfiguration,
                 [&](const auto& aService, const auto& aShard, size_t aIndex) {
                   ++counts[KeyWithoutBucket(aService, aShard, aIndex)];
                 });
  Units units;
  ForEachReplica(aConfiguration,
                 [&](const auto& aService, const auto& aShard, size_t aIndex) {
                   UnitKey key = KeyWithoutBucket(aService, aShard, aIndex);
                   // A power of two, so that a growing group splits units
                   // without moving other upstreams.
                   const size_t wanted =
                     (counts[key] + kUpstreamsPerUnit - 1) / kUpstreamsPerUnit;
                   const uint64_t buckets = std::bit_ceil(wanted);
                   const UpstreamId& upstream = aShard.m_replicas[aIndex].m_id;
                   key.m_bucket = StableHash(upstream.View()) & (buckets - 1);
                   UnitMembers& members = units[key];
                   members.m_upstreams.push_back(upstream);
                   members.m_shards.push_back(ShardHash(aService, aShard));
                 });
  return units;
}

// Assigns units one by one and keeps each instance under its load bound.
class Assigner
{
public:
  Assigner(const Configuration& aConfiguration,
           std::span<const InstanceRecord> aRecords)
  {
    std::vector<const InstanceRecord*> withdrawn;
    for (const InstanceRecord& record : aRecords) {
      m_regionOf[record.m_dataCentre] = record.m_region;
      if (record.m_state != InstanceState::kActive) {
        continue;
      }
      const bool isWithdrawn =
        aConfiguration.m_withdrawnDataCentres.contains(record.m_dataCentre);
      (isWithdrawn ? withdrawn : m_eligible).push_back(&record);
    }
    if (m_eligible.empty()) {
      m_eligible = std::move(withdrawn);
    }
    std::ranges::sort(m_eligible, {}, [](const InstanceRecord* aRecord) {
      return aRecord->m_id;
    });
  }

  void CountLoad(const Units& aUnits)
  {
    for (const auto& [key, members] : aUnits) {
      PoolOf(key.m_dataCentre).m_upstreams += members.m_upstreams.size();
    }
  }

  [[nodiscard]] std::vector<InstanceId> Rank(const UnitKey& aKey)
  {
    const uint64_t seed = KeyHash(aKey);
    std::vector<std::pair<uint64_t, const InstanceRecord*>> scored;
    for (const InstanceRecord* record : PoolOf(aKey.m_dataCentre).m_instances) {
      scored.emplace_back(StableHash(record->m_id.View(), seed), record);
    }
    std::ranges::sort(scored, [](const auto& aLeft, const auto& aRight) {
      return std::tie(aRight.first, aLeft.second->m_id) <
             std::tie(aLeft.first, aRight.second->m_id);
    });
    std::vector<InstanceId> ranked;
    ranked.reserve(scored.size());
    for (const auto& [score, record] : scored) {
      ranked.push_back(record->m_id);
    }
    return ranked;
  }

  [[nodiscard]] InstanceId Assign(const UnitKey& aKey,
                                  const UnitMembers& aMembers,
                                  std::span<const InstanceId> aRanked)
  {
    const Pool& pool = PoolOf(aKey.m_dataCentre);
    const size_t size = aMembers.m_upstreams.size();
    const size_t bound = std::max(size, MaxUpstreams(pool));
    const auto hasRoom = [&](const InstanceId& aId) {
      return m_load[aId] + size <= bound;
    };
    auto chosen = std::ranges::find_if(aRanked, [&](const InstanceId& aId) {
      return hasRoom(aId) && !OwnsReplicaOfSameShard(aId, aMembers);
    });
    if (chosen == aRanked.end()) {
      chosen = std::ranges::find_if(aRanked, hasRoom);
    }
    if (chosen == aRanked.end()) {
      chosen = std::ranges::min_element(
        aRanked, {}, [&](const InstanceId& aId) { return m_load[aId]; });
    }
    if (chosen == aRanked.end()) {
      return InstanceId();
    }
    m_load[*chosen] += size;
    m_shardsOf[*chosen].insert(aMembers.m_shards.begin(),
                               aMembers.m_shards.end());
    return *chosen;
  }

private:
  [[nodiscard]] static size_t MaxUpstreams(const Pool& aPool)
  {
    const double share = static_cast<double>(aPool.m_upstreams) /
                         static_cast<double>(aPool.m_instances.size());
    return static_cast<size_t>(std::ceil(share * kLoadBound));
  }

  [[nodiscard]] bool OwnsReplicaOfSameShard(const InstanceId& aId,
                                            const UnitMembers& aMembers)
  {
    const std::set<uint64_t>& shards = m_shardsOf[aId];
    return std::ranges::any_of(aMembers.m_shards, [&](uint64_t aShard) {
      return shards.contains(aShard);
    });
  }

  Pool& PoolOf(const DataCentre& aDataCentre)
  {
    const auto [found, added] = m_pools.try_emplace(aDataCentre);
    Pool& pool = found->second;
    if (!added) {
      return pool;
    }
    const auto addMatching = [&](const auto& aMatches) {
      std::ranges::copy_if(
        m_eligible, std::back_inserter(pool.m_instances), aMatches);
    };
    addMatching([&](const InstanceRecord* aRecord) {
      return aRecord->m_dataCentre == aDataCentre;
    });
    const auto region = m_regionOf.find(aDataCentre);
    if (pool.m_instances.empty() && region != m_regionOf.end()) {
      addMatching([&](const InstanceRecord* aRecord) {
        return aRecord->m_region == region->second;
      });
    }
    if (pool.m_instances.empty()) {
      pool.m_instances = m_eligible;
    }
    return pool;
  }

  std::vector<const InstanceRecord*> m_eligible;
  std::map<DataCentre, Region> m_regionOf;
  std::map<DataCentre, Pool> m_pools;
  std::map<InstanceId, size_t> m_load;
  std::map<InstanceId, std::set<uint64_t>> m_shardsOf;
};

} // namespace

const InstanceId&
OwnerMap::OwnerOf(const UpstreamId& aUpstream) const
{
  static const InstanceId kNoOwner;
  const auto found = m_unitOf.find(aUpstream);
  return found == m_unitOf.end() ? kNoOwner : m_units[found->second].m_owner;
}

std::vector<InstanceId>
OwnerMap::RankedOwners(const UpstreamId& aUpstream, size_t aCount) const
{
  const auto found = m_unitOf.find(aUpstream);
  if (found == m_unitOf.end() || aCount == 0) {
    return {};
  }
  const Unit& unit = m_units[found->second];
  std::vector<InstanceId> owners;
  if (!unit.m_owner.empty()) {
    owners.push_back(unit.m_owner);
  }
  for (const InstanceId& id : unit.m_ranked) {
    if (owners.size() < aCount && id != unit.m_owner) {
      owners.push_back(id);
    }
  }
  return owners;
}

std::span<const UpstreamId>
OwnerMap::OwnedBy(const InstanceId& aInstance) const
{
  const auto found = m_ownedBy.find(aInstance);
  if (found == m_ownedBy.end()) {
    return {};
  }
  return found->second;
}

OwnerMap
BuildOwnerMap(const Configuration& aConfiguration,
              std::span<const InstanceRecord> aRecords)
{
  const Units units = SplitIntoUnits(aConfiguration);
  Assigner assigner(aConfiguration, aRecords);
  assigner.CountLoad(units);
  OwnerMap map;
  for (const auto& [key, members] : units) {
    std::vector<InstanceId> ranked = assigner.Rank(key);
    OwnerMap::Unit unit{ .m_owner = assigner.Assign(key, members, ranked) };
    ranked.resize(std::min(ranked.size(), kMaxRanked));
    unit.m_ranked = std::move(ranked);
    for (const UpstreamId& upstream : members.m_upstreams) {
      map.m_unitOf[upstream] = map.m_units.size();
      map.m_ownedBy[unit.m_owner].push_back(upstream);
    }
    map.m_units.push_back(std::move(unit));
  }
  for (auto& [owner, upstreams] : map.m_ownedBy) {
    std::ranges::sort(upstreams);
  }
  return map;
}

} // namespace ebonykeel
