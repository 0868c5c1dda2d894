#include "core/feed/object_feed.h"

#include <algorithm>
#include <iterator>
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

ObjectFeed::ObjectFeed(RetentionOptions aRetention)
  : m_retained(aRetention)
{
}

bool
ObjectFeed::Apply(FeedObject aObject, const StorePosition& aAsOf)
{
  // An answer may state a change beyond its own position, wrongly or since it
  // was made meanwhile. Such a position would hide later changes.
  StorePosition statedAt =
    aObject.m_deleted ? aAsOf : std::min(aObject.m_position, aAsOf);
  auto found = m_objects.find(aObject.m_name);
  const FeedObject* known = found == m_objects.end() ? nullptr : &found->second;
  bool isOlder = known != nullptr && statedAt < known->m_position;
  bool isKnown = known != nullptr && statedAt == known->m_position &&
                 HasSameContent(*known, aObject);
  if (aAsOf < m_completeTo || isOlder || isKnown) {
    return false;
  }
  // Other instances count as complete up to this feed's position and fetch only
  // later changes. A change that was missed until now gets a later position.
  bool wasMissed = statedAt <= m_completeTo;
  aObject.m_position = wasMissed ? aAsOf : statedAt;
  if (aObject.m_position == m_completeTo) {
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
  } else if (known.m_position > aObject.m_position) {
    return false;
  }
  const FeedObject* retained = m_retained.Find(aObject.m_name);
  const FeedObject& inForce = retained != nullptr ? *retained : known;
  if (aObject.m_deleted) {
    // Whoever states the removal may not have seen the last state before it.
    aObject.m_order = std::max(aObject.m_order, inForce.m_order);
  }
  // The position is kept even if the content is the same: other instances may
  // have seen the object in between. So is the removal of an unknown object.
  bool changed = !HasSameContent(inForce, aObject);
  if (!isNew && Retain(inForce, aObject)) {
    changed = false;
  } else {
    m_retained.Drop(aObject.m_name);
  }
  m_contentPosition = std::max(m_contentPosition, aObject.m_position);
  m_tombstoneCount -= known.m_deleted ? 1 : 0;
  m_tombstoneCount += aObject.m_deleted ? 1 : 0;
  known = std::move(aObject);
  return changed;
}

bool
ObjectFeed::Retain(const FeedObject& aInForce, const FeedObject& aObject)
{
  const StorePosition& position = aObject.m_position;
  bool neverGoesBack = m_retained.NeverGoesBack() && !aObject.m_deleted;
  bool outranks = aInForce.m_position.m_era < position.m_era &&
                  (neverGoesBack || MayBeFromCopy(position)) &&
                  RetainedObjects::Outranks(aInForce, aObject);
  // The hold of an object that is retained already goes on, unless the store
  // has been restored once more.
  bool isNewHold = neverGoesBack || position.m_era > m_completeTo.m_era ||
                   m_retained.Find(aObject.m_name) == nullptr;
  if (outranks && isNewHold) {
    m_retained.Keep(aInForce, aObject);
  }
  return outranks;
}

bool
ObjectFeed::MayBeFromCopy(const StorePosition& aPosition) const
{
  return aPosition.m_era > m_completeTo.m_era || aPosition <= m_enteredAt;
}

std::vector<std::string>
ObjectFeed::RemoveAllExcept(const std::vector<std::string>& aNames,
                            const StorePosition& aPosition)
{
  std::set<std::string_view> kept(aNames.begin(), aNames.end());
  std::vector<std::string> missing;
  for (const auto& [name, object] : m_objects) {
    if (!object.m_deleted && !kept.contains(name)) {
      missing.push_back(name);
    }
  }
  std::erase_if(missing, [&](const std::string& aName) {
    return !Store(
      { .m_name = aName, .m_position = aPosition, .m_deleted = true });
  });
  return missing;
}

void
ObjectFeed::ForgetRemovalsUpTo(const StorePosition& aPosition)
{
  m_removalsKnownAfter = std::max(m_removalsKnownAfter, aPosition);
}

void
ObjectFeed::MarkCompleteTo(const StorePosition& aPosition, TimePoint aNow)
{
  Complete(aPosition, aNow, aNow, aNow);
}

void
ObjectFeed::Complete(const StorePosition& aPosition,
                     TimePoint aCompleteAsOf,
                     TimePoint aEraSince,
                     TimePoint aNow)
{
  // On first completion the content position advances even if the feed is
  // empty, so that other instances can tell that it is complete. The same holds
  // for a new era.
  bool isFirst = !WasComplete();
  bool isNewEra = aPosition.m_era > m_completeTo.m_era;
  if (isFirst || isNewEra) {
    m_contentPosition = std::max(m_contentPosition, aPosition);
  }
  if (aPosition < m_completeTo) {
    return;
  }
  if (aPosition > m_completeTo) {
    RestampMissedChanges(aPosition);
  }
  if (isNewEra && !isFirst) {
    RestateMissing(aPosition, aNow);
    m_enteredAt = aPosition;
  }
  m_eraSince =
    isNewEra ? aEraSince : std::min(m_eraSince.value_or(aEraSince), aEraSince);
  m_retained.StartHolds(*m_eraSince);
  m_completeTo = aPosition;
  m_completeAsOf =
    std::max(m_completeAsOf.value_or(aCompleteAsOf), aCompleteAsOf);
  Prune();
}

void
ObjectFeed::RestateMissing(const StorePosition& aPosition, TimePoint aNow)
{
  for (const auto& retained : m_retained.All(aNow)) {
    auto stated = m_objects.find(retained.m_object.m_name);
    bool isMissing = stated != m_objects.end() && stated->second.m_deleted;
    if (isMissing && retained.m_against.m_era < aPosition.m_era) {
      (void)Store({ .m_name = retained.m_object.m_name,
                    .m_position = aPosition,
                    .m_deleted = true });
    }
  }
}

std::vector<std::string>
ObjectFeed::ReleaseRetained(TimePoint aNow)
{
  std::vector<std::string> changed;
  for (const FeedObject& object : m_retained.TakeExpired(aNow)) {
    const FeedObject* stated = Find(object.m_name);
    if (stated != nullptr && !HasSameContent(*stated, object)) {
      changed.push_back(object.m_name);
    }
  }
  return changed;
}

void
ObjectFeed::RestampMissedChanges(const StorePosition& aPosition)
{
  for (const std::string& name : std::exchange(m_missedChanges, {})) {
    auto found = m_objects.find(name);
    if (found != m_objects.end()) {
      found->second.m_position = std::max(found->second.m_position, aPosition);
      m_contentPosition = std::max(m_contentPosition, aPosition);
    }
  }
}

FeedDelta
ObjectFeed::ChangesSince(const StorePosition& aPosition, TimePoint aNow) const
{
  FeedDelta delta{ .m_isSnapshot = aPosition < m_removalsKnownAfter ||
                                   aPosition == StorePosition(),
                   .m_completeTo = m_completeTo,
                   .m_age = Age(aNow).value_or(Seconds(3600)),
                   .m_eraAge = aNow - m_eraSince.value_or(aNow) };
  if (delta.m_isSnapshot) {
    delta.m_retained = m_retained.All(aNow);
  }
  for (const auto& [name, object] : m_objects) {
    bool changed = object.m_position > aPosition;
    if (delta.m_isSnapshot ? changed && !object.m_deleted : changed) {
      delta.m_objects.push_back(object);
    } else if (delta.m_isSnapshot && !object.m_deleted) {
      // The receiver has it, as it is complete to `aPosition`.
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
  if (aDelta.m_completeTo == StorePosition() ||
      aDelta.m_completeTo < m_completeTo) {
    return;
  }
  for (const FeedObject& object : aDelta.m_objects) {
    auto known = m_objects.find(object.m_name);
    bool newer =
      known == m_objects.end() || known->second.m_position < object.m_position;
    bool isNameOnly = !object.m_deleted && object.m_payload.empty();
    if (newer && !isNameOnly && Store(object)) {
      aChanged(*Find(object.m_name));
    }
  }
  if (aDelta.m_isSnapshot && aDelta.m_completeTo > m_completeTo) {
    ForgetRemovalsUpTo(aDelta.m_completeTo);
    std::vector<std::string> names;
    std::ranges::transform(
      aDelta.m_objects, std::back_inserter(names), &FeedObject::m_name);
    for (const std::string& name :
         RemoveAllExcept(names, aDelta.m_completeTo)) {
      aChanged(*Find(name));
    }
  }
  for (const RetainedObject& retained : aDelta.m_retained) {
    if (AdoptRetained(retained, aNow)) {
      aChanged(retained.m_object);
    }
  }
  Complete(
    aDelta.m_completeTo, aNow - aDelta.m_age, aNow - aDelta.m_eraAge, aNow);
}

bool
ObjectFeed::AdoptRetained(const RetainedObject& aRetained, TimePoint aNow)
{
  const FeedObject& object = aRetained.m_object;
  const FeedObject* own = m_retained.Find(object.m_name);
  if (own != nullptr && object.m_order <= own->m_order) {
    return false;
  }
  auto [entry, isNew] =
    m_objects.try_emplace(object.m_name,
                          FeedObject{ .m_name = object.m_name,
                                      .m_position = aRetained.m_against,
                                      .m_deleted = true,
                                      .m_order = object.m_order });
  m_tombstoneCount += isNew ? 1 : 0;
  const FeedObject& stated = entry->second;
  // This feed knows that the object was removed in the retained state or later,
  // or its own hold has ended.
  bool isRemovalKnown =
    !isNew && stated.m_deleted && object.m_order <= stated.m_order;
  if (isRemovalKnown || stated.m_position != aRetained.m_against ||
      !RetainedObjects::Outranks(object, stated)) {
    return false;
  }
  if (stated.m_deleted) {
    // The removal is later than any state that was in force before it.
    entry->second.m_order = object.m_order;
  }
  bool changed = !HasSameContent(object, own != nullptr ? *own : stated);
  m_retained.Adopt(aRetained, aNow);
  return changed;
}

void
ObjectFeed::ConfirmFreshness(const FeedWatermark& aWatermark, TimePoint aNow)
{
  // In an earlier era the other instance learns nothing of this one.
  bool isSameEra = aWatermark.m_content.m_era == m_completeTo.m_era;
  if (m_completeAsOf && isSameEra && aWatermark.m_content <= m_completeTo) {
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
  if (const FeedObject* retained = m_retained.Find(aName)) {
    return retained;
  }
  auto found = m_objects.find(aName);
  return found == m_objects.end() ? nullptr : &found->second;
}

FeedWatermark
ObjectFeed::Watermark(TimePoint aNow) const
{
  return { m_contentPosition, Age(aNow).value_or(Seconds(3600)) };
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
  // The end of a retention is a change, whose object must be known.
  auto isPrunable = [&](const auto& aEntry) {
    return aEntry.second.m_deleted && m_retained.Find(aEntry.first) == nullptr;
  };
  std::vector<StorePosition> positions;
  for (const auto& entry : m_objects) {
    if (isPrunable(entry)) {
      positions.push_back(entry.second.m_position);
    }
  }
  if (positions.empty()) {
    return;
  }
  auto middle = positions.begin() + positions.size() / 2;
  std::ranges::nth_element(positions, middle);
  m_removalsKnownAfter = std::max(m_removalsKnownAfter, *middle);
  m_tombstoneCount -= std::erase_if(m_objects, [&](const auto& aEntry) {
    return isPrunable(aEntry) &&
           aEntry.second.m_position <= m_removalsKnownAfter;
  });
}

} // namespace ebonykeel
