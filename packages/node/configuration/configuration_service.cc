#include "node/configuration/configuration_service.h"

#include <utility>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"
#include "core/config/configuration_json.h"
#include "node/wire/convert.h"
#include "runtime/log/events.h"

namespace ebonykeel {

ConfigurationService::ConfigurationService(
  Loop& aLoop,
  PeerLinks& aLinks,
  ObjectStore& aStore,
  MembershipService& aMembership,
  const ConfigurationServiceOptions& aOptions)
  : m_loop(aLoop)
  , m_links(aLinks)
  , m_store(aStore)
  , m_membership(aMembership)
  , m_options(aOptions)
  , m_tasks(*this)
{
}

void
ConfigurationService::Start(ConfigurationObserver& aObserver)
{
  m_observer = &aObserver;
  m_tasks.add(WatchForever());
}

void
ConfigurationService::OnOffer(Generation aGeneration,
                              const std::string& aPeerAddress)
{
  Generation have = m_inForce == nullptr ? 0 : m_inForce->m_generation;
  if (aGeneration <= have || aGeneration <= m_fetching) {
    return;
  }
  m_fetching = aGeneration;
  auto call =
    m_links.Connect(aPeerAddress).then([have](wire::Peer::Client aPeer) {
      auto request = aPeer.configurationRequest();
      request.setHave(have);
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
        [this](std::string&& aBody) {
          m_fetching = 0;
          if (!aBody.empty()) {
            Take(aBody, "peer");
          }
        },
        [this, aPeerAddress](kj::Exception&& /* aException */) {
          m_fetching = 0;
          m_links.Drop(aPeerAddress);
        }));
}

kj::Promise<ChangeAnswer>
ConfigurationService::Change(ChangeFunction aChange, std::string aChangeId)
{
  return m_store.Read(kCurrentConfigurationKey)
    .then([this, change = std::move(aChange), id = std::move(aChangeId)](
            StoreRead&& aRead) -> kj::Promise<ChangeAnswer> {
      if (aRead.m_outcome == StoreReadOutcome::kFailed ||
          aRead.m_outcome == StoreReadOutcome::kUnchanged) {
        return ChangeAnswer{ .m_outcome = ChangeOutcome::kUnavailable };
      }
      Configuration current;
      if (aRead.m_outcome == StoreReadOutcome::kFound) {
        absl::StatusOr<Configuration> decoded =
          DecodeConfiguration(aRead.m_value);
        if (!decoded.ok()) {
          return ChangeAnswer{ .m_outcome = ChangeOutcome::kUnavailable };
        }
        current = *std::move(decoded);
      }
      ChangeResult result = change(current);
      if (!result.m_next) {
        return ChangeAnswer{ .m_outcome = ChangeOutcome::kRefused,
                             .m_generation = current.m_generation,
                             .m_result = std::move(result) };
      }
      Configuration next = *result.m_next;
      return Write(std::move(next), aRead.m_version, std::move(result));
    });
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

kj::Promise<void>
ConfigurationService::WatchForever()
{
  return m_store
    .Watch(kCurrentConfigurationKey, m_storeVersion, m_options.m_watch)
    .then([this](StoreRead&& aRead) -> kj::Promise<void> {
      bool failed = aRead.m_outcome == StoreReadOutcome::kFailed;
      if (failed != m_storeFailing) {
        m_storeFailing = failed;
        if (failed) {
          LogEvent(Event::kStoreFailed, { { "call", "watch" } });
        } else {
          LogEvent(Event::kStoreRecovered, {});
        }
      }
      if (aRead.m_outcome == StoreReadOutcome::kFound) {
        m_storeVersion = aRead.m_version;
        Take(aRead.m_value, "store");
      }
      if (aRead.m_outcome == StoreReadOutcome::kUnchanged ||
          aRead.m_outcome == StoreReadOutcome::kFound) {
        return WatchForever();
      }
      return m_loop.Clock().After(m_options.m_retryPause).then([this]() {
        return WatchForever();
      });
    });
}

void
ConfigurationService::Take(std::string_view aBody, std::string_view aSource)
{
  absl::StatusOr<Configuration> decoded = DecodeConfiguration(aBody);
  if (!decoded.ok()) {
    LogEvent(Event::kConfigurationRefused,
             { { "reason", std::string(decoded.status().message()) },
               { "source", std::string(aSource) } });
    return;
  }
  if (m_inForce != nullptr &&
      decoded->m_generation <= m_inForce->m_generation) {
    return;
  }
  m_inForce = std::make_shared<const Configuration>(*std::move(decoded));
  m_body = aBody;
  LogEvent(Event::kConfigurationInForce,
           { { "generation", absl::StrCat(m_inForce->m_generation) },
             { "services", absl::StrCat(m_inForce->m_services.size()) },
             { "source", std::string(aSource) } });
  m_membership.SetGeneration(m_inForce->m_generation);
  m_observer->OnConfigurationInForce(m_inForce);
  OfferToOthers();
}

void
ConfigurationService::OfferToOthers()
{
  const InstanceRecord& self = m_membership.Self();
  for (const InstanceRecord& record : m_membership.View().m_records) {
    bool worth = record.m_id != self.m_id &&
                 record.m_state != InstanceState::kDead &&
                 record.m_generation < m_inForce->m_generation;
    if (!worth) {
      continue;
    }
    m_tasks.add(
      m_links.Connect(record.m_peerAddress)
        .then([generation = m_inForce->m_generation,
               address = self.m_peerAddress](wire::Peer::Client aPeer) {
          auto request = aPeer.offerRequest();
          request.setGeneration(generation);
          request.setPeerAddress(ToText(address));
          return request.send().ignoreResult();
        })
        .catch_([](kj::Exception&& /* aException */) {
          // Gossip tells it later.
        }));
  }
}

kj::Promise<ChangeAnswer>
ConfigurationService::Write(Configuration aNext,
                            uint64_t aIfVersion,
                            ChangeResult aResult)
{
  std::string body = EncodeConfiguration(aNext);
  return m_store.Write(kCurrentConfigurationKey, aIfVersion, body)
    .then([this, next = std::move(aNext), result = std::move(aResult), body](
            StoreWrite&& aWrite) mutable -> kj::Promise<ChangeAnswer> {
      switch (aWrite.m_outcome) {
        case StoreWriteOutcome::kWritten: {
          Generation generation = next.m_generation;
          LogEvent(Event::kConfigurationAccepted,
                   { { "generation", absl::StrCat(generation) },
                     { "author", next.m_author },
                     { "summary", next.m_summary } });
          Take(body, "change");
          m_tasks.add(
            m_store.Write(ConfigurationHistoryKey(generation), 0, body)
              .ignoreResult());
          return ChangeAnswer{ .m_outcome = ChangeOutcome::kAccepted,
                               .m_generation = generation,
                               .m_result = std::move(result) };
        }
        case StoreWriteOutcome::kConflict:
          return ChangeAnswer{ .m_outcome = ChangeOutcome::kConflict,
                               .m_generation = next.m_generation };
        case StoreWriteOutcome::kRefused:
          return ChangeAnswer{ .m_outcome = ChangeOutcome::kUnavailable };
        case StoreWriteOutcome::kUnknown:
          break;
      }
      return ResolveLostReply(std::move(next), std::move(result));
    });
}

kj::Promise<ChangeAnswer>
ConfigurationService::ResolveLostReply(Configuration aNext,
                                       ChangeResult aResult)
{
  return m_store.Read(kCurrentConfigurationKey)
    .then([this, next = std::move(aNext), result = std::move(aResult)](
            StoreRead&& aRead) mutable {
      if (aRead.m_outcome != StoreReadOutcome::kFound) {
        return ChangeAnswer{ .m_outcome = ChangeOutcome::kUnknown };
      }
      absl::StatusOr<Configuration> decoded =
        DecodeConfiguration(aRead.m_value);
      if (!decoded.ok() || decoded->m_generation > next.m_generation) {
        return ChangeAnswer{ .m_outcome = ChangeOutcome::kUnknown };
      }
      Take(aRead.m_value, "store");
      bool mine = decoded->m_changeId == next.m_changeId;
      return ChangeAnswer{ .m_outcome = mine ? ChangeOutcome::kAccepted
                                             : ChangeOutcome::kConflict,
                           .m_generation = decoded->m_generation,
                           .m_result = std::move(result) };
    });
}

} // namespace ebonykeel
