// Tracks which instances are alive, without a coordinator, and decides whether
// this instance may act. A state machine without I/O: its owner sends the pings
// and reports their results.
//
//   Membership membership(settings, self, bitGen, now);
//   membership.OnInstanceList(listed, now);
//   for (PingAction& ping : membership.Tick(now)) {
//     Send(ping);  // then OnAck with the time of sending, or OnPingFailed
//   }
//   if (membership.HoldsLease(now)) { ... }
//
// Leases. Each instance chooses up to `m_monitorCount` monitors in its region.
// It publishes them in its record, with their incarnations and with an epoch
// that counts the sets, and pings them each heartbeat. An acknowledgement
// extends the lease from the time at which its ping was sent, not from the time
// at which it arrived. The instance holds its lease while a quorum of its
// monitors has acknowledged pings sent within the last `m_lease`:
//
//   monitors   acknowledgements for the lease   suspicions for a death
//      0                  0                       none suffices
//      1                  1                            1
//      2                  1                            2
//      3                  2                            2
//
// The acknowledgements together with the instance itself are a majority of the
// instance and its monitors. Both columns add up to more than the number of
// monitors, so a quorum for the lease and one for a death have a monitor in
// common.
//
// Deaths. A monitor that has received no ping from its target for
// `m_lease + m_margin` votes with a Suspicion. From then on its
// acknowledgements do not count for the lease under the epochs that it voted
// on. An instance is declared dead when the votes under one of its epochs reach
// the quorum, or when at least one monitor of the epoch has voted and each of
// the others has voted or has been gone (dead or superseded) for
// `m_lease + m_margin`.
//
// Changes of monitors work as in joint consensus. During a change the lease
// needs a quorum of both the old and the new set. The old set counts until a
// quorum of it has acknowledged the record that names the new set; a monitor
// that acknowledged that record can no longer vote under the old epoch. So
// votes are always counted against a set that the target itself published, even
// by instances whose views differ.
//
// Orphans. Dead monitors cannot vote, so an instance whose monitors are all
// dead would never be declared dead by votes. An instance is therefore also
// declared dead when, for 2 (m_lease + m_margin), the platform's list does not
// name it, this instance's own pings to it fail, and no monitor that could
// still vote is left. Monitors that are themselves unlisted and silent do not
// count as left.
//
// Bounds, where d is the longest one-way delay and no more messages are lost:
//  - An instance that stops is dead in the views of its monitors within
//    m_lease + m_margin + 2 d + m_heartbeat (4.5 s by default), and in all
//    views O(log n) heartbeats later.
//  - An instance that was paused or cut off finds HoldsLease() false as soon as
//    m_lease has passed since the pings that its quorum acknowledged; it needs
//    no message for that. Tick() then gives it a new incarnation, as kJoining.
//
// Two instances can both hold a lease for something that only one may own only
// in the following cases. In the first three, a death is declared while the
// lease of that instance is still valid.
//  1. A clock is wrong: the rates of the monotonic clocks of the target and of
//     a monitor differ by more than m_margin / m_lease, or a clock stands still
//     while its host is suspended.
//  2. All monitors of the target have voted or are gone, and the target has
//     meanwhile changed its monitors with the approval of one that is now gone.
//     The instance that declares the death, and every instance from which it
//     receives gossip, has had only the target's older record for
//     m_lease + m_margin or longer.
//  3. The target and all its monitors are cut off from the instance that
//     declares the death, and the platform's list names none of them although
//     they are alive.
//  4. An instance never met the others: for m_joinDelay after its start the
//     platform's list named none of them, so it runs alone (see below).
//
// Small fleets. A single instance holds its lease as long as it has no record
// of another instance and calls Tick at least once per m_lease. It starts to
// run alone only after m_joinDelay, when it has received the platform's list
// since it joined, that list names no other instance of its region (except one
// that has left), and its view has no other live instance of its region. Two
// instances that cannot reach each other both lose their leases and stop
// acting; each continues alone only when the platform's list no longer names
// the other. Of three instances, two that can reach each other continue.
//
// Regions. Monitors are chosen in the instance's own region only, so regions
// that cannot reach each other keep their leases, and neither declares the
// other's instances dead. If the region has three or more data centres, the
// monitors are in three different ones. If it has two, the majority is in the
// instance's own data centre, so each data centre continues for its own
// upstreams when the two cannot reach each other. The cost: when one of two
// data centres is lost entirely, its instances are suspected (and so are not
// named to callers) but not declared dead.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/membership/records.h"

namespace ebonykeel {

struct MembershipSettings
{
  Duration m_heartbeat = Seconds(1);
  // How long an acknowledged ping extends the lease, from its sending.
  Duration m_lease = Seconds(3);
  // How much longer than a lease a monitor waits before it suspects its target.
  // Covers the difference of the clock rates.
  Duration m_margin = Milliseconds(500);
  // How long an instance without a record of another waits before it runs
  // alone.
  Duration m_joinDelay = Seconds(4);
  // How long the record of a dead instance is kept, so that stale gossip does
  // not add it again.
  Duration m_deadRetention = Seconds(600);
  // How long an instance that did not acknowledge pings is not chosen as a
  // monitor.
  Duration m_monitorAvoidTime = Seconds(10);
  // A ping to a random instance is sent once in this many heartbeats.
  uint32_t m_heartbeatsPerExchange = 2;
  uint32_t m_monitorCount = 3;
};

// A ping to send to `m_peerAddress`. Send it at once: `m_gossip` is the state
// at the Tick that returned it.
struct PingAction
{
  InstanceId m_target;
  std::string m_peerAddress;
  Gossip m_gossip;
};

// The right of one incarnation of an instance to act for a limited time.
struct Lease
{
  BootId m_incarnation = 0;
  // The end of the lease; TimePoint::min() when there is none.
  TimePoint m_until = TimePoint::min();
};

// All instance records that an instance has, its own included, sorted by id.
struct MembershipView
{
  // Increases with each change of the members, their incarnations or their
  // states; not with load or generation.
  uint64_t m_version = 0;
  std::vector<InstanceRecord> m_records;

  // Returns the record of `aId`, or null. Valid as long as this view is
  // unchanged.
  [[nodiscard]] const InstanceRecord* Find(const InstanceId& aId) const;
};

// Returns how many of `aMonitors` monitors must acknowledge pings for a lease.
[[nodiscard]] size_t
LeaseQuorum(size_t aMonitors);

// Returns how many of `aMonitors` monitors must suspect an instance for it to
// be declared dead. `aMonitors` must be at least 1.
[[nodiscard]] size_t
DeathQuorum(size_t aMonitors);

// The membership state of one instance. Not thread-safe.
class Membership
{
public:
  // Takes the id, first incarnation, addresses, data centre and region from
  // `aSelf` and resets its state, sequences and monitors. `aBitGen` must
  // outlive this object.
  Membership(MembershipSettings aSettings,
             InstanceRecord aSelf,
             absl::BitGenRef aBitGen,
             TimePoint aNow);

  // Called when the platform's list was read. The list gives addresses for
  // first contact, and records of dead instances that it no longer names may be
  // removed. It alone never proves that an instance is alive or dead.
  void OnInstanceList(std::span<const ListedInstance> aListed, TimePoint aNow);

  // Does the work that is due and returns the pings to send. Call it at
  // NextTick() at the latest; calling it earlier or later is harmless.
  [[nodiscard]] std::vector<PingAction> Tick(TimePoint aNow);

  // Processes a ping from another instance and returns the acknowledgement.
  [[nodiscard]] Gossip OnPing(const Gossip& aPing, TimePoint aNow);

  // Called when the acknowledgement of a ping has arrived. `aPingSentAt` is the
  // time of sending; read the clock before sending, never after.
  void OnAck(const InstanceId& aFrom,
             TimePoint aPingSentAt,
             const Gossip& aAck,
             TimePoint aNow);

  // Called when a ping was not acknowledged within its timeout.
  void OnPingFailed(const InstanceId& aTarget, TimePoint aNow);

  // Announces `kLeaving` (a graceful stop begins) or `kDead` (the stop has
  // ended and the lease is given up). Other values are ignored, since
  // Membership sets those states itself.
  void SetSelfState(InstanceState aState, TimePoint aNow);
  void SetGeneration(Generation aGeneration);
  // `aLoad` is in [0, 1].
  void SetLoad(float aLoad);

  // Returns whether this instance may act on what it owns. Check it immediately
  // before each action.
  [[nodiscard]] bool HoldsLease(TimePoint aNow) const;

  // Returns when the lease ends unless it is extended: a time in the past or
  // TimePoint::min() if there is no valid lease.
  [[nodiscard]] TimePoint LeaseUntil() const;

  // Returns the lease in the form that is checked before each request to an
  // upstream. It ends at TimePoint::min() while this instance is joining or
  // dead.
  [[nodiscard]] Lease CurrentLease() const;

  // Returns the record of this instance.
  [[nodiscard]] const InstanceRecord& Self() const { return m_self; }

  // Returns the view; the reference is valid until the next non-const call.
  [[nodiscard]] const MembershipView& View() const;

  // Returns whether any monitor suspects the current incarnation of `aId`.
  // Callers should not be sent to a suspected instance, although it may still
  // own upstreams.
  [[nodiscard]] bool IsSuspected(const InstanceId& aId) const;

  // The highest configuration generation in force anywhere, and an instance
  // that has it; the id is empty for this instance.
  struct NewestGeneration
  {
    Generation m_generation = 0;
    InstanceId m_source;
  };
  [[nodiscard]] NewestGeneration FindNewestGeneration() const;

  // Returns when the next Tick is due.
  [[nodiscard]] TimePoint NextTick() const { return m_nextTick; }

  // Two views are compared by the digests of this many parts.
  static constexpr size_t kDigestParts = 16;
  // The shortest time between two ticks that NextTick() asks for.
  static constexpr Duration kMinTickInterval = Milliseconds(20);

private:
  // Another instance: its record and what this instance keeps about it.
  struct Peer
  {
    InstanceRecord m_record;
    // When this instance received the peer's current incarnation and state.
    TimePoint m_changedAt;
    // From the peer's acknowledgements of this instance's current incarnation:
    // when the latest acknowledged ping was sent, and the highest monitor
    // epochs of this instance that the peer has received and has suspected.
    TimePoint m_ackedPingAt = TimePoint::min();
    uint32_t m_knownEpoch = 0;
    uint32_t m_suspectedEpoch = 0;
    // The incarnation and sequence of the peer's record of this instance.
    BootId m_ackIncarnation = 0;
    uint64_t m_knownSequence = 0;
    // Pings in a row that failed.
    uint32_t m_consecutiveFailures = 0;
    // Until when the peer is not chosen as a monitor.
    TimePoint m_avoidUntil = TimePoint::min();
    // Since when the peer has been an orphan; TimePoint::max() if it is none.
    TimePoint m_orphanedSince = TimePoint::max();
    // Ping the peer at the next tick: there is an urgent update, its view
    // differs, or it may be an orphan.
    bool m_pingRequested = false;
    // The part digests of the peer's view, if the next ping is to compare them.
    std::vector<uint64_t> m_partDigests;
    // The last ping to the peer carried this instance's part digests.
    bool m_sentParts = false;
  };

  // The state of this instance as a monitor of another.
  struct Watch
  {
    BootId m_incarnation = 0;
    TimePoint m_lastHeard;
    uint32_t m_ackedEpoch = 0;
    uint32_t m_suspectedEpoch = 0;
  };

  // Own state and lease (membership.cc), own monitors (monitors.cc).
  void Heartbeat(TimePoint aNow, std::vector<PingAction>& aActions);
  void ScheduleTick(TimePoint aNow);
  [[nodiscard]] bool StateAllowsLease() const;
  void HandleLeaseExpiry(TimePoint aNow);
  void StartNewIncarnation(BootId aSeenIncarnation, TimePoint aNow);
  static void ClearAcks(Peer& aPeer);
  void ActivateIfLeased(TimePoint aNow);
  [[nodiscard]] bool CanRunAlone(TimePoint aNow) const;
  [[nodiscard]] bool HasLivePeerInRegion() const;
  [[nodiscard]] bool MonitorsNeedReview() const;
  void ReviewMonitors(TimePoint aNow);
  void StartMonitorChange(std::vector<InstanceRef> aChosen, TimePoint aNow);
  void FinishMonitorChange();
  [[nodiscard]] std::vector<InstanceRef> ChooseMonitors(TimePoint aNow) const;
  [[nodiscard]] bool IsCurrentMonitor(const InstanceRef& aRef) const;
  [[nodiscard]] bool IsUsableMonitor(const InstanceRef& aRef,
                                     TimePoint aNow) const;
  [[nodiscard]] TimePoint QuorumPingAt(std::span<const InstanceRef> aMonitors,
                                       uint32_t aEpoch) const;
  [[nodiscard]] bool HasQuorumApproval(
    std::span<const InstanceRef> aMonitors) const;

  // Failure detection of other instances (detection.cc).
  [[nodiscard]] static bool IsMonitorOf(const InstanceRecord& aTarget,
                                        const InstanceRef& aRef);
  [[nodiscard]] Duration DetectionDelay() const;
  void AdjustWatchesAfterPause(TimePoint aNow);
  void UpdateWatch(const InstanceRecord& aTarget, TimePoint aNow);
  void RecordPing(const Peer& aPeer, const Gossip& aPing, TimePoint aNow);
  void SuspectSilentTargets(TimePoint aNow);
  void PingFellowMonitors(const InstanceId& aTarget);
  void AddSuspicion(const Suspicion& aSuspicion);
  void DeclareDeadByVotes(TimePoint aNow);
  void DeclareOrphansDead(TimePoint aNow);
  [[nodiscard]] std::set<InstanceId> FindOrphans(TimePoint aNow);
  void DeclareDead(const InstanceId& aId, TimePoint aNow);
  [[nodiscard]] bool IsDeadByVotes(const InstanceRecord& aTarget,
                                   TimePoint aNow) const;
  [[nodiscard]] bool VotesSuffice(const InstanceRecord& aTarget,
                                  std::span<const InstanceRef> aMonitors,
                                  uint32_t aEpoch,
                                  TimePoint aNow) const;
  [[nodiscard]] bool IsGone(const InstanceRef& aRef, TimePoint aNow) const;
  void RemoveExpiredDead(TimePoint aNow);

  // Gossip (dissemination.cc).
  [[nodiscard]] uint64_t Digest() const;
  void ToggleDigest(const InstanceRecord& aRecord);
  [[nodiscard]] uint32_t TransmissionCount() const;
  void QueueRecordUpdate(const InstanceId& aId);
  void OnMembersChanged();
  void ChangeSelf(const std::function<void(InstanceRecord&)>& aChange);
  [[nodiscard]] const InstanceRecord* FindRecord(const InstanceId& aId) const;
  [[nodiscard]] Gossip MakeGossip(const Peer* aPeer);
  void AddPendingUpdates(Gossip& aGossip);
  void AddRecord(Gossip& aGossip, const InstanceId& aId) const;
  [[nodiscard]] bool ShouldSync(InstanceState aOtherState) const;
  void AddDifferingRecords(Gossip& aGossip,
                           std::span<const uint64_t> aOtherParts);
  void ApplyGossip(const Gossip& aGossip, TimePoint aNow);
  void ApplyRecord(const InstanceRecord& aRecord,
                   bool aDisseminate,
                   TimePoint aNow);
  void ReplaceRecord(Peer& aPeer,
                     const InstanceRecord& aRecord,
                     TimePoint aNow);
  void RefuteOwnRecord(const InstanceRecord& aRecord, TimePoint aNow);
  void ApplyStatus(const StatusUpdate& aStatus);
  void PingPeer(const InstanceId& aId,
                Peer& aPeer,
                std::vector<PingAction>& aActions);
  void PingMonitors(std::vector<PingAction>& aActions);
  void PingRandom(std::vector<PingAction>& aActions);
  void PingSeeds(std::vector<PingAction>& aActions);
  void PingRequestedPeers(std::vector<PingAction>& aActions);
  [[nodiscard]] TimePoint NextRequestedPing(TimePoint aNow) const;

  MembershipSettings m_settings;
  InstanceRecord m_self;
  absl::BitGenRef m_bitGen;
  TimePoint m_joinedAt;
  TimePoint m_lastTick;
  TimePoint m_nextHeartbeat;
  TimePoint m_nextTick;
  uint64_t m_heartbeats = 0;
  TimePoint m_listReceivedAt = TimePoint::min();
  TimePoint m_changeStartedAt;
  // The members have changed since the monitors were last reviewed.
  bool m_membersChanged = false;

  std::map<InstanceId, Peer> m_peers;
  // The other instances of the platform's last list.
  std::map<InstanceId, ListedInstance> m_seeds;
  std::map<InstanceId, Watch> m_watches;
  // Suspicions by target, then by monitor.
  std::map<InstanceId, std::map<InstanceRef, Suspicion>> m_suspicions;

  // Updates to disseminate, and how many more times each is to be sent.
  std::map<InstanceId, uint32_t> m_pendingRecords;
  std::map<std::pair<InstanceId, InstanceRef>, uint32_t> m_pendingSuspicions;
  std::map<InstanceId, uint32_t> m_pendingStatuses;
  std::vector<uint64_t> m_partDigests;

  uint64_t m_viewVersion = 1;
  mutable MembershipView m_view;
  mutable bool m_viewStale = true;
};

} // namespace ebonykeel
