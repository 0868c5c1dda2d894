// Connections to other instances, kept and reopened as needed.
//
//   PeerLinks links(loop);
//   links.Connect("127.0.0.1:7001").then([](wire::Peer::Client peer) { ... });
//   links.Drop("127.0.0.1:7001");  // after a call that missed its bound
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "runtime/loop/loop.h"
#include "runtime/peer/peer.capnp.h"

namespace ebonykeel {

// One connection for each peer address. Not thread-safe; the loop must outlive
// it.
class PeerLinks final : private kj::TaskSet::ErrorHandler
{
public:
  explicit PeerLinks(Loop& aLoop);

  // Returns the peer at `aAddress` ("host:port") once it is connected. Fails
  // with a DISCONNECTED exception when it cannot be reached, which proves that
  // no call was sent.
  [[nodiscard]] kj::Promise<wire::Peer::Client> Connect(
    std::string_view aAddress);

  // Closes the connection to `aAddress`. Calls in flight fail, and the next
  // `Connect` opens a new one. Call it when a call failed or missed its bound:
  // a connection can go silent for good while new ones work.
  void Drop(std::string_view aAddress);

  // Asks the peer at `aAddress` for a sign of life, and drops the connection
  // if none comes in time. Call it when a call went unanswered for long.
  void Verify(std::string_view aAddress);

  [[nodiscard]] size_t Count() const { return m_links.size(); }

private:
  struct Link : public kj::Refcounted
  {
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_client;
    // Resolves with the peer when the connection is open.
    kj::ForkedPromise<wire::Peer::Client> m_peer = nullptr;
    kj::Maybe<kj::Promise<void>> m_disconnected;
    // The check that is under way, if any.
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

// Serves a peer interface to other instances.
class PeerServer
{
public:
  // Listens at `aHost`:`aPort`; port 0 takes a free one. The loop must outlive
  // the server. Throws a kj exception when the address cannot be bound.
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
