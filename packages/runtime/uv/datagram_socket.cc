#include "runtime/uv/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <utility>

namespace ebonykeel {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;

std::array<char, kMaxDatagramBytes>&
ReceiveBuffer()
{
  static std::array<char, kMaxDatagramBytes> buffer;
  return buffer;
}

} // namespace

struct DatagramSocket::Handle
{
  uv_udp_t m_udp{};
  DatagramSocket* m_owner = nullptr;
};

DatagramSocket::DatagramSocket(
  UvLoop& aLoop,
  std::function<void(const std::string&, std::string_view)> aOnDatagram)
  : m_loop(aLoop)
  , m_onDatagram(std::move(aOnDatagram))
  , m_handle(new Handle)
{
  uv_udp_init(m_loop.Uv(), &m_handle->m_udp);
  m_handle->m_udp.data = m_handle;
  m_handle->m_owner = this;
}

DatagramSocket::~DatagramSocket()
{
  m_handle->m_owner = nullptr;
  uv_close(
    reinterpret_cast<uv_handle_t*>(&m_handle->m_udp),
    [](uv_handle_t* aHandle) { delete static_cast<Handle*>(aHandle->data); });
}

std::string
DatagramSocket::Bind(const Address& aAddress)
{
  sockaddr_in address{};
  if (uv_ip4_addr(aAddress.m_host.c_str(), aAddress.m_port, &address) != 0) {
    return aAddress.m_host + " is not an IP address";
  }
  int result = uv_udp_bind(
    &m_handle->m_udp, reinterpret_cast<const sockaddr*>(&address), 0);
  if (result == 0) {
    result = uv_udp_recv_start(
      &m_handle->m_udp,
      [](uv_handle_t*, size_t, uv_buf_t* aBuffer) {
        *aBuffer = uv_buf_init(ReceiveBuffer().data(), kMaxDatagramBytes);
      },
      [](uv_udp_t* aUdp,
         ssize_t aCount,
         const uv_buf_t* aBuffer,
         const sockaddr* aFrom,
         unsigned) {
        auto* handle = static_cast<Handle*>(aUdp->data);
        if (handle->m_owner == nullptr || aCount <= 0 || aFrom == nullptr) {
          return;
        }
        std::array<char, INET_ADDRSTRLEN> host{};
        uv_ip4_name(reinterpret_cast<const sockaddr_in*>(aFrom),
                    host.data(),
                    host.size());
        handle->m_owner->m_onDatagram(
          host.data(), { aBuffer->base, static_cast<size_t>(aCount) });
      });
  }
  return result == 0 ? std::string() : std::string(uv_strerror(result));
}

void
DatagramSocket::Send(const Address& aTo, std::string_view aBytes)
{
  sockaddr_in address{};
  uv_ip4_addr(aTo.m_host.c_str(), aTo.m_port, &address);
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(aBytes.data()),
                                static_cast<unsigned>(aBytes.size()));
  (void)uv_udp_try_send(
    &m_handle->m_udp, &buffer, 1, reinterpret_cast<const sockaddr*>(&address));
}

} // namespace ebonykeel
