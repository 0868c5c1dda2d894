#include "runtime/uv/tcp_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace ebonykeel {
namespace {

constexpr size_t kReadBufferBytes = 65536;
constexpr int kBacklog = 512;
// A connection fails if sent bytes are not acknowledged for this long.
constexpr unsigned kUserTimeoutMs = 2000;
// Keep-alive probes detect an idle connection whose other end is unreachable.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

// All reads share one buffer: the observer gets its bytes before the next read.
std::array<char, kReadBufferBytes>&
ReadBuffer()
{
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

template<typename Value>
void
SetSocketOption(int aDescriptor, int aLevel, int aOption, Value aValue)
{
  // Failures are ignored: without the option, the kernel only detects a silent
  // connection later.
  (void)setsockopt(aDescriptor, aLevel, aOption, &aValue, sizeof(aValue));
}

void
SetSocketOptions(uv_tcp_t& aTcp)
{
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&aTcp), &descriptor) != 0) {
    return;
  }
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetSocketOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetSocketOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

// Returns whether the other end closed its side in order. libuv also reports
// the end of the stream if the connection was reset right after its last bytes.
bool
IsClosedInOrder(uv_stream_t* aStream)
{
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(aStream), &descriptor) != 0) {
    return false;
  }
  char byte = 0;
  return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

struct TcpStream::Handle
{
  uv_tcp_t m_tcp{};
  uv_connect_t m_connect{};
  uv_shutdown_t m_shutdown{};
  TcpObserver* m_observer = nullptr;

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&m_tcp); }
};

TcpStream::TcpStream(Handle* aHandle)
  : m_handle(aHandle)
{
}

TcpStream::Handle*
TcpStream::NewHandle(UvLoop& aLoop, TcpObserver& aObserver)
{
  auto* handle = new Handle;
  uv_tcp_init_ex(aLoop.Uv(), &handle->m_tcp, AF_INET);
  handle->m_tcp.data = handle;
  handle->m_observer = &aObserver;
  return handle;
}

std::unique_ptr<TcpStream>
TcpStream::Connect(UvLoop& aLoop,
                   const Address& aAddress,
                   TcpObserver& aObserver)
{
  Handle* handle = NewHandle(aLoop, aObserver);
  std::unique_ptr<TcpStream> stream(new TcpStream(handle));
  SetSocketOptions(handle->m_tcp);
  sockaddr_in address{};
  uv_ip4_addr(aAddress.m_host.c_str(), aAddress.m_port, &address);
  handle->m_connect.data = handle;
  // libuv reports an immediate failure in a later turn as well.
  uv_tcp_connect(&handle->m_connect,
                 &handle->m_tcp,
                 reinterpret_cast<const sockaddr*>(&address),
                 [](uv_connect_t* aRequest, int aStatus) {
                   auto* owner = static_cast<Handle*>(aRequest->data);
                   if (owner->m_observer == nullptr) {
                     return;
                   }
                   if (aStatus == 0) {
                     StartReading(*owner);
                   }
                   owner->m_observer->OnConnected(aStatus == 0);
                 });
  return stream;
}

std::unique_ptr<TcpStream>
TcpStream::Accept(UvLoop& aLoop, uv_stream_t* aListener, TcpObserver& aObserver)
{
  auto* handle = new Handle;
  uv_tcp_init(aLoop.Uv(), &handle->m_tcp);
  handle->m_tcp.data = handle;
  handle->m_observer = &aObserver;
  std::unique_ptr<TcpStream> stream(new TcpStream(handle));
  if (uv_accept(aListener, handle->Stream()) != 0) {
    return nullptr;
  }
  SetSocketOptions(handle->m_tcp);
  StartReading(*handle);
  return stream;
}

TcpStream::~TcpStream()
{
  m_handle->m_observer = nullptr;
  uv_close(
    reinterpret_cast<uv_handle_t*>(&m_handle->m_tcp),
    [](uv_handle_t* aHandle) { delete static_cast<Handle*>(aHandle->data); });
}

void
TcpStream::Write(std::string aBytes)
{
  struct Request
  {
    uv_write_t m_write{};
    std::string m_bytes;
  };
  size_t sent = 0;
  if (uv_stream_get_write_queue_size(m_handle->Stream()) == 0) {
    uv_buf_t buffer =
      uv_buf_init(aBytes.data(), static_cast<unsigned>(aBytes.size()));
    int result = uv_try_write(m_handle->Stream(), &buffer, 1);
    sent = result > 0 ? static_cast<size_t>(result) : 0;
  }
  if (sent == aBytes.size()) {
    return;
  }
  auto* request = new Request{ .m_bytes = aBytes.substr(sent) };
  request->m_write.data = request;
  uv_buf_t unsent = uv_buf_init(request->m_bytes.data(),
                                static_cast<unsigned>(request->m_bytes.size()));
  // A failed write is not reported here: reading then reports the end of the
  // stream.
  int result = uv_write(&request->m_write,
                        m_handle->Stream(),
                        &unsent,
                        1,
                        [](uv_write_t* aWrite, int) {
                          delete static_cast<Request*>(aWrite->data);
                        });
  if (result != 0) {
    delete request;
  }
}

size_t
TcpStream::UnsentBytes() const
{
  return uv_stream_get_write_queue_size(m_handle->Stream());
}

void
TcpStream::ShutDown()
{
  uv_shutdown(
    &m_handle->m_shutdown, m_handle->Stream(), [](uv_shutdown_t*, int) {});
}

void
TcpStream::PauseReading(bool aPause)
{
  if (aPause) {
    uv_read_stop(m_handle->Stream());
  } else {
    StartReading(*m_handle);
  }
}

void
TcpStream::StartReading(Handle& aHandle)
{
  uv_read_start(
    aHandle.Stream(),
    [](uv_handle_t*, size_t, uv_buf_t* aBuffer) {
      *aBuffer = uv_buf_init(ReadBuffer().data(), kReadBufferBytes);
    },
    [](uv_stream_t* aStream, ssize_t aCount, const uv_buf_t* aBuffer) {
      auto* owner = static_cast<Handle*>(aStream->data);
      if (owner->m_observer == nullptr || aCount == 0) {
        return;
      }
      if (aCount > 0) {
        owner->m_observer->OnBytes(
          { aBuffer->base, static_cast<size_t>(aCount) });
        return;
      }
      uv_read_stop(aStream);
      bool closedInOrder = aCount == UV_EOF && IsClosedInOrder(aStream);
      owner->m_observer->OnEnd(!closedInOrder);
    });
}

struct TcpListener::Handle
{
  uv_tcp_t m_tcp{};
  TcpListener* m_owner = nullptr;
};

TcpListener::TcpListener(UvLoop& aLoop,
                         std::function<void(uv_stream_t*)> aOnConnection)
  : m_loop(aLoop)
  , m_onConnection(std::move(aOnConnection))
{
}

TcpListener::~TcpListener()
{
  Stop();
}

std::string
TcpListener::Listen(const Address& aAddress)
{
  sockaddr_in address{};
  if (uv_ip4_addr(aAddress.m_host.c_str(), aAddress.m_port, &address) != 0) {
    return aAddress.m_host + " is not an IP address";
  }
  m_handle = new Handle;
  uv_tcp_init(m_loop.Uv(), &m_handle->m_tcp);
  m_handle->m_tcp.data = m_handle;
  m_handle->m_owner = this;
  auto* stream = reinterpret_cast<uv_stream_t*>(&m_handle->m_tcp);
  int result = uv_tcp_bind(
    &m_handle->m_tcp, reinterpret_cast<const sockaddr*>(&address), 0);
  if (result == 0) {
    result =
      uv_listen(stream, kBacklog, [](uv_stream_t* aListener, int aStatus) {
        auto* handle = static_cast<Handle*>(aListener->data);
        if (aStatus == 0 && handle->m_owner != nullptr) {
          handle->m_owner->m_onConnection(aListener);
        }
      });
  }
  if (result != 0) {
    std::string problem = uv_strerror(result);
    Stop();
    return problem;
  }
  int length = sizeof(address);
  uv_tcp_getsockname(
    &m_handle->m_tcp, reinterpret_cast<sockaddr*>(&address), &length);
  m_port = ntohs(address.sin_port);
  return {};
}

void
TcpListener::Stop()
{
  if (m_handle == nullptr) {
    return;
  }
  Handle* handle = std::exchange(m_handle, nullptr);
  handle->m_owner = nullptr;
  uv_close(
    reinterpret_cast<uv_handle_t*>(&handle->m_tcp),
    [](uv_handle_t* aHandle) { delete static_cast<Handle*>(aHandle->data); });
}

} // namespace ebonykeel
