// A UDP socket on a libuv loop.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/config/address.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

// Sends and receives datagrams. The loop must outlive it.
class DatagramSocket
{
public:
  // Calls `aOnDatagram` with the sender's IP address and the bytes of each
  // datagram.
  DatagramSocket(
    UvLoop& aLoop,
    std::function<void(const std::string&, std::string_view)> aOnDatagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Returns an empty string, or the reason why the address cannot be bound.
  [[nodiscard]] std::string Bind(const Address& aAddress);
  // Sends without queueing; a datagram that the kernel does not accept is lost.
  void Send(const Address& aTo, std::string_view aBytes);

private:
  struct Handle;
  UvLoop& m_loop;
  std::function<void(const std::string&, std::string_view)> m_onDatagram;
  Handle* m_handle;
};

} // namespace ebonykeel
