// Which index snapshot of a service a new query pins.
//
// A snapshot is an index version together with the shard map that belongs to
// it. When a new configuration changes either, upstreams load the new version
// one after another. The tracker keeps the snapshot before the newest one,
// learns from answers which upstream holds which version, and pins the newest
// snapshot of which each shard still has a replica that may hold it. It falls
// back to the earlier snapshot as a whole, never for single shards.
//
// A query that finds on its way that its snapshot is gone asks `PinOther` and
// starts that service again from the beginning; see query_run.h.
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
  // The newest generation that describes it.
  Generation m_generation = 0;
  // Never null; shares its life with the configuration that it is part of.
  std::shared_ptr<const ServiceConfig> m_service;

  [[nodiscard]] IndexVersion Version() const
  {
    return m_service->m_indexVersion;
  }
};

class SnapshotTracker
{
public:
  // Takes over the configuration that is in force from now on. One with a
  // lower generation than the last is ignored.
  void OnConfiguration(const ConfigurationPtr& aConfiguration);

  // Returns the snapshot that a new query of `aService` uses; nothing when no
  // configuration in force has the service.
  [[nodiscard]] std::optional<ServiceSnapshot> Pin(const ServiceName& aService,
                                                   TimePoint aNow) const;

  // Returns the snapshot of the service that is not `aUnavailable`, if there is
  // one and each of its shards has a replica that may hold it.
  [[nodiscard]] std::optional<ServiceSnapshot> PinOther(
    const ServiceSnapshot& aUnavailable,
    TimePoint aNow) const;

  // Learns from what `aUpstream` answered to a sub-query for `aVersion`.
  void OnSubAnswer(const UpstreamId& aUpstream,
                   IndexVersion aVersion,
                   const SubAnswer& aAnswer,
                   TimePoint aNow);

  // Returns false only if `aUpstream` lately said that it does not hold
  // `aVersion`.
  [[nodiscard]] bool MayHold(const UpstreamId& aUpstream,
                             IndexVersion aVersion,
                             TimePoint aNow) const;

  // The configuration in force; null before the first.
  [[nodiscard]] const ConfigurationPtr& InForce() const { return m_inForce; }

  // Returns the configuration in force, in which each service has also the
  // shards of its earlier snapshot that hold upstreams of their own, so that
  // those upstreams keep an owner while queries may pin them. Null before the
  // first configuration.
  [[nodiscard]] ConfigurationPtr WithEarlierShards() const;

  // Every upstream of the snapshots that queries may still pin, which may be
  // more than the configuration in force has. Sorted by id, each once.
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
    // When the upstream last listed all that it holds.
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
