// Connections to other instances, opened on demand and reused.
//
//   PeerLinks links(loop);
//   links.Connect("127.0.0.1:7001").then([](wire::Peer::Client peer) { ... });
//   links.Drop("127.0.0.1:7001");  // after a call that timed out
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "runtime/loop/loop.h"
#include "runtime/peer/peer.capnp.h"

namespace ebonykeel {

// Holds one connection for each peer address. Not thread-safe; the loop must
// outlive it.
class PeerLinks final : private kj::TaskSet::ErrorHandler
{
public:
  explicit PeerLinks(Loop& aLoop);

  // Resolves with the peer at `aAddress` ("host:port") once the connection is
  // open. Fails with a DISCONNECTED exception if the peer cannot be reached,
  // which proves that no call was sent.
  [[nodiscard]] kj::Promise<wire::Peer::Client> Connect(
    std::string_view aAddress);

  // Closes the connection to `aAddress`. Calls in flight fail, and the next
  // `Connect` opens a new connection. Call it when a call failed or timed out:
  // a connection can stay unresponsive while new ones work.
  void Drop(std::string_view aAddress);

  // Probes the connection to `aAddress`, if there is one, and drops it if the
  // peer does not respond in time. Call it when a call takes unusually long.
  void Verify(std::string_view aAddress);

  [[nodiscard]] size_t Count() const { return m_links.size(); }

private:
  struct Link : public kj::Refcounted
  {
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_client;
    // Resolves with the peer once the connection is open.
    kj::ForkedPromise<wire::Peer::Client> m_peer = nullptr;
    kj::Maybe<kj::Promise<void>> m_disconnected;
    // Whether a probe is in flight.
    bool m_verifying = false;
  };

  kj::Promise<wire::Peer::Client> Open(std::string_view aAddress, Link& aLink);
  // Drops `aLink` unless another link has taken its place.
  void DropLink(const std::string& aAddress, const Link& aLink);

  void taskFailed(kj::Exception&& aException) override;

  Loop& m_loop;
  std::map<std::string, kj::Own<Link>, std::less<>> m_links;
  kj::TaskSet m_tasks;
};

// Serves the peer interface to other instances.
class PeerServer
{
public:
  // Listens at `aHost`:`aPort`; port 0 selects a free port. The loop must
  // outlive the server. Throws a kj exception if the address cannot be bound.
  PeerServer(Loop& aLoop,
             wire::Peer::Client aPeer,
             std::string_view aHost,
             uint16_t aPort);

  [[nodiscard]] uint16_t Port() const { return m_port; }

private:
  capnp::TwoPartyServer m_server;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  uint16_t m_port = 0;
  kj::Promise<void> m_listening;
};

} // namespace ebonykeel
