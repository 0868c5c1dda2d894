// An experiment: which requests to send at which rate, and which faults to
// inject when. Read from TOML:
//
//   name = "stragglers"
//   nodes = ["127.0.0.1:8080"]        # any of them names addresses
//   upstreams = ["127.0.0.1:9000"]    # control addresses, for the counters
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

// A request to a stand-in's control API at a time after the start.
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
  // One of the two is given.
  std::vector<std::string> m_services;
  std::string m_group;
  std::string m_text = "red";
  uint32_t m_limit = 10;
  // The deadline that each request names; zero names none.
  Duration m_deadline = Duration::zero();
};

struct FilingMix
{
  // The share of requests that are filings, 0..1.
  double m_share = 0;
  std::vector<std::string> m_services;
  std::string m_operation = "file";
};

struct Experiment
{
  std::string m_name = "load";
  uint64_t m_seed = 1;
  Duration m_duration = Seconds(10);
  // Requests that start before this time are sent but not measured.
  Duration m_warmUp = Duration::zero();
  ArrivalKind m_arrivals = ArrivalKind::kPoisson;
  // Requests a second.
  double m_rate = 100;
  // Callers that each keep a routing answer of their own.
  uint32_t m_callers = 15;
  // Named to the nodes as where the callers are; may be empty.
  std::string m_dataCentre;
  // How long a caller waits for an answer.
  Duration m_timeout = Seconds(2);
  std::vector<Endpoint> m_instances;
  std::vector<Endpoint> m_upstreams;
  QueryMix m_query;
  FilingMix m_filing;
  // Sorted by time.
  std::vector<ScheduledFault> m_faults;
};

// Reads an experiment; everything that is wrong is added to `aFindings`, and
// the result counts only if nothing was.
[[nodiscard]] Experiment
ParseExperiment(std::string_view aText,
                std::string_view aFile,
                Findings& aFindings);

} // namespace ebonykeel
