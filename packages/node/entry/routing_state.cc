#include "node/entry/routing_state.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace ebonykeel {
namespace {

// The maximum number of logged characters of an unreadable header.
constexpr size_t kMaxLoggedText = 64;

} // namespace

RoutingState::RoutingState(const StoreProtocol& aProtocol,
                           ReplicaLoad& aLoad,
                           LineLog& aLog)
  : m_protocol(aProtocol)
  , m_load(aLoad)
  , m_log(aLog)
{
}

void
RoutingState::ApplyObject(FeedKind aKind,
                          const FeedObject& aObject,
                          TimePoint aNow)
{
  switch (aKind) {
    case FeedKind::kConfiguration:
      ApplyConfiguration(aObject);
      break;
    case FeedKind::kReplicas:
      ApplyReplica(aObject, aNow);
      break;
    case FeedKind::kExclusions:
      ApplyExclusion(aObject);
      break;
    case FeedKind::kRollouts:
      break;
  }
}

void
RoutingState::ApplyNotices(const Replica& aReplica,
                           const UpstreamNotices& aNotices,
                           TimePoint aNow)
{
  if (aNotices.m_isLeaving && m_catalogue.SetLeaving(aReplica)) {
    ++m_leavingTotal;
    m_log.Write(Event::kReplicaSuspended,
                { { "replica", aReplica.m_id },
                  { "service", aReplica.m_service },
                  { "cause", "leaving" } });
  }
  if (aNotices.m_retryAfter) {
    ApplyRetryAfter(aReplica, *aNotices.m_retryAfter, aNow);
  }
  if (aNotices.m_unreadableRetryAfter) {
    m_log.Write(
      Event::kRetryAfterUnreadable,
      { { "replica", aReplica.m_id },
        { "text",
          aNotices.m_unreadableRetryAfter->substr(0, kMaxLoggedText) } });
  }
}

void
RoutingState::ApplyRetryAfter(const Replica& aReplica,
                              Duration aRetryAfter,
                              TimePoint aNow)
{
  ReplicaPushback& pushback = m_load.Pushback();
  if (!pushback.OnRejected(aReplica, aRetryAfter, aNow)) {
    return;
  }
  ++m_pushbackTotal;
  Duration applied = *pushback.Until(aReplica, aNow) - aNow;
  m_log.Write(Event::kReplicaSuspended,
              { { "replica", aReplica.m_id },
                { "service", aReplica.m_service },
                { "cause", "retry-after" },
                { "asked_ms", absl::StrCat(ToMilliseconds(aRetryAfter)) },
                { "applied_ms", absl::StrCat(ToMilliseconds(applied)) } });
}

void
RoutingState::LogResumed(TimePoint aNow)
{
  for (const std::string& id : m_load.Pushback().TakeEnded(aNow)) {
    LogResumed(id, "time-over");
  }
}

void
RoutingState::LogResumed(const std::string& aId, std::string_view aCause)
{
  m_log.Write(Event::kReplicaResumed,
              { { "replica", aId }, { "cause", std::string(aCause) } });
}

std::map<DataCentre, size_t>
RoutingState::CountGatheredUpstreams() const
{
  std::set<std::string> services;
  if (m_routes != nullptr) {
    for (const Route& route : m_routes->Config()->m_routes) {
      if (route.m_target == RouteTarget::kShards) {
        services.insert(route.m_services.begin(), route.m_services.end());
      }
    }
  }
  std::vector<std::string> serviceNames(services.begin(), services.end());
  return m_catalogue.CountUsableByDataCentre(serviceNames);
}

void
RoutingState::ApplyConfiguration(const FeedObject& aObject)
{
  // The configuration in force stays when the stored one is removed.
  if (aObject.m_deleted) {
    return;
  }
  auto config = m_protocol.ReadConfiguration(aObject.m_payload);
  if (!config.ok()) {
    m_log.Write(Event::kConfigurationRefused,
                { { "problem", std::string(config.status().message()) },
                  { "source", "store" },
                  { "detail", FormatPosition(aObject.m_position) } });
    return;
  }
  uint64_t version = (*config)->m_version;
  // After a restore of the store an operator may write a version once more with
  // another content.
  if (m_routes != nullptr && version < m_routes->Config()->m_version) {
    return;
  }
  m_log.Write(Event::kConfigurationInForce,
              { { "generation", absl::StrCat(version) },
                { "services", absl::StrCat((*config)->m_services.size()) },
                { "author", "" },
                { "summary",
                  absl::StrCat((*config)->m_routes.size(),
                               " routes, revision ",
                               FormatPosition(aObject.m_position)) } });
  m_routes = std::make_shared<const RouteTable>(*std::move(config));
}

void
RoutingState::ApplyReplica(const FeedObject& aObject, TimePoint aNow)
{
  auto replica = aObject.m_deleted
                   ? absl::StatusOr<Replica>(absl::NotFoundError("removed"))
                   : m_protocol.ReadReplica(aObject.m_name, aObject.m_payload);
  if (!replica.ok()) {
    m_catalogue.Remove(aObject.m_name);
    m_load.Remove(aObject.m_name);
    m_log.Write(Event::kReplicaRemoved,
                { { "replica", aObject.m_name },
                  { "revision", FormatPosition(aObject.m_position) } });
    return;
  }
  m_log.Write(
    Event::kReplicaChanged,
    { { "replica", replica->m_id },
      { "service", replica->m_service },
      { "address", FormatAddress(replica->m_address) },
      { "data_centre", replica->m_dataCentre.Text() },
      { "state",
        replica->m_state == ReplicaState::kReady ? "ready" : "draining" },
      { "revision", FormatPosition(aObject.m_position) } });
  if (replica->m_coldStartDuration > Duration{}) {
    m_load.SetColdUntil(*replica, aNow + replica->m_coldStartDuration);
  }
  if (m_load.Pushback().OnRegistered(*replica)) {
    LogResumed(replica->m_id, "new-start");
  }
  m_catalogue.Put(*std::move(replica));
}

void
RoutingState::ApplyExclusion(const FeedObject& aObject)
{
  DataCentre dataCentre(aObject.m_name);
  if (aObject.m_deleted) {
    m_excludedDataCentres.erase(dataCentre);
  } else {
    m_excludedDataCentres.insert(dataCentre);
  }
  std::vector<std::string> dataCentreNames;
  for (const DataCentre& excluded : m_excludedDataCentres) {
    dataCentreNames.push_back(excluded.Text());
  }
  m_log.Write(Event::kDataCentresExcluded,
              { { "data_centres", absl::StrJoin(dataCentreNames, ",") },
                { "revision", FormatPosition(aObject.m_position) } });
  m_catalogue.SetExcludedDataCentres(m_excludedDataCentres);
}

} // namespace ebonykeel
