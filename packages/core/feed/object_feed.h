// A copy of one kind of the store's objects, kept by every instance.
//
// Readers of the store apply what they list and watch; the others merge deltas
// that they fetch from a reader or from each other. Objects are opaque here.
//
//   ObjectFeed feed;
//   feed.Apply({ .m_name = "a", .m_revision = 7, .m_payload = "{}" });
//   feed.MarkCompleteTo(9, now);
//   FeedDelta delta = feed.ChangesSince(5);
//   other.Merge(delta, now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/fleet_message.h"

namespace ebonykeel {

// One object, or the mark that it was removed.
struct FeedObject
{
  std::string m_name;
  // The store's revision at which this content was first seen.
  uint64_t m_revision = 0;
  bool m_deleted = false;
  std::string m_payload;

  friend bool operator==(const FeedObject&, const FeedObject&) = default;
};

// What changed after a revision.
struct FeedDelta
{
  // Whether `m_objects` is everything instead of the changes.
  bool m_isSnapshot = false;
  // Every change up to this revision is known.
  uint64_t m_completeTo = 0;
  // How old the knowledge is.
  Duration m_age{};
  std::vector<FeedObject> m_objects;
};

// One kind of objects.
class ObjectFeed
{
public:
  // Takes in an object that the store showed; returns whether its content
  // changed. `m_revision` must be the store's.
  bool Apply(FeedObject aObject);
  // Marks every object as removed that is not in `aNames`, at the revision of a
  // complete list; returns the names that were removed.
  std::vector<std::string> RemoveAllExcept(
    const std::vector<std::string>& aNames,
    uint64_t aRevision);
  // Tells that the copy holds every change up to `aRevision`, as of `aNow`.
  void MarkCompleteTo(uint64_t aRevision, TimePoint aNow);

  // Returns the changes after `aRevision`, or everything if those are not
  // remembered any more.
  [[nodiscard]] FeedDelta ChangesSince(uint64_t aRevision,
                                       TimePoint aNow) const;
  // Takes in another instance's changes; calls `aChanged` for each object whose
  // content differs from what was known.
  void Merge(const FeedDelta& aDelta,
             TimePoint aNow,
             const std::function<void(const FeedObject&)>& aChanged);
  // Takes over how recent another instance's knowledge is, if this copy holds
  // every change that the other one knows.
  void ConfirmFreshness(const FeedWatermark& aMark, TimePoint aNow);

  // Makes the knowledge older by a time that the steady clock did not count.
  void AddAge(Duration aBy);

  [[nodiscard]] const FeedObject* Find(std::string_view aName) const;
  [[nodiscard]] FeedWatermark Watermark(TimePoint aNow) const;
  [[nodiscard]] uint64_t CompleteRevision() const { return m_completeTo; }
  [[nodiscard]] uint64_t ContentRevision() const { return m_contentRevision; }
  // Returns how old the knowledge is that the copy is complete; nothing if it
  // never was.
  [[nodiscard]] std::optional<Duration> Age(TimePoint aNow) const;

private:
  void Prune();

  std::map<std::string, FeedObject, std::less<>> m_objects;
  uint64_t m_completeTo = 0;
  uint64_t m_contentRevision = 0;
  // Removals up to this revision are forgotten.
  uint64_t m_prunedTo = 0;
  size_t m_tombstones = 0;
  std::optional<TimePoint> m_completeAsOf;
};

} // namespace ebonykeel
