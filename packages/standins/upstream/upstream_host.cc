#include "standins/upstream/upstream_host.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace ebonykeel::standins {
namespace {

using nlohmann::json;

constexpr std::string_view kControlPrefix = "/standin/";

} // namespace

// One upstream and its listener. It also serves the control API, for itself
// only.
class UpstreamHost::HostedUpstream final : public StandinHandler
{
public:
  HostedUpstream(Loop& aLoop,
                 UpstreamHost& aHost,
                 const UpstreamSettings& aSettings,
                 uint64_t aSeed,
                 uint64_t aBootBase)
    : m_host(aHost)
    , m_endpoint{ "", aSettings.m_port }
    , m_service(aLoop.Clock(), aSettings, aSeed, aBootBase)
    , m_listener(aLoop, *this)
  {
  }

  absl::Status Listen(const std::string& aHost)
  {
    m_endpoint.m_host = aHost;
    absl::StatusOr<uint16_t> port = m_listener.Listen(m_endpoint);
    if (!port.ok()) {
      return port.status();
    }
    m_endpoint.m_port = *port;
    return absl::OkStatus();
  }

  void SetFaults(const json& aFaults)
  {
    bool wasDown = m_service.IsDown();
    m_service.SetFaults(aFaults);
    if (aFaults.value("restart", json(false)) == json(true)) {
      m_listener.ResetConnections();
    }
    if (m_service.IsDown() == wasDown) {
      return;
    }
    if (!m_service.IsDown()) {
      // If another process has taken the port in the meantime, the error is
      // ignored here: the next connection shows it.
      (void)m_listener.Listen(m_endpoint);
      return;
    }
    m_listener.StopListening();
    m_listener.ResetConnections();
  }

  [[nodiscard]] const Endpoint& Address() const { return m_endpoint; }
  [[nodiscard]] UpstreamService& Service() { return m_service; }

  kj::Promise<Reply> Handle(HttpRequest aRequest) override
  {
    if (aRequest.m_path.starts_with(kControlPrefix)) {
      return m_host.HandleControl(aRequest, m_service.Id());
    }
    return m_service.Handle(std::move(aRequest));
  }

  std::optional<Duration> OnConnect() override { return m_service.OnConnect(); }
  void OnDisconnect() override { m_service.OnDisconnect(); }

private:
  UpstreamHost& m_host;
  Endpoint m_endpoint;
  UpstreamService m_service;
  HttpListener m_listener;
};

UpstreamHost::UpstreamHost(Loop& aLoop,
                           std::span<const UpstreamSettings> aSettings,
                           uint64_t aSeed,
                           uint64_t aBootBase)
{
  for (const UpstreamSettings& settings : aSettings) {
    uint64_t seed = aSeed + m_upstreams.size();
    m_upstreams.push_back(std::make_unique<HostedUpstream>(
      aLoop, *this, settings, seed, aBootBase));
  }
}

UpstreamHost::~UpstreamHost() = default;

absl::Status
UpstreamHost::Listen(const std::string& aHost)
{
  for (const auto& upstream : m_upstreams) {
    absl::Status status = upstream->Listen(aHost);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

json
UpstreamHost::InstancesJson() const
{
  json list = json::array();
  for (const auto& upstream : m_upstreams) {
    list.push_back({ { "id", upstream->Service().Id() },
                     { "port", upstream->Address().m_port } });
  }
  return list;
}

kj::Promise<Reply>
UpstreamHost::Handle(HttpRequest aRequest)
{
  std::string id = QueryParameter(aRequest.m_query, "id").value_or("");
  return HandleControl(aRequest, id);
}

Reply
UpstreamHost::HandleControl(const HttpRequest& aRequest, const std::string& aId)
{
  std::vector<HostedUpstream*> upstreams = Select(aId);
  if (upstreams.empty()) {
    return JsonReply(404, R"({"code":"unknown_id"})");
  }
  if (aRequest.m_path == "/standin/faults") {
    return SetFaults(aRequest, upstreams);
  }
  json list = json::array();
  if (aRequest.m_path == "/standin/executions") {
    for (HostedUpstream* upstream : upstreams) {
      for (const Execution& execution : upstream->Service().Executions()) {
        list.push_back({ { "upstream", upstream->Service().Id() },
                         { "caller", execution.m_caller },
                         { "request_id", execution.m_requestId },
                         { "operation", execution.m_operation },
                         { "count", execution.m_count } });
      }
    }
    return JsonReply(200, json{ { "executions", list } }.dump());
  }
  if (aRequest.m_path == "/standin/counters/reset") {
    std::ranges::for_each(upstreams, [](HostedUpstream* aUpstream) {
      aUpstream->Service().ResetCounters();
    });
  }
  for (HostedUpstream* upstream : upstreams) {
    list.push_back(upstream->Service().CountersJson());
  }
  return JsonReply(200,
                   upstreams.size() == 1
                     ? list[0].dump()
                     : json{ { "upstreams", list } }.dump());
}

std::vector<UpstreamHost::HostedUpstream*>
UpstreamHost::Select(const std::string& aId) const
{
  std::vector<HostedUpstream*> upstreams;
  for (const auto& upstream : m_upstreams) {
    if (aId.empty() || upstream->Service().Id() == aId) {
      upstreams.push_back(upstream.get());
    }
  }
  return upstreams;
}

Reply
UpstreamHost::SetFaults(const HttpRequest& aRequest,
                        std::span<HostedUpstream* const> aUpstreams)
{
  json faults = json::parse(aRequest.m_body, nullptr, false);
  if (!faults.is_object()) {
    return JsonReply(400, R"({"code":"bad_json"})");
  }
  std::ranges::for_each(aUpstreams, [&](HostedUpstream* aUpstream) {
    aUpstream->SetFaults(faults);
  });
  return JsonReply(200, "{}");
}

} // namespace ebonykeel::standins
