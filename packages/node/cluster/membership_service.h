// Drives the membership state machine of this instance: runs its timer, sends
// its pings to other instances and reads the platform's instance list.
#pragma once

#include <functional>
#include <vector>

#include "absl/random/bit_gen_ref.h"
#include "core/membership/membership.h"
#include "runtime/loop/alarm.h"
#include "runtime/peer/links.h"
#include "runtime/store/object_store.h"

namespace ebonykeel {

struct MembershipServiceOptions
{
  MembershipSettings m_membership;
  // How long to wait for the response to a ping.
  Duration m_pingTimeout = Seconds(1);
  // The interval between reads of the instance list while no other active
  // instance is in the view.
  Duration m_aloneListInterval = Seconds(2);
  // The interval between reads of the instance list otherwise.
  Duration m_listInterval = Seconds(60);
};

// Receives changes of the membership, on the loop's thread.
class MembershipObserver
{
public:
  virtual ~MembershipObserver() = default;
  // Called when the view has a new version, or the lease was gained or lost.
  virtual void OnMembershipChanged() = 0;
  // Called when another instance announces a configuration generation above
  // the one that this instance announces. May repeat for one generation.
  virtual void OnNewerGeneration(const InstanceId& aPeer,
                                 Generation aGeneration) = 0;
};

// All references must outlive the service.
class MembershipService final : private kj::TaskSet::ErrorHandler
{
public:
  MembershipService(Loop& aLoop,
                    PeerLinks& aLinks,
                    ObjectStore& aStore,
                    const MembershipServiceOptions& aOptions,
                    InstanceRecord aSelf,
                    absl::BitGenRef aRandom);

  // Starts pinging and reading the instance list. Call it once.
  void Start(MembershipObserver& aObserver);

  // Processes a ping and returns the response.
  [[nodiscard]] Gossip OnPing(const Gossip& aPing);
  void SetState(InstanceState aState);
  void SetGeneration(Generation aGeneration);
  void SetLoad(float aLoad);

  [[nodiscard]] const MembershipView& View() const;
  [[nodiscard]] const InstanceRecord& Self() const;
  [[nodiscard]] Lease CurrentLease() const;
  [[nodiscard]] bool HoldsLease() const;
  [[nodiscard]] bool IsSuspected(const InstanceId& aId) const;
  // Returns the record of an instance that is not dead, or null.
  [[nodiscard]] const InstanceRecord* FindLive(const InstanceId& aId) const;

private:
  void taskFailed(kj::Exception&& aException) override;
  void Tick();
  void SendPing(PingAction aAction);
  // Sets the timer again and notifies the observer of changes; called after
  // each input of the state machine.
  void ReportChanges();
  kj::Promise<void> ReadInstanceListPeriodically();
  [[nodiscard]] bool HasActivePeer() const;

  Loop& m_loop;
  PeerLinks& m_links;
  ObjectStore& m_store;
  MembershipServiceOptions m_options;
  Membership m_membership;
  MembershipObserver* m_observer = nullptr;
  Alarm m_alarm;
  uint64_t m_reportedVersion = 0;
  bool m_reportedLease = false;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
