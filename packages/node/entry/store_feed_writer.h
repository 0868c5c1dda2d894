// Applies what the store states to the feeds: lists, events and removals that
// were held back after an outage. Makes no calls.
//
//   StoreFeedWriter writer(feeds, protocol, log, observer, {});
//   bool changed = writer.ApplyList(FeedKind::kReplicas, pages, now);
//   changed = writer.ApplyEvents(FeedKind::kReplicas, events, now) || changed;
//   changed = writer.ReleaseHeldRemovals(asOf, now) || changed;
#pragma once

#include <array>
#include <span>
#include <string>
#include <vector>

#include "core/feed/held_removals.h"
#include "core/feed/unreadable_objects.h"
#include "node/entry/protocol.h"
#include "node/entry/store_feeds.h"
#include "runtime/log/line_log.h"

namespace ebonykeel {

class StoreFeedObserver
{
public:
  virtual ~StoreFeedObserver() = default;
  // Called when an object changed in the feed of `aKind`.
  virtual void OnObjectChanged(FeedKind aKind, const FeedObject& aObject) = 0;
};

// Everything that is passed by reference must outlive the writer.
class StoreFeedWriter
{
public:
  StoreFeedWriter(StoreFeeds& aFeeds,
                  const StoreProtocol& aProtocol,
                  LineLog& aLog,
                  StoreFeedObserver& aObserver,
                  HeldRemovalsOptions aHeldRemovals);

  // Forgets the removals that are held back.
  void Reset() { m_heldRemovals.Clear(); }
  // While the store does not count as reachable, removals of registrations are
  // held back.
  void SetReachable(bool aReachable) { m_isReachable = aReachable; }
  // Holds them back for a while: the store has answered again.
  void BeginHold(TimePoint aNow) { m_heldRemovals.Begin(aNow); }

  // Applies the pages of a complete list; returns whether the feed changed.
  bool ApplyList(FeedKind aKind,
                 std::span<const StoreListPage> aPages,
                 TimePoint aNow);
  // Applies a watch's events; returns whether the feed changed.
  bool ApplyEvents(FeedKind aKind, StoreEvents aEvents, TimePoint aNow);
  // Applies the held removals as of `aAsOf` once they need not be held any
  // longer; returns whether the feed changed.
  bool ReleaseHeldRemovals(const StorePosition& aAsOf, TimePoint aNow);

  // Returns how many objects of the store cannot be read.
  [[nodiscard]] size_t UnreadableCount() const;

private:
  // Removes the objects that the pages do not name; returns whether the feed
  // changed.
  bool ApplyMissing(FeedKind aKind,
                    std::span<const StoreListPage> aPages,
                    TimePoint aNow);
  // Applies an object, as of the store's position `aAsOf`, to the feed or holds
  // its removal back; returns whether the feed changed.
  bool Apply(FeedKind aKind,
             FeedObject aObject,
             const StorePosition& aAsOf,
             TimePoint aNow);
  // Holds removals back if the feed of registrations is old enough for an
  // outage: registrations that are missing now may have expired during it.
  void HoldRemovalsAfterOutage(FeedKind aKind, TimePoint aNow);
  [[nodiscard]] bool IsHoldingRemovals(TimePoint aNow) const;
  // Returns whether a configuration may replace the one in the feed: one that
  // cannot be read or was removed must not, since instances that start later
  // have only the feed.
  [[nodiscard]] bool IsUsable(const FeedObject& aConfiguration);
  // Logs the objects that cannot be read and were not known as such.
  void ReportUnreadable(FeedKind aKind,
                        std::span<const std::string> aNames,
                        const StorePosition& aAsOf);
  ObjectFeed& Feed(FeedKind aKind)
  {
    return m_feeds[static_cast<size_t>(aKind)];
  }
  UnreadableObjects& UnreadableOf(FeedKind aKind)
  {
    return m_unreadable[static_cast<size_t>(aKind)];
  }

  StoreFeeds& m_feeds;
  const StoreProtocol& m_protocol;
  LineLog& m_log;
  StoreFeedObserver& m_observer;
  std::array<UnreadableObjects, kFeedKinds> m_unreadable;
  bool m_isReachable = true;
  HeldRemovals m_heldRemovals;
};

} // namespace ebonykeel
