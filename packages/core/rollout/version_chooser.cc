#include "core/rollout/version_chooser.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace ebonykeel {
namespace {

// Returns the version of the longest-running upstream, other than `aExcept`;
// nothing if there is none.
std::optional<std::string_view>
LongestRunningVersion(std::span<const ReplicaPtr> aUsable,
                      std::optional<std::string_view> aExcept)
{
  const Replica* longest = nullptr;
  for (const ReplicaPtr& replica : aUsable) {
    bool isLonger =
      longest == nullptr || std::tie(replica->m_startUnixMs, replica->m_id) <
                              std::tie(longest->m_startUnixMs, longest->m_id);
    if (isLonger && replica->m_version != aExcept) {
      longest = replica.get();
    }
  }
  if (longest == nullptr) {
    return std::nullopt;
  }
  return longest->m_version;
}

bool
HasSeveralVersions(std::span<const ReplicaPtr> aUsable)
{
  return std::ranges::any_of(aUsable, [&](const ReplicaPtr& aReplica) {
    return aReplica->m_version != aUsable.front()->m_version;
  });
}

} // namespace

VersionChooser::VersionChooser(LocalRolloutOptions aOptions)
  : m_options(aOptions)
{
}

void
VersionChooser::SetEntry(const RolloutEntry& aEntry, TimePoint aNow)
{
  const std::string& service = aEntry.m_order.m_service;
  auto found = m_rollouts.find(service);
  if (found != m_rollouts.end()) {
    if (aEntry.m_position < found->second.Entry().m_position) {
      return;
    }
    if (found->second.Entry().IsSameOrder(aEntry)) {
      found->second.SetEntry(aEntry);
      return;
    }
    m_rollouts.erase(found);
  }
  m_rollouts.try_emplace(service, aEntry, m_options, aNow);
}

void
VersionChooser::RemoveEntry(const std::string& aService)
{
  m_rollouts.erase(aService);
}

void
VersionChooser::OnAnnouncement(const std::string& aHost,
                               const RolloutAnnouncement& aAnnouncement,
                               TimePoint aNow)
{
  auto found = m_rollouts.find(aAnnouncement.m_service);
  if (found != m_rollouts.end()) {
    found->second.OnAnnouncement(aHost, aAnnouncement, aNow);
  }
}

void
VersionChooser::OnSuspended()
{
  for (auto& [service, rollout] : m_rollouts) {
    rollout.DiscardAnnouncements();
  }
}

void
VersionChooser::OnTimer(TimePoint aNow)
{
  for (auto& [service, rollout] : m_rollouts) {
    rollout.OnTimer(aNow);
  }
}

std::span<const ReplicaPtr>
VersionChooser::Filter(std::string_view aService,
                       std::span<const ReplicaPtr> aUsable,
                       VersionChoice& aChoice,
                       bool aIsFirst,
                       TimePoint aNow)
{
  auto found = m_rollouts.find(aService);
  return FilterBy(found == m_rollouts.end() ? nullptr : &found->second,
                  aUsable,
                  aChoice,
                  aIsFirst,
                  aNow);
}

std::span<const ReplicaPtr>
VersionChooser::Preview(std::string_view aService,
                        std::span<const ReplicaPtr> aUsable,
                        VersionChoice& aChoice,
                        TimePoint aNow)
{
  auto found = m_rollouts.find(aService);
  if (found == m_rollouts.end()) {
    return FilterBy(nullptr, aUsable, aChoice, true, aNow);
  }
  LocalRollout copy = found->second;
  return FilterBy(&copy, aUsable, aChoice, true, aNow);
}

std::span<const ReplicaPtr>
VersionChooser::FilterBy(LocalRollout* aRollout,
                         std::span<const ReplicaPtr> aUsable,
                         VersionChoice& aChoice,
                         bool aIsFirst,
                         TimePoint aNow)
{
  if (aRollout == nullptr) {
    return HasSeveralVersions(aUsable)
             ? Keep(aUsable, LongestRunningVersion(aUsable, std::nullopt))
             : aUsable;
  }
  const std::string& target = aRollout->Entry().m_order.m_targetVersion;
  bool hasTarget =
    std::ranges::any_of(aUsable, [&](const ReplicaPtr& aReplica) {
      return aReplica->m_version == target;
    });
  return Keep(aUsable,
              Choose(*aRollout,
                     hasTarget,
                     LongestRunningVersion(aUsable, target),
                     aChoice,
                     aIsFirst,
                     aNow));
}

std::optional<std::string_view>
VersionChooser::Choose(LocalRollout& aRollout,
                       bool aHasTarget,
                       std::optional<std::string_view> aCurrent,
                       VersionChoice& aChoice,
                       bool aIsFirst,
                       TimePoint aNow)
{
  std::string_view target = aRollout.Entry().m_order.m_targetVersion;
  TargetUse use = aRollout.Use(aNow);
  if (!aHasTarget || use == TargetUse::kNone) {
    aChoice = VersionChoice::kCurrent;
    return aCurrent;
  }
  if (aChoice == VersionChoice::kUndecided) {
    bool takes = aCurrent.has_value() ? aRollout.TakeFirst(aNow)
                                      : aRollout.TakeExtra(aNow);
    aChoice = takes ? VersionChoice::kTarget : VersionChoice::kCurrent;
    return takes ? target : aCurrent;
  }
  if (use == TargetUse::kAll) {
    return target;
  }
  if (aIsFirst && aChoice == VersionChoice::kTarget) {
    return target;
  }
  if (!aCurrent.has_value() && aRollout.TakeExtra(aNow)) {
    aChoice = VersionChoice::kTarget;
    return target;
  }
  return aCurrent;
}

std::span<const ReplicaPtr>
VersionChooser::Keep(std::span<const ReplicaPtr> aUsable,
                     std::optional<std::string_view> aVersion)
{
  m_kept.clear();
  std::ranges::copy_if(
    aUsable, std::back_inserter(m_kept), [&](const ReplicaPtr& aReplica) {
      return aReplica->m_version == aVersion;
    });
  return m_kept;
}

void
VersionChooser::OnSent(const Replica& aReplica, bool aIsFirst)
{
  ++m_inFlight[aReplica.m_service][aReplica.m_version];
  auto found = m_rollouts.find(aReplica.m_service);
  if (aIsFirst && found != m_rollouts.end()) {
    found->second.OnRequest();
  }
}

void
VersionChooser::OnEnded(const Replica& aReplica,
                        const std::string& aRoute,
                        VersionAnswer aAnswer,
                        Duration aLatency,
                        bool aIsCold,
                        TimePoint aNow)
{
  auto service = m_inFlight.find(aReplica.m_service);
  if (service != m_inFlight.end()) {
    auto version = service->second.find(aReplica.m_version);
    if (version != service->second.end() && --version->second == 0) {
      service->second.erase(version);
    }
  }
  auto found = m_rollouts.find(aReplica.m_service);
  if (found == m_rollouts.end()) {
    return;
  }
  LocalRollout& rollout = found->second;
  bool isTarget = aReplica.m_version == rollout.Entry().m_order.m_targetVersion;
  rollout.OnEnded(aRoute, isTarget, aAnswer, aLatency, aIsCold, aNow);
}

RolloutReport
VersionChooser::MakeReport(const std::string& aService, TimePoint aNow) const
{
  const LocalRollout& rollout = m_rollouts.find(aService)->second;
  RolloutReport report = rollout.MakeReport(aNow);
  report.m_inFlightCurrent =
    InFlightExcept(aService, rollout.Entry().m_order.m_targetVersion);
  return report;
}

const LocalRollout*
VersionChooser::Find(std::string_view aService) const
{
  auto found = m_rollouts.find(aService);
  return found == m_rollouts.end() ? nullptr : &found->second;
}

uint32_t
VersionChooser::InFlightExcept(const std::string& aService,
                               const std::string& aVersion) const
{
  auto service = m_inFlight.find(aService);
  if (service == m_inFlight.end()) {
    return 0;
  }
  uint32_t sum = 0;
  for (const auto& [version, count] : service->second) {
    sum += version == aVersion ? 0 : count;
  }
  return sum;
}

} // namespace ebonykeel
