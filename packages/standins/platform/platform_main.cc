// A stand-in for the platform: its object store and its instance list.
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "standins/platform/platform_service.h"
#include "standins/support/http_listener.h"
#include "standins/support/program.h"

namespace ebonykeel::standins {
namespace {

constexpr char kUsage[] =
  R"(A stand-in for the platform: its object store and its instance list.

Usage:
  standin_platform [--listen=ADDRESS] [--ready-file=PATH] [--list-lag-ms=N]
                   [--read-rate=N] [--write-rate=N]
  standin_platform --help

Options:
  --listen=ADDRESS   Address and port to listen on [default: 127.0.0.1:0].
  --ready-file=PATH  Created when the port is open [default: ].
  --list-lag-ms=N    Age of the returned instance list [default: 1000].
  --read-rate=N      Reads per second, 0 for no limit [default: 0].
  --write-rate=N     Writes per second, 0 for no limit [default: 0].
)";

int
Run(const std::map<std::string, docopt::value>& aArguments)
{
  auto text = [&](const char* aName) {
    return aArguments.at(aName).asString();
  };
  auto number = [&](const char* aName) {
    return aArguments.at(aName).asLong();
  };
  std::optional<Endpoint> endpoint = ParseEndpoint(text("--listen"));
  if (!endpoint.has_value()) {
    std::fprintf(stderr, "--listen must be an address and a port\n");
    return 2;
  }
  CaptureStopSignals();
  Loop loop;
  PlatformService service(
    loop.Clock(),
    { .m_listLag = Milliseconds(number("--list-lag-ms")),
      .m_readRate = static_cast<double>(number("--read-rate")),
      .m_writeRate = static_cast<double>(number("--write-rate")) });
  HttpListener listener(loop, service);
  absl::StatusOr<uint16_t> port = listener.Listen(*endpoint);
  if (!port.ok()) {
    std::fprintf(stderr, "%s\n", port.status().ToString().c_str());
    return 1;
  }
  if (!AnnounceReady(text("--ready-file"), { { "port", *port } })) {
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
