// Reads the platform's store for the fleet while this instance is on duty.
//
// Each kind of objects is listed once and then watched. A watch can be deaf
// without being cut, so the kind that is watched with short waits, the
// registrations, checks on the others: the store counts each change, and a
// change that no watch showed makes the reader list the others again. Removals
// of registrations that are seen right after an outage are held back:
// registrations lapse while the store is away and return soon after it.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/feed/object_feed.h"
#include "node/entry/protocol.h"
#include "runtime/http1/client.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

class StoreReaderObserver
{
public:
  virtual ~StoreReaderObserver() = default;
  // An object of the kind changed in the feed.
  virtual void OnObject(FeedKind aKind, const FeedObject& aObject) = 0;
  // A call brought the feed up to date; `aChanged` if it changed content.
  virtual void OnFeedRead(FeedKind aKind, bool aChanged) = 0;
  // Whether the store answers this instance changed.
  virtual void OnStoreReachabilityChanged(bool aReachable) = 0;
};

struct StoreReaderOptions
{
  Address m_store;
  // How long a watch of the registrations stays open, and the pause after it.
  Duration m_replicaWatchTimeout = Milliseconds(900);
  Duration m_replicaWatchDelay = Milliseconds(400);
  // How long a change may be shown by no watch.
  Duration m_unseenChangeTimeout = Milliseconds(500);
  // How long a watch of the other kinds stays open.
  Duration m_watchTimeout = Seconds(10);
  // How long a call may take beyond its wait.
  Duration m_callTimeout = Milliseconds(1500);
  // Between two calls of a kind after a failure.
  Duration m_retryDelay = Milliseconds(700);
  // How long removals are held back after an outage.
  Duration m_removalHoldTime = Milliseconds(2300);
  // A copy of the registrations that is older than this went through an outage.
  Duration m_minOutage = Milliseconds(2800);
  // An instance that the store turned away counts as reaching it again after
  // this time without a call.
  Duration m_reachableResetDelay = Seconds(5);
};

// Everything that is passed in outlives the reader.
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
  // CallCount made since the start.
  [[nodiscard]] uint64_t CallCount() const { return m_callCount; }

  // Reads the list of instances; calls back with the hosts, or with none if the
  // store does not answer.
  void ListInstances(std::function<void(std::vector<std::string>)> aCallback);
  // Adds an instance to the list.
  void Register(const std::string& aHost, const DataCentre& aDataCentre);
  // Removes an instance from the list.
  void Unregister(const std::string& aHost);

private:
  struct KindState
  {
    FeedKind m_kind = FeedKind::kConfiguration;
    bool m_listed = false;
    uint64_t m_call = 0;
    std::string m_listAfter;
    std::vector<std::string> m_listNames;
    uint64_t m_listAsOfRevision = 0;
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
  // Nobody may have read the store for a while: what is missing now may have
  // lapsed meanwhile.
  void HoldRemovalsAfterOutage(const KindState& aKind);
  bool Apply(KindState& aKind, FeedObject aObject);
  bool ReleaseHeldRemovals(KindState& aKind, uint64_t aRevision);
  void OnSuccess(KindState& aKind, uint64_t aAsOfRevision, bool aChanged);
  // Looks after the other kinds if the store counts more changes than the
  // registrations' watch showed.
  void DetectUnseenChanges(uint64_t aSinceRevision,
                           uint64_t aAsOfRevision,
                           size_t aEventCount);
  void OnUnseenChangeTimer();
  // Returns the newest change of the other kinds.
  [[nodiscard]] uint64_t OtherKindsRevision() const;
  void Relist(FeedKind aKind);
  void OnFailure(KindState& aKind, std::string_view aProblem);
  [[nodiscard]] bool IsHoldingRemovals() const;
  ObjectFeed& Feed(const KindState& aKind);

  UvLoop& m_loop;
  Http1Client& m_client;
  const StoreProtocol& m_protocol;
  std::array<ObjectFeed, kFeedKinds>& m_feeds;
  LineLog& m_log;
  StoreReaderOptions m_options;
  StoreReaderObserver& m_observer;
  std::array<KindState, kFeedKinds> m_kindStates;
  UvTimer m_unseenChangeTimer;
  UvTimer m_reachableResetTimer;
  bool m_active = false;
  bool m_reachable = true;
  TimePoint m_holdRemovalsUntil;
  // Registrations whose removal is held back.
  std::map<std::string, FeedObject> m_heldRemovals;
  uint64_t m_callCount = 0;
  // What the other kinds held when a check was set.
  uint64_t m_otherKindsRevisionBefore = 0;
};

} // namespace ebonykeel
