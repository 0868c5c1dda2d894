// Reads the platform's store while this instance is one of the fleet's readers.
//
// Each kind of objects is listed once and then watched. A watch can miss
// changes without failing. The registrations are watched with short waits, so
// their watch is used to detect missed changes of the other kinds: the store's
// revision counts every change, and if it counts a change that no watch
// reported, the other kinds are listed again.
//
// An answer counts only if the era that it states is known or was stated
// before. When the store goes on contradicting what the feeds hold, the known
// position is given up, and all kinds are listed in a corrected era
// (store_era.h).
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/feed/object_feed.h"
#include "core/feed/position_doubt.h"
#include "core/feed/store_era_guard.h"
#include "node/entry/protocol.h"
#include "node/entry/store_feed_writer.h"
#include "node/entry/store_feeds.h"
#include "node/entry/store_reader_stats.h"
#include "runtime/http1/client.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

class StoreReaderObserver : public StoreFeedObserver
{
public:
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
  HeldRemovalsOptions m_heldRemovals;
  PositionDoubtOptions m_doubt;
  // The age of the registrations' feed beyond which no other instance counts as
  // reading the store at the known position.
  Duration m_unconfirmedAge = Seconds(2);
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
              StoreFeeds& aFeeds,
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
  [[nodiscard]] size_t UnreadableCount() const
  {
    return m_active ? m_writer.UnreadableCount() : 0;
  }
  [[nodiscard]] const StoreReaderStats& Stats() const { return m_stats; }

private:
  // The progress of reading one kind of objects.
  struct KindState
  {
    FeedKind m_kind = FeedKind::kConfiguration;
    bool m_listed = false;
    // The HTTP client's call; 0 while there is none.
    uint64_t m_httpCall = 0;
    // The pages of the list that is being read.
    std::vector<StoreListPage> m_pages;
    // What the feed was complete to when the list or the watch began. Peers may
    // bring the feed further while the answer is on its way.
    StorePosition m_knownAtCall;
    // The position from which the store did not have the changes; nothing after
    // a successful watch.
    std::optional<StorePosition> m_lostSince;
    // Whether the feed's position is the store's.
    PositionDoubt m_doubt{ {} };
    // When an answer was last taken.
    TimePoint m_takenAt;
    std::unique_ptr<UvTimer> m_timer;
  };

  void ReadNext(KindState& aKind);
  void StartList(KindState& aKind);
  void StartWatch(KindState& aKind);
  void ScheduleRead(KindState& aKind, Duration aDelay);
  uint64_t Call(const Http1Request& aRequest,
                Duration aTimeout,
                Http1Client::Callback aCallback);
  // Forgets the pages that were read and lists the kind from the start.
  void RestartList(KindState& aKind);
  void OnListPage(KindState& aKind, const Http1Result& aResult);
  // Applies the pages of a complete list to the feed.
  void ApplyList(KindState& aKind);
  // Returns whether a page may be used, because of its era. If not, what
  // follows from it has begun: another call or a retry.
  [[nodiscard]] bool AcceptListEra(KindState& aKind, StoreListPage& aPage);
  // As above, for a watch's answer.
  [[nodiscard]] bool AcceptWatchEra(KindState& aKind,
                                    const Http1Response& aResponse);
  [[nodiscard]] EraView ViewOf(const KindState& aKind) const;
  // Acts on an answer that stated `aStated`; returns whether it may be used.
  [[nodiscard]] bool Follow(KindState& aKind,
                            EraDecision aDecision,
                            const StorePosition& aStated);
  // Called when an answer contradicts what was known when its call began. Tries
  // again after a delay, or gives the known position up.
  void OnContradicted(KindState& aKind, const StorePosition& aStated);
  // Returns whether it is certain that the known position was never the
  // store's.
  [[nodiscard]] bool IsRefuted(const KindState& aKind) const;
  // Lists all kinds anew because the store is in another era than was known.
  void AnnounceEra(uint64_t aEra);
  // Returns the latest era of all feeds; nothing if none was ever complete.
  [[nodiscard]] std::optional<uint64_t> KnownEra() const;
  void OnWatchAnswer(KindState& aKind, const Http1Result& aResult);
  void OnSuccess(KindState& aKind, const StorePosition& aAsOf, bool aChanged);
  // Starts the next call of a kind after a successful one.
  void ContinueReading(KindState& aKind);
  // Starts the timer for unseen changes if the store counts more changes than
  // the watch of the registrations reported.
  void DetectUnseenChanges(const StorePosition& aSince,
                           const StorePosition& aAsOf,
                           size_t aEventCount);
  void OnUnseenChangeTimer();
  void RelistOtherKinds();
  [[nodiscard]] bool IsRead(FeedKind aKind) const;
  // Returns the position of the newest known change of the other kinds.
  [[nodiscard]] StorePosition OtherKindsPosition() const;
  // Discards the progress of a kind and lists it again at once.
  void Relist(FeedKind aKind);
  void OnFailure(KindState& aKind, std::string_view aProblem);
  void SetReachable(bool aReachable);
  ObjectFeed& Feed(const KindState& aKind);

  UvLoop& m_loop;
  Http1Client& m_client;
  const StoreProtocol& m_protocol;
  StoreFeeds& m_feeds;
  LineLog& m_log;
  StoreReaderStats m_stats;
  StoreReaderOptions m_options;
  StoreReaderObserver& m_observer;
  StoreFeedWriter m_writer;
  std::array<KindState, kFeedKinds> m_kindStates;
  UvTimer m_unseenChangeTimer;
  UvTimer m_reachableResetTimer;
  bool m_active = false;
  bool m_reachable = true;
  uint64_t m_callCount = 0;
  // The value of `OtherKindsPosition` when `m_unseenChangeTimer` was set.
  StorePosition m_otherKindsBefore;
  StoreEraGuard m_eraGuard;
};

} // namespace ebonykeel
