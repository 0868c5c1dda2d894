#include "core/query/snapshot_tracker.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace ebonykeel {
namespace {

// How long a report that an upstream does not hold a version is valid.
constexpr Duration kNotHeldTtl = Seconds(1);
// Index versions stored for each upstream.
constexpr size_t kMaxVersionsPerUpstream = 8;

bool
SameShards(const ServiceConfig& aLeft, const ServiceConfig& aRight)
{
  return std::ranges::equal(aLeft.m_shards,
                            aRight.m_shards,
                            {},
                            &ShardConfig::m_name,
                            &ShardConfig::m_name);
}

bool
SameSnapshot(const ServiceConfig& aLeft, const ServiceConfig& aRight)
{
  return aLeft.m_indexVersion == aRight.m_indexVersion &&
         SameShards(aLeft, aRight);
}

void
AddUpstreams(const ServiceConfig& aService,
             absl::flat_hash_set<UpstreamId>& aUpstreams)
{
  for (const ShardConfig& shard : aService.m_shards) {
    for (const UpstreamConfig& replica : shard.m_replicas) {
      aUpstreams.insert(replica.m_id);
    }
  }
}

ServiceSnapshot
SnapshotOf(const ConfigurationPtr& aConfiguration,
           const ServiceConfig& aService)
{
  return { aConfiguration->m_generation,
           std::shared_ptr<const ServiceConfig>(aConfiguration, &aService) };
}

} // namespace

void
SnapshotTracker::OnConfiguration(const ConfigurationPtr& aConfiguration)
{
  bool stale = m_inForce != nullptr &&
               aConfiguration->m_generation < m_inForce->m_generation;
  if (stale) {
    return;
  }
  m_inForce = aConfiguration;
  absl::flat_hash_map<ServiceName, Snapshots> services;
  for (const ServiceConfig& service : aConfiguration->m_services) {
    Snapshots next{ SnapshotOf(aConfiguration, service), std::nullopt };
    auto before = m_services.find(service.m_name);
    if (before != m_services.end()) {
      const Snapshots& last = before->second;
      bool same = SameSnapshot(service, *last.m_newest.m_service);
      next.m_earlier = same ? last.m_earlier : std::optional(last.m_newest);
    }
    services.emplace(service.m_name, std::move(next));
  }
  m_services = std::move(services);
}

std::optional<ServiceSnapshot>
SnapshotTracker::Pin(const ServiceName& aService, TimePoint aNow) const
{
  auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return std::nullopt;
  }
  const Snapshots& snapshots = found->second;
  bool fallBack = !IsServable(snapshots.m_newest, aNow) &&
                  snapshots.m_earlier.has_value() &&
                  IsServable(*snapshots.m_earlier, aNow);
  return fallBack ? snapshots.m_earlier : snapshots.m_newest;
}

std::optional<ServiceSnapshot>
SnapshotTracker::PinOther(const ServiceSnapshot& aUnavailable,
                          TimePoint aNow) const
{
  auto found = m_services.find(aUnavailable.m_service->m_name);
  if (found == m_services.end()) {
    return std::nullopt;
  }
  const Snapshots& snapshots = found->second;
  auto usable = [&](const ServiceSnapshot& aSnapshot) {
    return !SameSnapshot(*aSnapshot.m_service, *aUnavailable.m_service) &&
           IsServable(aSnapshot, aNow);
  };
  if (usable(snapshots.m_newest)) {
    return snapshots.m_newest;
  }
  if (snapshots.m_earlier.has_value() && usable(*snapshots.m_earlier)) {
    return snapshots.m_earlier;
  }
  return std::nullopt;
}

void
SnapshotTracker::OnSubAnswer(const UpstreamId& aUpstream,
                             IndexVersion aVersion,
                             const SubAnswer& aAnswer,
                             TimePoint aNow)
{
  bool held = aAnswer.m_reason == MissingReason::kNone;
  bool notHeld = aAnswer.m_reason == MissingReason::kVersionNotHeld;
  if (!held && !notHeld && aAnswer.m_heldVersions.empty()) {
    return;
  }
  UpstreamVersions& versions = m_upstreamVersions[aUpstream];
  bool listed = !aAnswer.m_heldVersions.empty();
  if (listed || versions.m_byVersion.size() >= kMaxVersionsPerUpstream) {
    versions.m_byVersion.clear();
  }
  if (listed) {
    versions.m_listedAt = aNow;
  }
  for (IndexVersion version : aAnswer.m_heldVersions) {
    versions.m_byVersion[version] = { true, aNow };
  }
  if (held || notHeld) {
    versions.m_byVersion[aVersion] = { held, aNow };
  }
}

bool
SnapshotTracker::MayHold(const UpstreamId& aUpstream,
                         IndexVersion aVersion,
                         TimePoint aNow) const
{
  auto upstream = m_upstreamVersions.find(aUpstream);
  if (upstream == m_upstreamVersions.end()) {
    return true;
  }
  const UpstreamVersions& versions = upstream->second;
  auto reported = versions.m_byVersion.find(aVersion);
  if (reported != versions.m_byVersion.end()) {
    const HoldingReport& report = reported->second;
    return report.m_held || aNow - report.m_reportedAt >= kNotHeldTtl;
  }
  return !versions.m_listedAt.has_value() ||
         aNow - *versions.m_listedAt >= kNotHeldTtl;
}

std::vector<UpstreamConfig>
SnapshotTracker::UsableUpstreams() const
{
  std::map<std::string_view, const UpstreamConfig*> byId;
  auto collect = [&](const ServiceSnapshot& aSnapshot) {
    for (const ShardConfig& shard : aSnapshot.m_service->m_shards) {
      for (const UpstreamConfig& replica : shard.m_replicas) {
        byId.try_emplace(replica.m_id.View(), &replica);
      }
    }
  };
  for (const auto& [name, snapshots] : m_services) {
    collect(snapshots.m_newest);
  }
  for (const auto& [name, snapshots] : m_services) {
    if (snapshots.m_earlier.has_value()) {
      collect(*snapshots.m_earlier);
    }
  }
  std::vector<UpstreamConfig> upstreams;
  upstreams.reserve(byId.size());
  for (const auto& [id, upstream] : byId) {
    upstreams.push_back(*upstream);
  }
  return upstreams;
}

bool
SnapshotTracker::IsServable(const ServiceSnapshot& aSnapshot,
                            TimePoint aNow) const
{
  IndexVersion version = aSnapshot.Version();
  auto allows = [&](const UpstreamConfig& aReplica) {
    return Allows(aReplica);
  };
  auto mayServe = [&](const UpstreamConfig& aReplica) {
    return Allows(aReplica) && MayHold(aReplica.m_id, version, aNow);
  };
  auto hasReplica = [&](const ShardConfig& aShard) {
    return std::ranges::any_of(aShard.m_replicas, mayServe) ||
           std::ranges::none_of(aShard.m_replicas, allows);
  };
  return std::ranges::all_of(aSnapshot.m_service->m_shards, hasReplica);
}

bool
SnapshotTracker::Allows(const UpstreamConfig& aReplica) const
{
  return !m_inForce->m_drainedUpstreams.contains(aReplica.m_id) &&
         !m_inForce->m_withdrawnDataCentres.contains(aReplica.m_dataCentre);
}

ConfigurationPtr
SnapshotTracker::WithEarlierShards() const
{
  if (m_inForce == nullptr) {
    return nullptr;
  }
  absl::flat_hash_set<UpstreamId> seenIds;
  for (const ServiceConfig& service : m_inForce->m_services) {
    AddUpstreams(service, seenIds);
  }
  auto extended = std::make_shared<Configuration>(*m_inForce);
  for (ServiceConfig& service : extended->m_services) {
    const Snapshots& snapshots = m_services.at(service.m_name);
    if (!snapshots.m_earlier.has_value()) {
      continue;
    }
    for (ShardConfig shard : snapshots.m_earlier->m_service->m_shards) {
      std::erase_if(shard.m_replicas,
                    [&seenIds](const UpstreamConfig& aReplica) {
                      return !seenIds.insert(aReplica.m_id).second;
                    });
      if (!shard.m_replicas.empty()) {
        service.m_shards.push_back(std::move(shard));
      }
    }
  }
  return extended;
}

} // namespace ebonykeel
