// Finds out which instances live, without a coordinator, and tells this
// instance whether it may act.
//
//   Membership membership(settings, self, bitGen, now);
//   membership.OnInstanceList(listed, now);
//   for (PingAction& ping : membership.Tick(now)) {
//     Send(ping);  // then OnAck with the time of sending, or OnPingFailed
//   }
//   if (membership.HoldsLease(now)) { ... }
//
// How it works. Each instance chooses up to `m_monitorCount` monitors in its
// region and names them in its record, with their incarnations and an epoch
// that counts the sets. It pings them each heartbeat. An acknowledgement counts
// from the moment at which its ping was SENT. The lease holds while a quorum of
// the monitors acknowledged pings sent within the last `m_lease`:
//
//   monitors   acknowledgements for the lease   suspicions for a death
//      0                  0                       none suffices
//      1                  1                            1
//      2                  1                            2
//      3                  2                            2
//
// (a majority of the monitors and the instance itself; both columns add up to
// more than the monitors, so they intersect.) A monitor that heard nothing for
// `m_lease + m_margin` votes with a Suspicion and from then on acknowledges
// no ping under the epochs that it voted on. An instance is dead when the
// votes of one of its epochs suffice, or when every monitor of it has voted or
// is itself gone for `m_lease + m_margin`, at least one having voted.
//
// The set of monitors changes as in joint consensus: while it does, the lease
// needs a quorum of the old and the new set; the old set counts until a quorum
// of it has acknowledged the record that names the new one. Whoever
// acknowledged that can no longer vote under the old epoch. So instances whose
// views differ still count votes against the set that the target itself
// published.
//
// Bounds, with d for the longest one-way delay and no further loss:
//  - an instance that stops is dead to its monitors within
//    m_lease + m_margin + 2 d + m_heartbeat (default 4.5 s), and to the fleet
//    some heartbeats, O(log n), later;
//  - one that was paused or cut off finds HoldsLease() false as soon as m_lease
//    has passed since its quorum's pings; it needs no message for that. Tick()
//    then gives it a new incarnation, as kJoining.
//
// Dead monitors cannot vote, so an instance whose monitors are all gone, or
// silent in the same way, would stay for ever. It is dead when the platform's
// list does not name it, this instance's own pings to it fail, and no monitor
// of it is left that could vote, all for 2 (m_lease + m_margin).
//
// When two instances can both hold a lease for what is one's alone. A death is
// declared of a holder whose lease still runs only if:
//  1. a clock runs wrong: the rates of a target's and a monitor's monotonic
//     clocks differ by more than m_margin / m_lease, or a clock stands still
//     while its machine is suspended;
//  2. all monitors of the target have voted or are gone, and the target has
//     meanwhile changed its monitors with the word of one that is now gone,
//     while the one who judges, and everybody that it hears of, still has the
//     target's older record, for m_lease + m_margin or longer;
//  3. it and all its monitors are cut off from the one who judges, and the
//     platform's list names none of them although they live;
//  4. the instance never met the others: it started with a platform's list
//     that names none of them for m_joinDelay, and so runs alone (see below).
//
// Small fleets. One instance alone holds its lease as long as it knows of
// nobody else and calls Tick at least each m_lease. It runs alone only after
// m_joinDelay during which the platform's list was received and named no other
// instance of its region and no live one is in its view. Two instances whose
// link is cut BOTH lose their leases and stop acting; each goes on alone only
// when the platform's list no longer names the other. Of three, two that see
// each other go on.
//
// Regions. Monitors are chosen in the own region only, so regions that lose
// each other keep their leases, and neither declares the other's instances
// dead. Of three or more data centres of the region, the monitors lie in three,
// the own one among them; of two data centres, the majority lies in the own
// one, so that each goes on for its own upstreams when they lose each other.
// The price: when one of two data centres is lost whole, its instances are
// suspected (and so are not named to callers) but not declared dead.
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
  // How long an acknowledgement extends the lease from the ping's sending.
  Duration m_lease = Seconds(3);
  // What a monitor waits longer than a lease, for the difference of the clocks'
  // rates.
  Duration m_margin = Milliseconds(500);
  // How long an instance that knows of nobody waits before it runs alone.
  Duration m_joinDelay = Seconds(4);
  // How long the record of a dead instance is kept against stale gossip.
  Duration m_deadRetention = Seconds(600);
  // How long a monitor that failed to answer is not chosen again.
  Duration m_monitorAvoidTime = Seconds(10);
  // Pings to a random instance, one each so many heartbeats.
  uint32_t m_heartbeatsPerExchange = 2;
  uint32_t m_monitorCount = 3;
};

// A ping to send, to `m_peerAddress`. `m_gossip` is current as of the Tick that
// returned it, so send it at once.
struct PingAction
{
  InstanceId m_target;
  std::string m_peerAddress;
  Gossip m_gossip;
};

// The right to act, and the incarnation to which it belongs.
struct Lease
{
  BootId m_incarnation = 0;
  // TimePoint::min() when there is none.
  TimePoint m_until = TimePoint::min();
};

// The records an instance knows, sorted by id, itself among them.
struct MembershipView
{
  // Grows with each change of members, their incarnations or states; not with
  // load or generation.
  uint64_t m_version = 0;
  std::vector<InstanceRecord> m_records;

  // Returns the record of `aId`, or null. Lives as long as this view.
  [[nodiscard]] const InstanceRecord* Find(const InstanceId& aId) const;
};

// Returns how many of `aMonitors` monitors must acknowledge for a lease.
[[nodiscard]] size_t
LeaseQuorum(size_t aMonitors);

// Returns how many of `aMonitors` (at least 1) must suspect a dead instance.
[[nodiscard]] size_t
DeathQuorum(size_t aMonitors);

// One instance's part in membership. Not thread-safe.
class Membership
{
public:
  // `aSelf` gives the id, first incarnation, addresses, data centre and region;
  // the rest is set here. `aBitGen` must outlive this object.
  Membership(MembershipSettings aSettings,
             InstanceRecord aSelf,
             absl::BitGenRef aBitGen,
             TimePoint aNow);

  // Takes the platform's list: addresses for first contact, and leave to forget
  // dead instances that it no longer names. Never proof of life or death.
  void OnInstanceList(std::span<const ListedInstance> aListed, TimePoint aNow);

  // Does what is due and returns the pings to send. Call it by NextTick() at
  // the latest; calling it earlier or later is harmless.
  [[nodiscard]] std::vector<PingAction> Tick(TimePoint aNow);

  // Takes another instance's ping and returns the acknowledgement.
  [[nodiscard]] Gossip OnPing(const Gossip& aPing, TimePoint aNow);

  // Takes the acknowledgement of a ping that left this instance at
  // `aPingSentAt`; read the clock before sending, never after.
  void OnAck(const InstanceId& aFrom,
             TimePoint aPingSentAt,
             const Gossip& aAck,
             TimePoint aNow);

  // Notes that a ping got no acknowledgement in the time allowed for it.
  void OnPingFailed(const InstanceId& aTarget, TimePoint aNow);

  // Announces `kLeaving` (graceful stop begins) or `kDead` (it has ended, the
  // lease is given up). Other states come about by themselves.
  void SetSelfState(InstanceState aState, TimePoint aNow);
  void SetGeneration(Generation aGeneration);
  // `aLoad` is in [0, 1].
  void SetLoad(float aLoad);

  // Returns whether this instance may act for what it owns. Check right before
  // each act.
  [[nodiscard]] bool HoldsLease(TimePoint aNow) const;

  // Returns when the lease ends unless it is extended. A time in the past, or
  // TimePoint::min(), when none is held.
  [[nodiscard]] TimePoint LeaseUntil() const;

  // Returns the lease as the owner of upstreams checks it before each sending;
  // it ends at TimePoint::min() while this instance is joining or dead.
  [[nodiscard]] Lease CurrentLease() const;

  // Returns this instance's own record.
  [[nodiscard]] const InstanceRecord& Self() const { return m_self; }

  // Returns the view; the reference is valid until the next call that is not
  // const.
  [[nodiscard]] const MembershipView& View() const;

  // Returns whether any monitor suspects `aId` in its present incarnation.
  // Callers should not be sent there, but it may still own.
  [[nodiscard]] bool IsSuspected(const InstanceId& aId) const;

  // Returns the highest generation heard of, and an instance that has it in
  // force; the id is empty when it is this instance.
  struct NewestGeneration
  {
    Generation m_generation = 0;
    InstanceId m_source;
  };
  [[nodiscard]] NewestGeneration FindNewestGeneration() const;

  // Returns when Tick is next due.
  [[nodiscard]] TimePoint NextTick() const { return m_nextTick; }

  // The view is compared in this many parts.
  static constexpr size_t kDigestParts = 16;
  // Two ticks are at least this far apart.
  static constexpr Duration kMinTickInterval = Milliseconds(20);

private:
  // What is kept about another instance beside its record.
  struct Peer
  {
    InstanceRecord m_record;
    // When its present incarnation or state was learned.
    TimePoint m_changedAt;
    // What its acknowledgements say, under my present incarnation: the sending
    // of the latest ping that it acknowledged, the latest of my monitor epochs
    // that it knows and the latest that it suspected.
    TimePoint m_ackedPingAt = TimePoint::min();
    uint32_t m_knownEpoch = 0;
    uint32_t m_suspectedEpoch = 0;
    // Which record of mine it has.
    BootId m_ackIncarnation = 0;
    uint64_t m_knownSequence = 0;
    uint32_t m_consecutiveFailures = 0;
    TimePoint m_avoidUntil = TimePoint::min();
    // Since when neither the list nor any monitor can tell of its life.
    TimePoint m_orphanedSince = TimePoint::max();
    // A ping is owed at once: urgent news, or views that differ.
    bool m_pingRequested = false;
    std::vector<uint64_t> m_partDigests;
    // The last ping to it compared the parts.
    bool m_sentParts = false;
  };

  // This instance as monitor of another.
  struct Watch
  {
    BootId m_incarnation = 0;
    TimePoint m_lastHeard;
    uint32_t m_ackedEpoch = 0;
    uint32_t m_suspectedEpoch = 0;
  };

  // Own life and monitors (membership.cc).
  void Heartbeat(TimePoint aNow, std::vector<PingAction>& aActions);
  void ScheduleTick(TimePoint aNow);
  [[nodiscard]] bool StateAllowsLease() const;
  void HandleLeaseExpiry(TimePoint aNow);
  void StartNewIncarnation(BootId aAbove, TimePoint aNow);
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

  // Watching others and judging them (detection.cc).
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

  // Spreading (dissemination.cc).
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
                           std::span<const uint64_t> aTheirParts);
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
  // A member came, went or changed since the monitors were reviewed.
  bool m_membersChanged = false;

  std::map<InstanceId, Peer> m_peers;
  std::map<InstanceId, ListedInstance> m_seeds;
  std::map<InstanceId, Watch> m_watches;
  // By target, then monitor.
  std::map<InstanceId, std::map<InstanceRef, Suspicion>> m_suspicions;

  // News and how often each is still to be sent.
  std::map<InstanceId, uint32_t> m_pendingRecords;
  std::map<std::pair<InstanceId, InstanceRef>, uint32_t> m_pendingSuspicions;
  std::map<InstanceId, uint32_t> m_pendingStatuses;
  std::vector<uint64_t> m_partDigests;

  uint64_t m_viewVersion = 1;
  mutable MembershipView m_view;
  mutable bool m_viewStale = true;
};

} // namespace ebonykeel
