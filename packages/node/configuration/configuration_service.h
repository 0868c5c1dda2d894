// Keeps the configuration of this instance up to date and carries out changes
// to it. Connects the ConfigurationTracker to the store and to peers.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <kj/async.h>

#include "absl/random/bit_gen_ref.h"
#include "core/config/configuration.h"
#include "core/config/configuration_tracker.h"
#include "node/cluster/membership_service.h"
#include "runtime/loop/alarm.h"
#include "runtime/loop/loop.h"
#include "runtime/peer/links.h"
#include "runtime/store/object_store.h"

namespace ebonykeel {

class ConfigurationObserver
{
public:
  virtual ~ConfigurationObserver() = default;
  // Called when `aConfiguration` has come into force. Its generation is greater
  // than that of the previous one.
  virtual void OnConfigurationInForce(
    const ConfigurationPtr& aConfiguration) = 0;
};

struct ConfigurationServiceOptions
{
  ConfigurationTrackerOptions m_tracker;
  // Timeout of fetching a configuration from another instance.
  Duration m_fetchTimeout = Seconds(1);
};

// All references must outlive the service.
class ConfigurationService final : private kj::TaskSet::ErrorHandler
{
public:
  ConfigurationService(Loop& aLoop,
                       PeerLinks& aLinks,
                       ObjectStore& aStore,
                       MembershipService& aMembership,
                       const ConfigurationServiceOptions& aOptions,
                       absl::BitGenRef aRandom);

  void Start(ConfigurationObserver& aObserver);

  [[nodiscard]] const ConfigurationPtr& InForce() const;
  // Returns the encoding of the configuration in force, or an empty string
  // before the first one.
  [[nodiscard]] const std::string& EncodedConfiguration() const
  {
    return m_encodedConfiguration;
  }

  // Must be called when the membership has changed. Decides again whether this
  // instance holds a watch on the store.
  void OnMembershipChanged();
  // Called when a peer reports that `aGeneration` is in force there.
  void OnPeerGeneration(const InstanceId& aPeer, Generation aGeneration);

  // Carries out a change and returns its outcome. Sets `aRequest.m_request`.
  [[nodiscard]] kj::Promise<ChangeReply> Change(ChangeRequest aRequest);

  // Reads the configuration of an earlier generation from the store. Returns
  // null if it is missing or unreadable, or if the read fails.
  [[nodiscard]] kj::Promise<ConfigurationPtr> ReadHistory(
    Generation aGeneration);

private:
  using FulfillerMap =
    std::map<uint64_t, kj::Own<kj::PromiseFulfiller<ChangeReply>>>;

  void taskFailed(kj::Exception&& aException) override;
  void Perform(ConfigurationActions aActions);
  void PerformAction(ConfigurationAction& aAction);
  void StartStoreCall(const ReadStore& aRead);
  void StartStoreCall(const WatchStore& aWatch);
  void StartStoreCall(const WriteStore& aWrite);
  void OnStoreReply(const StoreCallReply& aReply);
  void ApplyConfiguration(const ConfigurationPtr& aConfiguration);
  void SendOffers(Generation aGeneration);
  void FetchConfiguration(const InstanceId& aPeer);
  void ReportProblem(const ConfigurationProblem& aProblem);
  [[nodiscard]] bool IsWatcher() const;

  Loop& m_loop;
  PeerLinks& m_links;
  ObjectStore& m_store;
  MembershipService& m_membership;
  ConfigurationServiceOptions m_options;
  ConfigurationTracker m_tracker;
  ConfigurationObserver* m_observer = nullptr;
  std::string m_encodedConfiguration;
  bool m_isStoreFailing = false;
  uint64_t m_lastRequest = 0;
  FulfillerMap m_changes;
  Alarm m_alarm;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
