#include "node/report/burn_report_service.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <kj/vector.h>

#include "node/wire/peer_codec.h"

namespace ebonykeel {
namespace {

// Timeout of the request to one instance.
constexpr Duration kRequestTimeout = Seconds(1);

} // namespace

BurnReportService::BurnReportService(Loop& aLoop,
                                     PeerLinks& aLinks,
                                     MembershipService& aMembership,
                                     BurnRecorder& aRecorder)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_membership(aMembership)
  , m_recorder(aRecorder)
{
}

BurnReport
BurnReportService::OwnReport() const
{
  return m_recorder.Report(m_loop.Clock().Now());
}

kj::Promise<BurnReport>
BurnReportService::Collect()
{
  kj::Vector<kj::Promise<std::vector<BurnReport>>> requests;
  for (const InstanceRecord& record : m_membership.View().m_records) {
    if (record.m_id != m_membership.Self().m_id &&
        record.m_state != InstanceState::kDead) {
      requests.add(RequestReport(record.m_peerAddress));
    }
  }
  return kj::joinPromises(requests.releaseAsArray())
    .then(
      [own = OwnReport()](kj::Array<std::vector<BurnReport>>&& aPeerReports) {
        std::vector<BurnReport> reports{ own };
        for (std::vector<BurnReport>& peerReports : aPeerReports) {
          std::ranges::move(peerReports, std::back_inserter(reports));
        }
        return MergeBurnReports(reports);
      });
}

kj::Promise<std::vector<BurnReport>>
BurnReportService::RequestReport(const std::string& aPeerAddress)
{
  auto call = m_links.Connect(aPeerAddress).then([](wire::Peer::Client aPeer) {
    return aPeer.burnReportRequest().send().then(
      [](capnp::Response<wire::Peer::BurnReportResults>&& aResults) {
        std::vector<BurnReport> reports;
        absl::StatusOr<BurnReport> report =
          DecodeBurnReport(ToView(aResults.getReport()));
        if (report.ok()) {
          reports.push_back(*std::move(report));
        }
        return reports;
      });
  });
  return m_loop.Clock()
    .Timer()
    .timeoutAfter(kRequestTimeout.count() * kj::NANOSECONDS, kj::mv(call))
    .catch_([](kj::Exception&& /* aException */) {
      // The merged report states how many instances it covers.
      return std::vector<BurnReport>();
    });
}

} // namespace ebonykeel
