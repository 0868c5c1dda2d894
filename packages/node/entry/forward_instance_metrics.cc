#include "node/entry/forward_instance.h"

#include "absl/strings/str_cat.h"

#include "node/entry/work_metrics.h"

namespace ebonykeel {

std::string
ForwardInstance::RenderMetrics() const
{
  std::string text = m_forward.Stats().Render();
  text += m_reader.Stats().Render();
  if (m_quota) {
    text += m_quota->RenderMetrics();
  }
  auto gauge = [&text](std::string_view aName, auto aValue) {
    absl::StrAppend(&text,
                    "# TYPE ",
                    std::string(aName),
                    " gauge\n",
                    std::string(aName),
                    " ",
                    aValue,
                    "\n");
  };
  gauge("ebonykeel_in_flight_requests", m_callerServer.InFlight());
  gauge("ebonykeel_caller_connections", m_callerServer.Connections());
  gauge("ebonykeel_searcher_connections_opened",
        m_upstreamClient.ConnectionsOpened());
  gauge("ebonykeel_store_calls",
        m_reader.CallCount() + m_instanceList.CallCount());
  gauge("ebonykeel_store_on_duty", m_reader.IsActive() ? 1 : 0);
  gauge("ebonykeel_store_unreadable_objects", m_reader.UnreadableCount());
  text += m_feedUpkeep.RenderMetrics();
  gauge("ebonykeel_replicas", m_routing.Catalogue().Count());
  gauge("ebonykeel_replicas_leaving", m_routing.Catalogue().LeavingCount());
  gauge("ebonykeel_replicas_pushing_back",
        m_load.Pushback().Count(m_loop.Now()));
  gauge("ebonykeel_replica_leaving_total", m_routing.LeavingTotal());
  gauge("ebonykeel_replica_pushback_total", m_routing.PushbackTotal());
  gauge("ebonykeel_replicas_age_seconds", ToMillisecondsF(FeedAge()) / 1000);
  gauge("ebonykeel_stall_interval_seconds",
        ToMillisecondsF(m_load.StallInterval()) / 1000);
  if (m_load.PlacesByWork()) {
    gauge("ebonykeel_unfinished_work_seconds",
          ToMillisecondsF(m_load.RemainingWork(m_loop.Now())) / 1000);
    text += RenderWorkRatios(m_forward.Work());
  }
  gauge("ebonykeel_configuration_version",
        m_routing.Routes() == nullptr
          ? 0
          : m_routing.Routes()->Config()->m_version);
  gauge("ebonykeel_instances", m_fleet.View().LiveMembers().size());
  gauge("ebonykeel_log_lines_dropped", m_log.Dropped());
  if (m_rollouts != nullptr) {
    text += m_rollouts->RenderMetrics();
  }
  return text;
}

} // namespace ebonykeel
