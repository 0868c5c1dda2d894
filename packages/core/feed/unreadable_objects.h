// Remembers which objects of one kind in the store cannot be read, so that each
// is reported once and not with every list and change.
//
//   UnreadableObjects unreadable;
//   if (unreadable.Add("i-7")) { Log("i-7 cannot be read"); }
//   unreadable.Remove("i-7");  // it was replaced or removed
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace ebonykeel {

class UnreadableObjects
{
public:
  // Beyond this many objects no further one is remembered or reported.
  static constexpr size_t kMaxObjects = 1000;

  // Begin and end a complete list of the objects. Those that are not added in
  // between are forgotten.
  void BeginList() { m_listed.clear(); }
  void EndList() { m_names = std::exchange(m_listed, {}); }

  // Returns whether the object was not known as unreadable.
  bool Add(const std::string& aName)
  {
    if (m_names.size() >= kMaxObjects && !m_names.contains(aName)) {
      return false;
    }
    m_listed.insert(aName);
    return m_names.insert(aName).second;
  }
  // The object was read or is gone.
  void Remove(const std::string& aName) { m_names.erase(aName); }

  [[nodiscard]] size_t Count() const { return m_names.size(); }

private:
  std::set<std::string> m_names;
  // Those added since `BeginList`.
  std::set<std::string> m_listed;
};

} // namespace ebonykeel
