// Tests the client against servers whose bytes are no answer. The server runs
// in a thread of its own, so that it sends as fast as the client reads.
#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "runtime/http/client.h"

namespace ebonykeel {
namespace {

constexpr size_t kBlock = 65536;

// Answers each request with the same bytes, which may go on until the client
// closes the connection.
class RawServer
{
public:
  // Sends `aStart` once and then `aRepeated`, unless it is empty, again and
  // again.
  RawServer(std::string aStart, std::string aRepeated)
    : m_start(std::move(aStart))
    , m_repeated(std::move(aRepeated))
    , m_listener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{ .sin_family = AF_INET,
                         .sin_addr = { htonl(INADDR_LOOPBACK) } };
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    DOCTEST_REQUIRE(bind(m_listener, generic, length) == 0);
    DOCTEST_REQUIRE(listen(m_listener, SOMAXCONN) == 0);
    DOCTEST_REQUIRE(getsockname(m_listener, generic, &length) == 0);
    m_endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    m_thread = std::thread([this]() { Run(); });
  }
  ~RawServer()
  {
    m_stop = true;
    m_thread.join();
    close(m_listener);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] const Endpoint& ListenEndpoint() const { return m_endpoint; }
  [[nodiscard]] size_t Sent() const { return m_sent; }

private:
  static constexpr int kPollMs = 20;

  void Run()
  {
    pollfd listener{ .fd = m_listener, .events = POLLIN };
    while (!m_stop) {
      if (poll(&listener, 1, kPollMs) <= 0) {
        continue;
      }
      int connection = accept(m_listener, nullptr, nullptr);
      std::array<char, 4096> request{};
      if (recv(connection, request.data(), request.size(), 0) > 0) {
        Answer(connection);
      }
      close(connection);
    }
  }

  void Answer(int aConnection)
  {
    constexpr timeval kSendTimeout{ .tv_sec = 0, .tv_usec = 100000 };
    (void)setsockopt(aConnection,
                     SOL_SOCKET,
                     SO_SNDTIMEO,
                     &kSendTimeout,
                     sizeof(kSendTimeout));
    bool open = Send(aConnection, m_start);
    while (open && !m_stop) {
      open = m_repeated.empty() ? IsOpen(aConnection)
                                : Send(aConnection, m_repeated);
    }
  }

  // Waits for a moment; returns whether the client has left the connection
  // open.
  static bool IsOpen(int aConnection)
  {
    pollfd connection{ .fd = aConnection, .events = POLLIN };
    return poll(&connection, 1, kPollMs) == 0;
  }

  bool Send(int aConnection, const std::string& aBytes)
  {
    ssize_t sent =
      send(aConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    m_sent += sent > 0 ? static_cast<size_t>(sent) : 0;
    return sent == static_cast<ssize_t>(aBytes.size());
  }

  std::string m_start;
  std::string m_repeated;
  int m_listener;
  Endpoint m_endpoint;
  std::atomic<bool> m_stop = false;
  std::atomic<size_t> m_sent = 0;
  std::thread m_thread;
};

// The result of one request to a server.
struct Exchange
{
  HttpReply m_reply;
  Duration m_took{};
  size_t m_sent = 0;
};

// Sends one request to a server that sends `aStart` and then `aRepeated`.
Exchange
Run(const std::string& aStart, const std::string& aRepeated, Duration aTimeout)
{
  Loop loop;
  RawServer server(aStart, aRepeated);
  H2oHttpClient client(loop, { .m_maxBodyBytes = kBlock });
  TimePoint startedAt = loop.Clock().Now();
  HttpReply reply =
    client.Send(server.ListenEndpoint(), { .m_path = "/x" }, aTimeout)
      .wait(loop.WaitScope());
  return { .m_reply = std::move(reply),
           .m_took = loop.Clock().Now() - startedAt,
           .m_sent = server.Sent() };
}

// Guards against answers that HTTP does not have, which were passed on.
DOCTEST_TEST_CASE("an answer with an invalid status or header is refused")
{
  const std::string end = "Content-Length: 4\r\n\r\ndone";
  for (const std::string& answer :
       { "HTTP/1.1 000 Odd\r\n" + end,
         "HTTP/1.1 099 Odd\r\n" + end,
         "HTTP/1.1 600 Odd\r\n" + end,
         "HTTP/1.1 999 Odd\r\n" + end,
         "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + end,
         "HTTP/1.1 200 OK\r\nX-Y : 1\r\n" + end,
         "HTTP/1.1 200 OK\r\nX\x01: 1\r\n" + end,
         "HTTP/1.1 200 OK\r\n X-Y: 1\r\n" + end,
         "HTTP/1.1 200 OK\r\nX-Y: 1\r\n Z: 1\r\n" + end,
         std::string("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone") }) {
    Exchange exchange = Run(answer, "", Seconds(5));
    DOCTEST_CAPTURE(answer);
    DOCTEST_CHECK_FALSE(exchange.m_reply.m_status.ok());
    DOCTEST_CHECK(exchange.m_reply.m_progress == HttpProgress::kSent);
    DOCTEST_CHECK(exchange.m_took < Seconds(1));
  }
  Exchange sound = Run("HTTP/1.1 599 Odd\r\n" + end, "", Seconds(5));
  DOCTEST_CHECK(sound.m_reply.m_response.m_status == 599);
}

// Guards against an instance that runs out of memory, or does nothing else,
// while a server sends bytes that are no answer: what is sent is a bound on
// what the client can hold.
DOCTEST_TEST_CASE("endless bytes are cut off within bounds of time and memory")
{
  constexpr Duration kTimeout = Milliseconds(500);
  constexpr size_t kMaxSent = size_t{ 16 } << 20;
  const std::string block(kBlock, 'x');
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Case
  {
    const char* m_name;
    std::string m_start;
    std::string m_repeated;
  };
  for (const Case& testCase : std::vector<Case>{
         { "no HTTP", block, block },
         { "status line", "HTTP/1.1 200 ", block },
         { "header line", "HTTP/1.1 200 OK\r\nX: ", block },
         { "header name", "HTTP/1.1 200 OK\r\nX", block },
         { "header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
         { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", block },
         { "body with a great length",
           "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
           block },
         { "chunks", chunked, "10000\r\n" + block + "\r\n" } }) {
    DOCTEST_CAPTURE(testCase.m_name);
    Exchange exchange = Run(testCase.m_start, testCase.m_repeated, kTimeout);
    DOCTEST_CHECK_FALSE(exchange.m_reply.m_status.ok());
    DOCTEST_CHECK(exchange.m_took < kTimeout * 2);
    DOCTEST_CHECK(exchange.m_sent < kMaxSent);
  }
}

// These bytes are dropped as they come, so that only the timeout ends them.
DOCTEST_TEST_CASE("endless bytes that are not held end with the timeout")
{
  constexpr Duration kTimeout = Milliseconds(300);
  const std::string block(kBlock, 'x');
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  struct Case
  {
    std::string m_start;
    std::string m_repeated;
  };
  for (const Case& testCase :
       std::vector<Case>{ { chunked + "5;", block },
                          { chunked + "0\r\nX: ", block },
                          { interim, interim } }) {
    DOCTEST_CAPTURE(testCase.m_start);
    Exchange exchange = Run(testCase.m_start, testCase.m_repeated, kTimeout);
    DOCTEST_CHECK_FALSE(exchange.m_reply.m_status.ok());
    DOCTEST_CHECK(exchange.m_took < kTimeout * 2);
  }
}

} // namespace
} // namespace ebonykeel
