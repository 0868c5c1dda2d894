#include "core/forward/workspace_usage.h"

#include <cmath>

namespace ebonykeel {
namespace {

// Long compared with the interval between a workspace's requests, so that one
// with few requests is not taken for one that has used nothing after each of
// them.
constexpr Duration kHalfLife = Seconds(10);
// Bounds the memory. A workspace without an entry counts as unused.
constexpr size_t kMaxEntries = 4096;
// Entries with less work than this are removed if there are too many.
constexpr double kFadedSeconds = 0.001;
// Bounds how often the entries are searched for faded ones.
constexpr Duration kCleanupInterval = Seconds(1);

} // namespace

void
WorkspaceUsage::Add(const std::string& aWorkspace,
                    Duration aWork,
                    TimePoint aNow)
{
  if (m_entries.size() >= kMaxEntries && aNow >= m_nextCleanup) {
    m_nextCleanup = aNow + kCleanupInterval;
    std::erase_if(m_entries, [aNow](const auto& aEntry) {
      return Faded(aEntry.second, aNow) < kFadedSeconds;
    });
  }
  if (m_entries.size() >= kMaxEntries && !m_entries.contains(aWorkspace)) {
    return;
  }
  Entry& entry = m_entries[aWorkspace];
  entry.m_seconds = Faded(entry, aNow) + ToMillisecondsF(aWork) / 1000;
  entry.m_at = aNow;
}

double
WorkspaceUsage::At(const std::string& aWorkspace, TimePoint aNow) const
{
  auto found = m_entries.find(aWorkspace);
  return found == m_entries.end() ? 0 : Faded(found->second, aNow);
}

double
WorkspaceUsage::Faded(const Entry& aEntry, TimePoint aNow)
{
  return aEntry.m_seconds *
         std::exp2(-static_cast<double>((aNow - aEntry.m_at).count()) /
                   static_cast<double>(kHalfLife.count()));
}

} // namespace ebonykeel
