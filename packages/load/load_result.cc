#include "load/load_result.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<const char*, double>, 6> kQuantiles = { {
  { "p50", 0.5 },
  { "p90", 0.9 },
  { "p95", 0.95 },
  { "p99", 0.99 },
  { "p99_5", 0.995 },
  { "p99_9", 0.999 },
} };
constexpr uint32_t kPerMille = 1000;

float
QuantileOf(std::vector<float> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  auto rank = static_cast<size_t>(
    std::lround(aShare * static_cast<double>(aValues.size() - 1)));
  auto position = aValues.begin() + static_cast<ptrdiff_t>(rank);
  std::ranges::nth_element(aValues, position);
  return *position;
}

double
Share(uint64_t aPart, uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

void
LoadResult::Add(const RequestRecord& aRecord)
{
  bool answered = aRecord.m_outcome == Outcome::kRan;
  bool query = aRecord.m_kind == RequestKind::kQuery;
  bool partial = answered && query && aRecord.m_answered < aRecord.m_shards;
  for (Violation violation : aRecord.m_violations) {
    ++m_violations[std::string(ViolationName(violation))];
  }
  if (answered) {
    m_requiredWork += query ? aRecord.m_shards : 1;
  }
  if (!aRecord.m_measured) {
    return;
  }
  ++m_requests;
  m_queries += query;
  m_attempts += aRecord.m_attempts;
  ++m_outcomes[std::string(OutcomeName(aRecord.m_outcome))];
  if (!aRecord.m_refusal.empty()) {
    ++m_refusals[aRecord.m_refusal];
  }
  auto index =
    static_cast<size_t>(std::max<int64_t>(0, aRecord.m_start / kBinWidth));
  m_bins.resize(std::max(m_bins.size(), index + 1));
  Bin& bin = m_bins[index];
  ++bin.m_requests;
  bin.m_failed += !answered;
  bin.m_partial += partial;
  m_failed += !answered;
  if (!answered) {
    return;
  }
  m_latency.Add(aRecord.m_latency);
  bin.m_milliseconds.push_back(
    static_cast<float>(ToMillisecondsF(aRecord.m_latency)));
  if (query && aRecord.m_shards > 0) {
    m_partial += partial;
    m_whole += !partial;
    ++m_coverage[static_cast<uint32_t>(aRecord.m_answered * kPerMille /
                                       aRecord.m_shards)];
  }
}

void
LoadResult::AddFault(InjectedFault aFault)
{
  m_faults.push_back(std::move(aFault));
}

uint64_t
LoadResult::BrokenPromises() const
{
  uint64_t sum = m_filings.m_doubled + m_filings.m_falseRefusals +
                 m_filings.m_falseSuccesses;
  for (const auto& [name, count] : m_violations) {
    sum += count;
  }
  return sum;
}

Json
LoadResult::LatencyJson() const
{
  Json latency = { { "count", m_latency.Count() },
                   { "mean_ms", ToMillisecondsF(m_latency.Mean()) },
                   { "max_ms", ToMillisecondsF(m_latency.Max()) } };
  for (const auto& [name, share] : kQuantiles) {
    latency[absl::StrCat(name, "_ms")] =
      ToMillisecondsF(m_latency.Quantile(share));
  }
  return latency;
}

Json
LoadResult::CoverageJson() const
{
  Json shares = Json::array();
  for (const auto& [perMille, count] : m_coverage) {
    shares.push_back(
      { { "covered", perMille / double{ kPerMille } }, { "answers", count } });
  }
  return { { "whole", m_whole },
           { "partial", m_partial },
           { "whole_share", Share(m_whole, m_whole + m_partial) },
           { "distribution", std::move(shares) } };
}

Json
LoadResult::FilingsJson() const
{
  return { { "sent", m_requests - m_queries },
           { "executed", m_filings.m_executed },
           { "doubled", m_filings.m_doubled },
           { "false_refusals", m_filings.m_falseRefusals },
           { "false_successes", m_filings.m_falseSuccesses } };
}

Json
LoadResult::UpstreamsJson() const
{
  if (!m_upstreams) {
    return nullptr;
  }
  double extra = m_requiredWork == 0
                   ? 0
                   : Share(m_upstreams->m_received, m_requiredWork) - 1;
  return { { "received", m_upstreams->m_received },
           { "executed", m_upstreams->m_executed },
           { "needed", m_requiredWork },
           { "extra_share", extra },
           { "shed", m_upstreams->m_shed },
           { "fell_over", m_upstreams->m_fellOver },
           { "connections_refused", m_upstreams->m_connectionsRefused },
           { "max_in_use", m_upstreams->m_maxInUse },
           { "max_in_use_while_cold", m_upstreams->m_maxInUseWhileCold } };
}

Json
LoadResult::TimeLineJson() const
{
  Json bins = Json::array();
  for (const Bin& bin : m_bins) {
    bins.push_back({ { "requests", bin.m_requests },
                     { "failed", bin.m_failed },
                     { "partial", bin.m_partial },
                     { "p50_ms", QuantileOf(bin.m_milliseconds, 0.5) },
                     { "p99_ms", QuantileOf(bin.m_milliseconds, 0.99) } });
  }
  return bins;
}

Json
LoadResult::ToJson() const
{
  Json faults = Json::array();
  for (const InjectedFault& fault : m_faults) {
    faults.push_back({ { "at_ms", ToMillisecondsF(fault.m_at) },
                       { "mark", fault.m_text },
                       { "taken", fault.m_accepted } });
  }
  return { { "requests", m_requests },
           { "queries", m_queries },
           { "answered", Answered() },
           { "failed", m_failed },
           { "attempts", m_attempts },
           { "outcomes", m_outcomes },
           { "refusals", m_refusals },
           { "latency", LatencyJson() },
           { "coverage", CoverageJson() },
           { "filings", FilingsJson() },
           { "violations", m_violations },
           { "broken_promises", BrokenPromises() },
           { "upstreams", UpstreamsJson() },
           { "faults", std::move(faults) },
           { "bin_ms", ToMilliseconds(kBinWidth) },
           { "time_line", TimeLineJson() } };
}

std::string
LoadResult::TimeLineCsv() const
{
  std::string text = "t_s,requests,failed,partial,p50_ms,p99_ms,max_ms\n";
  for (size_t i = 0; i < m_bins.size(); ++i) {
    const Bin& bin = m_bins[i];
    absl::StrAppendFormat(&text,
                          "%.1f,%d,%d,%d,%.3f,%.3f,%.3f\n",
                          ToMillisecondsF(kBinWidth * i) / 1000,
                          bin.m_requests,
                          bin.m_failed,
                          bin.m_partial,
                          QuantileOf(bin.m_milliseconds, 0.5),
                          QuantileOf(bin.m_milliseconds, 0.99),
                          QuantileOf(bin.m_milliseconds, 1.0));
  }
  return text;
}

std::string
LoadResult::LatencyCsv() const
{
  std::string text = "up_to_ms,count,cumulative_share\n";
  uint64_t cumulative = 0;
  for (const LatencyBucket& bucket : m_latency.Buckets()) {
    cumulative += bucket.m_count;
    absl::StrAppendFormat(&text,
                          "%.3f,%d,%.6f\n",
                          ToMillisecondsF(bucket.m_upperBound),
                          bucket.m_count,
                          Share(cumulative, Answered()));
  }
  return text;
}

std::string
LoadResult::CoverageCsv() const
{
  std::string text = "covered,answers\n";
  for (const auto& [perMille, count] : m_coverage) {
    absl::StrAppendFormat(
      &text, "%.3f,%d\n", perMille / double{ kPerMille }, count);
  }
  return text;
}

} // namespace ebonykeel
