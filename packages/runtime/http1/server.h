// An HTTP/1.1 server that detects when a caller disconnects while its request
// is processed. (h2o, which serves ebonykeel's own interface, reads from a
// connection only between requests.)
//
//   Http1Server server(loop, handler, options);
//   std::string problem = server.Listen({ "10.0.0.7", 8080 });
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/config/address.h"
#include "runtime/http1/message.h"
#include "runtime/http1/parser.h"
#include "runtime/uv/tcp_stream.h"

namespace ebonykeel {

// One request and its answer. Shared by the connection and the handler.
class Http1Exchange
{
public:
  Http1Exchange(Http1Request aRequest, TimePoint aReceivedAt);

  [[nodiscard]] const Http1Request& Request() const { return m_request; }
  // Returns when the last byte of the request was read.
  [[nodiscard]] TimePoint ReceivedAt() const { return m_receivedAt; }
  // Sets a callback that is called once if the caller disconnects before the
  // answer.
  void OnCallerDisconnect(std::function<void()> aCallback);
  // Sends the answer. Has no effect after the first call or after the caller
  // has disconnected.
  void Answer(const Http1Response& aResponse);
  // Writes `aBytes` unchanged and closes the connection. For stand-ins that
  // inject faults.
  void WriteAndClose(std::string aBytes);

private:
  friend class Http1Connection;
  void Detach(bool aCallerDisconnected);

  Http1Request m_request;
  TimePoint m_receivedAt;
  class Http1Connection* m_connection = nullptr;
  std::function<void()> m_onCallerDisconnect;
};

class Http1Handler
{
public:
  virtual ~Http1Handler() = default;
  virtual void OnRequest(std::shared_ptr<Http1Exchange> aExchange) = 0;
};

struct Http1ServerOptions
{
  Http1Limits m_limits;
  // The time limit from the first byte of a request to the end of its headers.
  Duration m_headerTimeout = Seconds(5);
  // How long a connection may be without a request, or a body without progress.
  Duration m_idleTimeout = Seconds(15);
};

// The loop and the handler must outlive the server.
class Http1Server
{
public:
  Http1Server(UvLoop& aLoop,
              Http1Handler& aHandler,
              Http1ServerOptions aOptions);
  ~Http1Server();

  // Returns an empty string, or the reason why the address cannot be bound.
  [[nodiscard]] std::string Listen(const Address& aAddress);
  [[nodiscard]] uint16_t Port() const { return m_listener.Port(); }
  // The new limits apply to requests that begin later.
  void SetOptions(Http1ServerOptions aOptions);
  // Makes each further answer close its connection. With `aCloseIdle`, also
  // closes the connections that are idle now, apart from new ones that have had
  // no request yet; call it again for these. The server accepts new connections
  // until `StopListening`.
  void BeginShutdown(bool aCloseIdle);
  void StopListening();

  [[nodiscard]] size_t InFlight() const { return m_inFlight; }
  [[nodiscard]] size_t Connections() const { return m_connections.size(); }

private:
  friend class Http1Connection;
  void OnConnection(uv_stream_t* aListener);
  void RemoveConnection(class Http1Connection& aConnection);
  void Sweep();

  UvLoop& m_loop;
  Http1Handler& m_handler;
  Http1ServerOptions m_options;
  TcpListener m_listener;
  UvTimer m_sweep;
  bool m_shuttingDown = false;
  size_t m_inFlight = 0;
  std::unordered_map<class Http1Connection*,
                     std::unique_ptr<class Http1Connection>>
    m_connections;
};

} // namespace ebonykeel
