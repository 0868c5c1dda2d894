// Decides whether an instance reaches enough upstreams to serve its callers.
//
// An instance that is partitioned from the other data centres is alive and its
// callers reach it, but it reaches too few upstreams. Most of these callers can
// reach instances in other data centres.
//
//   UpstreamReachability reachability;
//   reachability.Update(enoughUpstreams, hasRemoteContact, now);
//   if (reachability.IsImpaired()) { ... direct callers to others ... }
#pragma once

#include <optional>

#include "core/base/time.h"

namespace ebonykeel {

class UpstreamReachability
{
public:
  // `aEnoughUpstreams` says whether the upstreams that count as reachable
  // suffice for every gathered route, `aHasRemoteContact` whether an instance
  // in a remote data centre is alive, if there is one.
  void Update(bool aEnoughUpstreams, bool aHasRemoteContact, TimePoint aNow);

  // Stays set while remote data centres are out of contact: without requests
  // nothing else shows that upstreams are reachable again.
  [[nodiscard]] bool IsImpaired() const { return m_impaired; }

private:
  bool m_impaired = false;
  // Since when, and when last, too few upstreams were reachable.
  std::optional<TimePoint> m_lackingSince;
  TimePoint m_lackingAt;
};

} // namespace ebonykeel
