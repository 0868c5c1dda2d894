// Sends requests in a closed loop over a fixed number of connections: each
// connection sends its next request when the previous one has ended.
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include "load/latency_histogram.h"
#include "runtime/http/client.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {
namespace {

constexpr char kUsage[] = R"(Sends requests in a closed loop.

Usage:
  bench_client [--connections=N] [--seconds=N] [--path=PATH] [--body=TEXT]
               ADDRESS
  bench_client --help

Options:
  --connections=N  Number of concurrent requests [default: 32].
  --seconds=N      Duration of the run [default: 5].
  --path=PATH      Path to request [default: /].
  --body=TEXT      Body of a POST request; empty sends GET [default: ].
)";

constexpr Duration kTimeout = Seconds(10);

class ClosedLoop
{
public:
  ClosedLoop(Loop& aLoop, Endpoint aEndpoint, HttpRequest aRequest)
    : m_loop(aLoop)
    , m_client(aLoop, {})
    , m_endpoint(std::move(aEndpoint))
    , m_request(std::move(aRequest))
  {
  }

  void Run(int64_t aConnections, Duration aDuration)
  {
    TimePoint start = m_loop.Clock().Now();
    auto loops = kj::heapArrayBuilder<kj::Promise<void>>(aConnections);
    for (int64_t i = 0; i < aConnections; ++i) {
      loops.add(SendRequestsUntil(start + aDuration));
    }
    kj::joinPromises(loops.finish()).wait(m_loop.WaitScope());
    double seconds =
      std::chrono::duration<double>(m_loop.Clock().Now() - start).count();
    nlohmann::json result = {
      { "requests_per_second",
        static_cast<double>(m_latency.Count()) / seconds },
      { "p50_ms", ToMillisecondsF(m_latency.Quantile(0.5)) },
      { "p99_ms", ToMillisecondsF(m_latency.Quantile(0.99)) },
      { "failed", m_failed }
    };
    std::cout << result.dump() << "\n";
  }

private:
  kj::Promise<void> SendRequestsUntil(TimePoint aEnd)
  {
    TimePoint sent = m_loop.Clock().Now();
    if (sent >= aEnd) {
      return kj::READY_NOW;
    }
    return m_client.Send(m_endpoint, m_request, kTimeout)
      .then([this, sent, aEnd](const HttpReply& aReply) {
        bool succeeded =
          aReply.m_status.ok() && aReply.m_response.m_status == 200;
        m_failed += !succeeded;
        if (succeeded) {
          m_latency.Add(m_loop.Clock().Now() - sent);
        }
        return SendRequestsUntil(aEnd);
      });
  }

  Loop& m_loop;
  H2oHttpClient m_client;
  Endpoint m_endpoint;
  HttpRequest m_request;
  LatencyHistogram m_latency;
  uint64_t m_failed = 0;
};

int
Run(const std::map<std::string, docopt::value>& aArguments)
{
  std::optional<Endpoint> endpoint =
    ParseEndpoint(aArguments.at("ADDRESS").asString());
  if (!endpoint) {
    std::cerr << "ADDRESS: not an IP address and port\n";
    return 2;
  }
  HttpRequest request{ .m_path = aArguments.at("--path").asString(),
                       .m_body = aArguments.at("--body").asString() };
  if (!request.m_body.empty()) {
    request.m_method = "POST";
  }
  Loop loop;
  ClosedLoop closed(loop, *endpoint, std::move(request));
  closed.Run(aArguments.at("--connections").asLong(),
             Seconds(aArguments.at("--seconds").asLong()));
  return 0;
}

} // namespace
} // namespace ebonykeel

int
main(int aCount, char** aArguments)
{
  return ebonykeel::Run(docopt::docopt(
    ebonykeel::kUsage, { aArguments + 1, aArguments + aCount }, true));
}
