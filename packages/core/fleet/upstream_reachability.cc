#include "core/fleet/upstream_reachability.h"

namespace ebonykeel {
namespace {

// A shorter lack of searchers is not told to callers: they come back sooner.
constexpr Duration kTellAfter = Milliseconds(200);
// Searchers that cannot be reached are tried again within two seconds; only
// then does their being reached say anything.
constexpr Duration kHold = Milliseconds(2500);

} // namespace

void
UpstreamReachability::Update(bool aCovered, bool aHearsOthers, TimePoint aNow)
{
  if (!aCovered) {
    m_uncoveredAt = aNow;
    if (!m_uncoveredSince) {
      m_uncoveredSince = aNow;
    }
    m_impaired = m_impaired || aNow - *m_uncoveredSince >= kTellAfter;
    return;
  }
  m_uncoveredSince.reset();
  if (m_impaired && aHearsOthers && aNow - m_uncoveredAt >= kHold) {
    m_impaired = false;
  }
}

} // namespace ebonykeel
