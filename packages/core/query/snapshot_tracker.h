// Chooses the index snapshot of a service that a new query pins.
//
// A snapshot is an index version together with its shard map. When a new
// configuration changes either, upstreams load the new version one after
// another. The tracker keeps the newest snapshot and the one before it, records
// from answers which upstream holds which version, and pins the newest snapshot
// if each of its shards has a replica that may hold it. Otherwise it falls back
// to the earlier snapshot, if each shard of that one has such a replica. It
// falls back for the entire service, never for single shards.
//
// A query whose snapshot turns out to be no longer held calls `PinOther` and
// restarts that service; see query_run.h.
//
//   tracker.OnConfiguration(configuration);
//   std::optional<ServiceSnapshot> pinned = tracker.Pin(service, now);
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/query/messages.h"

namespace ebonykeel {

// A service at one index version, with the shard map of that version.
struct ServiceSnapshot
{
  // The newest configuration generation that contains the snapshot.
  Generation m_generation = 0;
  // Never null. Shares ownership of the configuration that it is part of.
  std::shared_ptr<const ServiceConfig> m_service;

  [[nodiscard]] IndexVersion Version() const
  {
    return m_service->m_indexVersion;
  }
};

class SnapshotTracker
{
public:
  // Sets the configuration in force. Ignores a configuration with a lower
  // generation than the last one.
  void OnConfiguration(const ConfigurationPtr& aConfiguration);

  // Returns the snapshot that a new query of `aService` uses, or nullopt if the
  // configuration in force does not have the service.
  [[nodiscard]] std::optional<ServiceSnapshot> Pin(const ServiceName& aService,
                                                   TimePoint aNow) const;

  // Returns the snapshot of the service other than `aUnavailable`, or nullopt
  // if there is none or one of its shards has no replica that may hold it.
  [[nodiscard]] std::optional<ServiceSnapshot> PinOther(
    const ServiceSnapshot& aUnavailable,
    TimePoint aNow) const;

  // Records which versions `aUpstream` holds, from its answer to a sub-query
  // for `aVersion`.
  void OnSubAnswer(const UpstreamId& aUpstream,
                   IndexVersion aVersion,
                   const SubAnswer& aAnswer,
                   TimePoint aNow);

  // Returns false only if `aUpstream` recently reported that it does not hold
  // `aVersion`.
  [[nodiscard]] bool MayHold(const UpstreamId& aUpstream,
                             IndexVersion aVersion,
                             TimePoint aNow) const;

  // Returns the configuration in force, or null before the first one.
  [[nodiscard]] const ConfigurationPtr& InForce() const { return m_inForce; }

  // Returns the configuration in force, with the shards of the earlier snapshot
  // of each service added, as far as they have upstreams that the configuration
  // does not have. So these upstreams keep an owner while queries may pin the
  // earlier snapshot. Returns null before the first configuration.
  [[nodiscard]] ConfigurationPtr WithEarlierShards() const;

  // Returns every upstream of the snapshots that queries may still pin, sorted
  // by id and without duplicates. These may be more than the configuration in
  // force has.
  [[nodiscard]] std::vector<UpstreamConfig> UsableUpstreams() const;

private:
  struct Snapshots
  {
    ServiceSnapshot m_newest;
    std::optional<ServiceSnapshot> m_earlier;
  };
  struct HoldingReport
  {
    bool m_held = false;
    TimePoint m_reportedAt;
  };
  struct UpstreamVersions
  {
    absl::flat_hash_map<IndexVersion, HoldingReport> m_byVersion;
    // When the upstream last listed all versions that it holds.
    std::optional<TimePoint> m_listedAt;
  };

  [[nodiscard]] bool IsServable(const ServiceSnapshot& aSnapshot,
                                TimePoint aNow) const;
  [[nodiscard]] bool Allows(const UpstreamConfig& aReplica) const;

  ConfigurationPtr m_inForce;
  absl::flat_hash_map<ServiceName, Snapshots> m_services;
  absl::flat_hash_map<UpstreamId, UpstreamVersions> m_upstreamVersions;
};

} // namespace ebonykeel
