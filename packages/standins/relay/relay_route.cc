#include "standins/relay/relay_route.h"

#include <algorithm>
#include <utility>

#include "standins/support/json_fields.h"
#include "standins/support/sockets.h"

namespace ebonykeel::standins {
namespace {

constexpr size_t kChunkBytes = 65'536;

} // namespace

// An accepted connection and the connection to the target that belongs to it.
class RelayRoute::Connection
{
public:
  Connection(RelayRoute& aRoute,
             ConnectionNumber aNumber,
             kj::Own<kj::AsyncIoStream> aClient)
    : m_route(aRoute)
    , m_number(aNumber)
    , m_client(kj::mv(aClient))
    , m_close(kj::newPromiseAndFulfiller<void>())
  {
    m_route.m_connections.push_back(this);
  }

  ~Connection() { std::erase(m_route.m_connections, this); }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Resolves when both directions are closed or `Reset` was called.
  kj::Promise<void> Run(kj::Own<kj::AsyncIoStream> aTarget)
  {
    m_target = kj::mv(aTarget);
    auto both = kj::heapArrayBuilder<kj::Promise<void>>(2);
    both.add(Pump(Direction::kToTarget, *m_client, *m_target));
    both.add(Pump(Direction::kFromTarget, *m_target, *m_client));
    return kj::joinPromises(both.finish())
      .exclusiveJoin(kj::mv(m_close.promise));
  }

  void Reset()
  {
    AbortOnClose(*m_client);
    if (m_target.get() != nullptr) {
      AbortOnClose(*m_target);
    }
    m_close.fulfiller->fulfill();
  }

private:
  // The state of one direction of a connection.
  struct Flow
  {
    Flow(Direction aDirection, kj::AsyncIoStream& aFrom, kj::AsyncIoStream& aTo)
      : m_direction(aDirection)
      , m_from(aFrom)
      , m_to(aTo)
      , m_buffer(kj::heapArray<kj::byte>(kChunkBytes))
    {
    }

    Direction m_direction;
    kj::AsyncIoStream& m_from;
    kj::AsyncIoStream& m_to;
    kj::Array<kj::byte> m_buffer;
    TimePoint m_lastRelease;
    // The chain of delayed writes, in order.
    kj::Promise<void> m_writes = kj::READY_NOW;
  };

  kj::Promise<void> Pump(Direction aDirection,
                         kj::AsyncIoStream& aFrom,
                         kj::AsyncIoStream& aTo)
  {
    auto flow = kj::heap<Flow>(aDirection, aFrom, aTo);
    Flow& reference = *flow;
    return PumpNext(reference).attach(kj::mv(flow));
  }

  kj::Promise<void> PumpNext(Flow& aFlow)
  {
    return m_route.WhenThawed()
      .then([&aFlow]() {
        return aFlow.m_from.tryRead(aFlow.m_buffer.begin(), 1, kChunkBytes);
      })
      .then([this, &aFlow](size_t aCount) {
        return m_route.WhenThawed().then(
          [this, &aFlow, aCount]() { return Forward(aFlow, aCount); });
      });
  }

  kj::Promise<void> Forward(Flow& aFlow, size_t aCount)
  {
    if (m_route.m_policy.ShouldDrop(aFlow.m_direction, m_number)) {
      m_route.m_bytesDropped += aCount;
      // The end of the stream is dropped as well.
      return aCount == 0 ? kj::Promise<void>(kj::NEVER_DONE) : PumpNext(aFlow);
    }
    if (aCount == 0) {
      return aFlow.m_writes.then([&aFlow]() { aFlow.m_to.shutdownWrite(); });
    }
    m_route.m_bytesForwarded += aCount;
    aFlow.m_lastRelease = m_route.m_policy.ReleaseTime(
      m_route.m_loop.Clock().Now(), aFlow.m_lastRelease);
    auto bytes = kj::heapArray<kj::byte>(aFlow.m_buffer.slice(0, aCount));
    aFlow.m_writes = aFlow.m_writes
                       .then([this, release = aFlow.m_lastRelease]() {
                         return m_route.m_loop.Clock().At(release);
                       })
                       .then([&aFlow, bytes = kj::mv(bytes)]() mutable {
                         kj::ArrayPtr<kj::byte> view = bytes;
                         return aFlow.m_to.write(view.begin(), view.size())
                           .attach(kj::mv(bytes));
                       })
                       .eagerlyEvaluate(nullptr);
    return PumpNext(aFlow);
  }

  RelayRoute& m_route;
  ConnectionNumber m_number;
  kj::Own<kj::AsyncIoStream> m_client;
  kj::Own<kj::AsyncIoStream> m_target;
  kj::PromiseFulfillerPair<void> m_close;
};

RelayRoute::RelayRoute(Loop& aLoop, const Endpoint& aTarget, uint64_t aSeed)
  : m_loop(aLoop)
  , m_target(aTarget)
  , m_random(aSeed)
  , m_policy(m_random)
  , m_thaw(kj::Promise<void>(kj::READY_NOW).fork())
  , m_tasks(*this)
{
}

RelayRoute::~RelayRoute() noexcept = default;

absl::StatusOr<uint16_t>
RelayRoute::Listen(const Endpoint& aEndpoint)
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
RelayRoute::SetFaults(const nlohmann::json& aFaults)
{
  UpdateMilliseconds(aFaults, "delay_ms", m_delay);
  UpdateMilliseconds(aFaults, "jitter_ms", m_jitter);
  m_policy.SetDelay(m_delay, m_jitter);
  if (aFaults.value("silence_existing", nlohmann::json(false)) == true) {
    m_policy.SilenceConnectionsUpTo(m_lastConnection);
  }
  std::string text;
  UpdateField(aFaults, "mode", text);
  std::optional<RelayMode> mode = ParseRelayMode(text);
  if (!mode.has_value()) {
    return;
  }
  m_policy.SetMode(*mode);
  if (m_thawFulfiller.get() != nullptr) {
    m_thawFulfiller->fulfill();
    m_thawFulfiller = nullptr;
  }
  if (*mode == RelayMode::kFreeze) {
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_thaw = pair.promise.fork();
    m_thawFulfiller = kj::mv(pair.fulfiller);
  }
  if (*mode == RelayMode::kCut) {
    ResetConnections();
  }
}

nlohmann::json
RelayRoute::CountersJson() const
{
  return { { "connections_opened", m_lastConnection },
           { "connections_open", m_connections.size() },
           { "bytes_forwarded", m_bytesForwarded },
           { "bytes_dropped", m_bytesDropped } };
}

kj::Promise<void>
RelayRoute::AcceptAll()
{
  return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream> aStream) {
    Accept(kj::mv(aStream));
    return AcceptAll();
  });
}

void
RelayRoute::Accept(kj::Own<kj::AsyncIoStream> aStream)
{
  if (m_policy.Mode() == RelayMode::kCut) {
    AbortOnClose(*aStream);
    return;
  }
  ++m_lastConnection;
  auto connection =
    kj::heap<Connection>(*this, m_lastConnection, kj::mv(aStream));
  Connection& reference = *connection;
  m_tasks.add(ConnectTcp(m_loop, m_target)
                .then([&reference](kj::Own<kj::AsyncIoStream> aTarget) {
                  return reference.Run(kj::mv(aTarget));
                })
                .attach(kj::mv(connection)));
}

void
RelayRoute::ResetConnections()
{
  std::ranges::for_each(m_connections,
                        [](Connection* aConnection) { aConnection->Reset(); });
}

kj::Promise<void>
RelayRoute::WhenThawed()
{
  return m_thaw.addBranch();
}

void
RelayRoute::taskFailed(kj::Exception&& aException)
{
  // Connection errors are expected: peers reset connections, and targets may be
  // unreachable.
  (void)aException;
}

} // namespace ebonykeel::standins
