// Hosts several upstream stand-ins in one process, each on its own port, and
// serves the control API for them.
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

// Handles `/standin/...` requests for the upstream that the query parameter
// `id` names, or for all upstreams without it. The loop must outlive the host.
class UpstreamHost final : public StandinHandler
{
public:
  UpstreamHost(Loop& aLoop,
               std::span<const UpstreamSettings> aSettings,
               uint64_t aSeed,
               uint64_t aBootBase);
  ~UpstreamHost() override;

  // Opens the port of each upstream.
  [[nodiscard]] absl::Status Listen(const std::string& aHost);

  // Returns the ids and ports of the upstreams.
  [[nodiscard]] nlohmann::json InstancesJson() const;

  kj::Promise<Reply> Handle(HttpRequest aRequest) override;

private:
  class HostedUpstream;

  // An empty `aId` addresses all upstreams.
  Reply HandleControl(const HttpRequest& aRequest, const std::string& aId);
  [[nodiscard]] std::vector<HostedUpstream*> Select(
    const std::string& aId) const;
  Reply SetFaults(const HttpRequest& aRequest,
                  std::span<HostedUpstream* const> aUpstreams);

  std::vector<std::unique_ptr<HostedUpstream>> m_upstreams;
};

} // namespace ebonykeel::standins
