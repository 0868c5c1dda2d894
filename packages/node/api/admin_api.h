// The HTTP interface for operators: publication, history and rollback,
// withdrawal of data centres, draining of upstreams, status and burn report.
#pragma once

#include <string>

#include "absl/random/bit_gen_ref.h"
#include "core/config/configuration_change.h"
#include "node/api/status_page.h"
#include "node/cluster/membership_service.h"
#include "node/configuration/configuration_service.h"
#include "node/report/burn_report_service.h"
#include "runtime/http/server.h"

namespace ebonykeel {

// All references must outlive the object.
class AdminApi final : public HttpHandler
{
public:
  // `aToken` is the bearer token that every request must carry; empty if none
  // is required.
  AdminApi(ConfigurationService& aConfiguration,
           MembershipService& aMembership,
           StatusPage& aStatus,
           BurnReportService& aReports,
           std::string aToken,
           absl::BitGenRef aRandom);

  kj::Promise<HttpResponse> Handle(HttpRequest aRequest) override;

private:
  [[nodiscard]] bool Authorized(const HttpRequest& aRequest) const;
  [[nodiscard]] kj::Promise<HttpResponse> Publish(const HttpRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> ChangeDataCentre(
    const HttpRequest& aRequest,
    std::string_view aSubPath);
  [[nodiscard]] kj::Promise<HttpResponse> ChangeUpstream(
    const HttpRequest& aRequest,
    std::string_view aSubPath);
  [[nodiscard]] kj::Promise<HttpResponse> RollBack(const HttpRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> ListHistory(
    const HttpRequest& aRequest);
  [[nodiscard]] kj::Promise<HttpResponse> ListHistoryDownFrom(
    Generation aGeneration,
    size_t aCount,
    nlohmann::json aEntries);
  [[nodiscard]] ChangeMetadata MakeMetadata(const nlohmann::json& aBody,
                                            std::string aSummary);
  [[nodiscard]] kj::Promise<HttpResponse> Apply(ChangeRequest aRequest);

  ConfigurationService& m_configuration;
  MembershipService& m_membership;
  StatusPage& m_status;
  BurnReportService& m_reports;
  std::string m_token;
  absl::BitGenRef m_random;
};

} // namespace ebonykeel
