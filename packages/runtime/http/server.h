// An HTTP server on the process's event loop, built on h2o.
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
// a connection while a request on it is processed, so the server detects that a
// caller has disconnected only when it sends the answer: bound the work by its
// deadline. If the promise fails, the server answers with status 500.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  virtual kj::Promise<HttpResponse> Handle(HttpRequest aRequest) = 0;
};

struct HttpServerOptions
{
  // A request with a longer body is answered with status 413 without calling
  // the handler.
  size_t m_maxBodyBytes = size_t{ 1 } << 20;
};

// A listening server. The loop and the handler must outlive it.
class HttpServer
{
public:
  // Starts to listen; port 0 selects a free port. Fails with Unavailable if the
  // address cannot be bound, InvalidArgument if it is not an IP address.
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<HttpServer>> Listen(
    Loop& aLoop,
    const Endpoint& aEndpoint,
    const HttpServerOptions& aOptions,
    HttpHandler& aHandler);

  virtual ~HttpServer() = default;

  // Returns the bound port.
  [[nodiscard]] virtual uint16_t Port() const = 0;
  // Returns the number of requests whose answers have not been written to the
  // socket.
  [[nodiscard]] virtual size_t InFlight() const = 0;
  // Returns the number of requests received since the start.
  [[nodiscard]] virtual uint64_t Accepted() const = 0;
  // Makes each further answer ask its caller to close the connection. The
  // server accepts new connections until `StopListening`.
  virtual void BeginShutdown() = 0;
  virtual void StopListening() = 0;
};

} // namespace ebonykeel
