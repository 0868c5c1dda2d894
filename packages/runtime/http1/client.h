// An HTTP/1.1 client that reports whether the server may have processed a
// request, and reuses connections.
//
// Forwarding cannot use h2o's client, which hides its connections, treats a
// reset as the end of an answer without a length, and cannot skip an answer
// that belongs to another request.
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
  // A complete answer was read.
  kAnswered,
  // No byte of the request was sent.
  kNotSent,
  // All or part of the request was sent, but no complete answer was read.
  kBroken,
};

// Which request an answer belongs to, as far as the answer states it.
enum class Http1AnswerMatch
{
  kThisRequest,
  kOtherRequest,
  // The answer does not state its request.
  kUnknown,
};

struct Http1Result
{
  Http1Outcome m_outcome = Http1Outcome::kNotSent;
  // Valid only for `kAnswered`.
  Http1Response m_response;
  // If there is no answer, a stable word for logs, such as "reset".
  std::string_view m_problem;
  // The number of the connection that carried the call, which identifies it for
  // the lifetime of the client; never 0.
  uint64_t m_connection = 0;
};

struct Http1Call
{
  Address m_address;
  // The serialized request.
  std::string m_bytes;
  // Whether the method is HEAD, so that the answer has no body.
  bool m_isHead = false;
  // The time limit for establishing a connection.
  Duration m_connectTimeout = Milliseconds(400);
  // The time limit from `Send` to the end of the answer.
  Duration m_timeout = Seconds(5);
  // Connections that were idle for longer are not used.
  Duration m_maxIdleTime = Seconds(60);
  // The numbers of connections that are not used. A repeated request that has
  // the same identifier as the first one needs another connection: on the old
  // one, a second copy of the first answer would look like the answer to it.
  std::vector<uint64_t> m_excludedConnections;
  // Whether a connection that carried other requests may be used.
  bool m_mayReuseConnection = true;
  // Returns which request an answer belongs to. An answer to another request is
  // skipped. An answer that does not state its request is accepted only if it
  // is the first one on its connection, otherwise it may be a copy of an
  // earlier one. In both cases the connection is not used again. If empty, any
  // answer is accepted.
  std::function<Http1AnswerMatch(const Http1Response&)> m_matchAnswer;
};

struct Http1ClientOptions
{
  Http1Limits m_limits;
  // How long a connection may be idle if its server states no timeout.
  Duration m_idleTimeout = Seconds(10);
  // Subtracted from the timeout that a server states for idle connections.
  Duration m_idleMargin = Milliseconds(600);
  // The maximum number of idle connections for each address.
  size_t m_maxIdlePerAddress = 16;
  // The maximum number of bytes of incomplete answers that are held for all
  // calls together, apart from the last bytes read. Beyond it, the call with
  // the longest incomplete answer is broken off.
  size_t m_maxBufferedBytes = size_t{ 32 } << 20;
};

// The loop must outlive the client. Callbacks are called in a later turn of the
// loop than `Send`.
class Http1Client
{
public:
  Http1Client(UvLoop& aLoop, Http1ClientOptions aOptions);
  ~Http1Client();

  using Callback = std::function<void(Http1Result)>;

  // Starts a call and returns its id.
  uint64_t Send(Http1Call aCall, Callback aCallback);
  // Ends a call without its callback and closes its connection. Does nothing if
  // the call has ended.
  void Cancel(uint64_t aCall);
  // Closes the idle connections to an address.
  void CloseIdle(const Address& aAddress);

  // Returns the number of bytes of incomplete answers that are held.
  [[nodiscard]] size_t BufferedBytes() const { return m_bufferedBytes; }
  // Returns the number of connections opened since the start.
  [[nodiscard]] uint64_t ConnectionsOpened() const
  {
    return m_connectionsOpened;
  }

private:
  friend class Http1ClientConnection;
  using Connection = class Http1ClientConnection;

  // Returns the idle connection that the call can use and that was used last;
  // null if there is none.
  std::unique_ptr<Connection> TakeIdle(const Http1Call& aCall);
  void OnCallFinished(uint64_t aCall, bool aReusable, Http1Result aResult);
  // Breaks off the call with the longest incomplete answer if too many bytes
  // are held.
  void LimitBufferedBytes();
  void RemoveIdle(Connection& aConnection);
  void Sweep();

  UvLoop& m_loop;
  Http1ClientOptions m_options;
  UvTimer m_sweep;
  uint64_t m_nextCall = 1;
  uint64_t m_connectionsOpened = 0;
  size_t m_bufferedBytes = 0;
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
