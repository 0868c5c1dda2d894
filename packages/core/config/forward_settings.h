// The settings of an instance that forwards requests on the users' platform,
// read from a TOML file.
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

// Where an instance listens.
struct ForwardListenSettings
{
  Address m_callers;
  Address m_directory;
  Address m_readiness;
  // For other instances: datagrams and TCP on the same port.
  uint16_t m_peerPort = 0;
  // Counters as text; 0 for none.
  uint16_t m_metricsPort = 0;
};

struct ForwardSettings
{
  InstanceId m_id;
  DataCentre m_dataCentre;
  // The IP number by which other instances reach this one.
  std::string m_host;
  // The whole system starts for the first time: nobody has what it needs yet.
  bool m_firstStart = false;
  // The processors that this instance may use.
  double m_processors = 1;
  ForwardListenSettings m_listen;
  Address m_store;
  // IP numbers of instances that may know others; some may be gone.
  std::vector<std::string> m_seeds;
  // Extra requests to one service's searchers for each first one, and beside
  // them, of the whole fleet together, within any window.
  double m_extraShare = 0.2;
  int64_t m_extraBurst = 100;
  Duration m_extraWindow = Seconds(10);
  // The longest time between the request to stop and the end.
  Duration m_stopTimeout = Seconds(6);
  // How long callers keep the directory's answer.
  Duration m_directoryAnswerTtl = Seconds(1);
  // Instances that the directory names to one caller.
  int64_t m_instancesPerCaller = 2;
  // Switches for comparisons.
  bool m_hedging = true;
  bool m_earlyAnswers = true;
  bool m_foreseeStalls = true;
};

struct ForwardSettingsResult
{
  std::optional<ForwardSettings> m_settings;
  Findings m_findings;
};

// Returns whether the text asks for this mode.
[[nodiscard]] bool
IsForwardMode(std::string_view aText);

// Parses and checks `aText`. Findings are in the order of their places and
// name `aFileName`.
[[nodiscard]] ForwardSettingsResult
ParseForwardSettings(std::string_view aText, std::string_view aFileName);

} // namespace ebonykeel
