#include "node/entry/directory_service.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/config/address.h"

namespace ebonykeel {
namespace {

// Remote instances that were lost longer ago than this are not offered to
// callers.
constexpr Duration kMaxLostAge = Milliseconds(5500);
// Some callers cache the directory's answer for this many times its TTL.
constexpr int kMaxCachedTtls = 3;
constexpr int kUnavailableStatus = 503;

} // namespace

DirectoryService::DirectoryService(UvLoop& aLoop,
                                   const TrafficProtocol& aTraffic,
                                   const FleetView& aFleet,
                                   const UpstreamReachability& aReachability,
                                   DirectoryOptions aOptions)
  : m_loop(aLoop)
  , m_traffic(aTraffic)
  , m_fleet(aFleet)
  , m_reachability(aReachability)
  , m_options(aOptions)
{
}

Http1Response
DirectoryService::Answer(const DirectoryQuery& aQuery) const
{
  std::vector<FleetRecord> candidates = Candidates();
  std::vector<Address> addresses;
  std::ranges::transform(
    ChooseInstancesForCaller(
      candidates, aQuery.m_dataCentre, m_upstreamCounts, ChoiceOptions()),
    std::back_inserter(addresses),
    [&](const std::string& aHost) {
      return Address{ aHost, m_options.m_callerPort };
    });
  if (addresses.empty()) {
    return m_traffic.MakeOwnAnswer(
      kUnavailableStatus, "no-instance", m_options.m_retryAfter);
  }
  return m_traffic.MakeDirectoryAnswer(addresses, m_options.m_answerTtl);
}

std::set<std::string>
DirectoryService::OfferedHosts() const
{
  return InstancesForAllCallers(
    m_fleet.LiveMembers(), m_upstreamCounts, ChoiceOptions());
}

Duration
DirectoryService::MaxCacheTime() const
{
  return m_options.m_answerTtl * kMaxCachedTtls;
}

std::vector<FleetRecord>
DirectoryService::Candidates() const
{
  if (m_reachability.IsImpaired() && !m_fleet.HasLiveRemoteInstance()) {
    // Callers may reach remote instances that this instance does not reach.
    std::vector<FleetRecord> lost =
      m_fleet.RecentlyLostRemote(kMaxLostAge, m_loop.Now());
    for (FleetRecord& record : lost) {
      record.m_state = FleetState::kAlive;
    }
    if (!lost.empty()) {
      return lost;
    }
  }
  return m_fleet.LiveMembers();
}

} // namespace ebonykeel
