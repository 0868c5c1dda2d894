// The configuration of the forward mode, as set by operators: routes by host
// and path prefix, services, workspaces with their keys and quotas, and limits
// on callers' requests.
//
//   RouteTable table(config);
//   const Route* route = table.Find("search.example", "/desk/query");
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// One service of a weighted split.
struct SplitPart
{
  std::string m_service;
  // Relative to the other parts; >= 0.
  double m_weight = 0;
};

// How the requests of a route are answered: by one service, by one service of a
// weighted split, or by all shards of an index.
enum class RouteTarget
{
  kService,
  kSplit,
  kShards,
};

struct Route
{
  std::string m_name;
  std::string m_host;
  // Starts and ends with a slash.
  std::string m_pathPrefix;
  RouteTarget m_target = RouteTarget::kService;
  // For `kService`: one name. For `kShards`: the shards, in order.
  std::vector<std::string> m_services;
  std::vector<SplitPart> m_split;
  // Whether a request may be executed more than once.
  bool m_idempotent = false;
  // The maximum number of upstreams, for each shard, that may execute one
  // caller attempt.
  uint32_t m_maxAttempts = 1;
  // The maximum time that a caller waits for the answer.
  Duration m_timeout{};
  // The latency up to which an answer has its full value for the caller.
  Duration m_targetLatency{};
  // 0 is the most urgent.
  uint32_t m_priority = 0;
  // Whether requests need no key although the configuration has workspaces.
  bool m_isPublic = false;
  // For `kShards`: the number of records in an answer, and the share of the
  // shards, in (0, 1], below which an answer is not a success.
  size_t m_topRecords = 0;
  double m_minShare = 1;
};

// What the configuration states about a service, apart from its replicas.
struct ServiceSpec
{
  std::string m_name;
  // The maximum number of connections that one upstream accepts from all
  // clients together.
  uint32_t m_maxConnections = 0;
  // The number of requests per second that an upstream can handle in cold
  // start; 0 if not stated.
  double m_coldRequestsPerSecond = 0;
};

// The SHA-256 digest of a caller's key, 32 bytes. Keys themselves are not kept.
using KeyDigest = std::string;

// The callers that share a set of keys and a quota.
struct Workspace
{
  std::string m_name;
  std::vector<KeyDigest> m_keys;
  // Goes before the priority of the route; nothing if it is not stated.
  std::optional<uint32_t> m_priority;
  // The requests that all instances together may run: `m_ratePerSecond` plus a
  // burst of `m_burst`. A rate of 0 is no limit.
  double m_ratePerSecond = 0;
  double m_burst = 0;
};

// Limits on callers' requests.
struct CallerLimits
{
  size_t m_headerBytes = 16384;
  size_t m_bodyBytes = 262144;
  Duration m_headerTimeout = Seconds(5);
  Duration m_idleTimeout = Seconds(15);
};

// One version of the configuration. Immutable once built.
struct TrafficConfig
{
  uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::unordered_map<std::string, ServiceSpec> m_services;
  CallerLimits m_limits;
  // Whether requests need a key of a workspace, unless their route is public.
  bool m_requiresKeys = false;
  // Whether workspaces are configured, even if there are none. What a caller
  // states about its key and its workspace is then not passed on.
  bool m_usesWorkspaces = false;
  std::vector<Workspace> m_workspaces;
};

using TrafficConfigPtr = std::shared_ptr<const TrafficConfig>;

// Finds the route of a request. Keeps the configuration alive.
class RouteTable
{
public:
  explicit RouteTable(TrafficConfigPtr aConfig);

  // Returns the route for `aHost` (its port and letter case are ignored) with
  // the longest prefix that `aPath` starts with; null if there is none. Valid
  // as long as the configuration.
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aPath) const;

  // Returns the workspace that holds the key; null if there is none. A key of
  // several workspaces belongs to the first of them in the configuration, so
  // that all instances decide alike. Valid as long as the configuration.
  [[nodiscard]] const Workspace* FindWorkspace(const KeyDigest& aKey) const;

  [[nodiscard]] const TrafficConfigPtr& Config() const { return m_config; }

private:
  using PrefixMap = std::unordered_map<std::string_view, const Route*>;

  TrafficConfigPtr m_config;
  std::unordered_map<std::string, PrefixMap> m_hosts;
  std::unordered_map<std::string_view, const Workspace*> m_workspacesByKey;
};

} // namespace ebonykeel
