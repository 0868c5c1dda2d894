#include "runtime/http1/client.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace ebonykeel {
namespace {

constexpr Duration kSweepInterval = Milliseconds(500);
constexpr int kFirstFinalStatus = 200;

// Returns the idle timeout that a server states, as in `Keep-Alive: timeout=5`.
std::optional<Duration>
StatedIdleTimeout(const Http1Response& aResponse)
{
  std::optional<std::string_view> value =
    FindHeader(aResponse.m_headers, "keep-alive");
  constexpr std::string_view kKey = "timeout=";
  size_t at = value ? value->find(kKey) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = value->substr(at + kKey.size());
  int64_t seconds = 0;
  auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return Seconds(std::min<int64_t>(seconds, 3600));
}

} // namespace

// One connection to a server, which runs a call or is idle.
class Http1ClientConnection final : public TcpObserver
{
public:
  Http1ClientConnection(Http1Client& aClient,
                        uint64_t aNumber,
                        Address aAddress)
    : m_client(aClient)
    , m_number(aNumber)
    , m_address(std::move(aAddress))
    , m_parser(Http1Parser::Kind::kResponse, aClient.m_options.m_limits)
    , m_timer(aClient.m_loop, [this]() { OnTimer(); })
  {
  }
  ~Http1ClientConnection() override { SetBufferedBytes(0); }
  Http1ClientConnection(const Http1ClientConnection&) = delete;
  Http1ClientConnection& operator=(const Http1ClientConnection&) = delete;

  void Run(uint64_t aId, Http1Call aCall)
  {
    m_id = aId;
    m_call = std::move(aCall);
    TimePoint now = m_client.m_loop.Now();
    m_deadline = now + m_call.m_timeout;
    m_parser.Reset();
    m_parser.ExpectNoBody(m_call.m_isHead);
    if (m_stream != nullptr) {
      m_timer.Set(m_deadline);
      Write();
      return;
    }
    m_timer.Set(std::min(m_deadline, now + m_call.m_connectTimeout));
    m_stream = TcpStream::Connect(m_client.m_loop, m_address, *this);
  }

  void OnConnected(bool aConnected) override
  {
    if (!aConnected) {
      Finish(Http1Outcome::kNotSent, "connect");
      return;
    }
    m_connected = true;
    m_timer.Set(m_deadline);
    Write();
  }

  void OnBytes(std::string_view aBytes) override
  {
    if (m_id == 0) {
      // The connection is idle, so these bytes belong to no request.
      m_client.RemoveIdle(*this);
      return;
    }
    while (!aBytes.empty()) {
      size_t used = m_parser.Feed(aBytes);
      aBytes.remove_prefix(std::min(used, aBytes.size()));
      if (m_parser.State() == Http1Parser::Progress::kComplete) {
        if (IsAnswerToCall()) {
          m_receivedStrayBytes = m_receivedStrayBytes || !aBytes.empty();
          FinishAnswered();
          return;
        }
        m_parser.Reset();
        m_parser.ExpectNoBody(m_call.m_isHead);
        continue;
      }
      if (m_parser.State() > Http1Parser::Progress::kComplete) {
        Finish(Http1Outcome::kBroken, "malformed");
        return;
      }
    }
    SetBufferedBytes(m_parser.BufferedBytes());
    m_client.LimitBufferedBytes();
  }

  void OnEnd(bool aReset) override
  {
    if (m_id == 0) {
      m_client.RemoveIdle(*this);
      return;
    }
    if (!aReset) {
      m_parser.FeedEndOfStream();
      if (m_parser.State() == Http1Parser::Progress::kComplete &&
          IsAnswerToCall()) {
        m_receivedStrayBytes = true;
        FinishAnswered();
        return;
      }
    }
    Finish(Http1Outcome::kBroken, aReset ? "reset" : "closed");
  }

  // Ends the call because too many bytes are held.
  void BreakOff() { Finish(Http1Outcome::kBroken, "too-long"); }

  void MarkIdle(TimePoint aNow)
  {
    SetBufferedBytes(0);
    m_id = 0;
    m_idleSince = aNow;
    m_timer.Set(std::nullopt);
  }

  [[nodiscard]] uint64_t Number() const { return m_number; }
  [[nodiscard]] const Address& RemoteAddress() const { return m_address; }
  [[nodiscard]] TimePoint IdleSince() const { return m_idleSince; }
  [[nodiscard]] size_t BufferedBytes() const { return m_bufferedBytes; }
  [[nodiscard]] bool IsIdleTimeoutOver(TimePoint aNow) const
  {
    return aNow - m_idleSince > m_idleTimeout;
  }

private:
  void Write()
  {
    m_sent = true;
    m_stream->Write(std::move(m_call.m_bytes));
  }

  // Returns whether the message in the parser is the answer to the call.
  // Interim responses and answers to other requests are skipped.
  bool IsAnswerToCall()
  {
    const Http1Response& response = m_parser.Response();
    if (response.m_status < kFirstFinalStatus) {
      return false;
    }
    bool isFirstAnswer = !std::exchange(m_hadAnswer, true);
    Http1AnswerMatch match = m_call.m_matchAnswer
                               ? m_call.m_matchAnswer(response)
                               : Http1AnswerMatch::kThisRequest;
    if (match == Http1AnswerMatch::kThisRequest) {
      return true;
    }
    m_receivedStrayBytes = true;
    return match == Http1AnswerMatch::kUnknown && isFirstAnswer;
  }

  void SetBufferedBytes(size_t aBytes)
  {
    m_client.m_bufferedBytes += aBytes - m_bufferedBytes;
    m_bufferedBytes = aBytes;
  }

  void FinishAnswered()
  {
    Duration margin = m_client.m_options.m_idleMargin;
    std::optional<Duration> stated = StatedIdleTimeout(m_parser.Response());
    m_idleTimeout =
      stated ? *stated - margin : m_client.m_options.m_idleTimeout;
    bool reusable =
      m_parser.KeepAlive() && !m_receivedStrayBytes && m_idleTimeout > margin;
    m_client.OnCallFinished(m_id,
                            reusable,
                            { .m_outcome = Http1Outcome::kAnswered,
                              .m_response = std::move(m_parser.Response()),
                              .m_connection = m_number });
  }

  void Finish(Http1Outcome aOutcome, std::string_view aProblem)
  {
    m_client.OnCallFinished(m_id,
                            false,
                            { .m_outcome = aOutcome,
                              .m_problem = aProblem,
                              .m_connection = m_number });
  }

  void OnTimer()
  {
    if (m_id == 0) {
      return;
    }
    Finish(m_sent ? Http1Outcome::kBroken : Http1Outcome::kNotSent,
           m_connected || m_sent ? "timeout" : "connect-timeout");
  }

  Http1Client& m_client;
  uint64_t m_number;
  Address m_address;
  std::unique_ptr<TcpStream> m_stream;
  Http1Parser m_parser;
  UvTimer m_timer;
  // The id of the running call, or 0.
  uint64_t m_id = 0;
  Http1Call m_call;
  TimePoint m_deadline;
  bool m_connected = false;
  bool m_sent = false;
  // Whether a final answer was received.
  bool m_hadAnswer = false;
  // Whether bytes were received that do not certainly belong to the answer, or
  // the stream ended: the connection is then not used again.
  bool m_receivedStrayBytes = false;
  // The bytes of the incomplete answer.
  size_t m_bufferedBytes = 0;
  TimePoint m_idleSince;
  Duration m_idleTimeout{};
};

Http1Client::Http1Client(UvLoop& aLoop, Http1ClientOptions aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_sweep(aLoop, [this]() { Sweep(); })
{
}

Http1Client::~Http1Client() = default;

uint64_t
Http1Client::Send(Http1Call aCall, Callback aCallback)
{
  uint64_t id = m_nextCall++;
  std::unique_ptr<Connection> connection =
    aCall.m_mayReuseConnection ? TakeIdle(aCall) : nullptr;
  if (connection == nullptr) {
    ++m_connectionsOpened;
    connection =
      std::make_unique<Connection>(*this, m_connectionsOpened, aCall.m_address);
  }
  Connection* pointer = connection.get();
  m_running[id] = { std::move(connection), std::move(aCallback) };
  pointer->Run(id, std::move(aCall));
  return id;
}

void
Http1Client::Cancel(uint64_t aCall)
{
  m_running.erase(aCall);
}

void
Http1Client::CloseIdle(const Address& aAddress)
{
  m_idle.erase(FormatAddress(aAddress));
}

std::unique_ptr<Http1Client::Connection>
Http1Client::TakeIdle(const Http1Call& aCall)
{
  auto found = m_idle.find(FormatAddress(aCall.m_address));
  if (found == m_idle.end()) {
    return nullptr;
  }
  TimePoint now = m_loop.Now();
  std::vector<std::unique_ptr<Connection>>& kept = found->second;
  // Excluded connections stay for other calls.
  auto mayTake = [&](const std::unique_ptr<Connection>& aKept) {
    return std::ranges::find(aCall.m_excludedConnections, aKept->Number()) ==
           aCall.m_excludedConnections.end();
  };
  auto last = std::ranges::find_if(kept.rbegin(), kept.rend(), mayTake);
  while (last != kept.rend()) {
    std::unique_ptr<Connection> connection = std::move(*last);
    kept.erase(std::next(last).base());
    if (!connection->IsIdleTimeoutOver(now) &&
        now - connection->IdleSince() <= aCall.m_maxIdleTime) {
      return connection;
    }
    last = std::ranges::find_if(kept.rbegin(), kept.rend(), mayTake);
  }
  return nullptr;
}

void
Http1Client::OnCallFinished(uint64_t aCall, bool aReusable, Http1Result aResult)
{
  auto node = m_running.extract(aCall);
  if (node.empty()) {
    return;
  }
  std::unique_ptr<Connection> connection =
    std::move(node.mapped().m_connection);
  if (aReusable) {
    connection->MarkIdle(m_loop.Now());
    std::vector<std::unique_ptr<Connection>>& kept =
      m_idle[FormatAddress(connection->RemoteAddress())];
    if (kept.size() < m_options.m_maxIdlePerAddress) {
      kept.push_back(std::move(connection));
    }
    if (!m_sweep.IsSet()) {
      m_sweep.Set(m_loop.Now() + kSweepInterval);
    }
  }
  node.mapped().m_callback(std::move(aResult));
}

void
Http1Client::LimitBufferedBytes()
{
  if (m_bufferedBytes <= m_options.m_maxBufferedBytes) {
    return;
  }
  auto longest =
    std::ranges::max_element(m_running, {}, [](const auto& aEntry) {
      return aEntry.second.m_connection->BufferedBytes();
    });
  longest->second.m_connection->BreakOff();
}

void
Http1Client::RemoveIdle(Connection& aConnection)
{
  auto found = m_idle.find(FormatAddress(aConnection.RemoteAddress()));
  if (found == m_idle.end()) {
    return;
  }
  std::erase_if(found->second, [&](const std::unique_ptr<Connection>& aKept) {
    return aKept.get() == &aConnection;
  });
}

void
Http1Client::Sweep()
{
  TimePoint now = m_loop.Now();
  for (auto& [address, kept] : m_idle) {
    std::erase_if(kept, [&](const std::unique_ptr<Connection>& aKept) {
      return aKept->IsIdleTimeoutOver(now);
    });
  }
  std::erase_if(m_idle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  if (!m_idle.empty()) {
    m_sweep.Set(now + kSweepInterval);
  }
}

} // namespace ebonykeel
