#include "node/entry/quota_service.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

#include "runtime/fleet/quota_codec.h"

namespace ebonykeel {

QuotaService::QuotaService(UvLoop& aLoop,
                           QuotaPeers& aPeers,
                           LineLog& aLog,
                           QuotaCoordinatorOptions aOptions)
  : m_loop(aLoop)
  , m_peers(aPeers)
  , m_log(aLog)
  , m_coordinator(std::move(aOptions), Now())
  , m_timer(aLoop, [this]() {
    m_coordinator.OnTimer(Now());
    Flush();
  })
{
}

std::optional<QuotaService>
QuotaService::Make(UvLoop& aLoop,
                   QuotaPeers& aPeers,
                   LineLog& aLog,
                   const ForwardSettings& aSettings)
{
  if (!aSettings.m_quota) {
    return std::nullopt;
  }
  return std::optional<QuotaService>(
    std::in_place,
    aLoop,
    aPeers,
    aLog,
    QuotaCoordinatorOptions{ .m_settings = *aSettings.m_quota,
                             .m_dataCentre = aSettings.m_dataCentre,
                             .m_host = aSettings.m_host,
                             .m_processStart =
                               absl::Uniform<uint64_t>(absl::BitGen()) });
}

void
QuotaService::SetFleet(const QuotaFleet& aFleet)
{
  m_coordinator.SetFleet(aFleet, Now());
  Flush();
  LogRole();
}

void
QuotaService::SetConfiguration(const TrafficConfigPtr& aConfig)
{
  if (aConfig != m_config) {
    m_config = aConfig;
    m_coordinator.SetWorkspaces(aConfig->m_workspaces, Now());
  }
}

void
QuotaService::OnPeerPayload(const FleetRecord& aSender, std::string_view aBytes)
{
  if (std::optional<QuotaMessage> message = DecodeQuotaMessage(aBytes)) {
    m_coordinator.OnMessage(aSender, *message, Now());
    Flush();
  }
}

QuotaAdmission
QuotaService::Admit(const Workspace& aWorkspace,
                    Duration aMaxWait,
                    Callback aDone)
{
  uint64_t id = m_nextId++;
  QuotaDecision decision = m_coordinator.Admit(aWorkspace, id, aMaxWait, Now());
  if (decision.m_outcome != QuotaOutcome::kWaiting) {
    Flush();
    return { .m_decision = decision };
  }
  // A granter on this instance decides at once.
  std::optional<QuotaDecision> atOnce;
  m_waiting.emplace(
    id, [&atOnce](const QuotaDecision& aDecision) { atOnce = aDecision; });
  Flush();
  if (atOnce) {
    return { .m_decision = atOnce };
  }
  m_waiting[id] = std::move(aDone);
  return { .m_id = id };
}

void
QuotaService::Cancel(uint64_t aId)
{
  m_coordinator.Cancel(aId);
  m_waiting.erase(aId);
}

void
QuotaService::GiveBack(const std::string& aWorkspace,
                       const QuotaDecision& aDecision)
{
  if (aDecision.m_tokenExpiresAt) {
    m_coordinator.GiveBack(aWorkspace, *aDecision.m_tokenExpiresAt, Now());
    Flush();
  }
}

std::optional<uint64_t>
QuotaService::TokensHeld(const Workspace& aWorkspace, TimePoint /*aNow*/) const
{
  return m_coordinator.Leases().HeldBy(aWorkspace.m_name, Now());
}

std::string
QuotaService::RenderMetrics() const
{
  std::string text;
  auto add =
    [&text](std::string_view aName, std::string_view aType, uint64_t aValue) {
      std::string name = absl::StrCat("ebonykeel_quota_", std::string(aName));
      absl::StrAppend(&text,
                      "# TYPE ",
                      name,
                      " ",
                      std::string(aType),
                      "\n",
                      name,
                      " ",
                      aValue,
                      "\n");
    };
  const QuotaLeases& leases = m_coordinator.Leases();
  const QuotaCounters& counters = leases.Counters();
  TimePoint now = Now();
  add("tokens_held", "gauge", leases.Held(now));
  add("requests_waiting", "gauge", leases.WaitingCount());
  add("groups_granted",
      "gauge",
      static_cast<uint64_t>(std::popcount(m_coordinator.GrantedGroups(now))));
  add("tokens_granted_total", "counter", m_coordinator.Granter().Granted());
  add("tokens_received_total", "counter", counters.m_granted);
  add("tokens_lost_total", "counter", counters.m_expired);
  add("tokens_returned_total", "counter", counters.m_returned);
  add("reserve_used_total", "counter", counters.m_fromReserve);
  add("refused_total", "counter", counters.m_refused);
  add("waited_total", "counter", counters.m_waited);
  return text;
}

TimePoint
QuotaService::Now() const
{
  return m_loop.Now() + m_loop.Suspended();
}

void
QuotaService::Flush()
{
  for (OutgoingQuotaMessage& outgoing : m_coordinator.TakeMessages(Now())) {
    m_peers.SendQuotaMessage(outgoing.m_host,
                             EncodeQuotaMessage(outgoing.m_message));
  }
  std::optional<TimePoint> next = m_coordinator.NextTimer();
  m_timer.Set(next ? std::optional(*next - m_loop.Suspended()) : std::nullopt);
  // A callback may call back into this service.
  for (const auto& [id, decision] : m_coordinator.TakeDecisions()) {
    auto waiting = m_waiting.extract(id);
    if (!waiting.empty()) {
      waiting.mapped()(decision);
    }
  }
}

void
QuotaService::LogRole()
{
  QuotaGroupSet groups = m_coordinator.GrantedGroups(Now());
  if (groups != std::exchange(m_loggedGroups, groups)) {
    std::string list;
    for (uint32_t group = 0; group < kQuotaGroups; ++group) {
      if ((groups & (1U << group)) != 0) {
        absl::StrAppend(&list, list.empty() ? "" : ",", group);
      }
    }
    m_log.Write(Event::kGranterRoleChanged,
                { { "groups", list.empty() ? "none" : list } });
  }
}

} // namespace ebonykeel
