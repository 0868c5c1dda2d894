// The configuration: all services, the withdrawn data centres and the drained
// upstreams.
//
// One value holds the whole configuration under one generation, so that an
// instance never uses parts of two generations. A query keeps a shared pointer
// to the configuration that was in force when the query was accepted.
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

// Whether a service prefers full coverage or low latency when some shards are
// late.
enum class Preference
{
  // Wait for every shard until the deadline.
  kCoverage,
  // Answer at the latency target if coverage is sufficient by then.
  kLatency,
};

// One upstream and its address. `m_host` is an IP address.
struct UpstreamConfig
{
  UpstreamId m_id;
  std::string m_host;
  uint16_t m_port = 0;
  DataCentre m_dataCentre;

  friend bool operator==(const UpstreamConfig&,
                         const UpstreamConfig&) = default;
};

// One shard and the upstreams that serve it.
struct ShardConfig
{
  ShardName m_name;
  std::vector<UpstreamConfig> m_replicas;

  friend bool operator==(const ShardConfig&, const ShardConfig&) = default;
};

// The service-level objective: the share of requests that must be good within a
// time window.
struct ServiceLevelTarget
{
  // Minimum share of good requests among all requests, in (0, 1).
  double m_objective = 0.99;
  // Maximum latency of a good request.
  Duration m_latency = Milliseconds(56);
  // Minimum coverage of a good request, as a share of shards in (0, 1].
  double m_coverage = 1.0;
  Duration m_window = std::chrono::hours(24);

  friend bool operator==(const ServiceLevelTarget&,
                         const ServiceLevelTarget&) = default;
};

// One query service, as described in its service file.
struct ServiceConfig
{
  ServiceName m_name;
  GroupName m_group;
  // The index version of the snapshot that new queries use; `m_shards` belong
  // to that snapshot.
  IndexVersion m_indexVersion = 0;
  std::vector<ShardConfig> m_shards;
  // Requests that one upstream processes concurrently, from all instances
  // together.
  uint32_t m_slots = 2;
  // Connections that one upstream accepts, from all instances together.
  uint32_t m_connectionLimit = 60;
  // Time that it takes to open a connection to an upstream.
  Duration m_connectTime = Milliseconds(6);
  // Maximum deadline of a request, and the deadline of a request that sets
  // none.
  Duration m_deadline = Milliseconds(500);
  Preference m_preference = Preference::kCoverage;
  // Share of shards that `kLatency` requires before it stops waiting, in
  // (0, 1].
  double m_sufficientCoverage = 0.9;
  ServiceLevelTarget m_target;
  // Operations that may be retried, such as "search". All others run at most
  // once.
  std::vector<std::string> m_idempotentOperations{ "search" };
  // Operations that are declared to run at most once, such as "file".
  std::vector<std::string> m_onceOperations;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

// One entry of the history: the change that produced a generation.
struct ChangeRecord
{
  Generation m_generation = 0;
  std::string m_changeId;
  std::string m_author;
  std::string m_summary;
  // Wall-clock time of the change in milliseconds since 1970; for display only.
  int64_t m_unixMs = 0;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

// The configuration that operators have published, under one generation.
struct Configuration
{
  Generation m_generation = 0;
  // Identifies the change that produced this generation. An instance that lost
  // the store's reply to a write uses it to find out whether its change was
  // accepted.
  std::string m_changeId;
  // The author of the change, and a one-line summary of it.
  std::string m_author;
  std::string m_summary;
  // Sorted by name.
  std::vector<ServiceConfig> m_services;
  std::set<DataCentre> m_withdrawnDataCentres;
  std::set<UpstreamId> m_drainedUpstreams;
  // The newest changes, oldest first; the last one produced this generation. An
  // instance that lost the store's reply to a write finds its change here even
  // if other changes have followed.
  std::vector<ChangeRecord> m_history;

  // Returns the service named `aName`, or null. The pointer is valid until this
  // configuration is modified or destroyed.
  [[nodiscard]] const ServiceConfig* FindService(
    const ServiceName& aName) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace ebonykeel
