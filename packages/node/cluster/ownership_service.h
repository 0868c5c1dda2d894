// Drives the ownership manager of this instance: tracks which upstreams the
// instance owns, sends acquire requests to other instances and grants the
// permit to send to an upstream.
#pragma once

#include <memory>
#include <vector>

#include "core/config/configuration.h"
#include "core/ownership/ownership_manager.h"
#include "core/upstream/upstream_dispatcher.h"
#include "node/cluster/membership_service.h"
#include "runtime/loop/alarm.h"
#include "runtime/peer/links.h"

namespace ebonykeel {

// Receives changes of the ownership, on the loop's thread.
class OwnershipObserver
{
public:
  virtual ~OwnershipObserver() = default;
  // Called when upstreams may have been gained or lost, or their allowed slots
  // may have changed.
  virtual void OnOwnershipChanged() = 0;
};

struct OwnershipServiceOptions
{
  OwnershipSettings m_manager;
  // How long to wait for the response to an acquire request.
  Duration m_acquireTimeout = Seconds(1);
};

// All references must outlive the service.
class OwnershipService final
  : public SendPermit
  , private kj::TaskSet::ErrorHandler
{
public:
  OwnershipService(Loop& aLoop,
                   PeerLinks& aLinks,
                   MembershipService& aMembership,
                   const OwnershipServiceOptions& aOptions);
  ~OwnershipService() noexcept override;

  void Start(OwnershipObserver& aObserver);

  // Computes the owners again from `aConfiguration` and the membership view.
  // Call it when either has changed. Does nothing without a configuration.
  void Update(ConfigurationPtr aConfiguration);

  // Returns the record of the instance that the owner map names for
  // `aUpstream`, or null if that instance is unknown or dead.
  [[nodiscard]] const InstanceRecord* OwnerOf(
    const UpstreamId& aUpstream) const;
  [[nodiscard]] bool Owns(const UpstreamId& aUpstream) const;
  // Returns the upstreams for which the owner map names this instance.
  [[nodiscard]] std::span<const UpstreamId> OwnedUpstreams() const;
  // Returns the number of slots that may be used at `aNow`; 0 without a lease.
  [[nodiscard]] uint32_t AllowedSlots(const UpstreamId& aUpstream,
                                      TimePoint aNow) const override;
  [[nodiscard]] uint32_t PredecessorWork(const UpstreamId& aUpstream,
                                         TimePoint aNow) const override;
  [[nodiscard]] ColdStartState ColdStartStateOf(
    const UpstreamId& aUpstream) const;

  void OnSent(const UpstreamId& aUpstream, TimePoint aDeadline);
  void OnFinished(const UpstreamId& aUpstream);
  void SetColdStartState(const UpstreamId& aUpstream,
                         const ColdStartState& aColdStartState);

  [[nodiscard]] AcquireResponse OnAcquire(const AcquireRequest& aRequest);
  void OnHandOver(const HandOverNotice& aNotice);
  // Notifies the next owners that they can take over.
  void HandOverAll();

private:
  void taskFailed(kj::Exception&& aException) override;
  void Tick();
  void SendAcquireRequest(AcquireAction aAction);
  void SetAlarm();

  Loop& m_loop;
  PeerLinks& m_links;
  MembershipService& m_membership;
  OwnershipServiceOptions m_options;
  OwnershipManager m_manager;
  ConfigurationPtr m_configuration;
  std::shared_ptr<const OwnerMap> m_owners;
  OwnershipObserver* m_observer = nullptr;
  Alarm m_alarm;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
