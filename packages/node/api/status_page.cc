#include "node/api/status_page.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

Json
MemberJson(const InstanceRecord& aRecord, bool aSuspected)
{
  return { { "id", aRecord.m_id.Text() },
           { "state", InstanceStateName(aRecord.m_state) },
           { "suspected", aSuspected },
           { "data_centre", aRecord.m_dataCentre.Text() },
           { "region", aRecord.m_region.Text() },
           { "public_address", aRecord.m_publicAddress },
           { "admin_address", aRecord.m_adminAddress },
           { "generation", aRecord.m_generation },
           { "load", aRecord.m_load } };
}

void
AddMetric(std::string& aPage, const char* aName, uint64_t aValue)
{
  absl::StrAppend(&aPage, "ebonykeel_", aName, " ", aValue, "\n");
}

void
AddLatency(std::string& aPage, const LatencySummary& aLatency)
{
  constexpr std::pair<LatencySummary::Percentile, const char*> kQuantiles[] = {
    { LatencySummary::kP50, "0.5" },
    { LatencySummary::kP90, "0.9" },
    { LatencySummary::kP99, "0.99" },
    { LatencySummary::kP999, "0.999" },
  };
  for (const auto& [which, label] : kQuantiles) {
    absl::StrAppend(&aPage,
                    "ebonykeel_query_latency_ms{quantile=\"",
                    label,
                    "\"} ",
                    aLatency.Quantile(which),
                    "\n");
  }
  AddMetric(aPage, "query_latency_ms_count", aLatency.Count());
}

} // namespace

StatusPage::StatusPage(const StatusSources& aSources)
  : m_sources(aSources)
{
}

Json
StatusPage::Status() const
{
  const InstanceRecord& self = m_sources.m_membership.Self();
  Json members = Json::array();
  for (const InstanceRecord& record : m_sources.m_membership.View().m_records) {
    members.push_back(
      MemberJson(record, m_sources.m_membership.IsSuspected(record.m_id)));
  }
  ConfigurationPtr inForce = m_sources.m_configuration.InForce();
  Generation generation = inForce == nullptr ? 0 : inForce->m_generation;
  Json withdrawn = Json::array();
  Json drained = Json::array();
  if (inForce != nullptr) {
    for (const DataCentre& dataCentre : inForce->m_withdrawnDataCentres) {
      withdrawn.push_back(dataCentre.Text());
    }
    for (const UpstreamId& upstream : inForce->m_drainedUpstreams) {
      drained.push_back(upstream.Text());
    }
  }
  const QueryTotals& queries = m_sources.m_queries.Totals();
  const FilingTotals& filings = m_sources.m_filings.Totals();
  return { { "id", self.m_id.Text() },
           { "state", InstanceStateName(self.m_state) },
           { "holds_lease", m_sources.m_membership.HoldsLease() },
           { "generation", generation },
           { "in_force", InForceJson(generation) },
           { "services", inForce == nullptr ? 0 : inForce->m_services.size() },
           { "data_centres_out", std::move(withdrawn) },
           { "upstreams_drained", std::move(drained) },
           { "owned", m_sources.m_ownership.OwnedUpstreams().size() },
           { "cold", m_sources.m_upstreams.ColdUpstreams() },
           { "queries",
             { { "total", queries.m_queries },
               { "sub_queries", queries.m_firstAttempts },
               { "hedges", queries.m_hedges },
               { "retries", queries.m_retries },
               { "ignored_answers", queries.m_ignoredAnswers } } },
           { "filings",
             { { "ran", filings.m_ran },
               { "repeated", filings.m_repeated },
               { "not_run", filings.m_notRun },
               { "unknown", filings.m_unknown } } },
           { "members", std::move(members) } };
}

Json
StatusPage::InForceJson(Generation aGeneration) const
{
  size_t live = 0;
  size_t inForce = 0;
  Json missing = Json::array();
  for (const InstanceRecord& record : m_sources.m_membership.View().m_records) {
    if (record.m_state == InstanceState::kDead) {
      continue;
    }
    ++live;
    if (record.m_generation >= aGeneration) {
      ++inForce;
    } else {
      missing.push_back(record.m_id.Text());
    }
  }
  return { { "on", inForce },
           { "of", live },
           { "missing", std::move(missing) } };
}

std::string
StatusPage::Metrics() const
{
  const QueryTotals& queries = m_sources.m_queries.Totals();
  const FilingTotals& filings = m_sources.m_filings.Totals();
  const UpstreamCounters& upstreams = m_sources.m_upstreams.Counters();
  const StoreCounters& store = m_sources.m_store.Counters();
  std::string page;
  AddMetric(page, "queries_total", queries.m_queries);
  AddMetric(page, "queries_active", m_sources.m_queries.Active());
  AddMetric(page, "sub_queries_total", queries.m_firstAttempts);
  AddMetric(page, "hedges_total", queries.m_hedges);
  AddMetric(page, "retries_total", queries.m_retries);
  AddMetric(page, "ignored_answers_total", queries.m_ignoredAnswers);
  AddMetric(page, "filings_ran_total", filings.m_ran);
  AddMetric(page, "filings_repeated_total", filings.m_repeated);
  AddMetric(page, "filings_not_run_total", filings.m_notRun);
  AddMetric(page, "filings_unknown_total", filings.m_unknown);
  AddMetric(page, "upstream_dispatched_total", upstreams.m_dispatched);
  AddMetric(page, "upstream_refused_total", upstreams.m_refused);
  AddMetric(page, "upstream_cancelled_total", upstreams.m_cancelled);
  AddMetric(page, "upstream_bad_answers_total", upstreams.m_badAnswers);
  AddMetric(page, "upstream_queued", m_sources.m_upstreams.Queued());
  AddMetric(page, "upstream_in_flight", m_sources.m_upstreams.InFlight());
  AddMetric(
    page, "upstreams_owned", m_sources.m_ownership.OwnedUpstreams().size());
  AddMetric(page, "upstreams_cold", m_sources.m_upstreams.ColdUpstreams());
  const AdmissionTotals& admission = m_sources.m_admission.Totals();
  AddMetric(page, "admitted_total", admission.m_admitted);
  AddMetric(page, "queued_total", admission.m_queued);
  AddMetric(page, "refused_total", admission.m_refused);
  AddLatency(page, m_sources.m_latency);
  AddMetric(page, "store_reads_total", store.m_reads);
  AddMetric(page, "store_writes_total", store.m_writes);
  AddMetric(page, "store_watches_total", store.m_watches);
  AddMetric(page, "store_lists_total", store.m_lists);
  AddMetric(page, "store_failed_total", store.m_failed);
  return page;
}

} // namespace ebonykeel
