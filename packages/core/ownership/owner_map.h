// Decides which instance may send work to which upstream, from the view and
// the configuration alone, so that instances with the same view decide alike.
//
//   OwnerMap owners = BuildOwnerMap(configuration, view.m_records);
//   const InstanceId& owner = owners.OwnerOf(UpstreamId("vd-03-a"));
//
// How it works. The upstreams of one query group in one data centre are cut
// into units of about `kUpstreamsPerUnit` by hash, apart for each position
// among a shard's replicas. Each unit ranks the instances by rendezvous hashing
// and goes to the first that still has room: no instance gets more than
// `kLoadBound` times its share, counted among the instances that were eligible,
// or one unit, if that is more. So a query touches few owners, and when an
// instance joins or leaves mostly its own units move.
//
// Eligible are the active instances in the upstream's data centre; if there
// are none, those of its region; if none, any. Instances in a data centre that
// was taken out own nothing unless no other instance is left.
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

// Upstreams that have the same owner, on average.
inline constexpr size_t kUpstreamsPerUnit = 4;
// The most that one owner gets, over its even share.
inline constexpr double kLoadBound = 1.25;

// Which instance owns which upstream. Immutable; cheap to move.
class OwnerMap
{
public:
  OwnerMap() = default;

  // Returns the owner of `aUpstream`, or an empty id if no instance is eligible
  // or the upstream is not configured. Valid as long as this map.
  [[nodiscard]] const InstanceId& OwnerOf(const UpstreamId& aUpstream) const;

  // Returns up to `aCount` instances that may own `aUpstream`: the owner, then
  // the others by rank.
  [[nodiscard]] std::vector<InstanceId> RankedOwners(
    const UpstreamId& aUpstream,
    size_t aCount) const;

  // Returns the upstreams that `aInstance` owns, sorted. Valid as long as this
  // map.
  [[nodiscard]] std::span<const UpstreamId> OwnedBy(
    const InstanceId& aInstance) const;

  // Returns how many upstreams have an owner.
  [[nodiscard]] size_t size() const { return m_unitOf.size(); }

private:
  friend OwnerMap BuildOwnerMap(const Configuration& aConfiguration,
                                std::span<const InstanceRecord> aRecords);

  struct Unit
  {
    InstanceId m_owner;
    // By rank, without regard to load.
    std::vector<InstanceId> m_ranked;
  };

  std::vector<Unit> m_units;
  absl::flat_hash_map<UpstreamId, size_t> m_unitOf;
  std::map<InstanceId, std::vector<UpstreamId>> m_ownedBy;
};

// Builds the map for a view. Records may be in any order; only active ones
// count.
[[nodiscard]] OwnerMap
BuildOwnerMap(const Configuration& aConfiguration,
              std::span<const InstanceRecord> aRecords);

} // namespace ebonykeel
