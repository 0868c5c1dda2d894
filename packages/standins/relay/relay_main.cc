// A TCP relay that injects network faults on request.
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "absl/strings/numbers.h"
#include "standins/relay/relay_route.h"
#include "standins/support/http_listener.h"
#include "standins/support/program.h"

namespace ebonykeel::standins {
namespace {

constexpr char kUsage[] =
  R"(A TCP relay that injects network faults on request.

Usage:
  standin_relay [--listen=ADDRESS] [--control=ADDRESS] [--ready-file=PATH]
                [--delay-ms=N] [--seed=N] --target=ADDRESS...
  standin_relay --help

Options:
  --target=ADDRESS   Address to forward to; each target has its own port.
  --listen=ADDRESS   Address and first port [default: 127.0.0.1:0].
  --control=ADDRESS  Address of the control API [default: 127.0.0.1:0].
  --ready-file=PATH  Created when all ports are open [default: ].
  --delay-ms=N       Initial delay of each direction [default: 0].
  --seed=N           Seed for the jitter [default: 1].
)";

using Routes = std::vector<std::unique_ptr<RelayRoute>>;

// Serves the control API, `POST /standin/faults` and `GET /standin/counters`,
// for the route whose index, from 0, is in the query parameter `route`, or for
// all routes without it.
class RelayControl final : public StandinHandler
{
public:
  explicit RelayControl(Routes& aRoutes)
    : m_routes(aRoutes)
  {
  }

  kj::Promise<Reply> Handle(HttpRequest aRequest) override
  {
    using nlohmann::json;
    json faults = json::parse(aRequest.m_body, nullptr, false);
    bool change = aRequest.m_path == "/standin/faults";
    if (change && !faults.is_object()) {
      return JsonReply(400, R"({"code":"bad_json"})");
    }
    std::string only = QueryParameter(aRequest.m_query, "route").value_or("");
    json counters = json::array();
    for (size_t i = 0; i < m_routes.size(); ++i) {
      if (!only.empty() && only != std::to_string(i)) {
        continue;
      }
      if (change) {
        m_routes[i]->SetFaults(faults);
      }
      counters.push_back(m_routes[i]->CountersJson());
    }
    return JsonReply(200, json{ { "routes", counters } }.dump());
  }

private:
  Routes& m_routes;
};

int
Fail(const std::string& aProblem)
{
  std::fprintf(stderr, "%s\n", aProblem.c_str());
  return 1;
}

int
Run(const std::map<std::string, docopt::value>& aArguments)
{
  auto text = [&](const char* aName) {
    return aArguments.at(aName).asString();
  };
  std::optional<Endpoint> listen = ParseEndpoint(text("--listen"));
  std::optional<Endpoint> control = ParseEndpoint(text("--control"));
  double delay = 0;
  bool valid = listen.has_value() && control.has_value() &&
               absl::SimpleAtod(text("--delay-ms"), &delay);
  if (!valid) {
    return Fail("--listen and --control must each be an address and a port, "
                "and --delay-ms a number");
  }
  CaptureStopSignals();
  Loop loop;
  Routes routes;
  nlohmann::json ports = nlohmann::json::array();
  for (const std::string& address : aArguments.at("--target").asStringList()) {
    std::optional<Endpoint> target = ParseEndpoint(address);
    if (!target.has_value()) {
      return Fail("--target must be an address and a port: " + address);
    }
    uint64_t seed = aArguments.at("--seed").asLong() + routes.size();
    routes.push_back(std::make_unique<RelayRoute>(loop, *target, seed));
    routes.back()->SetFaults({ { "delay_ms", delay } });
    absl::StatusOr<uint16_t> port = routes.back()->Listen(*listen);
    if (!port.ok()) {
      return Fail(port.status().ToString());
    }
    ports.push_back(*port);
    listen->m_port += listen->m_port == 0 ? 0 : 1;
  }
  RelayControl handler(routes);
  HttpListener listener(loop, handler);
  absl::StatusOr<uint16_t> port = listener.Listen(*control);
  if (!port.ok()) {
    return Fail(port.status().ToString());
  }
  bool ready = AnnounceReady(
    text("--ready-file"),
    { { "port", ports[0] }, { "ports", ports }, { "control_port", *port } });
  if (!ready) {
    return 1;
  }
  RunUntilStopped(loop);
  return 0;
}

} // namespace
} // namespace ebonykeel::standins

int
main(int aCount, char** aArguments)
{
  return ebonykeel::standins::Run(
    docopt::docopt(ebonykeel::standins::kUsage,
                   { aArguments + 1, aArguments + aCount },
                   true));
}
