// Reads the platform's store while this instance is one of the fleet's readers.
//
// Each kind of objects is listed once and then watched. A watch can miss
// changes without failing. The registrations are watched with short waits, so
// their watch is used to detect missed changes of the other kinds: the store's
// revision counts every change, and if it counts a change that no watch
// reported, the other kinds are listed again. Removals of registrations that
// are seen right after an outage are held back: registrations expire while the
// store is unavailable and return soon after.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "core/feed/object_feed.h"
#include "core/feed/unreadable_objects.h"
#include "node/entry/protocol.h"
#include "node/entry/store_reader_stats.h"
#include "runtime/http1/client.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

class StoreReaderObserver
{
public:
  virtual ~StoreReaderObserver() = default;
  // Called when an object changed in the feed of `aKind`.
  virtual void OnObjectChanged(FeedKind aKind, const FeedObject& aObject) = 0;
  // Called when a call brought the feed up to date. `aChanged` says whether an
  // object changed.
  virtual void OnFeedRead(FeedKind aKind, bool aChanged) = 0;
  // Called when the store starts or stops counting as reachable.
  virtual void OnStoreReachabilityChanged(bool aReachable) = 0;
};

struct StoreReaderOptions
{
  Address m_store;
  // How long a watch of the registrations stays open, and the delay before the
  // next one.
  Duration m_replicaWatchDuration = Milliseconds(900);
  Duration m_replicaWatchDelay = Milliseconds(400);
  // How long a counted change may remain unreported by all watches before the
  // other kinds are listed again.
  Duration m_unseenChangeTimeout = Milliseconds(500);
  // How long a watch of the other kinds stays open.
  Duration m_watchDuration = Seconds(10);
  // The timeout of a call, in addition to the time that a watch stays open.
  Duration m_callTimeout = Milliseconds(1500);
  // The delay before the next call of a kind after a failure.
  Duration m_retryDelay = Milliseconds(700);
  // How long removals of registrations are held back after an outage.
  Duration m_removalHoldDuration = Milliseconds(2300);
  // The age of the registrations' feed beyond which an outage is assumed.
  Duration m_outageAge = Milliseconds(2800);
  // How long after the last failed call the store counts as reachable again. An
  // instance that is not a reader makes no calls that would show it.
  Duration m_reachableResetDelay = Seconds(5);
  // Whether roll-outs are read too.
  bool m_readRollouts = false;
};

// Everything that is passed by reference must outlive the reader.
class StoreReader
{
public:
  StoreReader(UvLoop& aLoop,
              Http1Client& aClient,
              const StoreProtocol& aProtocol,
              std::array<ObjectFeed, kFeedKinds>& aFeeds,
              LineLog& aLog,
              StoreReaderOptions aOptions,
              StoreReaderObserver& aObserver);

  // Starts or stops reading.
  void SetActive(bool aActive);
  [[nodiscard]] bool IsActive() const { return m_active; }
  // Returns the number of calls since the start.
  [[nodiscard]] uint64_t CallCount() const { return m_callCount; }
  // Returns how many objects of the store cannot be read; 0 while this instance
  // is not a reader.
  [[nodiscard]] size_t UnreadableCount() const;
  [[nodiscard]] const StoreReaderStats& Stats() const { return m_stats; }

  // Reads the list of instances; calls `aCallback` with their hosts, or with
  // none if the list cannot be read.
  void ListInstances(std::function<void(std::vector<std::string>)> aCallback);
  // Adds an instance to the list.
  void Register(const std::string& aHost, const DataCentre& aDataCentre);
  // Removes an instance from the list.
  void Unregister(const std::string& aHost);

private:
  // The progress of reading one kind of objects.
  struct KindState
  {
    FeedKind m_kind = FeedKind::kConfiguration;
    bool m_listed = false;
    // The HTTP client's call; 0 while there is none.
    uint64_t m_httpCall = 0;
    // The name after which the next page of a list begins.
    std::string m_listAfter;
    std::vector<std::string> m_listedNames;
    // The revision of the first page.
    uint64_t m_listAsOfRevision = 0;
    // The revision at which the watch began. Peers may bring the feed further
    // while the watch's answer is on its way.
    uint64_t m_watchSinceRevision = 0;
    UnreadableObjects m_unreadable;
    std::unique_ptr<UvTimer> m_timer;
  };

  void ReadNext(KindState& aKind);
  void StartList(KindState& aKind);
  void StartWatch(KindState& aKind);
  void ScheduleRead(KindState& aKind, Duration aDelay);
  uint64_t Call(const Http1Request& aRequest,
                Duration aTimeout,
                Http1Client::Callback aCallback);
  void OnListPage(KindState& aKind, const Http1Result& aResult);
  void OnWatchAnswer(KindState& aKind, const Http1Result& aResult);
  // Holds removals back if the feed of registrations is old enough for an
  // outage: registrations that are missing now may have expired during it.
  void HoldRemovalsAfterOutage(const KindState& aKind);
  // Applies an object, as of the store's revision `aAsOf`, to the feed or holds
  // its removal back; returns whether the feed changed.
  bool Apply(KindState& aKind, FeedObject aObject, uint64_t aAsOf);
  // Returns whether a configuration may replace the one in the feed: one that
  // cannot be read or was removed must not, since instances that start later
  // have only the feed.
  [[nodiscard]] bool IsUsable(const FeedObject& aConfiguration);
  // Logs the objects that cannot be read and were not known as such.
  void ReportUnreadable(KindState& aKind,
                        std::span<const std::string> aNames,
                        uint64_t aAsOf);
  // Applies the held removals as of `aRevision` once they need not be held any
  // longer; returns whether the feed changed.
  bool ReleaseHeldRemovals(KindState& aKind, uint64_t aRevision);
  void OnSuccess(KindState& aKind, uint64_t aAsOfRevision, bool aChanged);
  // Starts the timer for unseen changes if the store counts more changes than
  // the watch of the registrations reported.
  void DetectUnseenChanges(uint64_t aSinceRevision,
                           uint64_t aAsOfRevision,
                           size_t aEventCount);
  void OnUnseenChangeTimer();
  void RelistOtherKinds();
  [[nodiscard]] bool IsRead(FeedKind aKind) const;
  // Returns the revision of the newest known change of the other kinds.
  [[nodiscard]] uint64_t OtherKindsRevision() const;
  // Discards the progress of a kind and lists it again at once.
  void Relist(FeedKind aKind);
  void OnFailure(KindState& aKind, std::string_view aProblem);
  [[nodiscard]] bool IsHoldingRemovals() const;
  ObjectFeed& Feed(const KindState& aKind);

  UvLoop& m_loop;
  Http1Client& m_client;
  const StoreProtocol& m_protocol;
  std::array<ObjectFeed, kFeedKinds>& m_feeds;
  LineLog& m_log;
  StoreReaderStats m_stats;
  StoreReaderOptions m_options;
  StoreReaderObserver& m_observer;
  std::array<KindState, kFeedKinds> m_kindStates;
  UvTimer m_unseenChangeTimer;
  UvTimer m_reachableResetTimer;
  bool m_active = false;
  bool m_reachable = true;
  TimePoint m_holdRemovalsUntil;
  // Registrations whose removal is held back, with the revisions as of which
  // they were missing.
  std::map<std::string, FeedObject> m_heldRemovals;
  uint64_t m_callCount = 0;
  // The value of `OtherKindsRevision` when `m_unseenChangeTimer` was set.
  uint64_t m_otherKindsRevisionBefore = 0;
};

} // namespace ebonykeel
