// The settings of one `ebonykeeld`, read from a TOML file when it starts.
//
//   id = "entry-01"
//   data_centre = "oviedo"
//
//   [store]
//   address = "10.0.0.2:8000"
//
//   InstanceSettingsResult result = ParseInstanceSettings(text, "node.toml");
//
// Everything but the id, the data centre and the store's address has a default.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/finding.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/address.h"

namespace ebonykeel {

// Where the node listens. Port 0 takes any free port.
struct ListenSettings
{
  Address m_public{ "127.0.0.1", 0 };
  Address m_admin{ "127.0.0.1", 0 };
  Address m_peer{ "127.0.0.1", 0 };
  // The IP number that others are told, when it differs from the ones above.
  std::string m_advertiseHost;
};

// Where the platform's services are.
struct PlatformSettings
{
  Address m_store;
  // The instance list; the store's address unless set.
  Address m_instanceList;
};

// Intervals and timeouts.
struct TimerSettings
{
  // Between two heartbeats to the same peer.
  Duration m_heartbeatInterval = Milliseconds(1000);
  // How long an owner may send work after the last confirmation.
  Duration m_leaseDuration = Milliseconds(3000);
  // What a successor waits beyond the lease, for clocks that run apart.
  Duration m_leaseMargin = Milliseconds(500);
  // How long a graceful stop waits for running requests after the routing
  // lifetime has passed.
  Duration m_drainTimeout = Milliseconds(30'000);
  // The bound of one call to the store.
  Duration m_storeTimeout = Milliseconds(1000);
  // How long one watch on the store stays open.
  Duration m_storeWatchTimeout = Milliseconds(2000);
  // Between two reads of the configuration by an instance that holds no watch
  // and learns of changes from its peers.
  Duration m_configurationReadInterval = Milliseconds(60'000);
  // Between two reads of the instance list.
  Duration m_instanceListInterval = Milliseconds(2000);
  // The bound of one peer call beside the request's own deadline.
  Duration m_peerTimeout = Milliseconds(1000);
  // An idle connection to an upstream or caller is closed after this time.
  Duration m_idleConnectionTimeout = Milliseconds(60'000);
};

// Bounds on what the node takes in at once.
struct LimitSettings
{
  // The body of one request of a caller, in bytes.
  size_t m_maxRequestBytes = size_t{ 1 } << 20;
  // The body of one answer of an upstream, in bytes.
  size_t m_maxUpstreamAnswerBytes = size_t{ 4 } << 20;
  // Requests that wait to run.
  uint32_t m_maxQueries = 4096;
  // The share of sub-queries that may be hedged, in [0, 1].
  double m_maxHedgeShare = 0.05;
};

// What glog is told.
struct LogSettings
{
  // Empty for standard error, otherwise an existing folder.
  std::string m_folder;
  // 0 info, 1 warning, 2 error.
  int m_minLevel = 0;
  // Verbosity of debug events, 0 to 9.
  int m_verbosity = 0;
};

// All settings of a node.
struct InstanceSettings
{
  InstanceId m_id;
  DataCentre m_dataCentre;
  Region m_region{ "default" };
  ListenSettings m_listen;
  PlatformSettings m_platform;
  // A file whose first line is the bearer token that the administration API
  // requires. Empty for none.
  std::string m_adminTokenFile;
  // A file to which the node writes its bound ports as JSON. Empty for none.
  std::string m_readyFile;
  TimerSettings m_timers;
  LimitSettings m_limits;
  LogSettings m_log;
};

// Either settings or at least one finding.
struct InstanceSettingsResult
{
  std::optional<InstanceSettings> m_settings;
  Findings m_findings;
};

// Parses and checks `aText`. Findings are in the order of their places and
// name `aFileName`. Files named by the settings are not opened.
[[nodiscard]] InstanceSettingsResult
ParseInstanceSettings(std::string_view aText, std::string_view aFileName);

} // namespace ebonykeel
