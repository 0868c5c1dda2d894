// The HTTP interface for callers: instance addresses, queries and filings.
#pragma once

#include <string>

#include "absl/random/bit_gen_ref.h"
#include "core/query/snapshot_tracker.h"
#include "core/routing/routing.h"
#include "core/slo/burn_recorder.h"
#include "node/admission/admission_service.h"
#include "node/api/request_reader.h"
#include "node/api/status_page.h"
#include "node/cluster/membership_service.h"
#include "node/filing/filing_service.h"
#include "node/query/query_service.h"
#include "runtime/http/server.h"

namespace ebonykeel {

// Serves `GET /v1/instances`, `POST /v1/query`, `POST /v1/file`,
// `GET /v1/status`, `GET /metrics` and `GET /healthz`. All references must
// outlive the object.
class PublicApi final : public HttpHandler
{
public:
  PublicApi(Loop& aLoop,
            MembershipService& aMembership,
            SnapshotTracker& aSnapshots,
            QueryService& aQueries,
            FilingService& aFilings,
            AdmissionService& aAdmission,
            BurnRecorder& aBurn,
            StatusPage& aStatus,
            LatencySummary& aLatency,
            absl::BitGenRef aRandom);

  kj::Promise<HttpResponse> Handle(HttpRequest aRequest) override;

  // Refuses all later queries and filings as not run. The refusal lists the
  // addresses of other instances.
  void RefuseNewWork() { m_refusingNewWork = true; }
  // Returns the number of queries and filings in progress.
  [[nodiscard]] size_t InFlight() const { return m_inFlight; }

private:
  [[nodiscard]] HttpResponse HandleInstances(const HttpRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> HandleQuery(
    const HttpRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> RunQuery(QueryRequest aRequest);
  void RecordAnswer(const QueryAnswer& aAnswer, Duration aLatency);
  void RecordRefusal(const QueryRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> HandleFiling(
    const HttpRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> RunFiling(FilingInput aInput,
                                                    TimePoint aArrival);
  [[nodiscard]] RoutingAnswer Route(const std::string& aTarget,
                                    const DataCentre& aDataCentre,
                                    size_t aCount);
  // Returns the refusal to send if this instance accepts no new work, or
  // nullopt if it does. The refusal lists other addresses for `aTarget`.
  [[nodiscard]] std::optional<HttpResponse> UnavailableResponse(
    const std::string& aTarget);
  [[nodiscard]] bool InWithdrawnDataCentre() const;

  Loop& m_loop;
  MembershipService& m_membership;
  SnapshotTracker& m_snapshots;
  QueryService& m_queries;
  FilingService& m_filings;
  AdmissionService& m_admission;
  BurnRecorder& m_burn;
  StatusPage& m_status;
  LatencySummary& m_latency;
  absl::BitGenRef m_random;
  bool m_refusingNewWork = false;
  size_t m_inFlight = 0;
};

} // namespace ebonykeel
