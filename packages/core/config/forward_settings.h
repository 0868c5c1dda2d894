// The settings of an instance in forward mode, which forwards requests on the
// users' platform. They are read from a TOML file.
//
//   mode = "forward"
//   id = "front-1"
//   data_centre = "oviedo"
//   host = "10.1.0.9"
//
//   [store]
//   address = "10.200.1.7:8102"
//
//   ForwardSettingsResult result = ParseForwardSettings(text, "node.toml");
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/finding.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/address.h"

namespace ebonykeel {

// The addresses and ports on which an instance listens.
struct ForwardListenSettings
{
  Address m_callers;
  Address m_directory;
  Address m_readiness;
  // UDP and TCP port for other instances.
  uint16_t m_peerPort = 0;
  // Port that serves metrics as text, or 0 to serve none.
  uint16_t m_metricsPort = 0;
};

// The tolerances within which the quotas of workspaces hold: in any window at
// most (rate * window + burst) * (1 + `m_overage`) + `m_slack` requests run.
struct QuotaSettings
{
  // The data centres, among which quotas are divided; at least one.
  std::vector<DataCentre> m_dataCentres;
  Duration m_window = Seconds(5);
  double m_overage = 0.1;
  double m_slack = 20;
};

// The limits of a roll-out: a bad version gets at most `m_exposureShare` of its
// service's requests plus `m_exposureSlack`.
struct RolloutSettings
{
  double m_exposureShare = 0.1;
  double m_exposureSlack = 50;
  // The time within which a version that is found bad must get no requests any
  // more. Only read: instances stop at once.
  Duration m_rollbackTime = Seconds(5);
};

// How an upstream is chosen among the replicas of a service.
enum class PlacementPolicy
{
  // By the predicted latency, from the number of requests in flight.
  kLatency,
  // By the expected completion time, from the expected work of the requests in
  // flight.
  kWork,
};

struct ForwardSettings
{
  InstanceId m_id;
  DataCentre m_dataCentre;
  // The IP address at which other instances reach this one.
  std::string m_host;
  // Whether the whole system starts for the first time, so that no instance has
  // a copy of the store's objects yet.
  bool m_firstStart = false;
  // Processor capacity of this instance: its share of a processor times the
  // processor's relative speed.
  double m_processors = 1;
  ForwardListenSettings m_listen;
  Address m_store;
  // IP addresses of instances to contact at the start in order to find the
  // others. Some of them may no longer exist.
  std::vector<std::string> m_seeds;
  // Extra requests (hedges and retries) to the upstreams of one service that
  // all instances together may send within any window: a share of the first
  // attempts, plus a fixed number.
  double m_extraShare = 0.2;
  int64_t m_extraBurst = 100;
  Duration m_extraWindow = Seconds(10);
  // Maximum time between the request to stop and the end of the process.
  Duration m_stopTimeout = Seconds(6);
  // How long callers may cache an answer of the directory.
  Duration m_directoryAnswerTtl = Seconds(1);
  // Number of instances that the directory returns to one caller.
  int64_t m_instancesPerCaller = 2;
  // Features that can be disabled for comparison measurements.
  bool m_hedging = true;
  bool m_earlyAnswers = true;
  bool m_foreseeStalls = true;
  PlacementPolicy m_placement = PlacementPolicy::kLatency;
  // Nothing if quotas are not enforced.
  std::optional<QuotaSettings> m_quota;
  // Nothing if roll-outs are not read.
  std::optional<RolloutSettings> m_rollout;
};

struct ForwardSettingsResult
{
  std::optional<ForwardSettings> m_settings;
  Findings m_findings;
};

// Returns whether `aText` is valid TOML with the key `mode`, which only
// settings of forward mode contain.
[[nodiscard]] bool
IsForwardMode(std::string_view aText);

// Parses and validates `aText`. Findings are sorted by their position in the
// text and refer to `aFileName`.
[[nodiscard]] ForwardSettingsResult
ParseForwardSettings(std::string_view aText, std::string_view aFileName);

} // namespace ebonykeel
