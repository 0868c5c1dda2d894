// An HTTP server that can fail on purpose: it can reset connections, leave
// requests unanswered and truncate responses.
//
// It uses kj's HTTP library because that gives access to each connection,
// unlike h2o's server.
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

// How the response to a request ends.
enum class ReplyEnding
{
  kComplete,
  // The connection is reset without a response.
  kReset,
  // No response is sent; the connection stays open.
  kHang,
  // Half of the body is sent, then the connection is reset.
  kTruncate,
  // The body is sent again and again in chunked encoding, without an end.
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

// Answers requests and accepts or rejects new connections.
class StandinHandler
{
public:
  virtual ~StandinHandler() = default;
  virtual kj::Promise<Reply> Handle(HttpRequest aRequest) = 0;
  // Returns the delay before the first request of a new connection is read, or
  // nullopt to reset the connection.
  virtual std::optional<Duration> OnConnect() { return Duration::zero(); }
  // Called when a connection that `OnConnect` accepted is closed.
  virtual void OnDisconnect() {}
};

// Listens on one address. The loop and the handler must outlive the listener.
class HttpListener final : private kj::TaskSet::ErrorHandler
{
public:
  HttpListener(Loop& aLoop, StandinHandler& aHandler);
  ~HttpListener() noexcept;
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Starts to listen and returns the bound port; port 0 selects any free port.
  // Fails with InvalidArgument if the host is not a numeric IPv4 address and
  // with Unavailable if the address cannot be bound.
  [[nodiscard]] absl::StatusOr<uint16_t> Listen(const Endpoint& aEndpoint);

  // Refuses new connections until `Listen` is called again.
  void StopListening();

  // Resets all open connections, including those with pending requests.
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
  // The connection for which `m_server` creates its service next.
  Connection* m_accepting = nullptr;
  kj::HttpServer m_server;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  kj::Promise<void> m_accepts = nullptr;
  std::list<Connection*> m_connections;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
