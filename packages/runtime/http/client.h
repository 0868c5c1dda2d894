// An HTTP/1.1 client on the process's event loop, built on h2o.
//
// The client keeps connections to each endpoint and reuses them. A request that
// is abandoned, by its timeout or because its promise is dropped, closes its
// connection, so that a late answer can never reach another request.
//
//   H2oHttpClient client(loop, {});
//   client.Send({ "127.0.0.1", 8080 }, { .m_path = "/health" }, Seconds(1))
//     .then([](HttpReply reply) { ... });
#pragma once

#include <cstddef>
#include <memory>

#include <kj/async.h>

#include "absl/status/status.h"
#include "core/base/time.h"
#include "runtime/http/message.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {

// How far a request got. Only `kNotSent` proves that no byte was sent.
enum class HttpProgress
{
  kNotSent,
  kSent,
  kAnswered,
};

// The result of a request. `m_response` is valid only if the status is OK.
// DeadlineExceeded: the timeout passed. Unavailable: the connection failed.
// DataLoss: the answer was truncated, oversized, not delimited, or has a status
// or header that HTTP does not have.
struct HttpReply
{
  absl::Status m_status;
  HttpProgress m_progress = HttpProgress::kNotSent;
  HttpResponse m_response;
};

// Sends requests. Dropping the promise of a request cancels it.
class HttpClient
{
public:
  virtual ~HttpClient() = default;
  // Sends `aRequest` at most once. The promise does not fail.
  virtual kj::Promise<HttpReply> Send(const Endpoint& aEndpoint,
                                      HttpRequest aRequest,
                                      Duration aTimeout) = 0;
  // Closes the idle connections to `aEndpoint`. Requests in flight continue;
  // later requests open new connections.
  virtual void CloseIdle(const Endpoint& aEndpoint) = 0;
};

struct HttpClientOptions
{
  // An answer whose headers stay incomplete beyond about this many bytes
  // results in DataLoss.
  size_t m_maxHeaderBytes = 65536;
  // An answer with a longer body results in DataLoss.
  size_t m_maxBodyBytes = size_t{ 4 } << 20;
  // A connection without a request is closed after this time.
  Duration m_idleTimeout = Seconds(30);
};

// The implementation on h2o. The loop must outlive the client, and the client
// must outlive the promises that it returned.
class H2oHttpClient final : public HttpClient
{
public:
  H2oHttpClient(Loop& aLoop, const HttpClientOptions& aOptions);
  ~H2oHttpClient() override;

  kj::Promise<HttpReply> Send(const Endpoint& aEndpoint,
                              HttpRequest aRequest,
                              Duration aTimeout) override;
  void CloseIdle(const Endpoint& aEndpoint) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace ebonykeel
