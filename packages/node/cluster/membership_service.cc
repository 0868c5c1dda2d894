#include "node/cluster/membership_service.h"

#include <algorithm>
#include <utility>

#include <kj/debug.h>

#include "node/wire/peer_codec.h"
#include "runtime/log/events.h"

namespace ebonykeel {

MembershipService::MembershipService(Loop& aLoop,
                                     PeerLinks& aLinks,
                                     ObjectStore& aStore,
                                     const MembershipServiceOptions& aOptions,
                                     InstanceRecord aSelf,
                                     absl::BitGenRef aRandom)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_store(aStore)
  , m_options(aOptions)
  , m_membership(aOptions.m_membership,
                 std::move(aSelf),
                 aRandom,
                 aLoop.Clock().Now())
  , m_alarm(aLoop.Clock(), [this]() { Tick(); })
  , m_tasks(*this)
{
}

void
MembershipService::Start(MembershipObserver& aObserver)
{
  m_observer = &aObserver;
  m_tasks.add(ReadInstanceListPeriodically());
  Tick();
}

Gossip
MembershipService::OnPing(const Gossip& aPing)
{
  Gossip ack = m_membership.OnPing(aPing, m_loop.Clock().Now());
  ReportChanges();
  return ack;
}

void
MembershipService::SetState(InstanceState aState)
{
  m_membership.SetSelfState(aState, m_loop.Clock().Now());
  // Announces the state without waiting for the next tick.
  Tick();
}

void
MembershipService::SetGeneration(Generation aGeneration)
{
  m_membership.SetGeneration(aGeneration);
}

void
MembershipService::SetLoad(float aLoad)
{
  m_membership.SetLoad(aLoad);
}

const MembershipView&
MembershipService::View() const
{
  return m_membership.View();
}

const InstanceRecord&
MembershipService::Self() const
{
  return m_membership.Self();
}

Lease
MembershipService::CurrentLease() const
{
  return m_membership.CurrentLease();
}

bool
MembershipService::HoldsLease() const
{
  return m_membership.HoldsLease(m_loop.Clock().Now());
}

bool
MembershipService::IsSuspected(const InstanceId& aId) const
{
  return m_membership.IsSuspected(aId);
}

const InstanceRecord*
MembershipService::FindLive(const InstanceId& aId) const
{
  const InstanceRecord* record = m_membership.View().Find(aId);
  bool live = record != nullptr && record->m_state != InstanceState::kDead;
  return live ? record : nullptr;
}

void
MembershipService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "membership task failed", aException);
}

void
MembershipService::Tick()
{
  for (PingAction& action : m_membership.Tick(m_loop.Clock().Now())) {
    SendPing(std::move(action));
  }
  ReportChanges();
}

void
MembershipService::SendPing(PingAction aAction)
{
  TimePoint sentAt = m_loop.Clock().Now();
  std::string address = aAction.m_peerAddress;
  InstanceId target = aAction.m_target;
  auto call = m_links.Connect(address).then(
    [gossip = std::move(aAction.m_gossip)](wire::Peer::Client aPeer) mutable {
      auto request = aPeer.pingRequest();
      WriteGossip(gossip, request.initGossip());
      return request.send().then(
        [](capnp::Response<wire::Peer::PingResults>&& aResults) {
          return ReadGossip(aResults.getGossip());
        });
    });
  m_tasks.add(m_loop.Clock()
                .Timer()
                .timeoutAfter(m_options.m_pingTimeout.count() * kj::NANOSECONDS,
                              kj::mv(call))
                .then(
                  [this, target, sentAt](Gossip&& aAck) {
                    m_membership.OnAck(
                      target, sentAt, aAck, m_loop.Clock().Now());
                    ReportChanges();
                  },
                  [this, target, address](kj::Exception&& /* aException */) {
                    m_links.Drop(address);
                    m_membership.OnPingFailed(target, m_loop.Clock().Now());
                    ReportChanges();
                  }));
}

void
MembershipService::ReportChanges()
{
  m_alarm.Set(m_membership.NextTick());
  if (m_observer == nullptr) {
    return;
  }
  bool lease = HoldsLease();
  uint64_t version = m_membership.View().m_version;
  if (lease != m_reportedLease) {
    LogEvent(lease ? Event::kLeaseGained : Event::kLeaseLost,
             { { "id", Self().m_id.Text() } });
  }
  bool changed = version != m_reportedVersion || lease != m_reportedLease;
  m_reportedVersion = version;
  m_reportedLease = lease;
  if (changed) {
    m_observer->OnMembershipChanged();
  }
  Membership::NewestGeneration newest = m_membership.FindNewestGeneration();
  if (newest.m_generation > Self().m_generation) {
    m_observer->OnNewerGeneration(newest.m_source, newest.m_generation);
  }
}

kj::Promise<void>
MembershipService::ReadInstanceListPeriodically()
{
  return m_store.ListInstances().then([this](InstanceList aList) {
    if (aList.m_known) {
      m_membership.OnInstanceList(aList.m_instances, m_loop.Clock().Now());
      ReportChanges();
    }
    Duration interval = HasActivePeer() ? m_options.m_listInterval
                                        : m_options.m_aloneListInterval;
    return m_loop.Clock().After(interval).then(
      [this]() { return ReadInstanceListPeriodically(); });
  });
}

bool
MembershipService::HasActivePeer() const
{
  return std::ranges::any_of(m_membership.View().m_records,
                             [this](const InstanceRecord& aRecord) {
                               return aRecord.m_id != Self().m_id &&
                                      aRecord.m_state == InstanceState::kActive;
                             });
}

} // namespace ebonykeel
