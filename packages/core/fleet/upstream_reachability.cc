#include "core/fleet/upstream_reachability.h"

namespace ebonykeel {
namespace {

// A shorter lack of upstreams is not reported to callers: it ends sooner.
constexpr Duration kReportDelay = Milliseconds(200);
// Unreachable upstreams are retried within two seconds; only after that does
// their reachability mean anything.
constexpr Duration kRecoveryDelay = Milliseconds(2500);

} // namespace

void
UpstreamReachability::Update(bool aEnoughUpstreams,
                             bool aHasRemoteContact,
                             TimePoint aNow)
{
  if (!aEnoughUpstreams) {
    m_lackingAt = aNow;
    if (!m_lackingSince) {
      m_lackingSince = aNow;
    }
    m_impaired = m_impaired || aNow - *m_lackingSince >= kReportDelay;
    return;
  }
  m_lackingSince.reset();
  if (m_impaired && aHasRemoteContact && aNow - m_lackingAt >= kRecoveryDelay) {
    m_impaired = false;
  }
}

} // namespace ebonykeel
