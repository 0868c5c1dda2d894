// Runs a platform, instances, upstreams and relays as local processes, all on
// ports chosen by the operating system.
//
//   Cluster cluster;
//   DOCTEST_REQUIRE(cluster.StartStandard());
//   cluster.Instance("n1").m_process->Signal(SIGKILL);
//   DOCTEST_CHECK(cluster.WaitUntil([&]() { return cluster.AllWhole(); }));
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <kj/function.h>
#include <nlohmann/json.hpp>

#include "runtime/http/client.h"
#include "runtime/loop/loop.h"
#include "testing/process.h"

namespace ebonykeel {

// The service published by the standard cluster.
constexpr std::string_view kTestService = "desk";

// The result of a call; `m_status` is 0 when no complete answer arrived.
struct CallResult
{
  int m_status = 0;
  nlohmann::json m_body;
  std::string m_text;
};

struct InstanceOptions
{
  std::string m_id;
  std::string m_dataCentre;
  // Extra lines at the top of the settings file.
  std::string m_settings;
  // The address of the store; that of `Store()` unless set.
  std::string m_store;
  // Puts a relay in front of the public and the peer address.
  bool m_relayed = false;
};

struct RunningInstance
{
  InstanceOptions m_options;
  std::unique_ptr<Process> m_process;
  Endpoint m_public;
  Endpoint m_admin;
  Endpoint m_peer;
  // The control APIs of the relays, if the instance is relayed.
  Endpoint m_publicRelay;
  Endpoint m_peerRelay;
};

// One relay process with a route for each target.
struct RunningRelay
{
  std::unique_ptr<Process> m_process;
  Endpoint m_control;
  std::vector<Endpoint> m_routes;
};

struct UpstreamOptions
{
  // Each shard has a replica in every data centre.
  std::vector<std::string> m_shards{ "s0", "s1" };
  std::vector<std::string> m_arguments{ "--warm" };
  uint32_t m_slots = 2;
  // Puts a relay in front of each upstream.
  bool m_relayed = false;
};

class Cluster
{
public:
  Cluster();
  ~Cluster();

  [[nodiscard]] Loop& EventLoop() { return m_loop; }
  [[nodiscard]] H2oHttpClient& Client() { return m_client; }

  // Starts the platform, the upstreams and one instance in each data centre,
  // publishes the service and waits until every instance answers it completely.
  [[nodiscard]] bool StartStandard(const UpstreamOptions& aUpstreams = {});

  // Starts the object store and the instance list, each in its own process.
  [[nodiscard]] bool StartPlatform();
  [[nodiscard]] bool StartUpstreams(const UpstreamOptions& aOptions);
  // Starts an instance, waits for its ports and adds it to the instance list.
  [[nodiscard]] bool StartInstance(const InstanceOptions& aOptions);
  [[nodiscard]] std::unique_ptr<RunningRelay> StartRelay(
    const std::string& aName,
    const std::vector<std::string>& aArguments);

  // Kills an instance if it runs, and removes it from the instance list.
  void RemoveInstance(const std::string& aId);

  [[nodiscard]] RunningInstance& Instance(const std::string& aId)
  {
    return *m_instances.at(aId);
  }
  [[nodiscard]] std::vector<std::string> InstanceIds() const;
  [[nodiscard]] const std::vector<std::string>& DataCentres() const
  {
    return m_dataCentres;
  }
  // The object store.
  [[nodiscard]] const Endpoint& Store() const { return m_store; }
  [[nodiscard]] const Endpoint& Upstreams() const { return m_upstreams; }
  [[nodiscard]] RunningRelay* UpstreamRelay() { return m_upstreamRelay.get(); }
  // Returns the id of the replica of shard number `aShard` in data centre
  // number `aDataCentre`.
  [[nodiscard]] std::string UpstreamIdOf(size_t aShard,
                                         size_t aDataCentre) const;

  // Sends one request and waits for the result.
  CallResult Call(const Endpoint& aEndpoint,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const nlohmann::json& aBody = nullptr);
  // Sends one request without waiting for the result.
  kj::Promise<CallResult> Begin(const Endpoint& aEndpoint,
                                const std::string& aMethod,
                                const std::string& aPath,
                                const nlohmann::json& aBody = nullptr);
  // Sets faults of a stand-in. `aId` selects one upstream; empty selects all.
  void SetFaults(const Endpoint& aControl,
                 const nlohmann::json& aFaults,
                 const std::string& aId = "");
  // Returns the counters of one upstream.
  [[nodiscard]] nlohmann::json Counters(const std::string& aUpstreamId);

  // Returns the text of the service file for one index version.
  [[nodiscard]] std::string ServiceFile(
    uint64_t aVersion,
    const std::vector<std::string>& aShards) const;
  // Publishes the service through an instance. A base of 0 accepts any base.
  CallResult Publish(const std::string& aInstance,
                     const std::string& aServiceFile,
                     const std::string& aChangeId = "",
                     uint64_t aBase = 0);
  kj::Promise<CallResult> BeginPublish(const std::string& aInstance,
                                       const std::string& aServiceFile,
                                       const std::string& aChangeId,
                                       uint64_t aBase);
  [[nodiscard]] CallResult Status(const std::string& aInstance);
  // Returns the sum of one metric over the instances, such as
  // "upstream_bad_answers_total".
  [[nodiscard]] uint64_t Metric(std::string_view aName);
  // Returns whether a query through the instance gets a complete answer.
  [[nodiscard]] bool AnswersWhole(const std::string& aInstance);
  // Returns whether every instance answers completely and sees as many active
  // members as there are instances.
  [[nodiscard]] bool AllWhole();
  // Returns whether every instance has at least this generation.
  [[nodiscard]] bool InForceEverywhere(uint64_t aGeneration);

  // Runs the loop until `aCondition` holds, polling it. Returns false on
  // timeout.
  bool WaitUntil(kj::Function<bool()> aCondition);
  // Runs the loop for `aDuration`.
  void RunFor(Duration aDuration);

private:
  [[nodiscard]] std::unique_ptr<Process> StartProgram(
    const std::string& aProgram,
    const std::string& aName,
    std::vector<std::string> aArguments);
  [[nodiscard]] nlohmann::json WaitReady(const std::string& aName);
  [[nodiscard]] bool RelayInstance(RunningInstance& aInstance);
  void RegisterInstance(const RunningInstance& aInstance,
                        const std::string& aState);

  TemporaryFolder m_folder;
  Loop m_loop;
  H2oHttpClient m_client;
  std::vector<std::string> m_dataCentres{ "oviedo", "santander", "bilbao" };
  std::unique_ptr<Process> m_storeProcess;
  Endpoint m_store;
  std::unique_ptr<Process> m_listProcess;
  Endpoint m_instanceList;
  std::unique_ptr<Process> m_upstreamProcess;
  Endpoint m_upstreams;
  std::vector<Endpoint> m_upstreamEndpoints;
  std::unique_ptr<RunningRelay> m_upstreamRelay;
  std::vector<std::string> m_shards;
  uint32_t m_slots = 2;
  std::map<std::string, std::unique_ptr<RunningInstance>> m_instances;
  std::vector<std::unique_ptr<RunningRelay>> m_relays;
  uint64_t m_calls = 0;
};

} // namespace ebonykeel
