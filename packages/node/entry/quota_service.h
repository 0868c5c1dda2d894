// Keeps the quotas of workspaces: connects `QuotaCoordinator` to the loop, the
// other instances and the log.
//
//   QuotaAdmission admission = quota.Admit(
//     workspace, Milliseconds(20), [](const QuotaDecision& aDecision) { ... });
//   if (admission.m_decision) { ... else the callback is called later ... }
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/forward/quota_view.h"
#include "core/quota/quota_coordinator.h"
#include "core/traffic/traffic_config.h"
#include "runtime/log/line_log.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

// Sends messages of the quota to other instances.
class QuotaPeers
{
public:
  virtual ~QuotaPeers() = default;
  // Sends at most once; a message may be lost.
  virtual void SendQuotaMessage(const std::string& aHost,
                                std::string aBytes) = 0;
};

struct QuotaAdmission
{
  // Identifies a request that waits.
  uint64_t m_id = 0;
  // Nothing if the request waits.
  std::optional<QuotaDecision> m_decision;
};

// Everything that is passed by reference must outlive the service.
class QuotaService final : public QuotaView
{
public:
  using Callback = std::function<void(const QuotaDecision&)>;

  QuotaService(UvLoop& aLoop,
               QuotaPeers& aPeers,
               LineLog& aLog,
               QuotaCoordinatorOptions aOptions);

  // Returns the service of an instance; nothing if its settings enforce no
  // quotas.
  [[nodiscard]] static std::optional<QuotaService> Make(
    UvLoop& aLoop,
    QuotaPeers& aPeers,
    LineLog& aLog,
    const ForwardSettings& aSettings);

  void SetFleet(const QuotaFleet& aFleet);
  // Applies the limits of a configuration at once.
  void SetConfiguration(const TrafficConfigPtr& aConfig);
  void OnPeerPayload(const FleetRecord& aSender, std::string_view aBytes);

  // Decides on a request of a workspace. Calls `aDone` only if the request
  // waits: after at most `aMaxWait`.
  [[nodiscard]] QuotaAdmission Admit(const Workspace& aWorkspace,
                                     Duration aMaxWait,
                                     Callback aDone);
  // Called when the caller of a waiting request disconnected; the callback is
  // not called any more.
  void Cancel(uint64_t aId);
  // Gives back the token of an admitted request that was not run.
  void GiveBack(const std::string& aWorkspace, const QuotaDecision& aDecision);

  // Uses the time for leases instead of `aNow`.
  [[nodiscard]] std::optional<uint64_t> TokensHeld(
    const Workspace& aWorkspace,
    TimePoint aNow) const override;

  // Returns the metrics in the Prometheus text format.
  [[nodiscard]] std::string RenderMetrics() const;

private:
  // Returns the time for leases, which includes suspensions of the host.
  [[nodiscard]] TimePoint Now() const;
  // Sends what is due, reports decisions and sets the timer.
  void Flush();
  void LogRole();

  UvLoop& m_loop;
  QuotaPeers& m_peers;
  LineLog& m_log;
  QuotaCoordinator m_coordinator;
  TrafficConfigPtr m_config;
  uint64_t m_nextId = 1;
  std::unordered_map<uint64_t, Callback> m_waiting;
  QuotaGroupSet m_loggedGroups = 0;
  UvTimer m_timer;
};

} // namespace ebonykeel
