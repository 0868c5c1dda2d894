#include "runtime/peer/links.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {

PeerLinks::PeerLinks(Loop& aLoop)
  : m_loop(aLoop)
{
}

kj::Promise<wire::Peer::Client>
PeerLinks::Connect(std::string_view aAddress)
{
  auto found = m_links.find(aAddress);
  if (found == m_links.end()) {
    auto link = kj::refcounted<Link>();
    link->m_opening = Open(aAddress, *link).fork();
    found = m_links.emplace(std::string(aAddress), kj::mv(link)).first;
  }
  Link& link = *found->second;
  KJ_IF_MAYBE (opening, link.m_opening) {
    return opening->addBranch().then([held = kj::addRef(link)]() mutable {
      return held->m_client->bootstrap().castAs<wire::Peer>();
    });
  }
  return link.m_client->bootstrap().castAs<wire::Peer>();
}

kj::Promise<void>
PeerLinks::Open(std::string_view aAddress, Link& aLink)
{
  std::string address(aAddress);
  return m_loop.Io()
    .provider->getNetwork()
    .parseAddress(kj::StringPtr(address.c_str(), address.size()))
    .then([](kj::Own<kj::NetworkAddress> aParsed) {
      return aParsed->connect().attach(kj::mv(aParsed));
    })
    .then(
      [&aLink](kj::Own<kj::AsyncIoStream> aStream) {
        aLink.m_client = kj::heap<capnp::TwoPartyClient>(*aStream);
        aLink.m_stream = kj::mv(aStream);
      },
      [this, address](kj::Exception&& aException) {
        Drop(address);
        kj::throwFatalException(kj::mv(aException));
      });
}

void
PeerLinks::Drop(std::string_view aAddress)
{
  auto found = m_links.find(aAddress);
  if (found == m_links.end()) {
    return;
  }
  // The caller may run inside a callback of this very connection.
  m_loop.RunLater([link = kj::mv(found->second)]() mutable { link = nullptr; });
  m_links.erase(found);
}

PeerServer::PeerServer(Loop& aLoop,
                       wire::Peer::Client aPeer,
                       std::string_view aHost,
                       uint16_t aPort)
  : m_server(kj::mv(aPeer))
  , m_listening(nullptr)
{
  std::string address = absl::StrCat(
    absl::string_view(aHost.data(), aHost.size()), ":", aPort);
  m_receiver = aLoop.Io()
                 .provider->getNetwork()
                 .parseAddress(kj::StringPtr(address.c_str(), address.size()))
                 .wait(aLoop.WaitScope())
                 ->listen();
  m_port = static_cast<uint16_t>(m_receiver->getPort());
  m_listening = m_server.listen(*m_receiver).eagerlyEvaluate(nullptr);
}

} // namespace ebonykeel
