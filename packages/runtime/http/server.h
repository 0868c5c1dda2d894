// An HTTP server on the process's loop, built on h2o.
//
//   class Hello : public HttpHandler {
//     kj::Promise<HttpResponse> Handle(HttpRequest) override {
//       return HttpResponse{ .m_body = "hi" };
//     }
//   };
//   auto server = HttpServer::Listen(loop, { "127.0.0.1", 0 }, {}, handler);
//   uint16_t port = (*server)->Port();
#pragma once

#include <cstddef>
#include <memory>

#include <kj/async.h>

#include "absl/status/statusor.h"
#include "runtime/http/message.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {

// Answers requests. `Handle` runs on the loop's thread. h2o does not read from
// a connection while a request on it is worked on, so a caller that goes away
// is noticed only when the answer is sent: bound the work by its deadline. A
// promise that fails is answered with status 500.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  virtual kj::Promise<HttpResponse> Handle(HttpRequest aRequest) = 0;
};

struct HttpServerOptions
{
  // A longer body is answered with status 413 before the handler sees it.
  size_t m_maxBodyBytes = size_t{ 1 } << 20;
};

// A listening server. The loop and the handler must outlive it.
class HttpServer
{
public:
  // Starts to listen; port 0 takes a free one. Fails with Unavailable when the
  // address cannot be bound, InvalidArgument when it is not an IP number.
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<HttpServer>> Listen(
    Loop& aLoop,
    const Endpoint& aEndpoint,
    const HttpServerOptions& aOptions,
    HttpHandler& aHandler);

  virtual ~HttpServer() = default;

  // The port that is bound.
  [[nodiscard]] virtual uint16_t Port() const = 0;
  // Requests whose answers have not been handed to the socket.
  [[nodiscard]] virtual size_t InFlight() const = 0;
  // Requests taken since the start.
  [[nodiscard]] virtual uint64_t Accepted() const = 0;
  // From now on each answer asks its caller to close the connection. New
  // connections are still accepted until `StopListening`.
  virtual void BeginShutdown() = 0;
  virtual void StopListening() = 0;
};

} // namespace ebonykeel
