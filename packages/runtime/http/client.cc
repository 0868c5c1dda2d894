#include "runtime/http/client.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <span>
#include <string>
#include <utility>

#include <sys/socket.h>

#include <kj/debug.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "runtime/http/h2o_include.h"
#include "runtime/http/header_limiter.h"

namespace ebonykeel {
namespace {

// h2o's own I/O timeout only bounds abandoned work; each request has its own
// timeout.
constexpr uint64_t kH2oIoTimeoutMs = 120'000;
// The interval between checks whether a replaced pool is unused, and how long
// the pool is kept after its disposal.
constexpr Duration kPoolDisposalDelay = Seconds(2);
// Set so high that the socket pool does not limit connections.
constexpr size_t kPoolCapacity = 65'536;

std::string
Serialize(const Endpoint& aEndpoint, const HttpRequest& aRequest)
{
  std::string text = absl::StrCat(aRequest.m_method, " ", aRequest.m_path);
  if (!aRequest.m_query.empty()) {
    absl::StrAppend(&text, "?", aRequest.m_query);
  }
  absl::StrAppend(&text,
                  " HTTP/1.1\r\nhost: ",
                  FormatEndpoint(aEndpoint),
                  "\r\ncontent-length: ",
                  aRequest.m_body.size(),
                  "\r\n");
  for (const HttpHeader& header : aRequest.m_headers) {
    absl::StrAppend(&text, header.m_name, ": ", header.m_value, "\r\n");
  }
  absl::StrAppend(&text, "\r\n", aRequest.m_body);
  return text;
}

bool
IsDelimited(const HttpResponse& aResponse)
{
  return aResponse.m_status == 304 || aResponse.m_status == 204 ||
         FindHeader(aResponse.m_headers, "content-length").has_value() ||
         FindHeader(aResponse.m_headers, "transfer-encoding").has_value();
}

// h2o reads until the kernel holds no more bytes of a connection. A small
// receive buffer bounds what is held before the length of headers is checked.
void
LimitReceiveBuffer(h2o_socket_t& aSocket)
{
  constexpr int kReceiveBufferBytes = 131072;
  (void)setsockopt(h2o_socket_get_fd(&aSocket),
                   SOL_SOCKET,
                   SO_RCVBUF,
                   &kReceiveBufferBytes,
                   sizeof(kReceiveBufferBytes));
}

// Returns whether a header line continues the one before it: h2o then gives no
// name. Such lines are obsolete, and receivers read them differently.
bool
HasContinuedLine(std::span<const h2o_header_t> aHeaders)
{
  return std::ranges::any_of(aHeaders, [](const h2o_header_t& aHeader) {
    return aHeader.name->len == 0;
  });
}

// One request in flight. Owned by the promise's adapter; h2o holds a plain
// pointer until it reports the end of the request or is cancelled.
class PendingCall final : public HeaderReceiver
{
public:
  PendingCall(kj::PromiseFulfiller<HttpReply>& aFulfiller,
              Loop& aLoop,
              HeaderLimiter& aHeaderLimiter,
              h2o_http1client_ctx_t& aContext,
              h2o_socketpool_t& aPool,
              size_t aMaxBodyBytes,
              HttpProgress& aProgress,
              std::string aBytes)
    : m_fulfiller(aFulfiller)
    , m_loop(aLoop)
    , m_headerLimiter(aHeaderLimiter)
    , m_maxBodyBytes(aMaxBodyBytes)
    , m_progress(aProgress)
    , m_bytes(std::move(aBytes))
    , m_requestVector(h2o_iovec_init(m_bytes.data(), m_bytes.size()))
  {
    h2o_http1client_t* client = nullptr;
    m_starting = true;
    h2o_http1client_connect_with_pool(
      &client, this, &aContext, &aPool, &PendingCall::OnConnect);
    m_starting = false;
    if (!m_done) {
      m_client = client;
    }
    m_loop.ScheduleTurn();
  }

  ~PendingCall() override
  {
    m_headerLimiter.Remove(*this);
    Cancel();
  }

  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  [[nodiscard]] size_t HeldBytes() const override
  {
    return m_client != nullptr ? m_client->sock->input->size : 0;
  }

  void OnHeadersTooLong() override
  {
    Cancel();
    Fail(absl::DataLossError("headers too long"));
  }

private:
  static PendingCall& FromClient(h2o_http1client_t* aClient)
  {
    return *static_cast<PendingCall*>(aClient->data);
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* aClient,
                                           const char* aError,
                                           h2o_iovec_t** aBuffers,
                                           size_t* aBufferCount,
                                           int* aIsHead)
  {
    PendingCall& self = FromClient(aClient);
    if (aError != nullptr) {
      self.Fail(absl::UnavailableError(aError));
      return nullptr;
    }
    LimitReceiveBuffer(*aClient->sock);
    self.m_progress = HttpProgress::kSent;
    self.m_headerLimiter.Add(self);
    *aBuffers = &self.m_requestVector;
    *aBufferCount = 1;
    *aIsHead = 0;
    return &PendingCall::OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* aClient,
                                        const char* aError,
                                        int /* aMinorVersion */,
                                        int aStatus,
                                        h2o_iovec_t /* aReason */,
                                        h2o_header_t* aHeaders,
                                        size_t aHeaderCount,
                                        int /* aHeaderBytes */)
  {
    PendingCall& self = FromClient(aClient);
    self.m_headerLimiter.Remove(self);
    bool endOfStream = aError == h2o_http1client_error_is_eos;
    if (aError != nullptr && !endOfStream) {
      self.Fail(absl::UnavailableError(aError));
      return nullptr;
    }
    std::span<const h2o_header_t> headers(aHeaders, aHeaderCount);
    if (!IsValidStatus(aStatus) || HasContinuedLine(headers)) {
      self.Fail(absl::DataLossError("invalid status or header"));
      return nullptr;
    }
    self.m_reply.m_response.m_status = aStatus;
    self.ReadHeaders(headers);
    if (!IsDelimited(self.m_reply.m_response)) {
      self.Fail(absl::DataLossError("answer without a length"));
      return nullptr;
    }
    if (endOfStream) {
      self.Finish();
      return nullptr;
    }
    return &PendingCall::OnBody;
  }

  static int OnBody(h2o_http1client_t* aClient, const char* aError)
  {
    PendingCall& self = FromClient(aClient);
    bool endOfStream = aError == h2o_http1client_error_is_eos;
    if (aError != nullptr && !endOfStream) {
      self.Fail(absl::DataLossError(aError));
      return -1;
    }
    h2o_buffer_t* input = aClient->sock->input;
    self.m_reply.m_response.m_body.append(input->bytes, input->size);
    h2o_buffer_consume(&aClient->sock->input, input->size);
    if (self.m_reply.m_response.m_body.size() > self.m_maxBodyBytes) {
      self.Fail(absl::DataLossError("answer too long"));
      return -1;
    }
    if (endOfStream) {
      self.Finish();
    }
    return 0;
  }

  void ReadHeaders(std::span<const h2o_header_t> aHeaders)
  {
    HttpResponse& response = m_reply.m_response;
    response.m_headers.reserve(aHeaders.size());
    for (const h2o_header_t& header : aHeaders) {
      std::string name(header.name->base, header.name->len);
      absl::AsciiStrToLower(&name);
      std::string value(header.value.base, header.value.len);
      if (name == "content-type") {
        response.m_contentType = value;
      }
      response.m_headers.push_back({ std::move(name), std::move(value) });
    }
  }

  // Closes the connection if the call has not ended.
  void Cancel()
  {
    if (m_client != nullptr) {
      h2o_http1client_cancel(m_client);
      m_loop.ScheduleTurn();
    }
  }

  // h2o frees its client after an error or the end of the answer.
  void Fail(absl::Status aStatus)
  {
    m_reply.m_status = std::move(aStatus);
    m_reply.m_response = {};
    Fulfill();
  }

  void Finish()
  {
    m_progress = HttpProgress::kAnswered;
    Fulfill();
  }

  void Fulfill()
  {
    m_client = nullptr;
    m_done = true;
    m_reply.m_progress = m_progress;
    m_fulfiller.fulfill(std::move(m_reply));
  }

  kj::PromiseFulfiller<HttpReply>& m_fulfiller;
  Loop& m_loop;
  HeaderLimiter& m_headerLimiter;
  size_t m_maxBodyBytes;
  HttpProgress& m_progress;
  std::string m_bytes;
  h2o_iovec_t m_requestVector;
  h2o_http1client_t* m_client = nullptr;
  bool m_starting = false;
  bool m_done = false;
  HttpReply m_reply;
};

} // namespace

class H2oHttpClient::Impl final : private kj::TaskSet::ErrorHandler
{
public:
  Impl(Loop& aLoop, const HttpClientOptions& aOptions)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_headerLimiter(aLoop.Clock(), aOptions.m_maxHeaderBytes)
    , m_context()
    , m_timeout()
    , m_receiver()
    , m_tasks(*this)
  {
    h2o_timeout_init(m_loop.Uv(), &m_timeout, kH2oIoTimeoutMs);
    m_queue = h2o_multithread_create_queue(m_loop.Uv());
    h2o_multithread_register_receiver(
      m_queue, &m_receiver, h2o_hostinfo_getaddr_receiver);
    m_context.loop = m_loop.Uv();
    m_context.getaddr_receiver = &m_receiver;
    m_context.io_timeout = &m_timeout;
  }

  kj::Promise<HttpReply> Send(const Endpoint& aEndpoint,
                              const HttpRequest& aRequest,
                              Duration aTimeout)
  {
    Pool* pool = FindPool(aEndpoint);
    if (pool == nullptr) {
      return HttpReply{ .m_status = absl::InvalidArgumentError(absl::StrCat(
                          aEndpoint.m_host, " is not an IP address")) };
    }
    auto progress = kj::heap<HttpProgress>(HttpProgress::kNotSent);
    HttpProgress& progressRef = *progress;
    auto call = kj::newAdaptedPromise<HttpReply, PendingCall>(
      m_loop,
      m_headerLimiter,
      m_context,
      pool->m_sockets,
      m_options.m_maxBodyBytes,
      progressRef,
      Serialize(aEndpoint, aRequest));
    auto timeout = m_loop.Clock().After(aTimeout).then([&progressRef]() {
      return HttpReply{ .m_status = absl::DeadlineExceededError("timeout"),
                        .m_progress = progressRef };
    });
    return call.exclusiveJoin(kj::mv(timeout))
      .attach(kj::mv(progress), kj::addRef(*pool));
  }

  void CloseIdle(const Endpoint& aEndpoint)
  {
    auto found = m_pools.find(aEndpoint);
    if (found == m_pools.end()) {
      return;
    }
    kj::Own<Pool> pool = kj::mv(found->second);
    m_pools.erase(found);
    // Requests in flight finish on this pool; later requests use a new one.
    pool->m_sockets.timeout = 0;
    m_tasks.add(DisposeWhenUnused(kj::mv(pool)));
    m_loop.ScheduleTurn();
  }

private:
  struct Pool : public kj::Refcounted
  {
    h2o_socketpool_t m_sockets{};
  };

  // Disposes of the pool once no request uses it. h2o's sockets refer to their
  // pool until libuv has closed them, some turns after the last request ended.
  kj::Promise<void> DisposeWhenUnused(kj::Own<Pool> aPool)
  {
    return m_loop.Clock()
      .After(kPoolDisposalDelay)
      .then([this, pool = kj::mv(aPool)]() mutable -> kj::Promise<void> {
        if (pool->isShared()) {
          return DisposeWhenUnused(kj::mv(pool));
        }
        h2o_socketpool_dispose(&pool->m_sockets);
        m_loop.ScheduleTurn();
        return m_loop.Clock().After(kPoolDisposalDelay).attach(kj::mv(pool));
      });
  }

  void taskFailed(kj::Exception&& aException) override
  {
    KJ_LOG(ERROR, "closing connections failed", aException);
  }

  Pool* FindPool(const Endpoint& aEndpoint)
  {
    auto found = m_pools.find(aEndpoint);
    if (found != m_pools.end()) {
      return found->second.get();
    }
    sockaddr_in address{};
    if (uv_ip4_addr(aEndpoint.m_host.c_str(), aEndpoint.m_port, &address) !=
        0) {
      return nullptr;
    }
    auto pool = kj::refcounted<Pool>();
    h2o_socketpool_init_by_address(&pool->m_sockets,
                                   reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address),
                                   0,
                                   kPoolCapacity);
    h2o_socketpool_set_timeout(
      &pool->m_sockets, m_loop.Uv(), ToMilliseconds(m_options.m_idleTimeout));
    return m_pools.emplace(aEndpoint, kj::mv(pool)).first->second.get();
  }

  Loop& m_loop;
  HttpClientOptions m_options;
  HeaderLimiter m_headerLimiter;
  h2o_http1client_ctx_t m_context;
  h2o_timeout_t m_timeout;
  h2o_multithread_queue_t* m_queue = nullptr;
  h2o_multithread_receiver_t m_receiver;
  std::map<Endpoint, kj::Own<Pool>> m_pools;
  kj::TaskSet m_tasks;
};

H2oHttpClient::H2oHttpClient(Loop& aLoop, const HttpClientOptions& aOptions)
  : m_impl(std::make_unique<Impl>(aLoop, aOptions))
{
}

H2oHttpClient::~H2oHttpClient() = default;

kj::Promise<HttpReply>
H2oHttpClient::Send(const Endpoint& aEndpoint,
                    HttpRequest aRequest,
                    Duration aTimeout)
{
  return m_impl->Send(aEndpoint, aRequest, aTimeout);
}

void
H2oHttpClient::CloseIdle(const Endpoint& aEndpoint)
{
  m_impl->CloseIdle(aEndpoint);
}

} // namespace ebonykeel
