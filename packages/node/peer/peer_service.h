// Serves the calls of other instances.
#pragma once

#include <map>
#include <string>

#include "node/cluster/membership_service.h"
#include "node/cluster/ownership_service.h"
#include "node/configuration/configuration_service.h"
#include "node/report/burn_report_service.h"
#include "node/upstream/upstream_service.h"
#include "runtime/peer/peer.capnp.h"

namespace ebonykeel {

// All references must outlive the service.
class PeerService final : public wire::Peer::Server
{
public:
  PeerService(Loop& aLoop,
              MembershipService& aMembership,
              OwnershipService& aOwnership,
              ConfigurationService& aConfiguration,
              UpstreamService& aUpstreams,
              BurnReportService& aReports);

  kj::Promise<void> ping(PingContext aContext) override;
  kj::Promise<void> search(SearchContext aContext) override;
  kj::Promise<void> cancel(CancelContext aContext) override;
  kj::Promise<void> file(FileContext aContext) override;
  kj::Promise<void> configuration(ConfigurationContext aContext) override;
  kj::Promise<void> offer(OfferContext aContext) override;
  kj::Promise<void> acquire(AcquireContext aContext) override;
  kj::Promise<void> handOver(HandOverContext aContext) override;
  kj::Promise<void> burnReport(BurnReportContext aContext) override;
  kj::Promise<void> probe(ProbeContext aContext) override;

private:
  class SearchSession;

  Loop& m_loop;
  MembershipService& m_membership;
  OwnershipService& m_ownership;
  ConfigurationService& m_configuration;
  UpstreamService& m_upstreams;
  BurnReportService& m_reports;
  // The session that each unfinished sub-query belongs to, by the sub-query's
  // id.
  std::map<std::string, SearchSession*, std::less<>> m_sessionsBySubQuery;
};

} // namespace ebonykeel
