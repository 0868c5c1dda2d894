// Collects the measurements of an experiment.
//
//   LoadResult result;
//   result.Add({ .m_start = Seconds(1), .m_latency = Milliseconds(4), ... });
//   std::string json = result.ToJson().dump(2);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/base/time.h"
#include "load/answer_check.h"
#include "load/filing_check.h"
#include "load/latency_histogram.h"

namespace ebonykeel {

enum class RequestKind
{
  kQuery,
  kFiling,
};

// One request, from its intended start to the end of its last attempt.
struct RequestRecord
{
  RequestKind m_kind = RequestKind::kQuery;
  // False for a request of the warm-up, which adds only to the required work
  // and the violations.
  bool m_measured = true;
  // Relative to the start of the experiment.
  Duration m_start = Duration::zero();
  Duration m_latency = Duration::zero();
  Outcome m_outcome = Outcome::kUnknown;
  // The reason of a refusal or failure, such as "overloaded" or "timeout";
  // empty if the request was answered.
  std::string m_refusal;
  uint32_t m_attempts = 1;
  uint64_t m_shards = 0;
  uint64_t m_answered = 0;
  std::vector<Violation> m_violations;
};

// Counters of the experiment, summed over all upstreams.
struct UpstreamTotals
{
  uint64_t m_received = 0;
  uint64_t m_executed = 0;
  uint64_t m_shed = 0;
  uint64_t m_fellOver = 0;
  uint64_t m_connectionsRefused = 0;
  // The most work, running and waiting, that any one upstream held at a time
  // since its start, overall and while it was cold.
  uint64_t m_maxInUse = 0;
  uint64_t m_maxInUseWhileCold = 0;
};

struct InjectedFault
{
  Duration m_at = Duration::zero();
  std::string m_text;
  // False if the stand-in did not accept the fault.
  bool m_accepted = true;
};

class LoadResult
{
public:
  // The width of a bin of the time line.
  static constexpr Duration kBinWidth = Milliseconds(100);

  void Add(const RequestRecord& aRecord);
  void AddFault(InjectedFault aFault);
  void SetFilings(const FilingCheck& aCheck) { m_filings = aCheck; }
  void SetUpstreams(const UpstreamTotals& aTotals) { m_upstreams = aTotals; }

  // Returns the number of violated guarantees.
  [[nodiscard]] uint64_t BrokenPromises() const;
  [[nodiscard]] uint64_t Answered() const { return m_latency.Count(); }
  [[nodiscard]] uint64_t Requests() const { return m_requests; }

  [[nodiscard]] nlohmann::json ToJson() const;
  // Return the data of the plots as CSV with a header line.
  [[nodiscard]] std::string TimeLineCsv() const;
  [[nodiscard]] std::string LatencyCsv() const;
  [[nodiscard]] std::string CoverageCsv() const;
  [[nodiscard]] const std::vector<InjectedFault>& Faults() const
  {
    return m_faults;
  }

private:
  struct Bin
  {
    uint64_t m_requests = 0;
    uint64_t m_failed = 0;
    uint64_t m_partial = 0;
    std::vector<float> m_milliseconds;
  };

  [[nodiscard]] nlohmann::json LatencyJson() const;
  [[nodiscard]] nlohmann::json CoverageJson() const;
  [[nodiscard]] nlohmann::json FilingsJson() const;
  [[nodiscard]] nlohmann::json UpstreamsJson() const;
  [[nodiscard]] nlohmann::json TimeLineJson() const;

  uint64_t m_requests = 0;
  uint64_t m_queries = 0;
  uint64_t m_attempts = 0;
  uint64_t m_whole = 0;
  uint64_t m_partial = 0;
  uint64_t m_failed = 0;
  // The minimum work for the answered requests: one upstream request for each
  // shard of a query and one for each filing.
  uint64_t m_requiredWork = 0;
  LatencyHistogram m_latency;
  // The number of answered queries by coverage, in per mille of their shards.
  std::map<uint32_t, uint64_t> m_coverage;
  std::map<std::string, uint64_t> m_outcomes;
  std::map<std::string, uint64_t> m_refusals;
  std::map<std::string, uint64_t> m_violations;
  std::vector<Bin> m_bins;
  std::vector<InjectedFault> m_faults;
  FilingCheck m_filings;
  std::optional<UpstreamTotals> m_upstreams;
};

} // namespace ebonykeel
