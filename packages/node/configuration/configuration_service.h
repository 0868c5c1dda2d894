// Keeps the configuration in force on this instance, and makes changes to it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/config/configuration.h"
#include "core/config/configuration_change.h"
#include "node/cluster/membership_service.h"
#include "runtime/loop/loop.h"
#include "runtime/peer/links.h"
#include "runtime/store/object_store.h"

namespace ebonykeel {

class ConfigurationObserver
{
public:
  virtual ~ConfigurationObserver() = default;
  // `aConfiguration` is in force from now on; its generation is above that of
  // the one before.
  virtual void OnConfigurationInForce(
    const ConfigurationPtr& aConfiguration) = 0;
};

enum class ChangeOutcome
{
  // The store confirmed the change.
  kAccepted,
  // The change itself was refused; see the findings.
  kRefused,
  // Another change won.
  kConflict,
  // The store gave no answer: the change may or may not have been made.
  kUnknown,
  // The store cannot be reached; the change was not made.
  kUnavailable,
};

struct ChangeAnswer
{
  ChangeOutcome m_outcome = ChangeOutcome::kUnknown;
  // The generation made, or the one that won.
  Generation m_generation = 0;
  ChangeResult m_result;
};

// Makes the next configuration from the current one.
using ChangeFunction = std::function<ChangeResult(const Configuration&)>;

struct ConfigurationServiceOptions
{
  Duration m_watch = Seconds(30);
  // The pause after a call to the store that failed.
  Duration m_retryPause = Milliseconds(500);
  // The bound of fetching a configuration from another instance.
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
                       const ConfigurationServiceOptions& aOptions);

  void Start(ConfigurationObserver& aObserver);

  [[nodiscard]] const ConfigurationPtr& InForce() const { return m_inForce; }
  // The stored form of the configuration in force.
  [[nodiscard]] const std::string& Body() const { return m_body; }

  // Another instance has `aGeneration` in force: fetches it if it is newer.
  void OnOffer(Generation aGeneration, const std::string& aPeerAddress);

  [[nodiscard]] kj::Promise<ChangeAnswer> Change(ChangeFunction aChange,
                                                 std::string aChangeId);

  // Returns the configuration of an earlier generation from the store, or null.
  [[nodiscard]] kj::Promise<ConfigurationPtr> ReadHistory(
    Generation aGeneration);

private:
  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> WatchForever();
  void Take(std::string_view aBody, std::string_view aSource);
  void OfferToOthers();
  [[nodiscard]] kj::Promise<ChangeAnswer> Write(Configuration aNext,
                                                uint64_t aIfVersion,
                                                ChangeResult aResult);
  [[nodiscard]] kj::Promise<ChangeAnswer> ResolveLostReply(
    Configuration aNext,
    ChangeResult aResult);

  Loop& m_loop;
  PeerLinks& m_links;
  ObjectStore& m_store;
  MembershipService& m_membership;
  ConfigurationServiceOptions m_options;
  ConfigurationObserver* m_observer = nullptr;
  ConfigurationPtr m_inForce;
  std::string m_body;
  uint64_t m_storeVersion = 0;
  Generation m_fetching = 0;
  bool m_storeFailing = false;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
