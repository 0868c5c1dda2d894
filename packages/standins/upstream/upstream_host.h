// Many searcher stand-ins in one process, each on a port of its own, and the
// control API over all of them.
//
//   UpstreamHost host(loop, settings, seed, bootBase);
//   absl::Status status = host.Listen("127.0.0.1");
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "runtime/loop/loop.h"
#include "standins/support/http_listener.h"
#include "standins/upstream/upstream_service.h"

namespace ebonykeel::standins {

// Handles `/standin/...` for all searchers, or for the one that the query
// parameter `id` names. The loop must outlive it.
class UpstreamHost final : public StandinHandler
{
public:
  UpstreamHost(Loop& aLoop,
               std::span<const UpstreamSettings> aSettings,
               uint64_t aSeed,
               uint64_t aBootBase);
  ~UpstreamHost() override;

  // Opens the port of each searcher.
  [[nodiscard]] absl::Status Listen(const std::string& aHost);

  // The searchers' ids and ports.
  [[nodiscard]] nlohmann::json InstancesJson() const;

  kj::Promise<Reply> Handle(HttpRequest aRequest) override;

private:
  class HostedUpstream;

  Reply HandleControl(const HttpRequest& aRequest, const std::string& aId);
  [[nodiscard]] std::vector<HostedUpstream*> Select(
    const std::string& aId) const;
  Reply SetFaults(const HttpRequest& aRequest,
                  std::span<HostedUpstream* const> aUpstreams);

  std::vector<std::unique_ptr<HostedUpstream>> m_upstreams;
};

} // namespace ebonykeel::standins
