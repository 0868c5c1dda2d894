#include "runtime/peer/links.h"

#include <utility>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

// A connection whose probe is not answered within this time is dropped.
constexpr Duration kVerifyTimeout = Milliseconds(300);

} // namespace

PeerLinks::PeerLinks(Loop& aLoop)
  : m_loop(aLoop)
  , m_tasks(*this)
{
}

kj::Promise<wire::Peer::Client>
PeerLinks::Connect(std::string_view aAddress)
{
  auto found = m_links.find(aAddress);
  if (found == m_links.end()) {
    auto link = kj::refcounted<Link>();
    link->m_peer = Open(aAddress, *link).fork();
    found = m_links.emplace(std::string(aAddress), kj::mv(link)).first;
  }
  Link& link = *found->second;
  return link.m_peer.addBranch().attach(kj::addRef(link));
}

kj::Promise<wire::Peer::Client>
PeerLinks::Open(std::string_view aAddress, Link& aLink)
{
  std::string address(aAddress);
  return m_loop.Io()
    .provider->getNetwork()
    .parseAddress(kj::StringPtr(address.c_str(), address.size()))
    .then([](kj::Own<kj::NetworkAddress> aNetworkAddress) {
      return aNetworkAddress->connect().attach(kj::mv(aNetworkAddress));
    })
    .then(
      [this, &aLink, address](kj::Own<kj::AsyncIoStream> aStream) {
        aLink.m_client = kj::heap<capnp::TwoPartyClient>(*aStream);
        aLink.m_stream = kj::mv(aStream);
        aLink.m_disconnected =
          aLink.m_client->onDisconnect()
            .then([this, address, &aLink]() { DropLink(address, aLink); })
            .eagerlyEvaluate(nullptr);
        // Called only once for each connection: after a disconnect, calls on
        // the capability fail, whereas another `bootstrap` would throw.
        return aLink.m_client->bootstrap().castAs<wire::Peer>();
      },
      [this, &aLink, address](
        kj::Exception&& aException) -> wire::Peer::Client {
        DropLink(address, aLink);
        kj::throwFatalException(kj::mv(aException));
      });
}

void
PeerLinks::DropLink(const std::string& aAddress, const Link& aLink)
{
  auto found = m_links.find(aAddress);
  if (found != m_links.end() && found->second.get() == &aLink) {
    Drop(aAddress);
  }
}

void
PeerLinks::Drop(std::string_view aAddress)
{
  auto found = m_links.find(aAddress);
  if (found == m_links.end()) {
    return;
  }
  // The calling code may run in a callback of this connection, so the link is
  // destroyed in a later turn.
  m_loop.RunLater([link = kj::mv(found->second)]() mutable { link = nullptr; });
  m_links.erase(found);
}

void
PeerLinks::Verify(std::string_view aAddress)
{
  auto found = m_links.find(aAddress);
  if (found == m_links.end() || found->second->m_verifying) {
    return;
  }
  Link& link = *found->second;
  link.m_verifying = true;
  std::string address(aAddress);
  auto probe = Connect(aAddress).then([](wire::Peer::Client aPeer) {
    return aPeer.probeRequest().send().ignoreResult();
  });
  m_tasks.add(
    m_loop.Clock()
      .Timer()
      .timeoutAfter(kVerifyTimeout.count() * kj::NANOSECONDS, kj::mv(probe))
      .then([&link]() { link.m_verifying = false; },
            [this, address, &link](kj::Exception&& /* aException */) {
              link.m_verifying = false;
              DropLink(address, link);
            })
      .attach(kj::addRef(link)));
}

void
PeerLinks::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "peer link task failed", aException);
}

PeerServer::PeerServer(Loop& aLoop,
                       wire::Peer::Client aPeer,
                       std::string_view aHost,
                       uint16_t aPort)
  : m_server(kj::mv(aPeer))
  , m_listening(nullptr)
{
  std::string address =
    absl::StrCat(absl::string_view(aHost.data(), aHost.size()), ":", aPort);
  m_receiver = aLoop.Io()
                 .provider->getNetwork()
                 .parseAddress(kj::StringPtr(address.c_str(), address.size()))
                 .wait(aLoop.WaitScope())
                 ->listen();
  m_port = static_cast<uint16_t>(m_receiver->getPort());
  m_listening = m_server.listen(*m_receiver).eagerlyEvaluate(nullptr);
}

} // namespace ebonykeel
