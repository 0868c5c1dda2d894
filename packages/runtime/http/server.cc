#include "runtime/http/server.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"
#include "runtime/http/h2o_include.h"

namespace ebonykeel {
namespace {

class H2oServer;

// The handler object as h2o allocates it, extended by a pointer to the server.
struct H2oHandler
{
  h2o_handler_t m_base;
  H2oServer* m_server;
};

// One request that waits for its handler's promise. h2o frees it together with
// the request.
struct PendingRequest
{
  H2oServer* m_server = nullptr;
  h2o_req_t* m_request = nullptr;
  // True once the promise's own continuation runs, during which the promise
  // must not be destroyed.
  bool m_answering = false;
  kj::Own<kj::Promise<void>> m_answerTask;
};

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 412:
      return "Precondition Failed";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string_view
ToStringView(const h2o_iovec_t& aVector)
{
  return { aVector.base, aVector.len };
}

HttpRequest
ReadRequest(const h2o_req_t& aRequest)
{
  HttpRequest request;
  request.m_method = ToStringView(aRequest.method);
  std::string_view path = ToStringView(aRequest.path);
  size_t question = path.find('?');
  request.m_path = path.substr(0, question);
  if (question != std::string_view::npos) {
    request.m_query = path.substr(question + 1);
  }
  request.m_headers.reserve(aRequest.headers.size);
  for (size_t i = 0; i < aRequest.headers.size; ++i) {
    const h2o_header_t& header = aRequest.headers.entries[i];
    request.m_headers.push_back({ std::string(ToStringView(*header.name)),
                                  std::string(ToStringView(header.value)) });
  }
  request.m_body = ToStringView(aRequest.entity);
  return request;
}

void
AddHeader(h2o_req_t& aRequest, std::string_view aName, std::string_view aValue)
{
  h2o_iovec_t name = h2o_strdup(&aRequest.pool, aName.data(), aName.size());
  h2o_iovec_t value = h2o_strdup(&aRequest.pool, aValue.data(), aValue.size());
  h2o_add_header_by_str(&aRequest.pool,
                        &aRequest.res.headers,
                        name.base,
                        name.len,
                        1,
                        nullptr,
                        value.base,
                        value.len);
}

void
SendResponse(h2o_req_t& aRequest, const HttpResponse& aResponse)
{
  aRequest.res.status = aResponse.m_status;
  aRequest.res.reason = ReasonPhrase(aResponse.m_status);
  aRequest.res.content_length = aResponse.m_body.size();
  AddHeader(aRequest, "content-type", aResponse.m_contentType);
  for (const HttpHeader& header : aResponse.m_headers) {
    AddHeader(aRequest, header.m_name, header.m_value);
  }
  h2o_send_inline(&aRequest, aResponse.m_body.data(), aResponse.m_body.size());
}

class H2oServer final : public HttpServer
{
public:
  H2oServer(Loop& aLoop,
            const HttpServerOptions& aOptions,
            HttpHandler& aHandler);
  ~H2oServer() override;

  absl::Status Bind(const Endpoint& aEndpoint);

  [[nodiscard]] uint16_t Port() const override { return m_port; }
  [[nodiscard]] size_t InFlight() const override { return m_inFlight; }
  [[nodiscard]] uint64_t Accepted() const override { return m_accepted; }
  void BeginShutdown() override;
  void StopListening() override;

  void OnConnection(uv_stream_t* aListener);
  void OnRequest(h2o_req_t& aRequest);
  void OnRequestFreed(PendingRequest& aPending);

private:
  void OnAnswer(PendingRequest& aPending, const HttpResponse& aResponse);

  Loop& m_loop;
  HttpHandler& m_handler;
  h2o_globalconf_t m_config;
  h2o_context_t m_context;
  h2o_accept_ctx_t m_accept;
  uv_tcp_t* m_listener = nullptr;
  uint16_t m_port = 0;
  size_t m_inFlight = 0;
  uint64_t m_accepted = 0;
};

int
HandleRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest)
{
  // h2o allocates the handler with `m_base` as its first member.
  auto* handler = reinterpret_cast<H2oHandler*>(aHandler);
  handler->m_server->OnRequest(*aRequest);
  return 0;
}

void
FreePendingRequest(void* aPointer)
{
  auto* pending = static_cast<PendingRequest*>(aPointer);
  pending->m_server->OnRequestFreed(*pending);
  pending->~PendingRequest();
}

H2oServer::H2oServer(Loop& aLoop,
                     const HttpServerOptions& aOptions,
                     HttpHandler& aHandler)
  : m_loop(aLoop)
  , m_handler(aHandler)
  , m_config()
  , m_context()
  , m_accept()
{
  h2o_config_init(&m_config);
  m_config.max_request_entity_size = aOptions.m_maxBodyBytes;
  m_config.server_name = h2o_iovec_init(H2O_STRLIT("ebonykeel"));
  h2o_hostconf_t* host = h2o_config_register_host(
    &m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* handler =
    reinterpret_cast<H2oHandler*>(h2o_create_handler(path, sizeof(H2oHandler)));
  handler->m_base.on_req = HandleRequest;
  handler->m_server = this;
  h2o_context_init(&m_context, m_loop.Uv(), &m_config);
  m_accept.ctx = &m_context;
  m_accept.hosts = m_config.hosts;
}

H2oServer::~H2oServer()
{
  StopListening();
  // The context is not freed: h2o allows that only after all connections are
  // closed, and a server exists until its process ends.
}

absl::Status
H2oServer::Bind(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  if (uv_ip4_addr(aEndpoint.m_host.c_str(), aEndpoint.m_port, &address) != 0) {
    return absl::InvalidArgumentError(
      absl::StrCat(aEndpoint.m_host, " is not an IP address"));
  }
  m_listener = new uv_tcp_t;
  uv_tcp_init(m_loop.Uv(), m_listener);
  m_listener->data = this;
  int result =
    uv_tcp_bind(m_listener, reinterpret_cast<const sockaddr*>(&address), 0);
  if (result == 0) {
    result = uv_listen(
      reinterpret_cast<uv_stream_t*>(m_listener),
      1024,
      [](uv_stream_t* aListener, int aStatus) {
        if (aStatus == 0) {
          static_cast<H2oServer*>(aListener->data)->OnConnection(aListener);
        }
      });
  }
  if (result != 0) {
    return absl::UnavailableError(absl::StrCat("cannot listen on ",
                                               FormatEndpoint(aEndpoint),
                                               ": ",
                                               uv_strerror(result)));
  }
  int length = sizeof(address);
  uv_tcp_getsockname(
    m_listener, reinterpret_cast<sockaddr*>(&address), &length);
  m_port = ntohs(address.sin_port);
  m_loop.ScheduleTurn();
  return absl::OkStatus();
}

void
H2oServer::BeginShutdown()
{
  h2o_context_request_shutdown(&m_context);
  m_loop.ScheduleTurn();
}

void
H2oServer::StopListening()
{
  if (m_listener == nullptr) {
    return;
  }
  uv_close(
    reinterpret_cast<uv_handle_t*>(m_listener),
    [](uv_handle_t* aHandle) { delete reinterpret_cast<uv_tcp_t*>(aHandle); });
  m_listener = nullptr;
  m_loop.ScheduleTurn();
}

void
H2oServer::OnConnection(uv_stream_t* aListener)
{
  auto* connection = static_cast<uv_tcp_t*>(h2o_mem_alloc(sizeof(uv_tcp_t)));
  uv_tcp_init(aListener->loop, connection);
  auto* stream = reinterpret_cast<uv_stream_t*>(connection);
  auto freeHandle = reinterpret_cast<uv_close_cb>(free);
  if (uv_accept(aListener, stream) != 0) {
    uv_close(reinterpret_cast<uv_handle_t*>(connection), freeHandle);
    return;
  }
  uv_tcp_nodelay(connection, 1);
  h2o_socket_t* socket = h2o_uv_socket_create(stream, freeHandle);
  h2o_accept(&m_accept, socket);
}

void
H2oServer::OnRequest(h2o_req_t& aRequest)
{
  void* memory = h2o_mem_alloc_shared(
    &aRequest.pool, sizeof(PendingRequest), FreePendingRequest);
  auto* pending = new (memory) PendingRequest;
  pending->m_server = this;
  pending->m_request = &aRequest;
  ++m_inFlight;
  ++m_accepted;
  kj::Promise<HttpResponse> answer =
    kj::evalNow([&]() { return m_handler.Handle(ReadRequest(aRequest)); });
  pending->m_answerTask = kj::heap(
    answer
      .then([this, pending](
              HttpResponse&& aResponse) { OnAnswer(*pending, aResponse); },
            [this, pending](kj::Exception&& aException) {
              KJ_LOG(ERROR, "request handler failed", aException);
              OnAnswer(*pending,
                       { .m_status = 500,
                         .m_body =
                           R"({"code":"internal","message":"internal error",)"
                           R"("outcome":"unknown"})" });
            })
      .eagerlyEvaluate(nullptr));
}

void
H2oServer::OnAnswer(PendingRequest& aPending, const HttpResponse& aResponse)
{
  aPending.m_answering = true;
  h2o_req_t* request = std::exchange(aPending.m_request, nullptr);
  // This call may destroy `aPending`.
  SendResponse(*request, aResponse);
  m_loop.ScheduleTurn();
}

void
H2oServer::OnRequestFreed(PendingRequest& aPending)
{
  --m_inFlight;
  if (aPending.m_answering && aPending.m_answerTask.get() != nullptr) {
    // The promise may be on the call stack, so it is destroyed in a later turn.
    kj::Own<kj::Promise<void>> task = kj::mv(aPending.m_answerTask);
    m_loop.RunLater([task = kj::mv(task)]() mutable { task = nullptr; });
  }
}

} // namespace

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Listen(Loop& aLoop,
                   const Endpoint& aEndpoint,
                   const HttpServerOptions& aOptions,
                   HttpHandler& aHandler)
{
  auto server = std::make_unique<H2oServer>(aLoop, aOptions, aHandler);
  absl::Status status = server->Bind(aEndpoint);
  if (!status.ok()) {
    return status;
  }
  return server;
}

} // namespace ebonykeel
