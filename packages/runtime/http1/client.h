// An HTTP/1.1 client that says whether a request may have run, and keeps
// connections for the next one.
//
// h2o's client hides its connections, takes a reset as the end of an answer
// without a length, and cannot skip a stray answer; forwarding needs all three.
//
//   Http1Client client(loop, options);
//   uint64_t call = client.Send({ .m_address = address, .m_bytes = bytes },
//                               [](Http1Result aResult) { ... });
//   client.Cancel(call);
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/config/address.h"
#include "runtime/http1/message.h"
#include "runtime/http1/parser.h"
#include "runtime/uv/tcp_stream.h"

namespace ebonykeel {

enum class Http1Outcome
{
  // A whole answer was read.
  kAnswered,
  // No byte of the request left.
  kNotSent,
  // The request left, wholly or in part, and no whole answer came.
  kBroken,
};

struct Http1Result
{
  Http1Outcome m_outcome = Http1Outcome::kNotSent;
  // For `kAnswered`.
  Http1Response m_response;
  // A stable word for logs when there is no answer, such as "reset".
  std::string_view m_problem;
};

struct Http1Call
{
  Address m_address;
  // The whole request as it is sent.
  std::string m_bytes;
  // The request is a HEAD.
  bool m_isHead = false;
  // How long the connection may take to establish.
  Duration m_connectTimeout = Milliseconds(400);
  // From now to the end of the answer.
  Duration m_timeout = Seconds(5);
  // A kept connection that was idle for longer is not used.
  Duration m_maxIdleTime = Seconds(60);
  // Returns whether an answer belongs to this request. Others are skipped, and
  // the connection is not used again. Empty accepts any.
  std::function<bool(const Http1Response&)> m_acceptsResponse;
};

struct Http1ClientOptions
{
  Http1Limits m_limits;
  // How long a kept connection may be idle if its server does not say.
  Duration m_idleTimeout = Seconds(10);
  // What is taken off the time that a server states for idle connections.
  Duration m_idleMargin = Milliseconds(600);
  // Idle connections kept for each address.
  size_t m_maxIdlePerAddress = 16;
};

// The loop outlives the client. Callbacks come in a later turn than `Send`.
class Http1Client
{
public:
  Http1Client(UvLoop& aLoop, Http1ClientOptions aOptions);
  ~Http1Client();

  using Callback = std::function<void(Http1Result)>;

  // Returns a number that names the call.
  uint64_t Send(Http1Call aCall, Callback aCallback);
  // Ends a call without a callback and closes its connection. Nothing happens
  // if it has ended.
  void Cancel(uint64_t aCall);
  // Closes kept connections to an address.
  void CloseIdle(const Address& aAddress);

  // Connections opened since the start.
  [[nodiscard]] uint64_t ConnectionsOpened() const
  {
    return m_connectionsOpened;
  }

private:
  friend class Http1ClientConnection;
  using Connection = class Http1ClientConnection;

  std::unique_ptr<Connection> TakeIdle(const Address& aAddress,
                                       Duration aMaxIdleTime);
  void OnCallFinished(uint64_t aCall, bool aReusable, Http1Result aResult);
  void RemoveIdle(Connection& aConnection);
  void Sweep();

  UvLoop& m_loop;
  Http1ClientOptions m_options;
  UvTimer m_sweep;
  uint64_t m_nextCall = 1;
  uint64_t m_connectionsOpened = 0;
  struct Running
  {
    std::unique_ptr<Connection> m_connection;
    Callback m_callback;
  };
  std::unordered_map<uint64_t, Running> m_running;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
    m_idle;
};

} // namespace ebonykeel
