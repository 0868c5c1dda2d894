#include "standins/platform/object_store.h"

#include <algorithm>
#include <utility>

namespace ebonykeel::standins {

ChangeResult
ObjectStore::Put(TimePoint aNow,
                 std::string_view aKey,
                 std::string_view aBody,
                 const Condition& aCondition)
{
  uint64_t current = CurrentVersion(aKey);
  if (aCondition.m_version.value_or(current) != current) {
    return { .m_applied = false, .m_version = current };
  }
  ++m_lastVersion;
  Append(aNow, aKey, { m_lastVersion, std::string(aBody) });
  return { .m_applied = true, .m_version = m_lastVersion };
}

ChangeResult
ObjectStore::Delete(TimePoint aNow,
                    std::string_view aKey,
                    const Condition& aCondition)
{
  uint64_t current = CurrentVersion(aKey);
  if (aCondition.m_version.value_or(current) != current) {
    return { .m_applied = false, .m_version = current };
  }
  if (current != kAbsent) {
    Append(aNow, aKey, {});
  }
  return { .m_applied = true, .m_version = current };
}

const StoredObject*
ObjectStore::Find(std::string_view aKey, TimePoint aAt) const
{
  auto found = m_keys.find(aKey);
  return found == m_keys.end() ? nullptr : FindState(found->second, aAt);
}

std::vector<ObjectSummary>
ObjectStore::List(std::string_view aPrefix,
                  std::string_view aAfter,
                  size_t aLimit,
                  TimePoint aAt) const
{
  std::vector<ObjectSummary> summaries;
  auto key = m_keys.lower_bound(std::max(aPrefix, aAfter));
  for (; key != m_keys.end() && key->first.starts_with(aPrefix) &&
         summaries.size() < aLimit;
       ++key) {
    const StoredObject* object = FindState(key->second, aAt);
    if (object != nullptr && (aAfter.empty() || key->first > aAfter)) {
      summaries.push_back(
        { key->first, object->m_version, object->m_body.size() });
    }
  }
  return summaries;
}

const StoredObject*
ObjectStore::FindState(const States& aStates, TimePoint aAt)
{
  auto found =
    std::find_if(aStates.rbegin(), aStates.rend(), [&](const State& aState) {
      return aState.m_since <= aAt;
    });
  if (found == aStates.rend() || found->m_object.m_version == kAbsent) {
    return nullptr;
  }
  return &found->m_object;
}

uint64_t
ObjectStore::CurrentVersion(std::string_view aKey) const
{
  auto found = m_keys.find(aKey);
  return found == m_keys.end() ? kAbsent
                               : found->second.back().m_object.m_version;
}

void
ObjectStore::Append(TimePoint aNow, std::string_view aKey, StoredObject aObject)
{
  States& states = m_keys[std::string(aKey)];
  states.push_back({ aNow, std::move(aObject) });
  // The newest state from before the start of the history is kept, since it is
  // still the state at that start.
  while (states.size() > 1 && states[1].m_since <= aNow - kHistory) {
    states.pop_front();
  }
}

} // namespace ebonykeel::standins
