// An HTTP server that can misbehave on purpose: it resets connections, leaves
// requests without an answer and breaks answers off.
//
// It is built on kj's HTTP library, which hands over each connection, where
// h2o's server keeps them to itself.
//
//   HttpListener listener(loop, handler);
//   uint16_t port = *listener.Listen({ "127.0.0.1", 0 });
#pragma once

#include <list>
#include <memory>
#include <optional>

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/compat/http.h>

#include "absl/status/statusor.h"
#include "runtime/http/message.h"
#include "runtime/loop/loop.h"

namespace ebonykeel::standins {

// How an answer ends.
enum class ReplyEnding
{
  kComplete,
  // The connection is reset in place of an answer.
  kReset,
  // Nothing is ever sent; the connection stays open.
  kHang,
  // Half of the body is sent, then the connection is reset.
  kTruncate,
  // The body is repeated without end, in chunks.
  kEndless,
};

struct Reply
{
  HttpResponse m_response;
  ReplyEnding m_ending = ReplyEnding::kComplete;
};

// Returns a complete reply with a JSON body.
[[nodiscard]] Reply
JsonReply(int aStatus, std::string aBody);

// Answers requests and decides about new connections.
class StandinHandler
{
public:
  virtual ~StandinHandler() = default;
  virtual kj::Promise<Reply> Handle(HttpRequest aRequest) = 0;
  // Returns how long the first request of a new connection is held back, or
  // nothing to reset the connection.
  virtual std::optional<Duration> OnConnect() { return Duration::zero(); }
  // Called once for each connection that `OnConnect` let in.
  virtual void OnDisconnect() {}
};

// Listens on one address. The loop and the handler must outlive it.
class HttpListener final : private kj::TaskSet::ErrorHandler
{
public:
  HttpListener(Loop& aLoop, StandinHandler& aHandler);
  ~HttpListener() noexcept;
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Starts to listen and returns the bound port; port 0 takes a free one.
  // Fails with InvalidArgument when the host is not an IPv4 number and with
  // Unavailable when the address cannot be bound.
  [[nodiscard]] absl::StatusOr<uint16_t> Listen(const Endpoint& aEndpoint);

  // Refuses new connections until `Listen` is called again.
  void StopListening();

  // Resets every open connection, with the requests on it.
  void ResetConnections();

private:
  class Connection;
  class Service;

  kj::Promise<void> AcceptAll();
  void Accept(kj::Own<kj::AsyncIoStream> aStream);
  void taskFailed(kj::Exception&& aException) override;

  Loop& m_loop;
  StandinHandler& m_handler;
  kj::HttpHeaderTable m_headerTable;
  // The connection that `m_server` is being given, while it is given.
  Connection* m_accepting = nullptr;
  kj::HttpServer m_server;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  kj::Promise<void> m_accepts = nullptr;
  std::list<Connection*> m_connections;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
