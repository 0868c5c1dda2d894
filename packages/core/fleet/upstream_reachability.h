// Whether an instance reaches enough searchers to serve its callers.
//
// An instance that is cut off from other data centres lives, and its callers
// reach it, but it has too few searchers; those callers mostly reach instances
// elsewhere.
//
//   UpstreamReachability reach;
//   reach.Update(covered, hearsOthers, now);
//   if (reach.IsImpaired()) { ... lead callers to others ... }
#pragma once

#include <optional>

#include "core/base/time.h"

namespace ebonykeel {

class UpstreamReachability
{
public:
  // `aEnoughUpstreams` says whether the searchers that count as reachable are
  // enough for every gathered route, `aHasRemoteContact` whether an instance of
  // another data centre is heard, if there is one.
  void Update(bool aEnoughUpstreams, bool aHasRemoteContact, TimePoint aNow);

  // Stays set while other data centres are not heard: without requests nothing
  // else shows that searchers are reached again.
  [[nodiscard]] bool IsImpaired() const { return m_impaired; }

private:
  bool m_impaired = false;
  // Since when, and until when at last, searchers were too few.
  std::optional<TimePoint> m_lackingSince;
  TimePoint m_lackingAt;
};

} // namespace ebonykeel
