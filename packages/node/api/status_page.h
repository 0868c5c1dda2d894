// The state of one instance as JSON and as Prometheus text.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "core/base/ids.h"
#include "node/admission/admission_service.h"
#include "node/cluster/membership_service.h"
#include "node/cluster/ownership_service.h"
#include "node/configuration/configuration_service.h"
#include "node/filing/filing_service.h"
#include "node/query/query_service.h"
#include "node/upstream/upstream_service.h"
#include "runtime/metrics/latency_summary.h"
#include "runtime/store/http_store.h"

namespace ebonykeel {

// The components whose state the page shows. All references must outlive the
// page.
struct StatusSources
{
  MembershipService& m_membership;
  OwnershipService& m_ownership;
  ConfigurationService& m_configuration;
  UpstreamService& m_upstreams;
  QueryService& m_queries;
  FilingService& m_filings;
  const HttpObjectStore& m_store;
  const AdmissionService& m_admission;
  const LatencySummary& m_latency;
};

class StatusPage
{
public:
  explicit StatusPage(const StatusSources& aSources);

  [[nodiscard]] nlohmann::json Status() const;
  // Returns the number of live instances, on how many of them `aGeneration` or
  // a later one is in force, and the ids of the others, according to the last
  // known status of each instance.
  [[nodiscard]] nlohmann::json InForceJson(Generation aGeneration) const;
  [[nodiscard]] std::string Metrics() const;

private:
  StatusSources m_sources;
};

} // namespace ebonykeel
