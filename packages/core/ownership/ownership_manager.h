// Holds the upstreams that this instance owns, takes them over from others and
// gives them up, so that at most one instance sends to an upstream.
//
//   Holder holder(settings, selfId);
//   holder.OnView(owners, membership.View(), configuration, now);
//   for (AcquireAction& ask : holder.Tick(now)) { Send(ask); }
//   // right before each sending:
//   if (holder.InFlight(id) <
//       holder.AllowedSlots(id, membership.CurrentLease(), now)) { ... }
//
// How an upstream changes hands. The instance that the owner map names asks
// every instance of its and the upstream's region that is not dead, the
// upstream's former owner, and whoever lately asked for it. (Those that are
// joining only for `m_joiningTimeout`, since they hold nothing unless they
// became active meanwhile.) Each answers:
//
//  - kReleased: it held the upstream and has stopped; the asker may start.
//  - kNotHeld: it neither holds nor seeks it, and gave up an attempt of its
//    own.
//  - kRefused: it holds or seeks it, and its own map names it as owner; or it
//    knows the asker as dead or in a later incarnation.
//
// The asker starts on one kReleased, or when all have answered kNotHeld or are
// dead. In both cases everybody who lately asked it must have answered as well.
// An answer counts for one attempt of one incarnation. Refused askers ask again
// until the views agree. A holder whom the map no longer names goes on until it
// is asked, so a planned handover leaves no gap.
//
// After a start the upstream may still be working for the predecessor. If that
// released it, it tells how many requests are in flight; the successor leaves
// them their slots and asks until they have ended. If it died, its lease was
// over before that was known, and the successor sends `m_rampSlots` at once
// until the longest deadline has passed.
//
// Bound on overlap. No two instances may send to one upstream at the same time,
// unless
//  1. membership declares the death of an instance whose lease runs on (see
//     membership.h for when that can be), or
//  2. each of the two started without knowing of the other, nor did any
//     instance that answered both (a fleet whose halves never met); or each
//     took the other for joining for `m_joiningTimeout`, without word from it
//     or from a third that it had become active; or they belong to regions that
//     have lost each other and the upstream's region had no instance left in
//     the view of one of them.
// Counting also what a dead predecessor sent, an upstream may have
// `slots + m_rampSlots` requests, for no longer than the longest deadline.
//
// The price: an instance that neither answers nor dies (a split within the
// region that leaves both sides their monitors) keeps an upstream whose owner
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
  // How often unanswered questions are asked again.
  Duration m_requestInterval = Milliseconds(500);
  // How often a predecessor is asked whether its requests have ended.
  Duration m_pollInterval = Milliseconds(50);
  // How long the answer of an instance that is joining is waited for.
  Duration m_joiningTimeout = Seconds(4);
  // Answers of an attempt that takes longer are all asked for again.
  Duration m_attemptTimeout = Seconds(20);
  // How long those who asked are remembered; more than two attempts.
  Duration m_requesterRetention = Seconds(60);
  // Requests at once while a dead predecessor's may still be running.
  uint32_t m_rampSlots = 1;
};

enum class OwnershipState
{
  // Neither held nor sought.
  kReleased,
  kAcquiring,
  // Held, with fewer slots than configured.
  kRamping,
  kHeld,
};

// Returns the stable name of `aState`, such as "ramping".
[[nodiscard]] std::string_view
OwnershipStateName(OwnershipState aState);

// A question to send to `m_peerAddress`.
struct AcquireAction
{
  InstanceId m_target;
  std::string m_peerAddress;
  AcquireRequest m_request;
};

// A notice to send to `m_peerAddress`.
struct HandOverAction
{
  InstanceId m_target;
  std::string m_peerAddress;
  HandOverNotice m_notice;
};

// One instance's part in ownership. Not thread-safe.
class OwnershipManager
{
public:
  OwnershipManager(OwnershipSettings aSettings, InstanceId aSelf);

  // Takes a new view or configuration and the owner map built from them. The
  // view must contain this instance. Call it whenever the view's version or the
  // generation changes, before the next Tick.
  void OnView(std::shared_ptr<const OwnerMap> aOwners,
              const MembershipView& aView,
              const Configuration& aConfiguration,
              TimePoint aNow);

  // Does what is due and returns the questions to send.
  [[nodiscard]] std::vector<AcquireAction> Tick(TimePoint aNow);

  // Answers another instance's question.
  [[nodiscard]] AcquireResponse OnAcquire(const AcquireRequest& aRequest,
                                          TimePoint aNow);

  // Takes an answer; late, doubled and crossed ones are told apart here.
  void OnResponse(const AcquireResponse& aResponse, TimePoint aNow);

  // Returns notices to the successors of all that is held, for a graceful stop
  // after the view has this instance as leaving. Sending continues until they
  // ask.
  [[nodiscard]] std::vector<HandOverAction> MakeHandOverNotices() const;

  // Takes such a notice: asks at once, before the view says so.
  void OnHandOver(const HandOverNotice& aNotice, TimePoint aNow);

  // Returns how many requests `aUpstream` may have from this instance at
  // `aNow`; 0 when it is not held or the lease is over. Check it right before
  // each sending with the lease as it is then.
  [[nodiscard]] uint32_t AllowedSlots(const UpstreamId& aUpstream,
                                      const Lease& aLease,
                                      TimePoint aNow) const;

  // Returns how many requests of a predecessor `aUpstream` may still be
  // working on at `aNow`.
  [[nodiscard]] uint32_t PredecessorWork(const UpstreamId& aUpstream,
                                         TimePoint aNow) const;

  // Counts a request that was sent, which ends by `aDeadline` at the latest.
  void OnSent(const UpstreamId& aUpstream, TimePoint aDeadline);
  // Counts the end of a request that was sent.
  void OnFinished(const UpstreamId& aUpstream);

  // Returns the requests sent and not finished.
  [[nodiscard]] uint32_t InFlight(const UpstreamId& aUpstream) const;

  // Returns how often the upstream has changed hands. Goes into messages; a
  // lower one than was seen before is from a former holder.
  [[nodiscard]] uint64_t EpochOf(const UpstreamId& aUpstream) const;

  [[nodiscard]] OwnershipState StateOf(const UpstreamId& aUpstream,
                                       TimePoint aNow) const;

  // Notes what is known of the upstream's cold start, for its next holder, and
  // returns what the predecessor or this instance noted last.
  void SetColdStartState(const UpstreamId& aUpstream,
                         const ColdStartState& aColdStartState);
  [[nodiscard]] ColdStartState ColdStartStateOf(
    const UpstreamId& aUpstream) const;

  // Returns when Tick is next due; TimePoint::max() when nothing is sought.
  [[nodiscard]] TimePoint NextTick() const;

private:
  // Another instance that may hold or seek an upstream.
  struct Contact
  {
    InstanceRef m_instance;
    std::string m_peerAddress;
    TimePoint m_seenAt;
  };

  struct Entry
  {
    // Configured, and named to be this instance's by its map or by a notice.
    bool m_wanted = false;
    DataCentre m_dataCentre;
    // The last other instance that the map named.
    InstanceId m_formerOwner;
    TimePoint m_noticeExpiresAt = TimePoint::min();
    bool m_held = false;
    uint32_t m_slots = 0;
    Duration m_maxDeadline{};

    // The attempt to acquire it.
    uint64_t m_attempt = 0;
    TimePoint m_attemptStartedAt;
    TimePoint m_nextRequestAt;
    std::set<InstanceRef> m_responded;
    bool m_released = false;
    InstanceRef m_releasedBy;
    uint32_t m_predecessorInFlight = 0;
    TimePoint m_predecessorDeadline;

    uint64_t m_epoch = 0;
    // The last epoch that this instance held.
    uint64_t m_heldEpoch = 0;
    uint32_t m_rampSlots = 0;
    TimePoint m_rampUntil = TimePoint::min();

    // To whom it was released, so that a lost answer can be repeated.
    InstanceRef m_releasedTo;
    uint64_t m_releasedToEpoch = 0;
    std::vector<Contact> m_contacts;

    uint32_t m_inFlight = 0;
    TimePoint m_latestDeadline = TimePoint::min();
    ColdStartState m_coldStartState;
  };

  using RequestMap = std::map<InstanceId, AcquireAction>;

  void UpdateEntries(const OwnerMap& aFormer,
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
