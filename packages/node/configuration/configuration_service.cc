#include "node/configuration/configuration_service.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"
#include "core/base/stable_hash.h"
#include "core/config/configuration_json.h"
#include "node/wire/peer_codec.h"
#include "runtime/log/events.h"

namespace ebonykeel {
namespace {

// Number of instances per data centre that hold a watch on the store.
constexpr size_t kWatchersPerDataCentre = 2;
// Maximum number of peers to which a new generation is offered directly; the
// others receive it through gossip.
constexpr size_t kMaxOfferedPeers = 6;

StoreStatus
ToStoreStatus(StoreReadOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreReadOutcome::kFound:
      return StoreStatus::kOk;
    case StoreReadOutcome::kNotFound:
      return StoreStatus::kNotFound;
    case StoreReadOutcome::kUnchanged:
      return StoreStatus::kUnchanged;
    case StoreReadOutcome::kFailed:
      return StoreStatus::kFailed;
  }
  return StoreStatus::kFailed;
}

StoreStatus
ToStoreStatus(StoreWriteOutcome aOutcome)
{
  switch (aOutcome) {
    case StoreWriteOutcome::kWritten:
      return StoreStatus::kOk;
    case StoreWriteOutcome::kConflict:
      return StoreStatus::kConflict;
    case StoreWriteOutcome::kRefused:
      return StoreStatus::kRefused;
    case StoreWriteOutcome::kUnknown:
      return StoreStatus::kFailed;
  }
  return StoreStatus::kFailed;
}

std::string
ProblemName(ConfigurationProblem::Kind aKind)
{
  switch (aKind) {
    case ConfigurationProblem::Kind::kUnreadable:
      return "unreadable";
    case ConfigurationProblem::Kind::kDivergent:
      return "divergent";
    case ConfigurationProblem::Kind::kStoreBehind:
      return "store_behind";
  }
  return "unreadable";
}

} // namespace

ConfigurationService::ConfigurationService(
  Loop& aLoop,
  PeerLinks& aLinks,
  ObjectStore& aStore,
  MembershipService& aMembership,
  const ConfigurationServiceOptions& aOptions,
  absl::BitGenRef aRandom)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_store(aStore)
  , m_membership(aMembership)
  , m_options(aOptions)
  , m_tracker(aOptions.m_tracker, aRandom)
  , m_alarm(aLoop.Clock(),
            [this]() { Perform(m_tracker.OnTimer(m_loop.Clock().Now())); })
  , m_tasks(*this)
{
}

void
ConfigurationService::Start(ConfigurationObserver& aObserver)
{
  m_observer = &aObserver;
  Perform(m_tracker.Start(m_loop.Clock().Now()));
  OnMembershipChanged();
}

const ConfigurationPtr&
ConfigurationService::InForce() const
{
  return m_tracker.InForce();
}

void
ConfigurationService::OnMembershipChanged()
{
  Perform(m_tracker.SetWatcher(IsWatcher(), m_loop.Clock().Now()));
}

void
ConfigurationService::OnPeerGeneration(const InstanceId& aPeer,
                                       Generation aGeneration)
{
  Perform(m_tracker.OnPeerGeneration(aPeer, aGeneration, m_loop.Clock().Now()));
}

kj::Promise<ChangeReply>
ConfigurationService::Change(ChangeRequest aRequest)
{
  auto paf = kj::newPromiseAndFulfiller<ChangeReply>();
  aRequest.m_request = ++m_lastRequest;
  m_changes.emplace(aRequest.m_request, kj::mv(paf.fulfiller));
  Perform(m_tracker.RequestChange(std::move(aRequest), m_loop.Clock().Now()));
  return kj::mv(paf.promise);
}

kj::Promise<ConfigurationPtr>
ConfigurationService::ReadHistory(Generation aGeneration)
{
  return m_store.Read(ConfigurationHistoryKey(aGeneration))
    .then([](StoreRead&& aRead) -> ConfigurationPtr {
      if (aRead.m_outcome != StoreReadOutcome::kFound) {
        return nullptr;
      }
      absl::StatusOr<Configuration> decoded =
        DecodeConfiguration(aRead.m_value);
      if (!decoded.ok()) {
        return nullptr;
      }
      return std::make_shared<const Configuration>(*std::move(decoded));
    });
}

void
ConfigurationService::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "configuration task failed", aException);
}

void
ConfigurationService::Perform(ConfigurationActions aActions)
{
  for (ConfigurationAction& action : aActions) {
    PerformAction(action);
  }
  m_alarm.Set(m_tracker.NextTimer());
}

void
ConfigurationService::PerformAction(ConfigurationAction& aAction)
{
  if (auto* read = std::get_if<ReadStore>(&aAction)) {
    StartStoreCall(*read);
  } else if (auto* watch = std::get_if<WatchStore>(&aAction)) {
    StartStoreCall(*watch);
  } else if (auto* write = std::get_if<WriteStore>(&aAction)) {
    StartStoreCall(*write);
  } else if (auto* inForce = std::get_if<PutInForce>(&aAction)) {
    ApplyConfiguration(inForce->m_configuration);
  } else if (auto* offer = std::get_if<OfferToPeers>(&aAction)) {
    SendOffers(offer->m_generation);
  } else if (auto* fetch = std::get_if<FetchFromPeer>(&aAction)) {
    FetchConfiguration(fetch->m_peer);
  } else if (auto* problem = std::get_if<ConfigurationProblem>(&aAction)) {
    ReportProblem(*problem);
  } else if (auto* reply = std::get_if<ChangeReply>(&aAction)) {
    auto found = m_changes.find(reply->m_request);
    if (found != m_changes.end()) {
      found->second->fulfill(std::move(*reply));
      m_changes.erase(found);
    }
  }
}

void
ConfigurationService::StartStoreCall(const ReadStore& aRead)
{
  m_tasks.add(m_store.Read(aRead.m_key)
                .then([this, token = aRead.m_token](StoreRead&& aResult) {
                  OnStoreReply({ .m_token = token,
                                 .m_status = ToStoreStatus(aResult.m_outcome),
                                 .m_version = aResult.m_version,
                                 .m_body = std::move(aResult.m_value) });
                }));
}

void
ConfigurationService::StartStoreCall(const WatchStore& aWatch)
{
  m_tasks.add(m_store
                .Watch(aWatch.m_key,
                       aWatch.m_version,
                       m_options.m_tracker.m_storeWatchTimeout)
                .then([this, token = aWatch.m_token](StoreRead&& aResult) {
                  OnStoreReply({ .m_token = token,
                                 .m_status = ToStoreStatus(aResult.m_outcome),
                                 .m_version = aResult.m_version,
                                 .m_body = std::move(aResult.m_value) });
                }));
}

void
ConfigurationService::StartStoreCall(const WriteStore& aWrite)
{
  m_tasks.add(m_store.Write(aWrite.m_key, aWrite.m_ifVersion, aWrite.m_body)
                .then([this, token = aWrite.m_token](StoreWrite&& aResult) {
                  OnStoreReply({ .m_token = token,
                                 .m_status = ToStoreStatus(aResult.m_outcome),
                                 .m_version = aResult.m_version });
                }));
}

void
ConfigurationService::OnStoreReply(const StoreCallReply& aReply)
{
  bool failing = aReply.m_status == StoreStatus::kFailed ||
                 aReply.m_status == StoreStatus::kRefused;
  if (failing != std::exchange(m_isStoreFailing, failing)) {
    if (failing) {
      LogEvent(Event::kStoreFailed, { { "call", "configuration" } });
    } else {
      LogEvent(Event::kStoreRecovered, {});
    }
  }
  Perform(m_tracker.OnStoreReply(aReply, m_loop.Clock().Now()));
}

void
ConfigurationService::ApplyConfiguration(const ConfigurationPtr& aConfiguration)
{
  m_encodedConfiguration = EncodeConfiguration(*aConfiguration);
  LogEvent(Event::kConfigurationInForce,
           { { "generation", absl::StrCat(aConfiguration->m_generation) },
             { "services", absl::StrCat(aConfiguration->m_services.size()) },
             { "author", aConfiguration->m_author },
             { "summary", aConfiguration->m_summary } });
  m_membership.SetGeneration(aConfiguration->m_generation);
  m_observer->OnConfigurationInForce(aConfiguration);
}

void
ConfigurationService::SendOffers(Generation aGeneration)
{
  const InstanceRecord& self = m_membership.Self();
  std::vector<std::string> addresses;
  for (const InstanceRecord& record : m_membership.View().m_records) {
    if (record.m_id != self.m_id && record.m_state != InstanceState::kDead &&
        record.m_generation < aGeneration) {
      addresses.push_back(record.m_peerAddress);
    }
  }
  // Sorts by a hash that depends on this instance, so that instances offer the
  // generation to different peers.
  std::ranges::sort(addresses, {}, [&self](const std::string& aAddress) {
    return StableHash(aAddress, StableHash(self.m_id.View()));
  });
  addresses.resize(std::min(addresses.size(), kMaxOfferedPeers));
  for (const std::string& address : addresses) {
    m_tasks.add(
      m_links.Connect(address)
        .then([aGeneration, id = self.m_id.Text()](wire::Peer::Client aPeer) {
          auto request = aPeer.offerRequest();
          request.setGeneration(aGeneration);
          request.setInstance(ToText(id));
          return request.send().ignoreResult();
        })
        .catch_([](kj::Exception&& /* aException */) {
          // The peer receives the generation through gossip.
        }));
  }
}

void
ConfigurationService::FetchConfiguration(const InstanceId& aPeer)
{
  const InstanceRecord* record = m_membership.FindLive(aPeer);
  if (record == nullptr) {
    return;
  }
  std::string address = record->m_peerAddress;
  Generation inForce = m_tracker.InForceGeneration();
  auto call =
    m_links.Connect(address).then([inForce](wire::Peer::Client aClient) {
      auto request = aClient.configurationRequest();
      request.setHave(inForce);
      return request.send().then(
        [](capnp::Response<wire::Peer::ConfigurationResults>&& aResults) {
          return std::string(ToView(aResults.getBody()));
        });
    });
  m_tasks.add(
    m_loop.Clock()
      .Timer()
      .timeoutAfter(m_options.m_fetchTimeout.count() * kj::NANOSECONDS,
                    kj::mv(call))
      .then(
        [this, aPeer](std::string&& aBody) {
          if (!aBody.empty()) {
            Perform(m_tracker.OnPeerConfiguration(
              aPeer, aBody, m_loop.Clock().Now()));
          }
        },
        [this, address](kj::Exception&& /* aException */) {
          m_links.Drop(address);
        }));
}

void
ConfigurationService::ReportProblem(const ConfigurationProblem& aProblem)
{
  LogEvent(Event::kConfigurationRefused,
           { { "problem", ProblemName(aProblem.m_kind) },
             { "source", aProblem.m_source },
             { "detail", aProblem.m_detail } });
}

bool
ConfigurationService::IsWatcher() const
{
  const InstanceRecord& self = m_membership.Self();
  auto rank = [](const InstanceRecord& aRecord) {
    return StableHash(aRecord.m_id.View());
  };
  auto ranksBefore = [&self, &rank](const InstanceRecord& aRecord) {
    return aRecord.m_id != self.m_id &&
           aRecord.m_state == InstanceState::kActive &&
           aRecord.m_dataCentre == self.m_dataCentre &&
           rank(aRecord) < rank(self);
  };
  return std::ranges::count_if(m_membership.View().m_records, ranksBefore) <
         static_cast<std::ptrdiff_t>(kWatchersPerDataCentre);
}

} // namespace ebonykeel
