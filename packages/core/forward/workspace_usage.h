// Tracks how much work each workspace has had upstreams do for it lately, as
// far as this instance sent it.
//
//   WorkspaceUsage usage;
//   usage.Add("desk", Milliseconds(9), now);
//   double seconds = usage.At("desk", now);
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "core/base/time.h"

namespace ebonykeel {

class WorkspaceUsage
{
public:
  void Add(const std::string& aWorkspace, Duration aWork, TimePoint aNow);
  // Returns the work in seconds, of which half fades in each half-life.
  [[nodiscard]] double At(const std::string& aWorkspace, TimePoint aNow) const;

private:
  struct Entry
  {
    double m_seconds = 0;
    TimePoint m_at;
  };

  [[nodiscard]] static double Faded(const Entry& aEntry, TimePoint aNow);

  std::unordered_map<std::string, Entry> m_entries;
  // While the entries are full, when they are searched for faded ones again.
  TimePoint m_nextCleanup;
};

} // namespace ebonykeel
