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
  virtual void OnRead(FeedKind aKind, bool aChanged) = 0;
  // Whether the store answers this instance changed.
  virtual void OnStoreReachable(bool aReachable) = 0;
};

struct StoreReaderOptions
{
  Address m_store;
  // How long a watch of the registrations stays open, and the pause after it.
  Duration m_shortWatch = Milliseconds(900);
  Duration m_pause = Milliseconds(400);
  // How long a change may be shown by no watch.
  Duration m_unseenFor = Milliseconds(500);
  // How long a watch of the other kinds stays open.
  Duration m_watch = Seconds(10);
  // How long a call may take beyond its wait.
  Duration m_timeout = Milliseconds(1500);
  // Between two calls of a kind after a failure.
  Duration m_retry = Milliseconds(700);
  // How long removals are held back after an outage.
  Duration m_removalHold = Milliseconds(2300);
  // A copy of the registrations that is older than this went through an outage.
  Duration m_outageAfter = Milliseconds(2800);
  // An instance that the store turned away counts as reaching it again after
  // this time without a call.
  Duration m_forgive = Seconds(5);
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
  void SetOnDuty(bool aOnDuty);
  [[nodiscard]] bool OnDuty() const { return m_onDuty; }
  // Calls made since the start.
  [[nodiscard]] uint64_t Calls() const { return m_calls; }

  // Reads the list of instances; calls back with the hosts, or with none if the
  // store does not answer.
  void ListInstances(std::function<void(std::vector<std::string>)> aCallback);
  // Adds an instance to the list.
  void Register(const std::string& aHost, const DataCentre& aDataCentre);
  // Removes an instance from the list.
  void Unregister(const std::string& aHost);

private:
  struct Kind
  {
    FeedKind m_kind = FeedKind::kConfiguration;
    bool m_listed = false;
    uint64_t m_call = 0;
    std::string m_listAfter;
    std::vector<std::string> m_listNames;
    uint64_t m_listAsOfRevision = 0;
    std::unique_ptr<UvTimer> m_timer;
  };

  void Next(Kind& aKind);
  void List(Kind& aKind);
  void Watch(Kind& aKind);
  void Later(Kind& aKind, Duration aDelay);
  uint64_t Call(const Http1Request& aRequest,
                Duration aTimeout,
                Http1Client::Callback aCallback);
  void OnList(Kind& aKind, const Http1Result& aResult);
  void OnEvents(Kind& aKind, const Http1Result& aResult);
  // Nobody may have read the store for a while: what is missing now may have
  // lapsed meanwhile.
  void HoldAfterGap(const Kind& aKind);
  bool Apply(Kind& aKind, FeedObject aObject);
  bool ReleaseHeld(Kind& aKind, uint64_t aRevision);
  void OnSuccess(Kind& aKind, uint64_t aAsOfRevision, bool aChanged);
  // Looks after the other kinds if the store counts more changes than the
  // registrations' watch showed.
  void CheckOthers(uint64_t aSince, uint64_t aAsOfRevision, size_t aEvents);
  void OnCheck();
  // Returns the newest change of the other kinds.
  [[nodiscard]] uint64_t Content() const;
  void Relist(FeedKind aKind);
  void OnFailure(Kind& aKind, std::string_view aProblem);
  [[nodiscard]] bool Holding() const;
  ObjectFeed& Feed(const Kind& aKind);

  UvLoop& m_loop;
  Http1Client& m_client;
  const StoreProtocol& m_protocol;
  std::array<ObjectFeed, kFeedKinds>& m_feeds;
  LineLog& m_log;
  StoreReaderOptions m_options;
  StoreReaderObserver& m_observer;
  std::array<Kind, kFeedKinds> m_kinds;
  UvTimer m_check;
  UvTimer m_forgive;
  bool m_onDuty = false;
  bool m_reachable = true;
  TimePoint m_holdUntil;
  // Registrations whose removal is held back.
  std::map<std::string, FeedObject> m_held;
  uint64_t m_calls = 0;
  // What the other kinds held when a check was set.
  uint64_t m_othersBefore = 0;
};

} // namespace ebonykeel
