// The object store of the platform stand-in, with versions, conditional
// updates, listing and reads of past states.
//
//   ObjectStore store;
//   auto version = store.Put(now, "a/b", "body", { .m_version = 0 });
//   const StoredObject* object = store.Find("a/b", now);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel::standins {

// The version of a key that has no object.
constexpr uint64_t kAbsent = 0;

struct StoredObject
{
  uint64_t m_version = kAbsent;
  std::string m_body;
};

// The version that a key must have for a change to be applied; unset allows
// any. `kAbsent` requires that there is no object.
struct Condition
{
  std::optional<uint64_t> m_version;
};

// The result of a change. `m_version` is the version after a put, the version
// that a delete removed, or, if the change was not applied, the current
// version, which did not meet the condition.
struct ChangeResult
{
  bool m_applied = false;
  uint64_t m_version = kAbsent;
};

struct ObjectSummary
{
  std::string m_key;
  uint64_t m_version = kAbsent;
  size_t m_size = 0;
};

// Versions increase across all keys, so that none is used twice.
class ObjectStore
{
public:
  // `Find` and `List` are exact for times up to this long ago.
  static constexpr Duration kHistory = Seconds(30);

  ChangeResult Put(TimePoint aNow,
                   std::string_view aKey,
                   std::string_view aBody,
                   const Condition& aCondition);
  ChangeResult Delete(TimePoint aNow,
                      std::string_view aKey,
                      const Condition& aCondition);

  // Returns the object as it was at `aAt`, or null if there was none. The
  // pointer is valid until the next change.
  [[nodiscard]] const StoredObject* Find(std::string_view aKey,
                                         TimePoint aAt) const;

  // Returns the first `aLimit` objects, sorted by key, whose keys start with
  // `aPrefix` and are greater than `aAfter`, as they were at `aAt`.
  [[nodiscard]] std::vector<ObjectSummary> List(std::string_view aPrefix,
                                                std::string_view aAfter,
                                                size_t aLimit,
                                                TimePoint aAt) const;

private:
  // The object of a key from `m_since` on; the version is `kAbsent` after a
  // deletion.
  struct State
  {
    TimePoint m_since;
    StoredObject m_object;
  };
  using States = std::deque<State>;

  [[nodiscard]] static const StoredObject* FindState(const States& aStates,
                                                     TimePoint aAt);
  [[nodiscard]] uint64_t CurrentVersion(std::string_view aKey) const;
  void Append(TimePoint aNow, std::string_view aKey, StoredObject aObject);

  std::map<std::string, States, std::less<>> m_keys;
  uint64_t m_lastVersion = 0;
};

} // namespace ebonykeel::standins
