// An experiment: the requests to send, their rate, and the faults to inject.
// Parsed from TOML:
//
//   name = "stragglers"
//   nodes = ["127.0.0.1:8080"]        # queried for addresses
//   upstreams = ["127.0.0.1:9000"]    # control addresses, for counters
//   duration_s = 20
//   rate = 300
//   [query]
//   group = "valuation-desk"          # or services = ["desk-01"]
//   [filing]
//   share = 0.05
//   services = ["certificates"]
//   [[fault]]
//   at_s = 5
//   mark = "stragglers on"
//   url = "127.0.0.1:9000/standin/faults?id=desk-01-a"
//   body = '{"straggler_share": 0.01}'
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/finding.h"
#include "core/base/time.h"
#include "load/arrivals.h"
#include "runtime/http/message.h"

namespace ebonykeel {

// A request to the control API of a stand-in. `m_at` is relative to the start
// of the experiment.
struct ScheduledFault
{
  Duration m_at = Duration::zero();
  std::string m_label;
  Endpoint m_endpoint;
  std::string m_method = "POST";
  std::string m_path;
  std::string m_query;
  std::string m_body;
};

struct QueryMix
{
  // Exactly one of `m_services` and `m_group` is set.
  std::vector<std::string> m_services;
  std::string m_group;
  std::string m_text = "red";
  uint32_t m_limit = 10;
  // The deadline that each request states; zero states none.
  Duration m_deadline = Duration::zero();
};

struct FilingMix
{
  // The share of requests that are filings, from 0 to 1.
  double m_share = 0;
  std::vector<std::string> m_services;
  std::string m_operation = "file";
};

struct Experiment
{
  std::string m_name = "load";
  uint64_t m_seed = 1;
  Duration m_duration = Seconds(10);
  // Requests that start before this time are sent, but not measured.
  Duration m_warmUp = Duration::zero();
  ArrivalKind m_arrivals = ArrivalKind::kPoisson;
  // Requests per second.
  double m_rate = 100;
  // The number of callers. Each caller has its own address cache.
  uint32_t m_callers = 15;
  // The data centre of the callers, sent with requests for addresses; may be
  // empty.
  std::string m_dataCentre;
  // How long a caller waits for an answer.
  Duration m_timeout = Seconds(2);
  std::vector<Endpoint> m_instances;
  std::vector<Endpoint> m_upstreams;
  QueryMix m_query;
  FilingMix m_filing;
  // In order of time.
  std::vector<ScheduledFault> m_faults;
};

// Parses an experiment. All errors are added to `aFindings`; the result is
// valid only if none were added.
[[nodiscard]] Experiment
ParseExperiment(std::string_view aText,
                std::string_view aFile,
                Findings& aFindings);

} // namespace ebonykeel
