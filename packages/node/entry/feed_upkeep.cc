#include "node/entry/feed_upkeep.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "core/base/store_era.h"

namespace ebonykeel {
namespace {

// If the clocks differ by more than this, the process was suspended, and the
// difference is added to the age of the feeds.
constexpr Duration kMinSuspension = Milliseconds(300);

} // namespace

FeedUpkeep::FeedUpkeep(UvLoop& aLoop, StoreFeeds& aFeeds, LineLog& aLog)
  : m_loop(aLoop)
  , m_feeds(aFeeds)
  , m_log(aLog)
  , m_suspendedTotal(aLoop.Suspended())
{
}

bool
FeedUpkeep::CheckEras()
{
  bool isNewEra = false;
  for (size_t i = 0; i < m_feeds.size(); ++i) {
    const ObjectFeed& feed = m_feeds[i];
    uint64_t era = feed.CompleteTo().m_era;
    if (!feed.WasComplete() || m_eras[i] == era) {
      continue;
    }
    if (std::exchange(m_eras[i], era)) {
      isNewEra = isNewEra || std::ranges::count(m_eras, era) == 1;
      m_log.Write(
        Event::kFeedEraEntered,
        { { "kind", std::string(FeedKindName(static_cast<FeedKind>(i))) },
          { "era", FormatEra(era) },
          { "revision", absl::StrCat(feed.CompleteTo().m_revision) },
          { "retained", absl::StrCat(feed.RetainedCount()) } });
    }
  }
  m_eraChanges += isNewEra ? 1 : 0;
  return isNewEra;
}

bool
FeedUpkeep::ReleaseRetained(
  const std::function<void(FeedKind, const FeedObject&)>& aApply)
{
  bool isReleased = false;
  for (size_t i = 0; i < m_feeds.size(); ++i) {
    auto kind = static_cast<FeedKind>(i);
    std::vector<std::string> changed = m_feeds[i].ReleaseRetained(m_loop.Now());
    if (changed.empty()) {
      continue;
    }
    isReleased = true;
    m_log.Write(Event::kRetainedReleased,
                { { "kind", std::string(FeedKindName(kind)) },
                  { "count", absl::StrCat(changed.size()) } });
    for (const std::string& name : changed) {
      aApply(kind, *m_feeds[i].Find(name));
    }
  }
  return isReleased;
}

bool
FeedUpkeep::CheckSuspension()
{
  Duration total = m_loop.Suspended();
  Duration suspension = total - std::exchange(m_suspendedTotal, total);
  if (suspension <= kMinSuspension) {
    return false;
  }
  m_log.Write(Event::kSuspended,
              { { "ms", absl::StrCat(ToMilliseconds(suspension)) } });
  // The steady clock did not count the suspension, so it is missing from the
  // age of the feeds.
  for (ObjectFeed& feed : m_feeds) {
    feed.AddAge(suspension);
  }
  return true;
}

std::string
FeedUpkeep::RenderMetrics() const
{
  std::string text = absl::StrCat(
    "# TYPE ebonykeel_store_era_changes gauge\nebonykeel_store_era_changes ",
    m_eraChanges,
    "\n");
  auto add = [&text](std::string_view aName, FeedKind aKind, uint64_t aValue) {
    absl::StrAppend(&text,
                    "ebonykeel_feed_",
                    std::string(aName),
                    "{kind=\"",
                    std::string(FeedKindName(aKind)),
                    "\"} ",
                    aValue,
                    "\n");
  };
  for (size_t i = 0; i < m_feeds.size(); ++i) {
    auto kind = static_cast<FeedKind>(i);
    const StorePosition& completeTo = m_feeds[i].CompleteTo();
    add("era", kind, StatedEra(completeTo.m_era));
    add("corrections", kind, CorrectionsOf(completeTo.m_era));
    add("revision", kind, completeTo.m_revision);
    add("retained_objects", kind, m_feeds[i].RetainedCount());
  }
  return text;
}

} // namespace ebonykeel
