// Which instances live, without a call to the store.
//
// Every interval an instance pings one other, in a random order that reaches
// all. One that does not answer is pinged through intermediaries, then
// suspected, and declared dead when it does not contradict. News rides on these
// datagrams and on notices. An instance that was cut off from all others
// forgets what it concluded about them when it hears from one again.
//
//   FleetView fleet(options, self, seeds, bitGen, port);
//   fleet.Start(now);
//   fleet.OnMessage(host, message, now);
//   if (fleet.NextTimer() <= now) fleet.OnTimer(now);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "core/fleet/fleet_message.h"

namespace ebonykeel {

struct FleetOptions
{
  // Between two pings of an instance.
  Duration m_pingInterval = Milliseconds(300);
  // How long an answer may take, over each of the two ways.
  Duration m_ackTimeout = Milliseconds(120);
  // How long a suspected instance has to contradict.
  Duration m_suspicionTimeout = Milliseconds(600);
  // Helpers that ping an instance which did not answer.
  size_t m_intermediaries = 2;
  // Records on one datagram.
  size_t m_maxUpdatesPerMessage = 8;
  // Records that a newcomer is told of.
  size_t m_maxIntroductionRecords = 40;
  // Receivers of a notice in the own data centre; each passes hasUpdate on once
  // to as many there.
  size_t m_noticeFanout = 4;
  // One ping in so many goes to another data centre: traffic between them is
  // dear, and each data centre watches its own instances.
  uint32_t m_pingsPerRemotePing = 4;
  // An instance that hears nothing for so long counts itself as cut off.
  Duration m_isolationTimeout = Milliseconds(1000);
  // Between two pings of an instance that is dead or a seed that is unknown,
  // and the same while nobody is heard of.
  Duration m_rejoinInterval = Milliseconds(700);
  Duration m_isolatedRejoinInterval = Milliseconds(60);
  // How long a dead instance is remembered.
  Duration m_deadRetention = Seconds(300);
};

// What the view asks of its surroundings. Calls may not come back into the
// view.
class FleetPort
{
public:
  virtual ~FleetPort() = default;
  virtual void SendTo(const std::string& aHost,
                      const FleetMessage& aMessage) = 0;
  // The state or the flags of an instance changed.
  virtual void OnMemberChanged(const FleetRecord& aRecord) = 0;
  // Another instance told how far its copies of the store have come.
  virtual void OnFeedWatermarks(const FleetRecord& aSender,
                                std::span<const FeedWatermark> aMarks) = 0;
  // Returns how far this instance's copies have come.
  [[nodiscard]] virtual std::vector<FeedWatermark> FeedWatermarks() = 0;
};

class FleetView
{
public:
  // `aSelf` has the incarnation that this life starts with. The generator and
  // the port outlive the view.
  FleetView(FleetOptions aOptions,
            FleetRecord aSelf,
            std::vector<std::string> aSeeds,
            absl::BitGenRef aBitGen,
            FleetPort& aPort);

  void Start(TimePoint aNow);
  void OnMessage(const FleetMessage& aMessage, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  [[nodiscard]] TimePoint NextTimer() const;

  // Adds instances to ask for the others, such as those that the store lists.
  void AddSeeds(std::span<const std::string> aHosts);
  // Changes what others are told of this instance, at once.
  void SetSelf(FleetState aState, bool aReady, bool aStoreReachable);
  void SetCapacity(uint32_t aCapacity);
  // Tells others at once that this instance's copies have changed.
  void AnnounceSelf();

  [[nodiscard]] const FleetRecord& Self() const { return m_self; }
  // Returns this instance and the others that are alive or suspected or
  // leaving, ordered by host.
  [[nodiscard]] std::vector<FleetRecord> LiveMembers() const;
  // Returns the instances that have been dead for at least `aFor`.
  [[nodiscard]] std::vector<std::string> DeadFor(Duration aFor,
                                                 TimePoint aNow) const;
  // Returns the instances of other data centres that have been suspected or
  // dead for less than `aFor`.
  [[nodiscard]] std::vector<FleetRecord> RecentlyLostRemote(
    Duration aFor,
    TimePoint aNow) const;
  // Returns whether an instance of another data centre is alive; true if none
  // is known.
  [[nodiscard]] bool HasLiveRemoteInstance() const;
  // Returns whether another instance was heard of lately.
  [[nodiscard]] bool InContact(TimePoint aNow) const;

private:
  struct Member
  {
    FleetRecord m_record;
    TimePoint m_since;
    // How often the record is still to be passed on.
    size_t m_transmissionsLeft = 0;
  };
  struct Probe
  {
    std::string m_host;
    uint64_t m_sequence = 0;
    TimePoint m_dueAt;
    bool m_indirect = false;
  };
  // A ping made for another instance.
  struct IndirectPing
  {
    std::string m_requester;
    uint64_t m_requesterSequence = 0;
    TimePoint m_expiresAt;
  };

  void Ping(const std::string& aHost, TimePoint aNow);
  void PingNext(TimePoint aNow);
  // Pings the next of a round; returns false if the round has nobody.
  bool PingFrom(std::vector<std::string>& aRound, bool aLocal, TimePoint aNow);
  void Rejoin(TimePoint aNow);
  void CheckProbes(TimePoint aNow);
  void CheckSuspects(TimePoint aNow);
  void Send(const std::string& aHost,
            FleetMessageKind aKind,
            uint64_t aSequence,
            const std::string& aSubject = {});
  // Tells an instance that knows few of the others.
  void SendIntroduction(const std::string& aHost);
  // Passes hasUpdate on within the data centre and, if this instance brought it
  // up, to one instance of each other data centre.
  void Disseminate(bool aOwnUpdate);
  [[nodiscard]] FleetMessage NewMessage(FleetMessageKind aKind);
  // Takes in a record; returns whether it changed anything.
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
  // Hosts still to be pinged in this round, local and in other data centres.
  std::vector<std::string> m_localRound;
  std::vector<std::string> m_remoteRound;
  uint32_t m_pings = 0;
  std::vector<Probe> m_probes;
  std::map<uint64_t, IndirectPing> m_indirectPings;
  uint64_t m_sequence = 0;
  TimePoint m_nextPing;
  TimePoint m_nextRejoin;
  std::optional<TimePoint> m_lastContact;
  // Nothing was heard of others for long: what this instance thinks of them is
  // not passed on.
  bool m_isolated = true;
  size_t m_selfTransmissionsLeft = 0;
};

} // namespace ebonykeel
