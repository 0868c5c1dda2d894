// An HTTP/1.1 client on the process's loop, built on h2o.
//
// Connections are kept and reused for each endpoint. A request that is
// abandoned, by its timeout or because its promise is dropped, closes its
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

// How far a request got. Only `kNotSent` proves that no byte left.
enum class HttpProgress
{
  kNotSent,
  kSent,
  kAnswered,
};

// What came of a request. `m_response` holds a value only with status OK.
// DeadlineExceeded: the timeout passed. Unavailable: the connection failed.
// DataLoss: the answer was truncated, oversized or not delimited.
struct HttpReply
{
  absl::Status m_status;
  HttpProgress m_progress = HttpProgress::kNotSent;
  HttpResponse m_response;
};

// Sends requests. Requests may be dropped at any time to cancel them.
class HttpClient
{
public:
  virtual ~HttpClient() = default;
  // Sends `aRequest` once; never resends. The promise does not fail.
  virtual kj::Promise<HttpReply> Send(const Endpoint& aEndpoint,
                                      HttpRequest aRequest,
                                      Duration aTimeout) = 0;
  // Closes the kept connections to `aEndpoint`. Requests in flight go on, and
  // their connections are kept again afterwards.
  virtual void CloseIdle(const Endpoint& aEndpoint) = 0;
};

struct HttpClientOptions
{
  // An answer with a longer body counts as DataLoss.
  size_t m_maxBodyBytes = size_t{ 4 } << 20;
  // A kept connection without a request is closed after this time.
  Duration m_idleTimeout = Seconds(30);
};

// The client on h2o. The loop must outlive it, and it must outlive the
// promises that it returned.
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
