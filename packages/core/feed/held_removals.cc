#include "core/feed/held_removals.h"

#include <utility>

namespace ebonykeel {

void
HeldRemovals::BeginAfterOutage(const std::optional<Duration>& aFeedAge,
                               TimePoint aNow)
{
  if (aFeedAge && *aFeedAge > m_options.m_outageAge && !IsHolding(aNow)) {
    Begin(aNow);
  }
}

void
HeldRemovals::Hold(FeedObject aRemoval)
{
  std::string name = aRemoval.m_name;
  m_removals[name] = std::move(aRemoval);
}

std::vector<FeedObject>
HeldRemovals::Take(const StorePosition& aAsOf)
{
  std::vector<FeedObject> taken;
  for (auto& [name, removal] : std::exchange(m_removals, {})) {
    if (removal.m_position.m_era == aAsOf.m_era) {
      taken.push_back(std::move(removal));
    }
  }
  return taken;
}

} // namespace ebonykeel
