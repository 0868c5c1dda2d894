// Runs the fleet's gossip over datagrams, and exchanges feeds of the store's
// objects with other instances over HTTP.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/random/random.h"

#include "core/feed/object_feed.h"
#include "core/fleet/fleet_view.h"
#include "node/entry/protocol.h"
#include "runtime/http1/client.h"
#include "runtime/http1/server.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/datagram_socket.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

class FleetObserver
{
public:
  virtual ~FleetObserver() = default;
  virtual void OnFleetChanged() = 0;
  // Called for each object that a peer's feed changed.
  virtual void OnObjectMerged(FeedKind aKind, const FeedObject& aObject) = 0;
  // Called after all changes of one exchange were reported.
  virtual void OnMergeCompleted() = 0;
  // Called for each message of a subsystem of another instance.
  virtual void OnPeerPayload(const FleetRecord& aSender,
                             PeerTopic aTopic,
                             std::string_view aPayload) = 0;
};

struct FleetServiceOptions
{
  FleetRecord m_self;
  std::vector<std::string> m_seeds;
  uint16_t m_port = 0;
  // The timeout of one fetch of feeds.
  Duration m_exchangeTimeout = Milliseconds(600);
  // The timeout of a fetch on entering a later era of the store: all instances
  // fetch whole feeds then, some over narrow links.
  Duration m_snapshotTimeout = Milliseconds(1500);
  // What is added to it for each object that this instance knows: the time for
  // eight copies of 205 bytes over 18 Mbit/s, as several instances fetch from
  // one.
  Duration m_snapshotTimePerObject = std::chrono::microseconds(730);
  // Feeds whose registrations are at least this old are fetched from any data
  // centre.
  Duration m_staleFeedAge = Milliseconds(2000);
};

// Everything that is passed by reference must outlive the service.
class FleetService final
  : private FleetPort
  , private Http1Handler
{
public:
  FleetService(UvLoop& aLoop,
               Http1Client& aClient,
               std::array<ObjectFeed, kFeedKinds>& aFeeds,
               LineLog& aLog,
               FleetServiceOptions aOptions,
               FleetObserver& aObserver);

  // Returns an empty string, or why the port cannot be used.
  [[nodiscard]] std::string Start();

  [[nodiscard]] const FleetView& View() const { return m_view; }
  [[nodiscard]] bool InContact() const;
  // Returns the newest era of the store that a feed has entered.
  [[nodiscard]] uint64_t StoreEra() const;
  // Returns the living instances, this one too, whose feeds this instance can
  // follow: not those of a release that states no eras though the store does.
  [[nodiscard]] std::vector<FleetRecord> FollowedMembers() const;
  void AddSeeds(std::span<const std::string> aHosts);
  void SetSelf(FleetState aState, bool aReady, bool aStoreReachable);
  void SetCapacity(uint32_t aCapacity);
  // Announces to other instances that the feeds of this instance have changed.
  void AnnounceFeeds();
  // Sends a message of a subsystem to another instance, at most once.
  void SendPayload(const std::string& aHost,
                   PeerTopic aTopic,
                   std::string aPayload);

private:
  void SendTo(const std::string& aHost, const FleetMessage& aMessage) override;
  void OnMemberChanged(const FleetRecord& aRecord) override;
  void OnFeedWatermarks(const FleetRecord& aSender,
                        std::span<const FeedWatermark> aWatermarks) override;
  void OnPayload(const FleetRecord& aSender,
                 PeerTopic aTopic,
                 std::string_view aPayload) override;
  std::vector<FeedWatermark> FeedWatermarks() override;
  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override;

  void OnDatagram(const std::string& aHost, std::string_view aBytes);
  // Notes whether the host's watermarks state an era.
  void NoteEraOf(const std::string& aHost,
                 std::span<const FeedWatermark> aWatermarks);
  [[nodiscard]] bool MayFetchFrom(const FleetRecord& aPeer,
                                  TimePoint aNow) const;
  void FetchFeeds(const std::string& aHost, Duration aTimeout);
  void OnFeedsFetched(const std::string& aHost, const Http1Result& aResult);
  // Returns the timeout of a fetch on entering a later era of the store.
  [[nodiscard]] Duration SnapshotTimeout() const;
  void RearmTimer();

  UvLoop& m_loop;
  Http1Client& m_client;
  std::array<ObjectFeed, kFeedKinds>& m_feeds;
  LineLog& m_log;
  FleetServiceOptions m_options;
  FleetObserver& m_observer;
  absl::BitGen m_bitGen;
  FleetView m_view;
  DatagramSocket m_socket;
  Http1Server m_server;
  UvTimer m_timer;
  // The hosts whose last watermarks stated content, but no era of the store,
  // while this instance knew one.
  std::set<std::string> m_hostsWithoutEra;
  bool m_fetchInFlight = false;
  bool m_membersChanged = false;
};

} // namespace ebonykeel
