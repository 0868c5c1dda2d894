// The versions that one instance sends requests to: of a service with an order,
// the share of the target version that is announced; of any other service, the
// version of its longest-running upstream.
//
//   VersionChooser chooser(options);
//   chooser.SetEntry(entry, now);
//   auto allowed = chooser.Filter(service, usable, choice, true, now);
//   chooser.OnSent(replica, true);
//   chooser.OnEnded(replica, route, VersionAnswer::kSuccess, latency, false,
//                   now);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/replica/version_filter.h"
#include "core/rollout/local_rollout.h"
#include "core/rollout/rollout.h"

namespace ebonykeel {

class VersionChooser final : public VersionFilter
{
public:
  explicit VersionChooser(LocalRolloutOptions aOptions);

  // Applies the entry of a service; a changed order replaces the earlier one.
  void SetEntry(const RolloutEntry& aEntry, TimePoint aNow);
  void RemoveEntry(const std::string& aService);
  void OnAnnouncement(const std::string& aHost,
                      const RolloutAnnouncement& aAnnouncement,
                      TimePoint aNow);
  // Called after a time in which the process did not run.
  void OnSuspended();
  void OnTimer(TimePoint aNow);

  std::span<const ReplicaPtr> Filter(std::string_view aService,
                                     std::span<const ReplicaPtr> aUsable,
                                     VersionChoice& aChoice,
                                     bool aIsFirst,
                                     TimePoint aNow) override;
  std::span<const ReplicaPtr> Preview(std::string_view aService,
                                      std::span<const ReplicaPtr> aUsable,
                                      VersionChoice& aChoice,
                                      TimePoint aNow) override;

  // Records an attempt; `aIsFirst` if it is the first of its sub-request.
  void OnSent(const Replica& aReplica, bool aIsFirst);
  // Records how an attempt ended.
  void OnEnded(const Replica& aReplica,
               const std::string& aRoute,
               VersionAnswer aAnswer,
               Duration aLatency,
               bool aIsCold,
               TimePoint aNow);

  // Returns the report about a service's order without its sequence.
  // Requires: the service has an order.
  [[nodiscard]] RolloutReport MakeReport(const std::string& aService,
                                         TimePoint aNow) const;
  // Returns the order of a service; null if there is none.
  [[nodiscard]] const LocalRollout* Find(std::string_view aService) const;

private:
  using Rollouts = std::map<std::string, LocalRollout, std::less<>>;

  [[nodiscard]] std::span<const ReplicaPtr> FilterBy(
    LocalRollout* aRollout,
    std::span<const ReplicaPtr> aUsable,
    VersionChoice& aChoice,
    bool aIsFirst,
    TimePoint aNow);
  // Returns those of `aUsable` whose version is `aVersion`.
  [[nodiscard]] std::span<const ReplicaPtr> Keep(
    std::span<const ReplicaPtr> aUsable,
    std::optional<std::string_view> aVersion);
  // Decides between the versions for an attempt. `aCurrent` is the version
  // beside the target one, if it has an upstream. Returns the version, or
  // nothing if the attempt may go to no upstream.
  [[nodiscard]] static std::optional<std::string_view> Choose(
    LocalRollout& aRollout,
    bool aHasTarget,
    std::optional<std::string_view> aCurrent,
    VersionChoice& aChoice,
    bool aIsFirst,
    TimePoint aNow);
  [[nodiscard]] uint32_t InFlightExcept(const std::string& aService,
                                        const std::string& aVersion) const;

  LocalRolloutOptions m_options;
  Rollouts m_rollouts;
  // The open attempts of each service by version.
  std::map<std::string, std::map<std::string, uint32_t>> m_inFlight;
  // The result of the latest `Filter` or `Preview`.
  std::vector<ReplicaPtr> m_kept;
};

} // namespace ebonykeel
