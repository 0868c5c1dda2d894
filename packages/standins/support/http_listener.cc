#include "standins/support/http_listener.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "standins/support/sockets.h"

namespace ebonykeel::standins {
namespace {

// Clients keep idle connections open for a long time; the stand-in must not
// close them.
constexpr kj::Duration kIdleTimeout = 24 * kj::HOURS;
constexpr size_t kMaxBodyBytes = size_t{ 2 } << 20;

kj::HttpServerSettings
ServerSettings()
{
  kj::HttpServerSettings settings;
  settings.headerTimeout = kIdleTimeout;
  settings.pipelineTimeout = kIdleTimeout;
  return settings;
}

kj::StringPtr
ToKj(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

std::string
FromKj(kj::StringPtr aText)
{
  return { aText.cStr(), aText.size() };
}

HttpRequest
ReadHead(kj::HttpMethod aMethod,
         kj::StringPtr aUrl,
         const kj::HttpHeaders& aHeaders)
{
  HttpRequest request;
  request.m_method = FromKj(kj::str(aMethod));
  std::string url = FromKj(aUrl);
  size_t question = url.find('?');
  request.m_path = url.substr(0, question);
  if (question != std::string::npos) {
    request.m_query = url.substr(question + 1);
  }
  aHeaders.forEach([&](kj::StringPtr aName, kj::StringPtr aValue) {
    std::string name = FromKj(aName);
    absl::AsciiStrToLower(&name);
    request.m_headers.push_back({ std::move(name), FromKj(aValue) });
  });
  return request;
}

kj::Promise<void>
WriteForever(kj::AsyncOutputStream& aStream, kj::ArrayPtr<const char> aBytes)
{
  return aStream.write(aBytes.begin(), aBytes.size())
    .then([&aStream, aBytes]() { return WriteForever(aStream, aBytes); });
}

} // namespace

Reply
JsonReply(int aStatus, std::string aBody)
{
  return { .m_response = { .m_status = aStatus, .m_body = std::move(aBody) } };
}

// One open connection, owned by the task that serves it.
class HttpListener::Connection
{
public:
  Connection(HttpListener& aListener, kj::Own<kj::AsyncIoStream> aStream)
    : m_listener(aListener)
    , m_stream(kj::mv(aStream))
    , m_close(kj::newPromiseAndFulfiller<void>())
  {
    m_listener.m_connections.push_back(this);
  }

  ~Connection()
  {
    std::erase(m_listener.m_connections, this);
    m_listener.m_handler.OnDisconnect();
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Closes the connection so that the peer sees a reset.
  void Reset()
  {
    AbortOnClose(*m_stream);
    m_close.fulfiller->fulfill();
  }

  [[nodiscard]] kj::AsyncIoStream& Stream() { return *m_stream; }
  [[nodiscard]] kj::Promise<void> WhenClosed()
  {
    return kj::mv(m_close.promise);
  }

private:
  HttpListener& m_listener;
  kj::Own<kj::AsyncIoStream> m_stream;
  kj::PromiseFulfillerPair<void> m_close;
};

// Serves the requests of one connection.
class HttpListener::Service final : public kj::HttpService
{
public:
  Service(HttpListener& aListener, Connection& aConnection)
    : m_listener(aListener)
    , m_connection(aConnection)
  {
  }

  kj::Promise<void> request(kj::HttpMethod aMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override
  {
    HttpRequest request = ReadHead(aMethod, aUrl, aHeaders);
    return aBody.readAllText(kMaxBodyBytes)
      .then([this, request = std::move(request)](kj::String aText) mutable {
        request.m_body = FromKj(aText);
        return m_listener.m_handler.Handle(std::move(request));
      })
      .then([this, &aResponse](Reply aReply) {
        return Send(aResponse, std::move(aReply));
      });
  }

private:
  kj::Promise<void> Send(Response& aResponse, Reply aReply)
  {
    switch (aReply.m_ending) {
      case ReplyEnding::kReset:
        m_connection.Reset();
        return kj::NEVER_DONE;
      case ReplyEnding::kHang:
        return kj::NEVER_DONE;
      default:
        return SendBody(aResponse, std::move(aReply));
    }
  }

  kj::Promise<void> SendBody(Response& aResponse, Reply aReply)
  {
    auto reply = kj::heap<Reply>(std::move(aReply));
    HttpResponse& response = reply->m_response;
    kj::HttpHeaders headers(m_listener.m_headerTable);
    response.m_headers.push_back({ "content-type", response.m_contentType });
    for (const HttpHeader& header : response.m_headers) {
      headers.add(ToKj(header.m_name), ToKj(header.m_value));
    }
    bool endless = reply->m_ending == ReplyEnding::kEndless;
    kj::Maybe<uint64_t> size = nullptr;
    if (!endless) {
      size = response.m_body.size();
    }
    auto stream = aResponse.send(response.m_status, "Status", headers, size);
    size_t bytes = reply->m_ending == ReplyEnding::kTruncate
                     ? response.m_body.size() / 2
                     : response.m_body.size();
    if (response.m_body.empty()) {
      return kj::READY_NOW;
    }
    kj::ArrayPtr<const char> body(response.m_body.data(), bytes);
    kj::Promise<void> written = endless
                                  ? WriteForever(*stream, body)
                                  : stream->write(body.begin(), body.size());
    if (reply->m_ending == ReplyEnding::kTruncate) {
      written = written.then([this]() -> kj::Promise<void> {
        m_connection.Reset();
        return kj::NEVER_DONE;
      });
    }
    return written.attach(kj::mv(stream), kj::mv(reply));
  }

  HttpListener& m_listener;
  Connection& m_connection;
};

HttpListener::HttpListener(Loop& aLoop, StandinHandler& aHandler)
  : m_loop(aLoop)
  , m_handler(aHandler)
  , m_server(
      aLoop.Clock().Timer(),
      m_headerTable,
      [this](kj::AsyncIoStream&) -> kj::Own<kj::HttpService> {
        return kj::heap<Service>(*this, *m_accepting);
      },
      ServerSettings())
  , m_tasks(*this)
{
}

HttpListener::~HttpListener() noexcept = default;

absl::StatusOr<uint16_t>
HttpListener::Listen(const Endpoint& aEndpoint)
{
  absl::StatusOr<kj::Own<kj::ConnectionReceiver>> receiver =
    ListenTcp(m_loop, aEndpoint);
  if (!receiver.ok()) {
    return receiver.status();
  }
  m_receiver = kj::mv(*receiver);
  m_accepts = AcceptAll().eagerlyEvaluate(nullptr);
  return m_receiver->getPort();
}

void
HttpListener::StopListening()
{
  m_accepts = nullptr;
  m_receiver = nullptr;
}

void
HttpListener::ResetConnections()
{
  std::ranges::for_each(m_connections,
                        [](Connection* aConnection) { aConnection->Reset(); });
}

kj::Promise<void>
HttpListener::AcceptAll()
{
  return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream> aStream) {
    Accept(kj::mv(aStream));
    return AcceptAll();
  });
}

void
HttpListener::Accept(kj::Own<kj::AsyncIoStream> aStream)
{
  std::optional<Duration> delay = m_handler.OnConnect();
  if (!delay.has_value()) {
    AbortOnClose(*aStream);
    return;
  }
  auto connection = kj::heap<Connection>(*this, kj::mv(aStream));
  Connection& reference = *connection;
  kj::Promise<void> ready = delay->count() > 0
                              ? m_loop.Clock().After(*delay)
                              : kj::Promise<void>(kj::READY_NOW);
  kj::Promise<void> served =
    ready
      .then([this, &reference]() {
        m_accepting = &reference;
        return m_server.listenHttpCleanDrain(reference.Stream());
      })
      .ignoreResult();
  m_tasks.add(
    served.exclusiveJoin(reference.WhenClosed()).attach(kj::mv(connection)));
}

void
HttpListener::taskFailed(kj::Exception&& aException)
{
  // Clients may disconnect during a request; that is not an error.
  (void)aException;
}

} // namespace ebonykeel::standins
