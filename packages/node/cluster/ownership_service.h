// Runs the holder of this instance: which upstreams it owns, asking others to
// release them, and the permit to send.
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

// Told of changes on the loop's thread.
class OwnershipObserver
{
public:
  virtual ~OwnershipObserver() = default;
  // Upstreams may have been gained, lost or allowed other slots.
  virtual void OnOwnershipChanged() = 0;
};

struct OwnershipServiceOptions
{
  OwnershipSettings m_manager;
  // The bound of one acquire request to another instance.
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

  // Takes the configuration in force; also call it when the view changed.
  void Update(ConfigurationPtr aConfiguration);

  // Returns the instance that may send to `aUpstream`, or null when none is
  // known.
  [[nodiscard]] const InstanceRecord* OwnerOf(
    const UpstreamId& aUpstream) const;
  [[nodiscard]] bool Owns(const UpstreamId& aUpstream) const;
  // The upstreams that the map names as this instance's.
  [[nodiscard]] std::span<const UpstreamId> OwnedUpstreams() const;
  // The slots that may be used now; 0 without a lease.
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
  // Tells the next owners that they can take over.
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
