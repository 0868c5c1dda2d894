// Tracks which instances are alive, without calls to the store.
//
// Every interval an instance pings one other, in a random order that reaches
// all of them. An instance that does not answer is pinged through
// intermediaries, then suspected, and declared dead if it does not refute the
// suspicion. Gossip updates are carried by these datagrams and by notices. An
// instance that had lost contact with all others discards its conclusions about
// failures when it receives a message again.
//
//   FleetView fleet(options, self, seeds, bitGen, port);
//   fleet.Start(now);
//   fleet.OnMessage(message, now);
//   if (fleet.NextTimer() <= now) fleet.OnTimer(now);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "core/fleet/fleet_message.h"

namespace ebonykeel {

struct FleetOptions
{
  // The interval between the pings that an instance sends.
  Duration m_pingInterval = Milliseconds(300);
  // The timeout of the direct ping, and again of the indirect pings.
  Duration m_ackTimeout = Milliseconds(120);
  // How long a suspected instance has to refute the suspicion.
  Duration m_suspicionTimeout = Milliseconds(600);
  // The number of intermediaries that ping an instance which did not answer.
  size_t m_intermediaries = 2;
  // The maximum number of gossip updates in one datagram.
  size_t m_maxUpdatesPerMessage = 8;
  // The maximum number of records that are sent to an instance that knows few
  // others.
  size_t m_maxIntroductionRecords = 40;
  // The number of receivers of a notice in the local data centre; each of them
  // passes new updates on once, to as many receivers there.
  size_t m_noticeFanout = 4;
  // One of this many pings goes to a remote data centre: traffic between data
  // centres is expensive, and each data centre checks its own instances.
  uint32_t m_pingsPerRemotePing = 4;
  // An instance that receives no message for this long counts as isolated.
  Duration m_isolationTimeout = Milliseconds(1000);
  // The interval between pings of dead instances and unknown seeds, while in
  // contact with other instances and while isolated.
  Duration m_rejoinInterval = Milliseconds(700);
  Duration m_isolatedRejoinInterval = Milliseconds(60);
  // How long a dead instance is remembered.
  Duration m_deadRetention = Seconds(300);
};

// The environment of a view. Its methods must not call back into the view.
class FleetPort
{
public:
  virtual ~FleetPort() = default;
  virtual void SendTo(const std::string& aHost,
                      const FleetMessage& aMessage) = 0;
  // Called when the state or the flags of an instance changed.
  virtual void OnMemberChanged(const FleetRecord& aRecord) = 0;
  // Called when another instance sent the watermarks of its feeds.
  virtual void OnFeedWatermarks(const FleetRecord& aSender,
                                std::span<const FeedWatermark> aWatermarks) = 0;
  // Called when another instance sent a message of a subsystem.
  virtual void OnPayload(const FleetRecord& aSender,
                         PeerTopic aTopic,
                         std::string_view aPayload) = 0;
  // Returns the watermarks of this instance's feeds.
  [[nodiscard]] virtual std::vector<FeedWatermark> FeedWatermarks() = 0;
};

class FleetView
{
public:
  // `aSelf` holds the incarnation that this process run starts with. `aBitGen`
  // and `aPort` must outlive the view.
  FleetView(FleetOptions aOptions,
            FleetRecord aSelf,
            std::vector<std::string> aSeeds,
            absl::BitGenRef aBitGen,
            FleetPort& aPort);

  void Start(TimePoint aNow);
  void OnMessage(const FleetMessage& aMessage, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  [[nodiscard]] TimePoint NextTimer() const;

  // Adds instances to contact in order to discover the others, such as those
  // that the store lists.
  void AddSeeds(std::span<const std::string> aHosts);
  // Changes the published state of this instance and announces it at once.
  void SetSelf(FleetState aState, bool aReady, bool aStoreReachable);
  void SetCapacity(uint32_t aCapacity);
  // Announces this instance at once, with the watermarks of its feeds.
  void AnnounceSelf();
  // Sends a message of another subsystem to `aHost`, at most once: datagrams
  // may be lost. `aPayload` must fit into a datagram, about 1,200 bytes.
  void SendPayload(const std::string& aHost,
                   PeerTopic aTopic,
                   std::string aPayload);

  [[nodiscard]] const FleetRecord& Self() const { return m_self; }
  // Returns this instance and the others that are alive, suspected or leaving,
  // ordered by host.
  [[nodiscard]] std::vector<FleetRecord> LiveMembers() const;
  // Returns the instances that have been dead for at least `aFor`.
  [[nodiscard]] std::vector<std::string> DeadFor(Duration aFor,
                                                 TimePoint aNow) const;
  // Returns the instances in remote data centres that have been suspected or
  // dead for less than `aFor`.
  [[nodiscard]] std::vector<FleetRecord> RecentlyLostRemote(
    Duration aFor,
    TimePoint aNow) const;
  // Returns whether an instance in a remote data centre is alive; true if none
  // is known.
  [[nodiscard]] bool HasLiveRemoteInstance() const;
  // Returns whether a message of another instance arrived within
  // `m_isolationTimeout`.
  [[nodiscard]] bool InContact(TimePoint aNow) const;

private:
  struct Member
  {
    FleetRecord m_record;
    TimePoint m_since;
    // How many more times the record is to be sent.
    size_t m_transmissionsLeft = 0;
  };
  struct Probe
  {
    std::string m_host;
    uint64_t m_sequence = 0;
    TimePoint m_dueAt;
    bool m_indirect = false;
  };
  // A ping made on behalf of another instance.
  struct IndirectPing
  {
    std::string m_requester;
    uint64_t m_requesterSequence = 0;
    TimePoint m_expiresAt;
  };

  void Ping(const std::string& aHost, TimePoint aNow);
  void PingNext(TimePoint aNow);
  // Pings the next instance of a round, and starts a new round if it is empty;
  // returns false if there is no instance to ping.
  bool PingFrom(std::vector<std::string>& aRound, bool aLocal, TimePoint aNow);
  void Rejoin(TimePoint aNow);
  void CheckProbes(TimePoint aNow);
  void CheckSuspects(TimePoint aNow);
  void Send(const std::string& aHost,
            FleetMessageKind aKind,
            uint64_t aSequence,
            const std::string& aSubject = {});
  // Sends records to an instance that knows few of the others.
  void SendIntroduction(const std::string& aHost);
  // Sends updates to instances in the local data centre and, if the update
  // originates from this instance, to one instance in each remote data centre.
  void Disseminate(bool aOwnUpdate);
  [[nodiscard]] FleetMessage NewMessage(FleetMessageKind aKind);
  // Applies a received record; returns whether it changed anything. `aDirect`
  // says that the record came from the instance itself.
  bool ApplyRecord(const FleetRecord& aRecord, bool aDirect, TimePoint aNow);
  void Refute(const FleetRecord& aRecord);
  void ForgetFailures();
  void SetState(Member& aMember, FleetState aState, TimePoint aNow);
  [[nodiscard]] size_t TransmissionsPerUpdate() const;
  [[nodiscard]] std::vector<std::string> Hosts(FleetState aMaxState) const;
  [[nodiscard]] bool IsLocal(const std::string& aHost) const;
  [[nodiscard]] std::vector<std::string> PickRandom(
    std::vector<std::string> aHosts,
    size_t aCount);

  FleetOptions m_options;
  FleetRecord m_self;
  std::vector<std::string> m_seeds;
  absl::BitGenRef m_bitGen;
  FleetPort* m_port;
  std::map<std::string, Member> m_members;
  // Hosts that are still to be pinged in the current round.
  std::vector<std::string> m_localRound;
  std::vector<std::string> m_remoteRound;
  uint32_t m_pings = 0;
  std::vector<Probe> m_probes;
  std::map<uint64_t, IndirectPing> m_indirectPings;
  uint64_t m_sequence = 0;
  TimePoint m_nextPing;
  TimePoint m_nextRejoin;
  std::optional<TimePoint> m_lastContact;
  // Set while no message has arrived for long: what this instance concluded
  // about the others is not sent then.
  bool m_isolated = true;
  size_t m_selfTransmissionsLeft = 0;
};

} // namespace ebonykeel
