#include "runtime/http1/server.h"

#include <utility>
#include <vector>

namespace ebonykeel {
namespace {

// Above this number of buffered bytes of later requests, the server stops
// reading from the connection until it has answered the current request.
constexpr size_t kMaxPipelinedBytes = 262144;
// The interval between checks for connections that have timed out.
constexpr Duration kSweepInterval = Milliseconds(250);
// A connection without any request is closed by a shutdown only if it is older:
// its caller may be about to send its first request.
constexpr Duration kFirstRequestGrace = Milliseconds(500);
// How long the server still reads from a connection whose sending side it has
// closed, so that the caller gets the last answer instead of a reset.
constexpr Duration kLingerTimeout = Seconds(1);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTimeout = 408;
constexpr int kStatusBodyTooLong = 413;
constexpr int kStatusHeadersTooLong = 431;

} // namespace

// The connection of one caller.
class Http1Connection final : public TcpObserver
{
public:
  explicit Http1Connection(Http1Server& aServer)
    : m_server(aServer)
    , m_parser(Http1Parser::Kind::kRequest, aServer.m_options.m_limits)
    , m_waitStart(aServer.m_loop.Now())
  {
  }
  ~Http1Connection() override { DropExchange(false); }

  bool Open(uv_stream_t* aListener)
  {
    m_stream = TcpStream::Accept(m_server.m_loop, aListener, *this);
    return m_stream != nullptr;
  }

  void OnConnected(bool /*aConnected*/) override {}

  void OnBytes(std::string_view aBytes) override
  {
    if (m_lingering) {
      return;
    }
    if (m_exchange != nullptr) {
      m_pipelined.append(aBytes);
      if (m_pipelined.size() > kMaxPipelinedBytes) {
        m_stream->PauseReading(true);
      }
      return;
    }
    m_pipelined.append(aBytes);
    Read();
  }

  void OnEnd(bool /*aReset*/) override
  {
    DropExchange(true);
    m_server.RemoveConnection(*this);
  }

  void Answer(const Http1Response& aResponse)
  {
    bool close = !m_parser.KeepAlive() || m_server.m_shuttingDown;
    bool headOnly = m_exchange->Request().m_method == "HEAD";
    DropExchange(false);
    m_stream->Write(SerializeResponse(aResponse, close, headOnly));
    if (close) {
      Linger();
      return;
    }
    m_parser.Reset();
    m_waitStart = m_server.m_loop.Now();
    if (!m_pipelined.empty() && !m_reading) {
      Read();
    }
    m_stream->PauseReading(false);
  }

  void WriteAndClose(std::string aBytes)
  {
    DropExchange(false);
    m_stream->Write(std::move(aBytes));
    Linger();
  }

  // Returns whether the connection has no request and no bytes of one, and is
  // not so new that its first request may be on its way.
  [[nodiscard]] bool IsIdle() const
  {
    bool isNew =
      !m_hadRequest && m_server.m_loop.Now() - m_waitStart < kFirstRequestGrace;
    return m_exchange == nullptr && !m_lingering && !isNew &&
           m_parser.State() == Http1Parser::Progress::kIdle &&
           m_pipelined.empty();
  }

  // Closes the idle connection in order.
  void CloseIdle() { Linger(); }

  // Applies the timeouts; returns whether the connection is to be removed.
  [[nodiscard]] bool Sweep(TimePoint aNow)
  {
    Duration age = aNow - m_waitStart;
    if (m_lingering) {
      return age > kLingerTimeout;
    }
    if (m_exchange != nullptr) {
      return false;
    }
    switch (m_parser.State()) {
      case Http1Parser::Progress::kIdle:
        if (age > m_server.m_options.m_idleTimeout) {
          Linger();
        }
        return false;
      case Http1Parser::Progress::kHeaders:
        if (age > m_server.m_options.m_headerTimeout) {
          Reject(kStatusTimeout);
        }
        return false;
      default:
        if (age > m_server.m_options.m_idleTimeout) {
          Reject(kStatusTimeout);
        }
        return false;
    }
  }

private:
  void Read()
  {
    m_reading = true;
    while (m_exchange == nullptr && !m_lingering && !m_pipelined.empty()) {
      Http1Parser::Progress before = m_parser.State();
      if (before == Http1Parser::Progress::kIdle) {
        m_parser.SetLimits(m_server.m_options.m_limits);
        m_waitStart = m_server.m_loop.Now();
      }
      size_t used = m_parser.Feed(m_pipelined);
      m_pipelined.erase(0, used);
      if (!Advance(before)) {
        break;
      }
    }
    m_reading = false;
  }

  // Acts on the parser's state; returns whether there may be more to parse.
  bool Advance(Http1Parser::Progress aBefore)
  {
    switch (m_parser.State()) {
      case Http1Parser::Progress::kComplete:
        Dispatch();
        return true;
      case Http1Parser::Progress::kBody:
        m_waitStart = m_server.m_loop.Now();
        if (aBefore != Http1Parser::Progress::kBody &&
            m_parser.ExpectsContinue()) {
          m_stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return false;
      case Http1Parser::Progress::kMalformed:
        Reject(kStatusBadRequest);
        return false;
      case Http1Parser::Progress::kHeadersTooLong:
        Reject(kStatusHeadersTooLong);
        return false;
      case Http1Parser::Progress::kBodyTooLong:
        Reject(kStatusBodyTooLong);
        return false;
      default:
        return false;
    }
  }

  void Dispatch()
  {
    m_exchange = std::make_shared<Http1Exchange>(std::move(m_parser.Request()),
                                                 m_server.m_loop.Now());
    m_exchange->m_connection = this;
    m_hadRequest = true;
    ++m_server.m_inFlight;
    std::shared_ptr<Http1Exchange> exchange = m_exchange;
    m_server.m_handler.OnRequest(std::move(exchange));
  }

  void Reject(int aStatus)
  {
    m_stream->Write(SerializeResponse({ .m_status = aStatus }, true, false));
    Linger();
  }

  void Linger()
  {
    m_lingering = true;
    m_waitStart = m_server.m_loop.Now();
    m_pipelined.clear();
    m_stream->ShutDown();
  }

  void DropExchange(bool aCallerDisconnected)
  {
    if (m_exchange == nullptr) {
      return;
    }
    --m_server.m_inFlight;
    std::shared_ptr<Http1Exchange> exchange = std::move(m_exchange);
    m_exchange = nullptr;
    exchange->Detach(aCallerDisconnected);
  }

  Http1Server& m_server;
  Http1Parser m_parser;
  std::unique_ptr<TcpStream> m_stream;
  std::shared_ptr<Http1Exchange> m_exchange;
  // Bytes that have not been parsed yet.
  std::string m_pipelined;
  bool m_lingering = false;
  bool m_reading = false;
  bool m_hadRequest = false;
  // When the current wait began: for a request, its headers, progress of its
  // body, or the caller's end.
  TimePoint m_waitStart;
};

Http1Exchange::Http1Exchange(Http1Request aRequest, TimePoint aReceivedAt)
  : m_request(std::move(aRequest))
  , m_receivedAt(aReceivedAt)
{
}

void
Http1Exchange::OnCallerDisconnect(std::function<void()> aCallback)
{
  m_onCallerDisconnect = std::move(aCallback);
}

void
Http1Exchange::Answer(const Http1Response& aResponse)
{
  if (m_connection != nullptr) {
    m_connection->Answer(aResponse);
  }
}

void
Http1Exchange::WriteAndClose(std::string aBytes)
{
  if (m_connection != nullptr) {
    m_connection->WriteAndClose(std::move(aBytes));
  }
}

void
Http1Exchange::Detach(bool aCallerDisconnected)
{
  m_connection = nullptr;
  std::function<void()> onCallerDisconnect =
    std::exchange(m_onCallerDisconnect, nullptr);
  if (aCallerDisconnected && onCallerDisconnect) {
    onCallerDisconnect();
  }
}

Http1Server::Http1Server(UvLoop& aLoop,
                         Http1Handler& aHandler,
                         Http1ServerOptions aOptions)
  : m_loop(aLoop)
  , m_handler(aHandler)
  , m_options(aOptions)
  , m_listener(aLoop,
               [this](uv_stream_t* aListener) { OnConnection(aListener); })
  , m_sweep(aLoop, [this]() { Sweep(); })
{
}

Http1Server::~Http1Server() = default;

std::string
Http1Server::Listen(const Address& aAddress)
{
  return m_listener.Listen(aAddress);
}

void
Http1Server::SetOptions(Http1ServerOptions aOptions)
{
  m_options = aOptions;
}

void
Http1Server::BeginShutdown(bool aCloseIdle)
{
  m_shuttingDown = true;
  if (!aCloseIdle) {
    return;
  }
  for (auto& [pointer, connection] : m_connections) {
    if (connection->IsIdle()) {
      connection->CloseIdle();
    }
  }
}

void
Http1Server::StopListening()
{
  m_listener.Stop();
}

void
Http1Server::OnConnection(uv_stream_t* aListener)
{
  auto connection = std::make_unique<Http1Connection>(*this);
  Http1Connection* pointer = connection.get();
  if (!connection->Open(aListener)) {
    return;
  }
  m_connections.emplace(pointer, std::move(connection));
  if (!m_sweep.IsSet()) {
    m_sweep.Set(m_loop.Now() + kSweepInterval);
  }
}

void
Http1Server::RemoveConnection(Http1Connection& aConnection)
{
  m_connections.erase(&aConnection);
}

void
Http1Server::Sweep()
{
  TimePoint now = m_loop.Now();
  std::erase_if(m_connections,
                [&](const auto& aEntry) { return aEntry.second->Sweep(now); });
  if (!m_connections.empty()) {
    m_sweep.Set(now + kSweepInterval);
  }
}

} // namespace ebonykeel
