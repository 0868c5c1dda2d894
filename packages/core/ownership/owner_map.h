// Assigns upstreams to instances, each of which may send requests to the
// upstreams that it owns. The map depends only on the view and the
// configuration, so instances with the same view build the same map.
//
//   OwnerMap owners = BuildOwnerMap(configuration, view.m_records);
//   const InstanceId& owner = owners.OwnerOf(UpstreamId("vd-03-a"));
//
// The upstreams of one query group in one data centre are divided by hash into
// units of about `kUpstreamsPerUnit`, separately for each position among the
// replicas of a shard. Each unit ranks the eligible instances by rendezvous
// hashing and is assigned to the first one with capacity left: no instance gets
// more than `kLoadBound` times an even share among the eligible instances, or
// one unit if that is more. So a query involves few owners, and when an
// instance joins or leaves, mostly its own units move.
//
// The eligible instances are the active ones in the upstream's data centre; if
// there are none, those in its region; if there are none, all. Instances in a
// withdrawn data centre own nothing unless no other instance is left.
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "core/base/ids.h"
#include "core/config/configuration.h"
#include "core/membership/records.h"

namespace ebonykeel {

// The average number of upstreams in a unit.
inline constexpr size_t kUpstreamsPerUnit = 4;
// The maximum load of an instance, as a multiple of an even share.
inline constexpr double kLoadBound = 1.25;

// The owner of each upstream. Immutable; cheap to move.
class OwnerMap
{
public:
  OwnerMap() = default;

  // Returns the owner of `aUpstream`, or an empty id if no instance is eligible
  // or the upstream is not configured. The reference is valid as long as this
  // map.
  [[nodiscard]] const InstanceId& OwnerOf(const UpstreamId& aUpstream) const;

  // Returns up to `aCount` eligible instances for `aUpstream`: the owner, then
  // others by rank.
  [[nodiscard]] std::vector<InstanceId> RankedOwners(
    const UpstreamId& aUpstream,
    size_t aCount) const;

  // Returns the upstreams that `aInstance` owns, sorted. The span is valid as
  // long as this map.
  [[nodiscard]] std::span<const UpstreamId> OwnedBy(
    const InstanceId& aInstance) const;

  // Returns the number of upstreams in the map.
  [[nodiscard]] size_t size() const { return m_unitOf.size(); }

private:
  friend OwnerMap BuildOwnerMap(const Configuration& aConfiguration,
                                std::span<const InstanceRecord> aRecords);

  struct Unit
  {
    InstanceId m_owner;
    // The best ranked instances, regardless of their load.
    std::vector<InstanceId> m_ranked;
  };

  std::vector<Unit> m_units;
  absl::flat_hash_map<UpstreamId, size_t> m_unitOf;
  std::map<InstanceId, std::vector<UpstreamId>> m_ownedBy;
};

// Builds the map for a view. The records may be in any order; only active ones
// are eligible.
[[nodiscard]] OwnerMap
BuildOwnerMap(const Configuration& aConfiguration,
              std::span<const InstanceRecord> aRecords);

} // namespace ebonykeel
