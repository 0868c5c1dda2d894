// The configuration that is in force: every service, and which data centres
// and upstreams operators have taken out.
//
// One value holds all of it under one generation, so that a node is never
// between two states. A query pins a shared pointer to the configuration that
// was in force when it was accepted.
//
//   const ServiceConfig* service = configuration.FindService(name);
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// What a service would rather give up when some shards are late.
enum class Preference
{
  // Wait for every shard until the deadline.
  kCoverage,
  // Answer at the latency target once coverage suffices.
  kLatency,
};

// One searcher and how to reach it. Addresses are IP numbers.
struct UpstreamConfig
{
  UpstreamId m_id;
  std::string m_host;
  uint16_t m_port = 0;
  DataCentre m_dataCentre;

  friend bool operator==(const UpstreamConfig&,
                         const UpstreamConfig&) = default;
};

// One shard and the upstreams that hold a replica of it.
struct ShardConfig
{
  ShardName m_name;
  std::vector<UpstreamConfig> m_replicas;

  friend bool operator==(const ShardConfig&, const ShardConfig&) = default;
};

// The share of requests that must be good, and over which time.
struct ServiceLevelTarget
{
  // Good requests over all requests, in (0, 1).
  double m_objective = 0.99;
  // A request that takes longer is not good.
  Duration m_latency = Milliseconds(56);
  // Coverage below this share of shards is not good, in (0, 1].
  double m_coverage = 1.0;
  Duration m_window = std::chrono::hours(24);

  friend bool operator==(const ServiceLevelTarget&,
                         const ServiceLevelTarget&) = default;
};

// One query service, as described by its service file.
struct ServiceConfig
{
  ServiceName m_name;
  GroupName m_group;
  // The snapshot that new queries pin, and the shards that belong to it.
  IndexVersion m_indexVersion = 0;
  std::vector<ShardConfig> m_shards;
  // Requests that one upstream works on at once, over the whole fleet.
  uint32_t m_slots = 2;
  // Connections that one upstream accepts, over the whole fleet.
  uint32_t m_connectionLimit = 60;
  // How long a new connection to an upstream takes.
  Duration m_connectTime = Milliseconds(6);
  // The longest that a request may take, and its deadline when it names none.
  Duration m_deadline = Milliseconds(500);
  Preference m_preference = Preference::kCoverage;
  // The share of shards at which `kLatency` stops waiting, in (0, 1].
  double m_sufficientCoverage = 0.9;
  ServiceLevelTarget m_target;
  // Operations that may be sent again, such as "search". Others run at most
  // once.
  std::vector<std::string> m_idempotentOperations{ "search" };
  // Operations that run at most once, such as "file".
  std::vector<std::string> m_onceOperations;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

// One line of the history: the change that made a generation.
struct ChangeRecord
{
  Generation m_generation = 0;
  std::string m_changeId;
  std::string m_author;
  std::string m_summary;
  // Wall-clock time of the change in milliseconds since 1970, for people.
  int64_t m_unixMs = 0;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// Everything that operators have published, under one generation.
struct Configuration
{
  Generation m_generation = 0;
  // Identifies the change that made this generation, so that whoever lost the
  // store's reply can tell whether its own change was taken.
  std::string m_changeId;
  // Who made the change, and in one line what it did.
  std::string m_author;
  std::string m_summary;
  // Sorted by name.
  std::vector<ServiceConfig> m_services;
  std::set<DataCentre> m_withdrawnDataCentres;
  std::set<UpstreamId> m_drainedUpstreams;
  // The newest changes, oldest first; the last one made this generation. Tells
  // whoever lost the store's reply what became of a change that others have
  // followed.
  std::vector<ChangeRecord> m_history;

  // Returns the service named `aName`, or null. The pointer lives as long as
  // this value is unchanged.
  [[nodiscard]] const ServiceConfig* FindService(
    const ServiceName& aName) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace ebonykeel
