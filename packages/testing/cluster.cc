#include "testing/cluster.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr Duration kPollInterval = Milliseconds(20);
constexpr Duration kWaitTimeout = Seconds(40);
constexpr Duration kCallTimeout = Seconds(10);
// The host that relayed instances advertise; they listen on 127.0.0.1.
constexpr char kRelayHost[] = "127.0.0.2";
constexpr char kHost[] = "127.0.0.1";

Json
ReadJson(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string text(std::istreambuf_iterator<char>(file), {});
  return Json::parse(text, nullptr, false);
}

} // namespace

Cluster::Cluster()
  : m_client(m_loop, {})
{
}

Cluster::~Cluster() = default;

bool
Cluster::StartStandard(const UpstreamOptions& aUpstreams)
{
  if (!StartPlatform() || !StartUpstreams(aUpstreams)) {
    return false;
  }
  for (size_t i = 0; i < m_dataCentres.size(); ++i) {
    if (!StartInstance({ .m_id = absl::StrCat("n", i + 1),
                         .m_dataCentre = m_dataCentres[i] })) {
      return false;
    }
  }
  std::string file = ServiceFile(1, m_shards);
  return WaitUntil([&]() { return Publish("n1", file).m_status == 200; }) &&
         WaitUntil([this]() { return AllWhole(); });
}

bool
Cluster::StartPlatform()
{
  auto start = [this](const char* aName, Endpoint& aEndpoint) {
    auto process =
      StartProgram("standin_platform", aName, { "--list-lag-ms=200" });
    Json ready = WaitReady(aName);
    if (ready.is_object()) {
      aEndpoint = { kHost, ready["port"].get<uint16_t>() };
    }
    return process;
  };
  m_storeProcess = start("store", m_store);
  m_listProcess = start("instance-list", m_instanceList);
  return m_store.m_port != 0 && m_instanceList.m_port != 0;
}

bool
Cluster::StartUpstreams(const UpstreamOptions& aOptions)
{
  m_shards = aOptions.m_shards;
  m_slots = aOptions.m_slots;
  std::vector<std::string> arguments{
    absl::StrCat("--count=", m_shards.size() * m_dataCentres.size()),
    absl::StrCat("--service=", std::string(kTestService)),
  };
  std::ranges::copy(aOptions.m_arguments, std::back_inserter(arguments));
  m_upstreamProcess =
    StartProgram("standin_upstream", "searchers", std::move(arguments));
  Json ready = WaitReady("searchers");
  if (!ready.is_object()) {
    return false;
  }
  m_upstreams = { kHost, ready["control_port"].get<uint16_t>() };
  for (const Json& instance : ready["instances"]) {
    m_upstreamEndpoints.push_back({ kHost, instance["port"].get<uint16_t>() });
  }
  for (size_t i = 0; i < m_upstreamEndpoints.size(); ++i) {
    Json faults{ { "shards", { m_shards[i / m_dataCentres.size()] } } };
    SetFaults(m_upstreams, faults, absl::StrCat("u", i));
  }
  if (!aOptions.m_relayed) {
    return true;
  }
  std::vector<std::string> targets;
  for (const Endpoint& endpoint : m_upstreamEndpoints) {
    targets.push_back(absl::StrCat("--target=", FormatEndpoint(endpoint)));
  }
  m_upstreamRelay = StartRelay("searcher-relay", targets);
  if (m_upstreamRelay == nullptr) {
    return false;
  }
  m_upstreamEndpoints = m_upstreamRelay->m_routes;
  return true;
}

bool
Cluster::StartInstance(const InstanceOptions& aOptions)
{
  const std::string& id = aOptions.m_id;
  {
    std::ofstream settings(m_folder.Path(id + ".toml"));
    settings << "id = \"" << id << "\"\n"
             << "data_centre = \"" << aOptions.m_dataCentre << "\"\n"
             << "region = \"north\"\n"
             << "ready_file = \"" << m_folder.Path(id + ".json") << "\"\n"
             << aOptions.m_settings << "\n";
    if (aOptions.m_relayed) {
      settings << "[listen]\nadvertise_host = \"" << kRelayHost << "\"\n";
    }
    settings << "[store]\naddress = \""
             << (aOptions.m_store.empty() ? FormatEndpoint(m_store)
                                          : aOptions.m_store)
             << "\"\ninstance_list = \"" << FormatEndpoint(m_instanceList)
             << "\"\n";
  }
  auto instance = std::make_unique<RunningInstance>();
  instance->m_options = aOptions;
  instance->m_process = StartProgram(
    "ebonykeeld", id, { "--settings=" + m_folder.Path(id + ".toml") });
  Json ready = WaitReady(id);
  if (!ready.is_object()) {
    return false;
  }
  std::string host = aOptions.m_relayed ? kRelayHost : kHost;
  instance->m_public = { host, ready["public"].get<uint16_t>() };
  instance->m_admin = { kHost, ready["admin"].get<uint16_t>() };
  instance->m_peer = { host, ready["peer"].get<uint16_t>() };
  if (aOptions.m_relayed && !RelayInstance(*instance)) {
    return false;
  }
  RegisterInstance(*instance, "live");
  m_instances[id] = std::move(instance);
  return true;
}

std::unique_ptr<RunningRelay>
Cluster::StartRelay(const std::string& aName,
                    const std::vector<std::string>& aArguments)
{
  auto relay = std::make_unique<RunningRelay>();
  relay->m_process = StartProgram("standin_relay", aName, aArguments);
  Json ready = WaitReady(aName);
  if (!ready.is_object()) {
    return nullptr;
  }
  relay->m_control = { kHost, ready["control_port"].get<uint16_t>() };
  for (const Json& port : ready["ports"]) {
    relay->m_routes.push_back({ kHost, port.get<uint16_t>() });
  }
  return relay;
}

void
Cluster::RemoveInstance(const std::string& aId)
{
  m_instances.erase(aId);
  Call(m_instanceList, "DELETE", "/standin/instances/" + aId);
}

std::vector<std::string>
Cluster::InstanceIds() const
{
  std::vector<std::string> ids;
  std::ranges::transform(m_instances,
                         std::back_inserter(ids),
                         [](const auto& aEntry) { return aEntry.first; });
  return ids;
}

std::string
Cluster::UpstreamIdOf(size_t aShard, size_t aDataCentre) const
{
  return absl::StrCat("u", aShard * m_dataCentres.size() + aDataCentre);
}

CallResult
Cluster::Call(const Endpoint& aEndpoint,
              const std::string& aMethod,
              const std::string& aPath,
              const Json& aBody)
{
  return Begin(aEndpoint, aMethod, aPath, aBody).wait(m_loop.WaitScope());
}

kj::Promise<CallResult>
Cluster::Begin(const Endpoint& aEndpoint,
               const std::string& aMethod,
               const std::string& aPath,
               const Json& aBody)
{
  HttpRequest request{ .m_method = aMethod, .m_path = aPath };
  size_t mark = aPath.find('?');
  if (mark != std::string::npos) {
    request.m_path = aPath.substr(0, mark);
    request.m_query = aPath.substr(mark + 1);
  }
  if (!aBody.is_null()) {
    request.m_body = aBody.dump();
  }
  return m_client.Send(aEndpoint, std::move(request), kCallTimeout)
    .then([](HttpReply&& aReply) -> CallResult {
      if (!aReply.m_status.ok()) {
        return {};
      }
      return { aReply.m_response.m_status,
               Json::parse(aReply.m_response.m_body, nullptr, false),
               aReply.m_response.m_body };
    });
}

void
Cluster::SetFaults(const Endpoint& aControl,
                   const Json& aFaults,
                   const std::string& aId)
{
  std::string path = "/standin/faults";
  Call(aControl, "POST", aId.empty() ? path : path + "?id=" + aId, aFaults);
}

Json
Cluster::Counters(const std::string& aUpstreamId)
{
  CallResult result =
    Call(m_upstreams, "GET", "/standin/counters?id=" + aUpstreamId);
  return result.m_body.contains("upstreams") ? result.m_body["upstreams"][0]
                                             : result.m_body;
}

std::string
Cluster::ServiceFile(uint64_t aVersion,
                     const std::vector<std::string>& aShards) const
{
  std::string text = absl::StrCat("name = \"",
                                  std::string(kTestService),
                                  "\"\ngroup = \"desks\"\nindex_version = ",
                                  aVersion,
                                  "\nslots = ",
                                  m_slots,
                                  "\nconnection_limit = 60\n"
                                  "connect_time_ms = 6\ndeadline_ms = 3000\n"
                                  "preference = \"coverage\"\n"
                                  "operations = { idempotent = [\"search\"], "
                                  "once = [\"file\"] }\n");
  size_t upstream = 0;
  for (const std::string& shard : aShards) {
    absl::StrAppend(&text, "[[shard]]\nname = \"", shard, "\"\nreplicas = [\n");
    for (const std::string& dataCentre : m_dataCentres) {
      absl::StrAppend(&text,
                      "  { id = \"u",
                      upstream,
                      "\", address = \"",
                      FormatEndpoint(m_upstreamEndpoints[upstream]),
                      "\", data_centre = \"",
                      dataCentre,
                      "\" },\n");
      ++upstream;
    }
    absl::StrAppend(&text, "]\n");
  }
  return text;
}

CallResult
Cluster::Publish(const std::string& aInstance,
                 const std::string& aServiceFile,
                 const std::string& aChangeId,
                 uint64_t aBase)
{
  return BeginPublish(aInstance, aServiceFile, aChangeId, aBase)
    .wait(m_loop.WaitScope());
}

kj::Promise<CallResult>
Cluster::BeginPublish(const std::string& aInstance,
                      const std::string& aServiceFile,
                      const std::string& aChangeId,
                      uint64_t aBase)
{
  Json body{ { "author", "test" },
             { "services",
               { { { "file", "desk.toml" }, { "text", aServiceFile } } } },
             { "any_data_centre", true } };
  if (!aChangeId.empty()) {
    body["change_id"] = aChangeId;
  }
  if (aBase != 0) {
    body["base_generation"] = aBase;
  }
  return Begin(Instance(aInstance).m_admin, "PUT", "/v1/admin/services", body);
}

CallResult
Cluster::Status(const std::string& aInstance)
{
  return Call(Instance(aInstance).m_admin, "GET", "/v1/admin/status");
}

uint64_t
Cluster::Metric(std::string_view aName)
{
  std::string prefix = absl::StrCat("ebonykeel_", std::string(aName), " ");
  uint64_t sum = 0;
  for (const std::string& id : InstanceIds()) {
    CallResult page = Call(Instance(id).m_public, "GET", "/metrics");
    size_t at = page.m_text.find(prefix);
    if (at != std::string::npos) {
      sum +=
        std::strtoull(page.m_text.c_str() + at + prefix.size(), nullptr, 10);
    }
  }
  return sum;
}

bool
Cluster::AnswersWhole(const std::string& aInstance)
{
  Json body{ { "services", { kTestService } },
             { "query", "knots" },
             { "caller", "probe" },
             { "request_id", absl::StrCat("probe-", ++m_calls) } };
  CallResult result =
    Call(Instance(aInstance).m_public, "POST", "/v1/query", body);
  return result.m_status == 200 && result.m_body["whole"] == true;
}

bool
Cluster::AllWhole()
{
  return std::ranges::all_of(InstanceIds(), [this](const std::string& aId) {
    CallResult status = Status(aId);
    if (status.m_status != 200) {
      return false;
    }
    auto alive =
      std::ranges::count_if(status.m_body["members"], [](const Json& aMember) {
        return aMember["state"] == "active";
      });
    return alive == static_cast<int64_t>(m_instances.size()) &&
           AnswersWhole(aId);
  });
}

bool
Cluster::InForceEverywhere(uint64_t aGeneration)
{
  return std::ranges::all_of(
    InstanceIds(), [this, aGeneration](const std::string& aId) {
      CallResult status = Status(aId);
      return status.m_status == 200 &&
             status.m_body["generation"].get<uint64_t>() >= aGeneration;
    });
}

bool
Cluster::WaitUntil(kj::Function<bool()> aCondition)
{
  TimePoint bound = m_loop.Clock().Now() + kWaitTimeout;
  while (!aCondition()) {
    if (m_loop.Clock().Now() >= bound) {
      return false;
    }
    RunFor(kPollInterval);
  }
  return true;
}

void
Cluster::RunFor(Duration aDuration)
{
  m_loop.Clock().After(aDuration).wait(m_loop.WaitScope());
}

std::unique_ptr<Process>
Cluster::StartProgram(const std::string& aProgram,
                      const std::string& aName,
                      std::vector<std::string> aArguments)
{
  if (aProgram != "ebonykeeld") {
    aArguments.push_back("--ready-file=" + m_folder.Path(aName + ".json"));
  }
  auto process =
    Process::Start({ .m_program = EBONYKEEL_PROGRAMS "/" + aProgram,
                     .m_arguments = std::move(aArguments),
                     .m_log = m_folder.Path(aName + ".log") });
  if (!process.ok()) {
    std::fprintf(stderr, "%s\n", process.status().ToString().c_str());
    return nullptr;
  }
  return *std::move(process);
}

Json
Cluster::WaitReady(const std::string& aName)
{
  Json ready;
  std::string path = m_folder.Path(aName + ".json");
  WaitUntil([&]() {
    ready = ReadJson(path);
    return ready.is_object();
  });
  std::error_code ignored;
  std::filesystem::remove(path, ignored);
  return ready;
}

bool
Cluster::RelayInstance(RunningInstance& aInstance)
{
  auto relay = [this, &aInstance](const char* aName,
                                  const Endpoint& aEndpoint) {
    Endpoint target{ kHost, aEndpoint.m_port };
    m_relays.push_back(StartRelay(absl::StrCat(aInstance.m_options.m_id, aName),
                                  { "--listen=" + FormatEndpoint(aEndpoint),
                                    "--target=" + FormatEndpoint(target) }));
    return m_relays.back() == nullptr ? Endpoint{} : m_relays.back()->m_control;
  };
  aInstance.m_publicRelay = relay("-public-relay", aInstance.m_public);
  aInstance.m_peerRelay = relay("-peer-relay", aInstance.m_peer);
  return aInstance.m_publicRelay.m_port != 0 &&
         aInstance.m_peerRelay.m_port != 0;
}

void
Cluster::RegisterInstance(const RunningInstance& aInstance,
                          const std::string& aState)
{
  const std::string& id = aInstance.m_options.m_id;
  Call(m_instanceList,
       "PUT",
       "/standin/instances/" + id,
       { { "id", id },
         { "peer_address", FormatEndpoint(aInstance.m_peer) },
         { "public_address", FormatEndpoint(aInstance.m_public) },
         { "admin_address", FormatEndpoint(aInstance.m_admin) },
         { "data_centre", aInstance.m_options.m_dataCentre },
         { "region", "north" },
         { "state", aState } });
}

} // namespace ebonykeel
