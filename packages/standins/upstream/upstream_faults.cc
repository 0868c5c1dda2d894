// The control functions of `UpstreamService`, which tests and measurements use:
// faults, counters and executions.
#include <string>
#include <vector>

#include "standins/support/json_fields.h"
#include "standins/upstream/upstream_service.h"

namespace ebonykeel::standins {
namespace {

using nlohmann::json;

void
UpdateModel(const json& aFaults, UpstreamModelOptions& aOptions)
{
  UpdateField(aFaults, "slow_factor", aOptions.m_slowFactor);
  UpdateField(aFaults, "straggler_share", aOptions.m_stragglerShare);
  UpdateField(aFaults, "straggler_factor", aOptions.m_stragglerFactor);
  UpdateField(aFaults, "slots", aOptions.m_slots);
  UpdateMilliseconds(aFaults, "service_ms", aOptions.m_meanServiceTime);
}

bool
IsTrue(const json& aFaults, const char* aName)
{
  return aFaults.value(aName, json(false)) == json(true);
}

} // namespace

void
UpstreamService::SetFaults(const json& aFaults)
{
  UpdateModel(aFaults, m_model.Options());
  UpdateField(aFaults, "hang", m_faults.m_hang);
  UpdateField(aFaults, "garble", m_faults.m_garble);
  UpdateField(aFaults, "partial", m_faults.m_partialShare);
  UpdateField(aFaults, "health_says", m_faults.m_reportedHealth);
  UpdateField(aFaults, "index_versions", m_settings.m_indexVersions);
  UpdateField(aFaults, "shards", m_settings.m_shards);
  bool draining = m_model.IsDraining();
  UpdateField(aFaults, "draining", draining);
  m_model.SetDraining(draining);
  if (IsTrue(aFaults, "cold")) {
    m_model.BecomeCold();
  }
  bool wasDown = m_faults.m_down;
  UpdateField(aFaults, "down", m_faults.m_down);
  bool becomesDown = m_faults.m_down && !wasDown;
  if (becomesDown || IsTrue(aFaults, "restart")) {
    Effects effects;
    m_model.Restart(effects);
    ApplyEffects(effects);
  }
}

json
UpstreamService::CountersJson() const
{
  const UpstreamModelCounters& model = m_model.Counters();
  json counters = { { "id", m_settings.m_id },
                    { "received", model.m_received },
                    { "started", model.m_started },
                    { "executed", model.m_executed },
                    { "shed", model.m_shed },
                    { "cancelled", model.m_cancelled },
                    { "expired", model.m_expired },
                    { "fell_over", model.m_overloads },
                    { "after_drain_received", model.m_afterDrainReceived },
                    { "max_in_use", model.m_maxHeld },
                    { "max_in_use_while_cold", model.m_maxHeldWhileCold },
                    { "in_use", m_model.HeldCount() },
                    { "cold", m_model.IsCold() },
                    { "boot_id", CurrentBootId() },
                    { "connections_open", m_connections.m_open },
                    { "connections_max", m_connections.m_max },
                    { "connections_refused", m_connections.m_refused } };
  if (model.m_lastOffered.has_value()) {
    counters["last_work_ms_ago"] =
      ToMilliseconds(m_clock.Now() - *model.m_lastOffered);
  }
  return counters;
}

void
UpstreamService::ResetCounters()
{
  m_model.ResetCounters();
  m_connections.m_max = m_connections.m_open;
  m_connections.m_refused = 0;
}

std::vector<Execution>
UpstreamService::Executions() const
{
  std::vector<Execution> executions;
  executions.reserve(m_executions.size());
  for (const auto& [name, execution] : m_executions) {
    executions.push_back(execution);
  }
  return executions;
}

} // namespace ebonykeel::standins
