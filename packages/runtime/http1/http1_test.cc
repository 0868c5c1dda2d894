// Tests the client and the server against each other and against raw TCP peers,
// on one event loop over loopback. Each wait is for a condition.
#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/socket.h>

#include <doctest/doctest.h>

#include "runtime/http1/client.h"
#include "runtime/http1/server.h"

namespace ebonykeel {
namespace {

const Address kLoopback{ "127.0.0.1", 0 };

// Holds requests until the test answers them.
struct HoldingHandler final : public Http1Handler
{
  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override
  {
    aExchange->OnCallerDisconnect([this]() { ++m_disconnects; });
    m_held.push_back(std::move(aExchange));
  }
  std::vector<std::shared_ptr<Http1Exchange>> m_held;
  int m_disconnects = 0;
};

// A TCP peer that sends and receives raw bytes.
class RawPeer final : public TcpObserver
{
public:
  // Listens for a connection.
  explicit RawPeer(UvLoop& aLoop)
    : m_loop(aLoop)
    , m_listener(aLoop, [this](uv_stream_t* aListener) {
      m_stream = TcpStream::Accept(m_loop, aListener, *this);
      ++m_accepted;
    })
  {
    DOCTEST_REQUIRE(m_listener.Listen(kLoopback).empty());
  }
  RawPeer(UvLoop& aLoop, uint16_t aPort)
    : RawPeer(aLoop)
  {
    m_stream = TcpStream::Connect(aLoop, { "127.0.0.1", aPort }, *this);
  }

  void OnConnected(bool aConnected) override { m_connected = aConnected; }
  void OnBytes(std::string_view aBytes) override { m_bytes.append(aBytes); }
  void OnEnd(bool aReset) override
  {
    m_ended = true;
    m_reset = aReset;
  }
  [[nodiscard]] Address ListenAddress() const
  {
    return { "127.0.0.1", m_listener.Port() };
  }

  UvLoop& m_loop;
  TcpListener m_listener;
  std::unique_ptr<TcpStream> m_stream;
  std::string m_bytes;
  int m_accepted = 0;
  bool m_connected = false;
  bool m_ended = false;
  bool m_reset = false;
};

struct Fixture
{
  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      m_loop.RunOnce(false);
    }
  }

  uint64_t Send(const Address& aTo,
                std::function<Http1AnswerMatch(const Http1Response&)>
                  aMatchAnswer = nullptr)
  {
    return m_client.Send(
      { .m_address = aTo,
        .m_bytes = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
        .m_matchAnswer = std::move(aMatchAnswer) },
      [this](Http1Result aResult) { m_results.push_back(std::move(aResult)); });
  }

  // Sends a request to `aPeer` and waits until its first bytes have arrived.
  void SendTo(RawPeer& aPeer,
              std::function<Http1AnswerMatch(const Http1Response&)>
                aMatchAnswer = nullptr)
  {
    aPeer.m_bytes.clear();
    Send(aPeer.ListenAddress(), std::move(aMatchAnswer));
    RunUntil([&]() { return !aPeer.m_bytes.empty(); });
  }
  Http1Result& NextResult()
  {
    size_t before = m_resultsRead;
    RunUntil([&]() { return m_results.size() > before; });
    return m_results[m_resultsRead++];
  }

  UvLoop m_loop;
  HoldingHandler m_handler;
  Http1Server m_server{ m_loop, m_handler, {} };
  Http1Client m_client{ m_loop, {} };
  std::vector<Http1Result> m_results;
  size_t m_resultsRead = 0;
};

std::string
Ok(const std::string& aBody, const std::string& aHeaders = "")
{
  return "HTTP/1.1 200 OK\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

DOCTEST_TEST_CASE("two requests in a row use one connection")
{
  Fixture fixture;
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  Address where{ "127.0.0.1", fixture.m_server.Port() };
  for (int i = 1; i <= 2; ++i) {
    fixture.Send(where);
    fixture.RunUntil([&]() { return !fixture.m_handler.m_held.empty(); });
    DOCTEST_CHECK(fixture.m_server.InFlight() == 1);
    fixture.m_handler.m_held[0]->Answer({ .m_status = 200, .m_body = "hi" });
    fixture.m_handler.m_held.clear();
    DOCTEST_CHECK(fixture.NextResult().m_response.m_body == "hi");
  }
  DOCTEST_CHECK(fixture.m_client.ConnectionsOpened() == 1);
}

DOCTEST_TEST_CASE("a caller that disconnects before the answer is detected")
{
  Fixture fixture;
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  uint64_t call = fixture.Send({ "127.0.0.1", fixture.m_server.Port() });
  fixture.RunUntil([&]() { return !fixture.m_handler.m_held.empty(); });
  fixture.m_client.Cancel(call);
  fixture.RunUntil([&]() { return fixture.m_handler.m_disconnects == 1; });
  DOCTEST_CHECK(fixture.m_server.InFlight() == 0);
  fixture.m_handler.m_held[0]->Answer({ .m_status = 200 });
  DOCTEST_CHECK(fixture.m_results.empty());
}

DOCTEST_TEST_CASE("pipelined requests are processed one after the other")
{
  Fixture fixture;
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  RawPeer caller(fixture.m_loop, fixture.m_server.Port());
  fixture.RunUntil([&]() { return caller.m_connected; });
  caller.m_stream->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  fixture.RunUntil([&]() { return fixture.m_handler.m_held.size() == 1; });
  fixture.m_handler.m_held[0]->Answer({ .m_status = 200, .m_body = "one" });
  fixture.RunUntil([&]() { return fixture.m_handler.m_held.size() == 2; });
  DOCTEST_CHECK(fixture.m_handler.m_held[1]->Request().m_target == "/2");
}

DOCTEST_TEST_CASE(
  "malformed and oversized requests get an error status and an orderly close")
{
  Fixture fixture;
  fixture.m_server.SetOptions(
    { .m_limits = { .m_headerBytes = 200, .m_bodyBytes = 4 } });
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  struct Case
  {
    std::string m_sent;
    std::string m_status;
  };
  std::vector<Case> cases{
    { "rubbish\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nX: " + std::string(300, 'x'), "431" },
    { "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde", "413" },
  };
  for (const Case& testCase : cases) {
    RawPeer caller(fixture.m_loop, fixture.m_server.Port());
    fixture.RunUntil([&]() { return caller.m_connected; });
    caller.m_stream->Write(testCase.m_sent);
    fixture.RunUntil([&]() { return caller.m_ended; });
    DOCTEST_CHECK(caller.m_bytes.starts_with("HTTP/1.1 " + testCase.m_status));
    DOCTEST_CHECK_FALSE(caller.m_reset);
  }
  DOCTEST_CHECK(fixture.m_handler.m_held.empty());
}

DOCTEST_TEST_CASE(
  "a server that shuts down answers requests in flight, then closes")
{
  Fixture fixture;
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  RawPeer busy(fixture.m_loop, fixture.m_server.Port());
  RawPeer idle(fixture.m_loop, fixture.m_server.Port());
  fixture.RunUntil([&]() { return busy.m_connected && idle.m_connected; });
  idle.m_stream->Write("GET / HTTP/1.1\r\n\r\n");
  fixture.RunUntil([&]() { return !fixture.m_handler.m_held.empty(); });
  fixture.m_handler.m_held[0]->Answer({ .m_status = 200 });
  fixture.m_handler.m_held.clear();
  fixture.RunUntil([&]() { return !idle.m_bytes.empty(); });
  busy.m_stream->Write("GET / HTTP/1.1\r\n\r\n");
  fixture.RunUntil([&]() {
    return !fixture.m_handler.m_held.empty() &&
           fixture.m_server.Connections() == 2;
  });
  fixture.m_server.BeginShutdown(true);
  fixture.RunUntil([&]() { return idle.m_ended; });
  fixture.m_handler.m_held[0]->Answer({ .m_status = 200, .m_body = "last" });
  fixture.RunUntil([&]() { return busy.m_ended; });
  DOCTEST_CHECK(busy.m_bytes.find("Connection: close") != std::string::npos);
  DOCTEST_CHECK(busy.m_bytes.ends_with("last"));
}

// A caller that has just connected sends its request in a moment: it must not
// be cut off without an answer.
DOCTEST_TEST_CASE("a shutdown does not cut off a connection that is new")
{
  Fixture fixture;
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  RawPeer caller(fixture.m_loop, fixture.m_server.Port());
  fixture.RunUntil([&]() { return fixture.m_server.Connections() == 1; });
  fixture.m_server.BeginShutdown(true);
  fixture.RunUntil([&]() { return caller.m_connected; });
  caller.m_stream->Write("GET / HTTP/1.1\r\n\r\n");
  fixture.RunUntil(
    [&]() { return !fixture.m_handler.m_held.empty() || caller.m_ended; });
  DOCTEST_REQUIRE(fixture.m_handler.m_held.size() == 1);
  fixture.m_handler.m_held[0]->Answer({ .m_status = 200, .m_body = "last" });
  fixture.RunUntil([&]() { return caller.m_ended; });
  DOCTEST_CHECK(caller.m_bytes.ends_with("last"));
}

DOCTEST_TEST_CASE("a shutdown closes a new connection that stays silent")
{
  Fixture fixture;
  DOCTEST_REQUIRE(fixture.m_server.Listen(kLoopback).empty());
  RawPeer caller(fixture.m_loop, fixture.m_server.Port());
  fixture.RunUntil([&]() { return fixture.m_server.Connections() == 1; });
  TimePoint start = fixture.m_loop.Now();
  fixture.RunUntil([&]() {
    fixture.m_server.BeginShutdown(true);
    return caller.m_ended;
  });
  DOCTEST_CHECK(fixture.m_loop.Now() - start < Seconds(1));
}

DOCTEST_TEST_CASE(
  "an answer without a length is complete after an orderly close")
{
  Fixture fixture;
  RawPeer peer(fixture.m_loop);
  fixture.SendTo(peer);
  peer.m_stream->Write("HTTP/1.1 200 OK\r\n\r\nwhole");
  peer.m_stream.reset();
  Http1Result& result = fixture.NextResult();
  DOCTEST_CHECK(result.m_outcome == Http1Outcome::kAnswered);
  DOCTEST_CHECK(result.m_response.m_body == "whole");
}

// Regression test: a reset right after the last bytes was treated as an orderly
// close, so that a truncated answer looked complete.
DOCTEST_TEST_CASE("an answer without a length is incomplete after a reset")
{
  for (int i = 0; i < 20; ++i) {
    Fixture fixture;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    uv_ip4_addr("127.0.0.1", 0, &address);
    socklen_t length = sizeof(address);
    DOCTEST_REQUIRE(
      bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
    DOCTEST_REQUIRE(listen(listener, 1) == 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    fixture.Send({ "127.0.0.1", ntohs(address.sin_port) });
    int peer = accept(listener, nullptr, nullptr);
    std::string request(256, '\0');
    fixture.RunUntil([&]() {
      return recv(peer, request.data(), request.size(), MSG_DONTWAIT) > 0;
    });
    constexpr std::string_view kPart = "HTTP/1.1 200 OK\r\n\r\npart";
    (void)send(peer, kPart.data(), kPart.size(), 0);
    // With a linger time of zero, closing the socket sends a reset.
    linger abort{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(peer, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(peer);
    Http1Result& result = fixture.NextResult();
    DOCTEST_CHECK(result.m_outcome == Http1Outcome::kBroken);
    DOCTEST_CHECK(result.m_problem == "reset");
    close(listener);
  }
}

DOCTEST_TEST_CASE(
  "a truncated, malformed or missing answer is reported as broken")
{
  Fixture fixture;
  for (const char* bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                             "\x01nonsense\r\n\r\n",
                             "" }) {
    RawPeer peer(fixture.m_loop);
    fixture.SendTo(peer);
    peer.m_stream->Write(bytes);
    peer.m_stream.reset();
    DOCTEST_CHECK(fixture.NextResult().m_outcome == Http1Outcome::kBroken);
  }
}

DOCTEST_TEST_CASE(
  "a refused connection is reported as a request that was not sent")
{
  Fixture fixture;
  Address unusedAddress;
  {
    RawPeer peer(fixture.m_loop);
    unusedAddress = peer.ListenAddress();
  }
  fixture.m_loop.RunOnce(false);
  fixture.Send(unusedAddress);
  DOCTEST_CHECK(fixture.NextResult().m_outcome == Http1Outcome::kNotSent);
}

DOCTEST_TEST_CASE(
  "an answer to another request is skipped, the connection not reused")
{
  Fixture fixture;
  RawPeer peer(fixture.m_loop);
  auto match = [](const Http1Response& aResponse) {
    return aResponse.m_body == "mine" ? Http1AnswerMatch::kThisRequest
                                      : Http1AnswerMatch::kOtherRequest;
  };
  fixture.SendTo(peer, match);
  peer.m_stream->Write(Ok("other") + Ok("mine"));
  DOCTEST_CHECK(fixture.NextResult().m_response.m_body == "mine");
  fixture.SendTo(peer, match);
  DOCTEST_CHECK(peer.m_accepted == 2);
}

DOCTEST_TEST_CASE("a connection with bytes after the answer is not reused")
{
  Fixture fixture;
  RawPeer peer(fixture.m_loop);
  fixture.SendTo(peer);
  peer.m_stream->Write(Ok("a") + "HTTP/1.1");
  DOCTEST_CHECK(fixture.NextResult().m_response.m_body == "a");
  fixture.SendTo(peer);
  DOCTEST_CHECK(peer.m_accepted == 2);
}

DOCTEST_TEST_CASE("an unrequested answer closes an idle connection")
{
  Fixture fixture;
  RawPeer peer(fixture.m_loop);
  fixture.SendTo(peer);
  peer.m_stream->Write(Ok("a"));
  (void)fixture.NextResult();
  peer.m_stream->Write(Ok("stray"));
  fixture.RunUntil([&]() { return peer.m_ended; });
  fixture.SendTo(peer);
  DOCTEST_CHECK(peer.m_accepted == 2);
  peer.m_stream->Write(Ok("b"));
  DOCTEST_CHECK(fixture.NextResult().m_response.m_body == "b");
}

DOCTEST_TEST_CASE("a connection is not reused if its server asks to close it")
{
  for (const char* header :
       { "Connection: close\r\n", "Keep-Alive: timeout=0\r\n" }) {
    Fixture fixture;
    RawPeer peer(fixture.m_loop);
    fixture.SendTo(peer);
    peer.m_stream->Write(Ok("a", header));
    (void)fixture.NextResult();
    fixture.SendTo(peer);
    DOCTEST_CHECK(peer.m_accepted == 2);
  }
}

// Sends bytes without end to each connection, until the other end closes it.
class EndlessPeer final : public TcpObserver
{
public:
  EndlessPeer(UvLoop& aLoop, std::string aStart, std::string aRepeated)
    : m_loop(aLoop)
    , m_start(std::move(aStart))
    , m_repeated(std::move(aRepeated))
    , m_listener(aLoop, [this](uv_stream_t* aListener) {
      m_stream = TcpStream::Accept(m_loop, aListener, *this);
    })
  {
    DOCTEST_REQUIRE(m_listener.Listen(kLoopback).empty());
    // As in the programs: a write to a closed connection is just an error.
    std::signal(SIGPIPE, SIG_IGN);
  }

  void OnConnected(bool /*aConnected*/) override {}
  void OnBytes(std::string_view /*aBytes*/) override
  {
    m_stream->Write(m_start);
    m_sending = true;
  }
  void OnEnd(bool /*aReset*/) override
  {
    m_ended = true;
    m_sending = false;
  }
  // Sends more once the connection has taken what was sent before.
  void SendMore()
  {
    if (m_sending && m_stream->UnsentBytes() == 0) {
      m_stream->Write(m_repeated);
      m_sent += m_repeated.size();
    }
  }
  [[nodiscard]] Address ListenAddress() const
  {
    return { "127.0.0.1", m_listener.Port() };
  }

  UvLoop& m_loop;
  std::string m_start;
  std::string m_repeated;
  TcpListener m_listener;
  std::unique_ptr<TcpStream> m_stream;
  bool m_sending = false;
  bool m_ended = false;
  size_t m_sent = 0;
};

// Bytes that are no answer and come without end: each call ends in bounded time
// with a bounded number of bytes held, the connections are closed, and a call
// to a sound server beside them is answered.
DOCTEST_TEST_CASE("endless bytes are cut off within bounds of time and memory")
{
  constexpr size_t kBlock = 65536;
  constexpr size_t kMaxBufferedBytes = size_t{ 1 } << 20;
  constexpr Duration kTimeout = Milliseconds(500);
  struct Case
  {
    const char* m_name;
    std::string m_start;
    std::string m_repeated;
  };
  const std::string block(kBlock, 'x');
  auto repeatToBlock = [](std::string_view aText) {
    std::string text;
    while (text.size() < kBlock) {
      text += aText;
    }
    return text;
  };
  const std::string manyInterim =
    repeatToBlock("HTTP/1.1 100 Continue\r\n\r\n");
  const std::string manyHeaders = repeatToBlock("A:\r\n");
  const std::vector<Case> cases{
    { "no HTTP", "", block },
    { "header line", "HTTP/1.1 200 OK\r\nX: ", block },
    { "header lines", "HTTP/1.1 200 OK\r\n", manyHeaders },
    { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", block },
    { "body with a great length",
      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
      block },
    { "chunks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "10000\r\n" + block + "\r\n" },
    { "chunk extension",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
      block },
    { "trailer",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
      block },
    { "interim answers", "", manyInterim },
  };
  for (const Case& testCase : cases) {
    DOCTEST_CAPTURE(testCase.m_name);
    Fixture fixture;
    Http1Client client(fixture.m_loop,
                       { .m_maxBufferedBytes = kMaxBufferedBytes });
    std::vector<std::unique_ptr<EndlessPeer>> peers;
    std::vector<Http1Result> results;
    for (int i = 0; i < 8; ++i) {
      peers.push_back(std::make_unique<EndlessPeer>(
        fixture.m_loop, testCase.m_start, testCase.m_repeated));
      client.Send(
        { .m_address = peers.back()->ListenAddress(),
          .m_bytes = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
          .m_timeout = kTimeout },
        [&](Http1Result aResult) { results.push_back(std::move(aResult)); });
    }
    RawPeer sound(fixture.m_loop);
    std::optional<Http1Result> answer;
    client.Send({ .m_address = sound.ListenAddress(),
                  .m_bytes = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
                  .m_timeout = kTimeout },
                [&](Http1Result aResult) { answer = std::move(aResult); });
    TimePoint start = fixture.m_loop.Now();
    size_t peak = 0;
    bool answered = false;
    fixture.RunUntil([&]() {
      std::ranges::for_each(peers, [](auto& aPeer) { aPeer->SendMore(); });
      peak = std::max(peak, client.BufferedBytes());
      if (!answered && !sound.m_bytes.empty() &&
          fixture.m_loop.Now() - start > kTimeout / 2) {
        sound.m_stream->Write(Ok("sound"));
        answered = true;
      }
      return answer && results.size() == peers.size() &&
             std::ranges::all_of(peers,
                                 [](auto& aPeer) { return aPeer->m_ended; });
    });
    DOCTEST_CHECK(fixture.m_loop.Now() - start < kTimeout * 2);
    DOCTEST_CHECK(peak <= kMaxBufferedBytes + kBlock);
    DOCTEST_CHECK(client.BufferedBytes() == 0);
    DOCTEST_CHECK(answer->m_response.m_body == "sound");
    DOCTEST_CHECK(std::ranges::all_of(results, [](const Http1Result& aResult) {
      return aResult.m_outcome == Http1Outcome::kBroken;
    }));
  }
}

} // namespace
} // namespace ebonykeel
