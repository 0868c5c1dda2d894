// A stand-in for one or more upstreams.
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <docopt/docopt.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "standins/support/http_listener.h"
#include "standins/support/program.h"
#include "standins/upstream/upstream_host.h"
#include "standins/upstream/upstream_settings.h"

namespace ebonykeel::standins {
namespace {

constexpr char kUsage[] =
  R"(A stand-in for one or more upstreams.

Usage:
  standin_upstream [options]

Options:
  --listen=ADDRESS        Address and first port [default: 127.0.0.1:0]. If the
                          port is not 0, each further upstream uses the next.
  --control=ADDRESS       Address of the control API [default: 127.0.0.1:0].
  --ready-file=PATH       Created when all ports are open [default: ].
  --config=FILE           TOML file with [[upstream]] tables; the options below
                          are the defaults for its keys [default: ].
  --count=N               Number of upstreams if there is no file [default: 1].
  --id-prefix=TEXT        Upstreams are named TEXT0, TEXT1 ... [default: u].
  --service=NAME          Service that they serve, empty for all [default: ].
  --shards=LIST           Shards that they serve, separated by commas,
                          empty for all [default: ].
  --index-versions=LIST   Index versions, separated by commas [default: 1].
  --slots=N               Requests that run at once [default: 2].
  --queue=N               Requests that wait [default: 32].
  --service-ms=N          Mean service time [default: 5].
  --spread=N              Standard deviation of its logarithm [default: 0.3].
  --straggler-share=N     Probability of a straggler [default: 0].
  --straggler-factor=N    Slowdown of a straggler [default: 10].
  --connection-limit=N    Connection limit, 0 for no limit [default: 0].
  --connect-ms=N          Delay of a new connection [default: 0].
  --warm                  Start warm.
  --cold-answers=N        Answers until an upstream is warm [default: 20].
  --cold-factor=N         Slowdown while cold [default: 4].
  --cold-limit=N          Requests that it can hold while cold [default: 2].
  --seed=N                Seed of the service times [default: 1].
  --help                  Show this text.
)";

// The values of the command line options.
class Arguments
{
public:
  explicit Arguments(std::map<std::string, docopt::value> aValues)
    : m_values(std::move(aValues))
  {
  }

  [[nodiscard]] bool Flag(const char* aName) const
  {
    return m_values.at(aName).asBool();
  }
  [[nodiscard]] std::string Text(const char* aName) const
  {
    return m_values.at(aName).asString();
  }
  [[nodiscard]] double Number(const char* aName) const
  {
    double number = 0;
    (void)absl::SimpleAtod(Text(aName), &number);
    return number;
  }
  [[nodiscard]] uint32_t Count(const char* aName) const
  {
    return static_cast<uint32_t>(Number(aName));
  }
  [[nodiscard]] Duration Time(const char* aName) const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Number(aName)));
  }
  [[nodiscard]] std::vector<std::string> List(const char* aName) const
  {
    return absl::StrSplit(Text(aName), ',', absl::SkipEmpty());
  }

private:
  std::map<std::string, docopt::value> m_values;
};

UpstreamSettings
ReadDefaults(const Arguments& aArguments)
{
  UpstreamSettings settings;
  settings.m_id = aArguments.Text("--id-prefix");
  settings.m_service = aArguments.Text("--service");
  settings.m_shards = aArguments.List("--shards");
  settings.m_indexVersions.clear();
  for (const std::string& text : aArguments.List("--index-versions")) {
    IndexVersion version = 0;
    if (absl::SimpleAtoi(text, &version)) {
      settings.m_indexVersions.push_back(version);
    }
  }
  settings.m_connectionLimit = aArguments.Count("--connection-limit");
  settings.m_connectTime = aArguments.Time("--connect-ms");
  UpstreamModelOptions& model = settings.m_model;
  model.m_slots = aArguments.Count("--slots");
  model.m_queueLimit = aArguments.Count("--queue");
  model.m_meanServiceTime = aArguments.Time("--service-ms");
  model.m_logStdDev = aArguments.Number("--spread");
  model.m_stragglerShare = aArguments.Number("--straggler-share");
  model.m_stragglerFactor = aArguments.Number("--straggler-factor");
  model.m_startsCold = !aArguments.Flag("--warm");
  model.m_warmUpAnswers = aArguments.Count("--cold-answers");
  model.m_coldFactor = aArguments.Number("--cold-factor");
  model.m_coldWorkLimit = aArguments.Count("--cold-limit");
  return settings;
}

absl::StatusOr<std::vector<UpstreamSettings>>
ReadUpstreams(const Arguments& aArguments, uint16_t aFirstPort)
{
  UpstreamSettings defaults = ReadDefaults(aArguments);
  std::string path = aArguments.Text("--config");
  if (!path.empty()) {
    std::ifstream file(path);
    std::string text(std::istreambuf_iterator<char>(file), {});
    return ParseUpstreams(text, defaults);
  }
  std::vector<UpstreamSettings> upstreams;
  for (uint32_t i = 0; i < aArguments.Count("--count"); ++i) {
    UpstreamSettings settings = defaults;
    settings.m_id = absl::StrCat(defaults.m_id, i);
    settings.m_port = aFirstPort == 0 ? 0 : aFirstPort + i;
    upstreams.push_back(std::move(settings));
  }
  return upstreams;
}

// Returns a random base for boot ids, which differs between process runs and
// leaves 16 bits for the restarts of one run.
uint64_t
BootBase()
{
  return (uint64_t{ std::random_device{}() } << 16U) + 1;
}

int
Fail(std::string_view aProblem)
{
  std::fprintf(stderr, "%s\n", std::string(aProblem).c_str());
  return 1;
}

int
Run(const Arguments& aArguments)
{
  std::optional<Endpoint> endpoint = ParseEndpoint(aArguments.Text("--listen"));
  std::optional<Endpoint> control = ParseEndpoint(aArguments.Text("--control"));
  if (!endpoint.has_value() || !control.has_value()) {
    return Fail("--listen and --control must each be an address and a port");
  }
  auto upstreams = ReadUpstreams(aArguments, endpoint->m_port);
  if (!upstreams.ok()) {
    return Fail(upstreams.status().ToString());
  }
  CaptureStopSignals();
  Loop loop;
  UpstreamHost host(loop, *upstreams, aArguments.Count("--seed"), BootBase());
  HttpListener listener(loop, host);
  absl::Status status = host.Listen(endpoint->m_host);
  if (!status.ok()) {
    return Fail(status.ToString());
  }
  absl::StatusOr<uint16_t> controlPort = listener.Listen(*control);
  if (!controlPort.ok()) {
    return Fail(controlPort.status().ToString());
  }
  nlohmann::json instances = host.InstancesJson();
  bool ready = AnnounceReady(aArguments.Text("--ready-file"),
                             { { "port", instances[0]["port"] },
                               { "control_port", *controlPort },
                               { "instances", instances } });
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
  using ebonykeel::standins::Arguments;
  return ebonykeel::standins::Run(
    Arguments(docopt::docopt(ebonykeel::standins::kUsage,
                             { aArguments + 1, aArguments + aCount },
                             true)));
}
