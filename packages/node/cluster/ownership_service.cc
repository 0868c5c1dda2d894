#include "node/cluster/ownership_service.h"

#include <utility>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"
#include "node/wire/peer_codec.h"
#include "runtime/log/events.h"

namespace ebonykeel {

OwnershipService::OwnershipService(Loop& aLoop,
                                   PeerLinks& aLinks,
                                   MembershipService& aMembership,
                                   const OwnershipServiceOptions& aOptions)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_membership(aMembership)
  , m_options(aOptions)
  , m_manager(aOptions.m_manager, aMembership.Self().m_id)
  , m_owners(std::make_shared<OwnerMap>())
  , m_alarm(aLoop.Clock(), [this]() { Tick(); })
  , m_tasks(*this)
{
}

OwnershipService::~OwnershipService() noexcept = default;

void
OwnershipService::Start(OwnershipObserver& aObserver)
{
  m_observer = &aObserver;
}

void
OwnershipService::Update(ConfigurationPtr aConfiguration)
{
  if (aConfiguration == nullptr) {
    return;
  }
  m_configuration = std::move(aConfiguration);
  const MembershipView& view = m_membership.View();
  m_owners =
    std::make_shared<OwnerMap>(BuildOwnerMap(*m_configuration, view.m_records));
  m_manager.OnView(m_owners, view, *m_configuration, m_loop.Clock().Now());
  LogEvent(Event::kOwnershipChanged,
           { { "owned", absl::StrCat(OwnedUpstreams().size()) },
             { "view", absl::StrCat(view.m_version) },
             { "generation", absl::StrCat(m_configuration->m_generation) } });
  Tick();
}

const InstanceRecord*
OwnershipService::OwnerOf(const UpstreamId& aUpstream) const
{
  return m_membership.FindLive(m_owners->OwnerOf(aUpstream));
}

bool
OwnershipService::Owns(const UpstreamId& aUpstream) const
{
  return m_owners->OwnerOf(aUpstream) == m_membership.Self().m_id;
}

std::span<const UpstreamId>
OwnershipService::OwnedUpstreams() const
{
  return m_owners->OwnedBy(m_membership.Self().m_id);
}

uint32_t
OwnershipService::AllowedSlots(const UpstreamId& aUpstream,
                               TimePoint aNow) const
{
  return m_manager.AllowedSlots(aUpstream, m_membership.CurrentLease(), aNow);
}

uint32_t
OwnershipService::PredecessorWork(const UpstreamId& aUpstream,
                                  TimePoint aNow) const
{
  return m_manager.PredecessorWork(aUpstream, aNow);
}

ColdStartState
OwnershipService::ColdStartStateOf(const UpstreamId& aUpstream) const
{
  return m_manager.ColdStartStateOf(aUpstream);
}

void
OwnershipService::OnSent(const UpstreamId& aUpstream, TimePoint aDeadline)
{
  m_manager.OnSent(aUpstream, aDeadline);
}

void
OwnershipService::OnFinished(const UpstreamId& aUpstream)
{
  m_manager.OnFinished(aUpstream);
}

void
OwnershipService::SetColdStartState(const UpstreamId& aUpstream,
                                    const ColdStartState& aColdStartState)
{
  m_manager.SetColdStartState(aUpstream, aColdStartState);
}

AcquireResponse
OwnershipService::OnAcquire(const AcquireRequest& aRequest)
{
  AcquireResponse response =
    m_manager.OnAcquire(aRequest, m_loop.Clock().Now());
  SetAlarm();
  if (m_observer != nullptr) {
    m_loop.RunLater([this]() { m_observer->OnOwnershipChanged(); });
  }
  return response;
}

void
OwnershipService::OnHandOver(const HandOverNotice& aNotice)
{
  m_manager.OnHandOver(aNotice, m_loop.Clock().Now());
  Tick();
}

void
OwnershipService::HandOverAll()
{
  for (HandOverAction& action : m_manager.MakeHandOverNotices()) {
    m_tasks.add(
      m_links.Connect(action.m_peerAddress)
        .then([notice = std::move(action.m_notice)](wire::Peer::Client aPeer) {
          auto request = aPeer.handOverRequest();
          WriteHandOverNotice(notice, request.initNotice());
          return request.send().ignoreResult();
        })
        .catch_([](kj::Exception&& /* aException */) {
          // Without the notice, the successor sends its acquire request once
          // its own view names it as the owner.
        }));
  }
}

void
OwnershipService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "ownership task failed", aException);
}

void
OwnershipService::Tick()
{
  for (AcquireAction& action : m_manager.Tick(m_loop.Clock().Now())) {
    SendAcquireRequest(std::move(action));
  }
  SetAlarm();
  if (m_observer != nullptr) {
    m_observer->OnOwnershipChanged();
  }
}

void
OwnershipService::SendAcquireRequest(AcquireAction aAction)
{
  std::string address = aAction.m_peerAddress;
  auto call = m_links.Connect(address).then(
    [message = std::move(aAction.m_request)](wire::Peer::Client aPeer) {
      auto request = aPeer.acquireRequest();
      WriteAcquireRequest(message, request.initRequest());
      return request.send().then(
        [](capnp::Response<wire::Peer::AcquireResults>&& aResults) {
          return ReadAcquireResponse(aResults.getReply());
        });
    });
  m_tasks.add(
    m_loop.Clock()
      .Timer()
      .timeoutAfter(m_options.m_acquireTimeout.count() * kj::NANOSECONDS,
                    kj::mv(call))
      .then(
        [this](AcquireResponse&& aResponse) {
          m_manager.OnResponse(aResponse, m_loop.Clock().Now());
          Tick();
        },
        [this, address](kj::Exception&& /* aException */) {
          m_links.Drop(address);
        }));
}

void
OwnershipService::SetAlarm()
{
  TimePoint next = m_manager.NextTick();
  if (next == TimePoint::max()) {
    m_alarm.Set(std::nullopt);
    return;
  }
  m_alarm.Set(next);
}

} // namespace ebonykeel
