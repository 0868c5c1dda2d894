// Forwards TCP connections from one port to one target under a `RelayPolicy`.
#pragma once

#include <cstdint>
#include <list>
#include <random>

#include <kj/async-io.h>
#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "runtime/http/message.h"
#include "runtime/loop/loop.h"
#include "standins/relay/relay_policy.h"

namespace ebonykeel::standins {

// The loop must outlive the route.
class RelayRoute final : private kj::TaskSet::ErrorHandler
{
public:
  RelayRoute(Loop& aLoop, const Endpoint& aTarget, uint64_t aSeed);
  ~RelayRoute() noexcept;
  RelayRoute(const RelayRoute&) = delete;
  RelayRoute& operator=(const RelayRoute&) = delete;

  // Starts to listen and returns the bound port; port 0 selects any free port.
  // Fails with InvalidArgument or Unavailable.
  [[nodiscard]] absl::StatusOr<uint16_t> Listen(const Endpoint& aEndpoint);

  // Sets the faults that `aFaults` contains, of "mode", "delay_ms", "jitter_ms"
  // and "silence_existing", and keeps the others.
  void SetFaults(const nlohmann::json& aFaults);
  [[nodiscard]] nlohmann::json CountersJson() const;

private:
  class Connection;

  kj::Promise<void> AcceptAll();
  void Accept(kj::Own<kj::AsyncIoStream> aStream);
  // Resets all open connections.
  void ResetConnections();
  // Resolves as soon as the mode is not `kFreeze`.
  kj::Promise<void> WhenThawed();
  void taskFailed(kj::Exception&& aException) override;

  Loop& m_loop;
  Endpoint m_target;
  std::mt19937_64 m_random;
  RelayPolicy m_policy;
  Duration m_delay = Duration::zero();
  Duration m_jitter = Duration::zero();
  ConnectionNumber m_lastConnection = 0;
  uint64_t m_bytesForwarded = 0;
  uint64_t m_bytesDropped = 0;
  kj::ForkedPromise<void> m_thaw;
  kj::Own<kj::PromiseFulfiller<void>> m_thawFulfiller;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  kj::Promise<void> m_accepts = nullptr;
  std::list<Connection*> m_connections;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel::standins
