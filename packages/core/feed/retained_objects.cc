#include "core/feed/retained_objects.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {

bool
RetainedObjects::Outranks(const FeedObject& aKnown, const FeedObject& aStated)
{
  if (aStated.m_deleted) {
    return !aKnown.m_deleted;
  }
  // The copy may state writes that no change of the entry told, so that of a
  // removed upstream only the start counts.
  return aKnown.m_deleted ? aKnown.m_order.m_start >= aStated.m_order.m_start
                          : aKnown.m_order > aStated.m_order;
}

void
RetainedObjects::Keep(FeedObject aKnown, const FeedObject& aStated)
{
  std::string name = aKnown.m_name;
  m_entries[name] = { .m_object = std::move(aKnown),
                      .m_against = aStated.m_position,
                      .m_hold = aStated.m_deleted ? m_options.m_missingHold
                                                  : m_options.m_laterHold };
}

void
RetainedObjects::Adopt(RetainedObject aRetained, TimePoint aNow)
{
  std::string name = aRetained.m_object.m_name;
  Entry entry{ .m_object = std::move(aRetained.m_object),
               .m_against = aRetained.m_against,
               .m_hold = aRetained.m_remaining };
  if (entry.m_hold) {
    entry.m_until = aNow + *entry.m_hold;
  }
  m_entries[name] = std::move(entry);
}

void
RetainedObjects::Drop(std::string_view aName)
{
  auto found = m_entries.find(aName);
  if (found != m_entries.end()) {
    m_entries.erase(found);
  }
}

void
RetainedObjects::StartHolds(TimePoint aSince)
{
  for (auto& [name, entry] : m_entries) {
    if (entry.m_hold && !entry.m_until) {
      entry.m_until = aSince + *entry.m_hold;
    }
  }
}

const FeedObject*
RetainedObjects::Find(std::string_view aName) const
{
  auto found = m_entries.find(aName);
  return found == m_entries.end() ? nullptr : &found->second.m_object;
}

std::vector<RetainedObject>
RetainedObjects::All(TimePoint aNow) const
{
  std::vector<RetainedObject> all;
  all.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) {
    std::optional<Duration> remaining = entry.m_hold;
    if (entry.m_until) {
      remaining = std::max(*entry.m_until - aNow, Duration{});
    }
    all.push_back({ entry.m_object, entry.m_against, remaining });
  }
  return all;
}

std::vector<FeedObject>
RetainedObjects::TakeExpired(TimePoint aNow)
{
  std::vector<FeedObject> expired;
  for (const auto& [name, entry] : m_entries) {
    if (entry.m_until && *entry.m_until <= aNow) {
      expired.push_back(entry.m_object);
    }
  }
  for (const FeedObject& object : expired) {
    Drop(object.m_name);
  }
  return expired;
}

} // namespace ebonykeel
