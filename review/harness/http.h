// Blocking HTTP/1.1 over TCP for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Address
{
  std::string m_host;
  uint16_t m_port = 0;

  [[nodiscard]] std::string Text() const
  {
    return m_host + ":" + std::to_string(m_port);
  }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool
EqualNames(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

inline std::string
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualNames(name, aName)) {
      return value;
    }
  }
  return {};
}

struct Request
{
  std::string m_method = "GET";
  std::string m_target = "/";
  Headers m_headers;
  std::string m_body;
};

struct Response
{
  int m_status = 200;
  Headers m_headers;
  std::string m_body;
};

inline sockaddr_in
SocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_host.c_str(), &address.sin_addr);
  return address;
}

// One TCP connection. Reads give up at a deadline.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
    int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(m_descriptor); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const Address& aTo,
                                          Milliseconds aTimeout)
  {
    int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = SocketAddress(aTo);
    int result = connect(
      descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    pollfd poller{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
    int error = 0;
    socklen_t length = sizeof(error);
    bool connected =
      result == 0 ||
      (errno == EINPROGRESS &&
       poll(&poller, 1, static_cast<int>(aTimeout.count())) == 1 &&
       getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
       error == 0);
    if (!connected) {
      close(descriptor);
      return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
  }

  bool Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      ssize_t sent =
        send(m_descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
        pollfd poller{ .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
        poll(&poller, 1, 1000);
        continue;
      }
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  // Waits for bytes; returns false at the end of the connection.
  bool ReadSome(std::string& aBytes)
  {
    pollfd poller{ .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    poll(&poller, 1, -1);
    char bytes[16384];
    ssize_t count = recv(m_descriptor, bytes, sizeof(bytes), 0);
    aBytes.assign(bytes, static_cast<size_t>(std::max<ssize_t>(count, 0)));
    return count > 0;
  }

  void ShutDown() { shutdown(m_descriptor, SHUT_RDWR); }

  // Reads a request; returns false at the end of the connection.
  bool Read(Request& aRequest, TimePoint aDeadline)
  {
    std::string firstLine;
    aRequest = Request{};
    if (!ReadMessage(
          firstLine, aRequest.m_headers, aRequest.m_body, aDeadline)) {
      return false;
    }
    size_t first = firstLine.find(' ');
    size_t second = firstLine.find(' ', first + 1);
    aRequest.m_method = firstLine.substr(0, first);
    aRequest.m_target = firstLine.substr(first + 1, second - first - 1);
    return true;
  }

  bool Read(Response& aResponse, TimePoint aDeadline)
  {
    std::string firstLine;
    aResponse = Response{};
    if (!ReadMessage(
          firstLine, aResponse.m_headers, aResponse.m_body, aDeadline)) {
      return false;
    }
    aResponse.m_status = std::atoi(firstLine.c_str() + firstLine.find(' '));
    return true;
  }

private:
  // Reads one message whose body has a length.
  bool ReadMessage(std::string& aFirstLine,
                   Headers& aHeaders,
                   std::string& aBody,
                   TimePoint aDeadline)
  {
    size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadline)) {
        return false;
      }
    }
    std::string head = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 4);
    size_t at = head.find("\r\n");
    aFirstLine = head.substr(0, at);
    while (at != std::string::npos) {
      size_t next = head.find("\r\n", at + 2);
      std::string line = head.substr(at + 2, next - at - 2);
      size_t colon = line.find(':');
      size_t value = line.find_first_not_of(' ', colon + 1);
      aHeaders.emplace_back(line.substr(0, colon),
                            value == std::string::npos ? ""
                                                       : line.substr(value));
      at = next;
    }
    size_t length =
      std::strtoul(FindHeader(aHeaders, "content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
      if (!Fill(aDeadline)) {
        return false;
      }
    }
    aBody = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
  }

  bool Fill(TimePoint aDeadline)
  {
    auto left =
      std::chrono::duration_cast<Milliseconds>(aDeadline - Clock::now());
    pollfd poller{ .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    if (left.count() <= 0 ||
        poll(&poller, 1, static_cast<int>(left.count())) != 1) {
      return false;
    }
    char bytes[16384];
    ssize_t count = recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int m_descriptor;
  std::string m_buffer;
};

inline std::string
Serialize(const Request& aRequest)
{
  std::string text =
    aRequest.m_method + " " + aRequest.m_target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.m_headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!aRequest.m_body.empty()) {
    text +=
      "Content-Length: " + std::to_string(aRequest.m_body.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.m_body;
}

inline std::string
Serialize(const Response& aResponse)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aResponse.m_status) + " Status\r\n";
  for (const auto& [name, value] : aResponse.m_headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aResponse.m_body.size()) + "\r\n";
  return text + "\r\n" + aResponse.m_body;
}

// Makes an object that lives until the process ends, as the threads of servers
// do.
template<typename Type, typename... Arguments>
Type&
MakeLasting(Arguments&&... aArguments)
{
  return *new Type(std::forward<Arguments>(aArguments)...);
}

// Serves each connection with a thread of its own. Runs until the process ends.
class Server
{
public:
  // Serves a connection until it ends.
  using Handler = std::function<void(Connection&)>;

  // Listens on a free port of `aHost`; returns the address.
  Address Start(const std::string& aHost, Handler aHandler)
  {
    m_handler = std::move(aHandler);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = SocketAddress({ aHost, 0 });
    if (bind(listener,
             reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listener, 512) != 0) {
      return {};
    }
    socklen_t length = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    std::thread([this, listener]() {
      while (true) {
        int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
          continue;
        }
        std::thread([this, descriptor]() {
          Connection connection(descriptor);
          m_handler(connection);
        }).detach();
      }
    }).detach();
    return { aHost, ntohs(address.sin_port) };
  }

private:
  Handler m_handler;
};

} // namespace review
