// Manages the upstreams that this instance owns: acquires them from other
// instances and releases them, so that at most one instance sends to an
// upstream. A state machine without I/O.
//
//   OwnershipManager manager(settings, selfId);
//   manager.OnView(owners, membership.View(), configuration, now);
//   for (AcquireAction& action : manager.Tick(now)) { Send(action); }
//   // immediately before each request to an upstream:
//   if (manager.InFlight(id) <
//       manager.AllowedSlots(id, membership.CurrentLease(), now)) { ... }
//
// Acquisition. The instance that the owner map names for an upstream is the
// requester. It sends an acquire request to
//  - every instance of its own and of the upstream's region that is not dead;
//    to joining ones only for `m_joiningTimeout`, since they hold nothing
//    unless they have become active meanwhile;
//  - the former owner of the upstream;
//  - every instance that recently requested the upstream.
// Each of them responds with one of
//  - kReleased: it held the upstream and has stopped, so the requester may
//    start;
//  - kNotHeld: it neither holds nor requests the upstream, and has cancelled
//    its own attempt, if any;
//  - kRefused: it holds or requests the upstream and its own map names it as
//    the owner, or it has a record of the requester as dead or in a later
//    incarnation.
//
// The requester starts after one kReleased, or when every instance that it
// asked has responded with kNotHeld or is dead. In both cases every recent
// requester must have responded as well. A response counts for one attempt of
// one incarnation only. A refused requester repeats its request until the views
// agree. An instance that holds an upstream which its map no longer gives to it
// continues until it receives a request, so a planned handover leaves no gap.
//
// Ramp. After the start, the upstream may still be working on requests of the
// predecessor:
//  - If the predecessor released the upstream, its response gives the number of
//    requests in flight. The successor leaves their slots free and polls the
//    predecessor until they have ended.
//  - If the predecessor died, its lease had expired before it was declared
//    dead. The successor uses only `m_rampSlots` slots until the longest
//    deadline has passed.
//
// Bound on overlap. Two instances can send to one upstream at the same time
// only if
//  1. membership declares the death of an instance whose lease is still valid
//     (membership.h says when that is possible); or
//  2. each of the two started while neither it nor any instance that responded
//     to both had information about the other (a fleet whose halves never met);
//     or
//  3. each of the two took the other for joining for `m_joiningTimeout`, and
//     received neither from it nor from a third instance that it had become
//     active; or
//  4. the two belong to regions that cannot reach each other, and in the view
//     of one of them the upstream's region had no instance left.
// Including the requests that a dead predecessor sent, an upstream may have
// `slots + m_rampSlots` requests, for no longer than the longest deadline.
//
// The cost: an instance that neither responds nor dies (a split within the
// region in which both sides keep their monitors) keeps an upstream whose owner
// died without an owner until the split ends. The other replicas of the shard
// have owners in other data centres.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/membership/membership.h"
#include "core/ownership/acquire_messages.h"
#include "core/ownership/owner_map.h"

namespace ebonykeel {

struct OwnershipSettings
{
  // How often a request without a response is repeated.
  Duration m_requestInterval = Milliseconds(500);
  // How often a predecessor is polled for its requests in flight.
  Duration m_pollInterval = Milliseconds(50);
  // How long an attempt waits for responses of joining instances.
  Duration m_joiningTimeout = Seconds(4);
  // An attempt that takes longer starts again without its responses.
  Duration m_attemptTimeout = Seconds(20);
  // How long a requester is remembered. Longer than two attempts.
  Duration m_requesterRetention = Seconds(60);
  // The slots used while requests of a dead predecessor may still be running.
  uint32_t m_rampSlots = 1;
};

enum class OwnershipState
{
  // Neither held nor requested.
  kReleased,
  kAcquiring,
  // Held, with fewer slots than configured.
  kRamping,
  kHeld,
};

// Returns the stable name of `aState`, such as "ramping".
[[nodiscard]] std::string_view
OwnershipStateName(OwnershipState aState);

// An acquire request to send to `m_peerAddress`.
struct AcquireAction
{
  InstanceId m_target;
  std::string m_peerAddress;
  AcquireRequest m_request;
};

// A handover notice to send to `m_peerAddress`.
struct HandOverAction
{
  InstanceId m_target;
  std::string m_peerAddress;
  HandOverNotice m_notice;
};

// The ownership state of one instance. Not thread-safe.
class OwnershipManager
{
public:
  OwnershipManager(OwnershipSettings aSettings, InstanceId aSelf);

  // Called when the version of the view or the generation of the configuration
  // has changed, before the next Tick. `aOwners` is the owner map built from
  // both. Does nothing if the view does not contain this instance.
  void OnView(std::shared_ptr<const OwnerMap> aOwners,
              const MembershipView& aView,
              const Configuration& aConfiguration,
              TimePoint aNow);

  // Does the work that is due and returns the acquire requests to send.
  [[nodiscard]] std::vector<AcquireAction> Tick(TimePoint aNow);

  // Processes the acquire request of another instance and returns the response.
  [[nodiscard]] AcquireResponse OnAcquire(const AcquireRequest& aRequest,
                                          TimePoint aNow);

  // Called when a response has arrived. Responses may be late, duplicated or
  // out of order.
  void OnResponse(const AcquireResponse& aResponse, TimePoint aNow);

  // Returns handover notices to the successors of all upstreams that are held.
  // For a graceful stop, once the view has this instance as leaving. This
  // instance continues to use the upstreams until it receives the acquire
  // requests.
  [[nodiscard]] std::vector<HandOverAction> MakeHandOverNotices() const;

  // Called when a handover notice has arrived. Starts to acquire the upstreams
  // at once, before the view names this instance as their owner.
  void OnHandOver(const HandOverNotice& aNotice, TimePoint aNow);

  // Returns how many requests of this instance `aUpstream` may have at `aNow`;
  // 0 if the upstream is not held or the lease has ended. Check it immediately
  // before each request, with the current lease.
  [[nodiscard]] uint32_t AllowedSlots(const UpstreamId& aUpstream,
                                      const Lease& aLease,
                                      TimePoint aNow) const;

  // Returns the number of slots kept free at `aNow` for requests of the
  // predecessor that `aUpstream` may still be working on.
  [[nodiscard]] uint32_t PredecessorWork(const UpstreamId& aUpstream,
                                         TimePoint aNow) const;

  // Called when a request was sent, which ends at `aDeadline` at the latest.
  void OnSent(const UpstreamId& aUpstream, TimePoint aDeadline);
  // Called when a request that was sent has ended.
  void OnFinished(const UpstreamId& aUpstream);

  // Returns the number of requests that were sent and have not ended.
  [[nodiscard]] uint32_t InFlight(const UpstreamId& aUpstream) const;

  // Returns how often the upstream has changed its owner. Messages carry it: an
  // epoch lower than a known one comes from a former owner.
  [[nodiscard]] uint64_t EpochOf(const UpstreamId& aUpstream) const;

  [[nodiscard]] OwnershipState StateOf(const UpstreamId& aUpstream,
                                       TimePoint aNow) const;

  // Sets the cold start state of an upstream, which is passed on to its next
  // owner, and returns the state that the predecessor or this instance set
  // last.
  void SetColdStartState(const UpstreamId& aUpstream,
                         const ColdStartState& aColdStartState);
  [[nodiscard]] ColdStartState ColdStartStateOf(
    const UpstreamId& aUpstream) const;

  // Returns when the next Tick is due; TimePoint::max() if there is nothing to
  // request.
  [[nodiscard]] TimePoint NextTick() const;

private:
  // Another instance that may hold or request an upstream.
  struct Contact
  {
    InstanceRef m_instance;
    std::string m_peerAddress;
    TimePoint m_seenAt;
  };

  struct Entry
  {
    // The upstream is configured, this instance is active, and its owner map or
    // a handover notice gives it the upstream.
    bool m_wanted = false;
    DataCentre m_dataCentre;
    // The last owner that the map named before the current one.
    InstanceId m_formerOwner;
    TimePoint m_noticeExpiresAt = TimePoint::min();
    bool m_held = false;
    uint32_t m_slots = 0;
    Duration m_maxDeadline{};

    // The current attempt to acquire the upstream: its number, the instances
    // that responded, and what the predecessor reported if it released the
    // upstream.
    uint64_t m_attempt = 0;
    TimePoint m_attemptStartedAt;
    TimePoint m_nextRequestAt;
    std::set<InstanceRef> m_responded;
    bool m_released = false;
    InstanceRef m_releasedBy;
    uint32_t m_predecessorInFlight = 0;
    TimePoint m_predecessorDeadline;

    uint64_t m_epoch = 0;
    // The last epoch in which this instance held the upstream.
    uint64_t m_heldEpoch = 0;
    uint32_t m_rampSlots = 0;
    TimePoint m_rampUntil = TimePoint::min();

    // The instance to which the upstream was released and the epoch that was
    // released, so that a lost response can be repeated.
    InstanceRef m_releasedTo;
    uint64_t m_releasedToEpoch = 0;
    std::vector<Contact> m_contacts;

    uint32_t m_inFlight = 0;
    TimePoint m_latestDeadline = TimePoint::min();
    ColdStartState m_coldStartState;
  };

  using RequestMap = std::map<InstanceId, AcquireAction>;

  void UpdateEntries(const OwnerMap& aFormerOwners,
                     const Configuration& aConfiguration,
                     TimePoint aNow);
  void UpdateWanted(const UpstreamId& aId, Entry& aEntry, TimePoint aNow);
  void ReleaseAll();
  void StartAttempt(Entry& aEntry, TimePoint aNow) const;
  static void CancelAttempt(Entry& aEntry);
  void RequestOrStart(const UpstreamId& aId,
                      Entry& aEntry,
                      TimePoint aNow,
                      RequestMap& aRequests);
  void PollPredecessor(const UpstreamId& aId,
                       Entry& aEntry,
                       TimePoint aNow,
                       RequestMap& aRequests) const;
  void AddRequest(const UpstreamId& aId,
                  const Entry& aEntry,
                  const Contact& aTarget,
                  RequestMap& aRequests) const;
  [[nodiscard]] std::vector<Contact> MissingResponses(const Entry& aEntry,
                                                      TimePoint aNow) const;
  [[nodiscard]] bool IsDeadOrSuperseded(const InstanceRef& aRef) const;
  void StartHolding(Entry& aEntry, TimePoint aNow) const;
  static void RememberContact(Entry& aEntry, const Contact& aContact);
  void RemoveExpiredContacts(Entry& aEntry, TimePoint aNow) const;
  [[nodiscard]] AcquireResponseItem MakeResponseItem(
    const AcquireRequest& aRequest,
    const AcquireRequestItem& aItem,
    TimePoint aNow);
  [[nodiscard]] AcquireOutcome DecideOutcome(
    Entry& aEntry,
    const AcquireRequest& aRequest,
    const AcquireRequestItem& aItem) const;
  void HandleResponseItem(const AcquireResponse& aResponse,
                          const AcquireResponseItem& aItem,
                          TimePoint aNow);

  OwnershipSettings m_settings;
  InstanceId m_self;
  BootId m_incarnation = 0;
  bool m_active = false;
  Region m_region;
  std::string m_peerAddress;
  std::shared_ptr<const OwnerMap> m_owners;
  Generation m_generation = 0;
  std::map<InstanceId, InstanceRecord> m_records;
  std::map<DataCentre, Region> m_regionOf;
  uint64_t m_viewVersion = 0;
  std::map<UpstreamId, Entry> m_entries;
};

} // namespace ebonykeel
