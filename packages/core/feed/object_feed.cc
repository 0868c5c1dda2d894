#include "core/feed/object_feed.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {
namespace {

// The number of tombstones above which the older half is pruned.
constexpr size_t kMaxTombstones = 2000;

bool
HasSameContent(const FeedObject& aLeft, const FeedObject& aRight)
{
  return aLeft.m_deleted == aRight.m_deleted &&
         aLeft.m_payload == aRight.m_payload;
}

} // namespace

bool
ObjectFeed::Apply(FeedObject aObject, uint64_t aAsOf)
{
  uint64_t statedAt = aObject.m_deleted ? aAsOf : aObject.m_revision;
  const FeedObject* known = Find(aObject.m_name);
  bool isOlder = known != nullptr && statedAt < known->m_revision;
  bool isKnown = known != nullptr && statedAt == known->m_revision &&
                 HasSameContent(*known, aObject);
  if (aAsOf < m_completeTo || isOlder || isKnown) {
    return false;
  }
  // Other instances count as complete up to this feed's revision and fetch only
  // later changes. A change that was missed until now gets a later revision.
  bool wasMissed = statedAt <= m_completeTo;
  aObject.m_revision = wasMissed ? aAsOf : statedAt;
  if (aObject.m_revision == m_completeTo) {
    m_missedChanges.insert(aObject.m_name);
  }
  return Store(std::move(aObject));
}

bool
ObjectFeed::Store(FeedObject aObject)
{
  auto [entry, isNew] = m_objects.try_emplace(aObject.m_name);
  FeedObject& known = entry->second;
  if (isNew) {
    known.m_deleted = true;
    ++m_tombstoneCount;
  } else if (known.m_revision > aObject.m_revision) {
    return false;
  }
  // The revision is kept even if the content is the same: other instances may
  // have seen the object in between. So is the removal of an unknown object.
  bool changed = !HasSameContent(known, aObject);
  m_contentRevision = std::max(m_contentRevision, aObject.m_revision);
  m_tombstoneCount -= known.m_deleted ? 1 : 0;
  m_tombstoneCount += aObject.m_deleted ? 1 : 0;
  known = std::move(aObject);
  Prune();
  return changed;
}

std::vector<std::string>
ObjectFeed::RemoveAllExcept(const std::vector<std::string>& aNames,
                            uint64_t aRevision)
{
  std::set<std::string_view> kept(aNames.begin(), aNames.end());
  std::vector<std::string> removed;
  for (const auto& [name, object] : m_objects) {
    if (!object.m_deleted && !kept.contains(name)) {
      removed.push_back(name);
    }
  }
  for (const std::string& name : removed) {
    Store({ .m_name = name, .m_revision = aRevision, .m_deleted = true });
  }
  return removed;
}

void
ObjectFeed::ForgetRemovalsUpTo(uint64_t aRevision)
{
  m_removalsKnownAfter = std::max(m_removalsKnownAfter, aRevision);
}

void
ObjectFeed::MarkCompleteTo(uint64_t aRevision, TimePoint aNow)
{
  // On first completion the content revision advances even if the feed is
  // empty, so that other instances can tell that it is complete.
  m_contentRevision =
    std::max(m_contentRevision, m_completeTo == 0 ? aRevision : 0);
  if (aRevision < m_completeTo) {
    return;
  }
  if (aRevision > m_completeTo) {
    RestampMissedChanges(aRevision);
  }
  m_completeTo = aRevision;
  m_completeAsOf = std::max(m_completeAsOf.value_or(aNow), aNow);
}

void
ObjectFeed::RestampMissedChanges(uint64_t aRevision)
{
  for (const std::string& name : std::exchange(m_missedChanges, {})) {
    auto found = m_objects.find(name);
    if (found != m_objects.end()) {
      found->second.m_revision = std::max(found->second.m_revision, aRevision);
      m_contentRevision = std::max(m_contentRevision, aRevision);
    }
  }
}

FeedDelta
ObjectFeed::ChangesSince(uint64_t aRevision, TimePoint aNow) const
{
  FeedDelta delta{ .m_isSnapshot =
                     aRevision < m_removalsKnownAfter || aRevision == 0,
                   .m_completeTo = m_completeTo,
                   .m_age = Age(aNow).value_or(Seconds(3600)) };
  for (const auto& [name, object] : m_objects) {
    bool changed = object.m_revision > aRevision;
    if (delta.m_isSnapshot ? changed && !object.m_deleted : changed) {
      delta.m_objects.push_back(object);
    } else if (delta.m_isSnapshot && !object.m_deleted) {
      // The receiver has it, as it is complete to `aRevision`.
      delta.m_objects.push_back({ .m_name = name });
    }
  }
  return delta;
}

void
ObjectFeed::Merge(const FeedDelta& aDelta,
                  TimePoint aNow,
                  const std::function<void(const FeedObject&)>& aChanged)
{
  // A feed that was never complete has nothing to merge, and an older one has
  // nothing new.
  if (aDelta.m_completeTo == 0 || aDelta.m_completeTo < m_completeTo) {
    return;
  }
  for (const FeedObject& object : aDelta.m_objects) {
    const FeedObject* known = Find(object.m_name);
    bool newer = known == nullptr || known->m_revision < object.m_revision;
    bool isNameOnly = !object.m_deleted && object.m_payload.empty();
    if (newer && !isNameOnly && Store(object)) {
      aChanged(object);
    }
  }
  if (aDelta.m_isSnapshot && aDelta.m_completeTo > m_completeTo) {
    ForgetRemovalsUpTo(aDelta.m_completeTo);
    std::vector<std::string> names;
    for (const FeedObject& object : aDelta.m_objects) {
      names.push_back(object.m_name);
    }
    for (const std::string& name :
         RemoveAllExcept(names, aDelta.m_completeTo)) {
      aChanged(*Find(name));
    }
  }
  MarkCompleteTo(aDelta.m_completeTo, aNow - aDelta.m_age);
}

void
ObjectFeed::ConfirmFreshness(const FeedWatermark& aWatermark, TimePoint aNow)
{
  if (m_completeAsOf && aWatermark.m_contentRevision <= m_completeTo) {
    m_completeAsOf = std::max(*m_completeAsOf, aNow - aWatermark.m_age);
  }
}

void
ObjectFeed::AddAge(Duration aBy)
{
  if (m_completeAsOf) {
    *m_completeAsOf -= aBy;
  }
}

const FeedObject*
ObjectFeed::Find(std::string_view aName) const
{
  auto found = m_objects.find(aName);
  return found == m_objects.end() ? nullptr : &found->second;
}

FeedWatermark
ObjectFeed::Watermark(TimePoint aNow) const
{
  return { m_contentRevision, Age(aNow).value_or(Seconds(3600)) };
}

std::optional<Duration>
ObjectFeed::Age(TimePoint aNow) const
{
  if (!m_completeAsOf) {
    return std::nullopt;
  }
  return aNow - *m_completeAsOf;
}

void
ObjectFeed::Prune()
{
  if (m_tombstoneCount <= kMaxTombstones) {
    return;
  }
  std::vector<uint64_t> revisions;
  for (const auto& [name, object] : m_objects) {
    if (object.m_deleted) {
      revisions.push_back(object.m_revision);
    }
  }
  auto middle = revisions.begin() + revisions.size() / 2;
  std::ranges::nth_element(revisions, middle);
  m_removalsKnownAfter = std::max(m_removalsKnownAfter, *middle);
  m_tombstoneCount -= std::erase_if(m_objects, [&](const auto& aEntry) {
    return aEntry.second.m_deleted &&
           aEntry.second.m_revision <= m_removalsKnownAfter;
  });
}

} // namespace ebonykeel
