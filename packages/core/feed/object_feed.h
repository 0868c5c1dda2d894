// A local, versioned copy of one kind of the store's objects, kept by every
// instance.
//
// Readers of the store apply what they list and watch; the other instances
// merge deltas that they fetch from a reader or from each other. The payloads
// of objects are opaque here.
//
// Each object states what it was like at a revision of the store. A statement
// that is older than what the feed is complete to is ignored, whichever way it
// comes: the feed holds it already, or something newer.
//
//   ObjectFeed feed;
//   feed.Apply({ .m_name = "a", .m_revision = 7, .m_payload = "{}" }, 9);
//   feed.MarkCompleteTo(9, now);
//   FeedDelta delta = feed.ChangesSince(5, now);
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

#include "core/base/time.h"
#include "core/fleet/fleet_message.h"

namespace ebonykeel {

// One object, or the tombstone of a removed one.
struct FeedObject
{
  std::string m_name;
  // The store's revision at which the object got this content, or a later one
  // at which it had it. Never a revision that the store has not reached: it
  // would hide the change that gets this revision.
  uint64_t m_revision = 0;
  bool m_deleted = false;
  std::string m_payload;

  friend bool operator==(const FeedObject&, const FeedObject&) = default;
};

// The changes after a revision.
struct FeedDelta
{
  // Whether `m_objects` names all objects instead of the changed ones only.
  // Those that have not changed since then may lack their revision and payload.
  bool m_isSnapshot = false;
  // The sender's feed holds every change up to this revision.
  uint64_t m_completeTo = 0;
  // The time since the sender's feed was known to be complete.
  Duration m_age{};
  std::vector<FeedObject> m_objects;
};

// The feed of one kind of objects.
class ObjectFeed
{
public:
  // Applies what the store stated about an object as of its revision `aAsOf`;
  // returns whether the content changed. The revision of a removed object is
  // not used: the store does not state when it removed it.
  bool Apply(FeedObject aObject, uint64_t aAsOf);
  // Marks every object that is not in `aNames` as removed, at the revision of a
  // complete list; returns the names that were removed.
  std::vector<std::string> RemoveAllExcept(
    const std::vector<std::string>& aNames,
    uint64_t aRevision);
  // Records that the feed lacks removals up to `aRevision`: it was filled with
  // a list, which does not name objects that came and went before it.
  void ForgetRemovalsUpTo(uint64_t aRevision);
  // Records that the feed holds every change up to `aRevision`, as of `aNow`.
  void MarkCompleteTo(uint64_t aRevision, TimePoint aNow);

  // Returns the changes after `aRevision`, or a snapshot of all objects if the
  // feed does not know all removals since then or `aRevision` is 0.
  [[nodiscard]] FeedDelta ChangesSince(uint64_t aRevision,
                                       TimePoint aNow) const;
  // Merges another instance's changes; calls `aChanged` for each object whose
  // content changed. Does nothing if this feed is complete to a later revision.
  void Merge(const FeedDelta& aDelta,
             TimePoint aNow,
             const std::function<void(const FeedObject&)>& aChanged);
  // Adopts the age of another instance's feed if that is lower and this feed
  // holds every change that the other one holds.
  void ConfirmFreshness(const FeedWatermark& aWatermark, TimePoint aNow);

  // Adds a time that the steady clock did not count, such as a suspension, to
  // the age of the feed.
  void AddAge(Duration aBy);

  [[nodiscard]] const FeedObject* Find(std::string_view aName) const;
  [[nodiscard]] FeedWatermark Watermark(TimePoint aNow) const;
  [[nodiscard]] uint64_t CompleteRevision() const { return m_completeTo; }
  [[nodiscard]] uint64_t ContentRevision() const { return m_contentRevision; }
  // Returns the time since the feed was known to be complete; nothing if it
  // never was.
  [[nodiscard]] std::optional<Duration> Age(TimePoint aNow) const;

private:
  // Stores an object unless it is known at a later revision; returns whether
  // its content changed.
  bool Store(FeedObject aObject);
  // Gives the missed changes the revision `aRevision`, to which the feed is now
  // complete, so that other instances fetch them.
  void RestampMissedChanges(uint64_t aRevision);
  void Prune();

  std::map<std::string, FeedObject, std::less<>> m_objects;
  uint64_t m_completeTo = 0;
  uint64_t m_contentRevision = 0;
  // All removals after this revision are known. Up to it, tombstones may be
  // missing: they were pruned, or the feed began with a list or a snapshot.
  uint64_t m_removalsKnownAfter = 0;
  size_t m_tombstoneCount = 0;
  // Objects whose last change was seen when the feed already counted as
  // complete to its revision.
  std::set<std::string> m_missedChanges;
  std::optional<TimePoint> m_completeAsOf;
};

} // namespace ebonykeel
