// One instance of ebonykeel: owns and connects all services of `ebonykeeld`.
#pragma once

#include <memory>

#include <kj/async.h>

#include "absl/random/random.h"
#include "absl/status/statusor.h"
#include "core/config/instance_settings.h"
#include "core/query/hedge_policy.h"
#include "core/query/replica_selector.h"
#include "core/query/snapshot_tracker.h"
#include "node/admission/admission_service.h"
#include "node/api/admin_api.h"
#include "node/api/public_api.h"
#include "node/api/status_page.h"
#include "node/cluster/membership_service.h"
#include "node/cluster/ownership_service.h"
#include "node/configuration/configuration_service.h"
#include "node/filing/filing_service.h"
#include "node/peer/peer_service.h"
#include "node/query/query_service.h"
#include "node/report/burn_report_service.h"
#include "node/upstream/upstream_service.h"
#include "runtime/http/client.h"
#include "runtime/http/server.h"
#include "runtime/peer/links.h"
#include "runtime/store/http_store.h"

namespace ebonykeel {

// A peer interface that can be served before its implementation exists. Calls
// wait until `Set`.
class DeferredPeer
{
public:
  DeferredPeer();
  [[nodiscard]] wire::Peer::Client Client() { return m_client; }
  void Set(wire::Peer::Client aPeer);

private:
  kj::PromiseFulfillerPair<wire::Peer::Client> m_pair;
  wire::Peer::Client m_client;
};

// The ports that an instance has bound.
struct BoundPorts
{
  uint16_t m_public = 0;
  uint16_t m_admin = 0;
  uint16_t m_peer = 0;
};

class Instance final
  : private MembershipObserver
  , private OwnershipObserver
  , private ConfigurationObserver
{
public:
  // The loop must outlive the instance. An empty `aAdminToken` stands for no
  // token.
  Instance(Loop& aLoop, InstanceSettings aSettings, std::string aAdminToken);
  ~Instance() noexcept override;

  // Binds the addresses and starts the services. Call it once.
  [[nodiscard]] absl::Status Start();
  [[nodiscard]] const BoundPorts& Ports() const { return m_ports; }

  // Stops without breaking off requests: announces to the other instances that
  // this one is leaving, hands over its upstreams, and only later refuses new
  // requests. Resolves when no request is in flight or the drain timeout has
  // passed.
  [[nodiscard]] kj::Promise<void> Stop();

private:
  struct Components;

  void OnMembershipChanged() override;
  void OnNewerGeneration(const InstanceId& aPeer,
                         Generation aGeneration) override;
  void OnOwnershipChanged() override;
  void OnConfigurationInForce(const ConfigurationPtr& aConfiguration) override;

  [[nodiscard]] absl::Status Listen();
  // Resolves when no work is in flight, or at `aBound`.
  [[nodiscard]] kj::Promise<void> WaitUntilIdle(TimePoint aBound);

  Loop& m_loop;
  InstanceSettings m_settings;
  std::string m_adminToken;
  BoundPorts m_ports;
  absl::BitGen m_random;
  // The servers bind their addresses before the components exist, since the
  // components announce the bound ports. Until then these handlers answer that
  // the instance is starting.
  class DeferredHandler;
  std::unique_ptr<DeferredHandler> m_publicHandler;
  std::unique_ptr<DeferredHandler> m_adminHandler;
  // The configuration in force, extended by the shards of earlier snapshots
  // that queries may still pin.
  ConfigurationPtr m_configurationWithEarlierShards;
  DeferredPeer m_peerHandler;
  std::unique_ptr<HttpServer> m_publicServer;
  std::unique_ptr<HttpServer> m_adminServer;
  std::unique_ptr<Components> m_components;
  std::unique_ptr<PeerServer> m_peerServer;
};

} // namespace ebonykeel
