// Collects the reports on the consumption of service-level error budgets from
// all instances.
#pragma once

#include <string>
#include <vector>

#include <kj/async.h>

#include "core/slo/burn_recorder.h"
#include "node/cluster/membership_service.h"
#include "runtime/loop/loop.h"
#include "runtime/peer/links.h"

namespace ebonykeel {

// All references must outlive the service.
class BurnReportService
{
public:
  BurnReportService(Loop& aLoop,
                    PeerLinks& aLinks,
                    MembershipService& aMembership,
                    BurnRecorder& aRecorder);

  // Returns this instance's own report.
  [[nodiscard]] BurnReport OwnReport() const;
  // Returns the merged reports of this instance and of all instances that are
  // not dead and reply in time.
  [[nodiscard]] kj::Promise<BurnReport> Collect();

private:
  [[nodiscard]] kj::Promise<std::vector<BurnReport>> RequestReport(
    const std::string& aPeerAddress);

  Loop& m_loop;
  PeerLinks& m_links;
  MembershipService& m_membership;
  BurnRecorder& m_recorder;
};

} // namespace ebonykeel
