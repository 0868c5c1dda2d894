// Removals of registrations that are held back after an outage of the store.
//
// Registrations expire while the store is unavailable and return soon after. A
// removal that is seen during an outage or right after one is applied only once
// the upstream had the time to register again.
//
//   HeldRemovals held({});
//   held.Begin(now);
//   if (held.IsHolding(now)) held.Hold(removal);
//   for (FeedObject& removal : held.Take(asOf)) { ... }
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/store_position.h"
#include "core/base/time.h"
#include "core/feed/feed_object.h"

namespace ebonykeel {

struct HeldRemovalsOptions
{
  // How long removals are held back after an outage.
  Duration m_holdDuration = Milliseconds(2300);
  // The age of the registrations' feed beyond which an outage is assumed.
  Duration m_outageAge = Milliseconds(2800);
};

class HeldRemovals
{
public:
  explicit HeldRemovals(HeldRemovalsOptions aOptions)
    : m_options(aOptions)
  {
  }

  // Holds removals back from now on: the store has become reachable again.
  void Begin(TimePoint aNow) { m_until = aNow + m_options.m_holdDuration; }
  // The same if the age of the feed shows that there was an outage.
  void BeginAfterOutage(const std::optional<Duration>& aFeedAge,
                        TimePoint aNow);
  [[nodiscard]] bool IsHolding(TimePoint aNow) const { return aNow < m_until; }

  // Holds a removal back. Its position is the one as of which the registration
  // was missing.
  void Hold(FeedObject aRemoval);
  // The registration was stated again.
  void Forget(const std::string& aName) { m_removals.erase(aName); }
  // This instance reads the store no longer, or only now.
  void Clear() { m_removals.clear(); }
  [[nodiscard]] bool IsEmpty() const { return m_removals.empty(); }

  // Returns and forgets the removals of the era of `aAsOf`. Those of an earlier
  // era are dropped: the store came back from a copy since, and may state the
  // registrations again.
  [[nodiscard]] std::vector<FeedObject> Take(const StorePosition& aAsOf);

private:
  HeldRemovalsOptions m_options;
  TimePoint m_until;
  std::map<std::string, FeedObject> m_removals;
};

} // namespace ebonykeel
