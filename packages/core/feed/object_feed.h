// A local, versioned copy of one kind of the store's objects, kept by every
// instance.
//
// Readers of the store apply what they list and watch; the other instances
// merge deltas that they fetch from a reader or from each other. The payloads
// of objects are opaque here.
//
// Each object states what it was like at a position of the store. A statement
// that is older than what the feed is complete to is ignored, whichever way it
// comes: the feed holds it already, or something newer.
//
// When the store comes back from a copy, its era rises and the feed enters the
// new era with the first complete list of it. What the feed holds then is what
// the store states; beside it, known states that the copy lacks or precedes
// stay in force for a limited time (`RetainedObjects`).
//
//   ObjectFeed feed;
//   feed.Apply({ .m_name = "a", .m_position = { 1, 7 }, .m_payload = "{}" },
//              { 1, 9 });
//   feed.MarkCompleteTo({ 1, 9 }, now);
//   FeedDelta delta = feed.ChangesSince({ 1, 5 }, now);
//   other.Merge(delta, now, [](const FeedObject& aObject) { ... });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/store_position.h"
#include "core/base/time.h"
#include "core/feed/feed_object.h"
#include "core/feed/retained_objects.h"
#include "core/fleet/fleet_message.h"

namespace ebonykeel {

// The changes after a position.
struct FeedDelta
{
  // Whether `m_objects` names all objects instead of the changed ones only.
  // Those that have not changed since then may lack their position and payload.
  bool m_isSnapshot = false;
  // The sender's feed holds every change up to this position.
  StorePosition m_completeTo;
  // The time since the sender's feed was known to be complete.
  Duration m_age{};
  // How long ago the first instance known to the sender entered the era: what
  // stays in force over the restore has been held for that long.
  Duration m_eraAge{};
  std::vector<FeedObject> m_objects;
  // What stays in force at the sender although the store states otherwise. Only
  // in snapshots: other receivers were in this era before.
  std::vector<RetainedObject> m_retained;
};

// The feed of one kind of objects.
class ObjectFeed
{
public:
  explicit ObjectFeed(RetentionOptions aRetention = {});

  // Applies what the store stated about an object as of its position `aAsOf`;
  // returns whether the object in force changed. The position of a removed
  // object is not used: the store does not state when it removed it.
  bool Apply(FeedObject aObject, const StorePosition& aAsOf);
  // Marks every object that is not in `aNames` as removed, at the position of a
  // complete list; returns the names for which the object in force changed.
  std::vector<std::string> RemoveAllExcept(
    const std::vector<std::string>& aNames,
    const StorePosition& aPosition);
  // Records that the feed lacks removals up to `aPosition`: it was filled with
  // a list, which does not name objects that came and went before it.
  void ForgetRemovalsUpTo(const StorePosition& aPosition);
  // Records that the feed holds every change up to `aPosition`, as of `aNow`.
  void MarkCompleteTo(const StorePosition& aPosition, TimePoint aNow);
  // Ends the retention of the objects whose time is over; returns the names for
  // which the object in force changed. Must be called regularly.
  [[nodiscard]] std::vector<std::string> ReleaseRetained(TimePoint aNow);

  // Returns the changes after `aPosition`, or a snapshot of all objects if the
  // feed does not know all removals since then or `aPosition` is the start.
  [[nodiscard]] FeedDelta ChangesSince(const StorePosition& aPosition,
                                       TimePoint aNow) const;
  // Merges another instance's changes; calls `aChanged` for each object in
  // force that changed. Does nothing if this feed is complete to a later
  // position.
  void Merge(const FeedDelta& aDelta,
             TimePoint aNow,
             const std::function<void(const FeedObject&)>& aChanged);
  // Adopts the age of another instance's feed of the same era if that is lower
  // and this feed holds every change that the other one holds.
  void ConfirmFreshness(const FeedWatermark& aWatermark, TimePoint aNow);

  // Adds a time that the steady clock did not count, such as a suspension, to
  // the age of the feed.
  void AddAge(Duration aBy);

  // Returns the object in force, or its tombstone; null if it is unknown. Valid
  // until the next change.
  [[nodiscard]] const FeedObject* Find(std::string_view aName) const;
  [[nodiscard]] FeedWatermark Watermark(TimePoint aNow) const;
  [[nodiscard]] const StorePosition& CompleteTo() const { return m_completeTo; }
  // Returns whether the feed has ever been complete.
  [[nodiscard]] bool WasComplete() const
  {
    return m_completeTo != StorePosition();
  }
  // Returns the position of the newest change of content.
  [[nodiscard]] const StorePosition& ContentPosition() const
  {
    return m_contentPosition;
  }
  // Returns the number of known objects and tombstones.
  [[nodiscard]] size_t ObjectCount() const { return m_objects.size(); }
  // Returns the number of objects that stay in force although the store states
  // otherwise.
  [[nodiscard]] size_t RetainedCount() const { return m_retained.Count(); }
  // Returns the time since the feed was known to be complete; nothing if it
  // never was.
  [[nodiscard]] std::optional<Duration> Age(TimePoint aNow) const;

private:
  // Stores an object unless it is known at a later position; returns whether
  // the object in force changed.
  bool Store(FeedObject aObject);
  // Decides whether `aInForce` stays in force when the store states `aObject`.
  [[nodiscard]] bool Retain(const FeedObject& aInForce,
                            const FeedObject& aObject);
  // Returns whether a statement may come from the copy with which the store
  // returned, rather than having been written since.
  [[nodiscard]] bool MayBeFromCopy(const StorePosition& aPosition) const;
  // Takes over what another instance retains against the same statement;
  // returns whether the object in force changed.
  bool AdoptRetained(const RetainedObject& aRetained, TimePoint aNow);
  // `aEraSince` is when another instance, or this one, entered the era.
  void Complete(const StorePosition& aPosition,
                TimePoint aCompleteAsOf,
                TimePoint aEraSince,
                TimePoint aNow);
  // States retained objects that were missing before the new era as missing at
  // its entry position, which begins their holds again: lists don't name them.
  void RestateMissing(const StorePosition& aPosition, TimePoint aNow);
  // Gives the missed changes the position `aPosition`, to which the feed is now
  // complete, so that other instances fetch them.
  void RestampMissedChanges(const StorePosition& aPosition);
  // Drops the older half of the tombstones if there are too many. Callers look
  // up the objects whose removal is reported, so that this comes last.
  void Prune();

  // What the store states.
  std::map<std::string, FeedObject, std::less<>> m_objects;
  // What stays in force instead.
  RetainedObjects m_retained;
  StorePosition m_completeTo;
  // The first position of the current era to which the feed was complete. The
  // start if the feed began in this era.
  StorePosition m_enteredAt;
  // The earliest known time at which an instance entered the current era.
  std::optional<TimePoint> m_eraSince;
  StorePosition m_contentPosition;
  // All removals after this position are known. Up to it, tombstones may be
  // missing: they were pruned, or the feed began with a list or a snapshot.
  StorePosition m_removalsKnownAfter;
  size_t m_tombstoneCount = 0;
  // Objects whose last change was seen when the feed already counted as
  // complete to its position.
  std::set<std::string> m_missedChanges;
  std::optional<TimePoint> m_completeAsOf;
};

} // namespace ebonykeel
