// The settings of one instance, which `ebonykeeld` reads from a TOML file when
// it starts.
//
//   id = "entry-01"
//   data_centre = "oviedo"
//
//   [store]
//   address = "10.0.0.2:8000"
//
//   InstanceSettingsResult result = ParseInstanceSettings(text, "node.toml");
//
// All settings except the id, the data centre and the store's address have
// defaults.
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

// The addresses on which the instance listens. Port 0 selects any free port.
struct ListenSettings
{
  Address m_public{ "127.0.0.1", 0 };
  Address m_admin{ "127.0.0.1", 0 };
  Address m_peer{ "127.0.0.1", 0 };
  // The IP address that the instance announces to others, if it differs from
  // the addresses above.
  std::string m_advertiseHost;
};

// Addresses of the platform's services.
struct PlatformSettings
{
  Address m_store;
  // The service that lists instances; defaults to the store's address.
  Address m_instanceList;
};

// Intervals and timeouts of an instance.
struct TimerSettings
{
  // Time between two heartbeats to the same peer.
  Duration m_heartbeatInterval = Milliseconds(1000);
  // How long an owner may send work after its lease was last confirmed.
  Duration m_leaseDuration = Milliseconds(3000);
  // How long a successor waits after the lease has expired, to allow for clocks
  // that run at different rates.
  Duration m_leaseMargin = Milliseconds(500);
  // How long a graceful stop waits for running requests after the routing
  // lifetime has passed.
  Duration m_drainTimeout = Milliseconds(30'000);
  // Timeout of one call to the store.
  Duration m_storeTimeout = Milliseconds(1000);
  // How long one watch on the store is kept open.
  Duration m_storeWatchTimeout = Milliseconds(2000);
  // Time between two regular reads of the configuration from the store. An
  // instance without a watch receives changes from its peers in between.
  Duration m_configurationReadInterval = Milliseconds(60'000);
  // Time between two reads of the instance list while no other instance is
  // known.
  Duration m_instanceListInterval = Milliseconds(2000);
  // Timeout of one call to a peer, in addition to the request's own deadline.
  Duration m_peerTimeout = Milliseconds(1000);
  // How long a connection to an upstream or caller may be idle before it is
  // closed.
  Duration m_idleConnectionTimeout = Milliseconds(60'000);
};

// Limits on request and answer sizes, queued requests and hedges.
struct LimitSettings
{
  // Body of one request from a caller, in bytes.
  size_t m_maxRequestBytes = size_t{ 1 } << 20;
  // Body of one answer from an upstream, in bytes.
  size_t m_maxUpstreamAnswerBytes = size_t{ 4 } << 20;
  // Requests that wait for admission.
  uint32_t m_maxQueries = 4096;
  // Share of sub-queries that may be hedged, in [0, 1].
  double m_maxHedgeShare = 0.05;
};

// Settings of the glog library.
struct LogSettings
{
  // An existing directory for log files, or empty for standard error.
  std::string m_folder;
  // Minimum level of the messages that are written: 0 info, 1 warning, 2 error.
  int m_minLevel = 0;
  // Verbosity of debug events, 0 to 9.
  int m_verbosity = 0;
};

// All settings of an instance.
struct InstanceSettings
{
  InstanceId m_id;
  DataCentre m_dataCentre;
  Region m_region{ "default" };
  ListenSettings m_listen;
  PlatformSettings m_platform;
  // A file whose first line is the bearer token that the administration API
  // requires. Empty if no token is required.
  std::string m_adminTokenFile;
  // A file to which the instance writes the ports that it listens on, as JSON.
  // Empty if no file is written.
  std::string m_readyFile;
  TimerSettings m_timers;
  LimitSettings m_limits;
  LogSettings m_log;
};

// Contains either settings or at least one finding.
struct InstanceSettingsResult
{
  std::optional<InstanceSettings> m_settings;
  Findings m_findings;
};

// Parses and validates `aText`. Findings are sorted by their position in the
// text and refer to `aFileName`. Files that the settings name are not opened.
[[nodiscard]] InstanceSettingsResult
ParseInstanceSettings(std::string_view aText, std::string_view aFileName);

} // namespace ebonykeel
