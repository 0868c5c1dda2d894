#include "core/rollout/local_rollout.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/base/stable_hash.h"

namespace ebonykeel {
namespace {

// The share of first attempts to the target version while granted requests are
// left.
constexpr double kEarlyShare = 0.3;
// The greatest number of requests that the share may be behind.
constexpr double kMaxCredit = 2;
// An answer is slow beyond this many times the current version's median.
constexpr int kSlowFactor = 3;

double
RoundingOf(const RolloutOrder& aOrder, uint64_t aSeed)
{
  auto hash = static_cast<double>(StableHash(aOrder.m_service, aSeed));
  return hash / (static_cast<double>(std::numeric_limits<uint64_t>::max()) + 1);
}

} // namespace

LocalRollout::LocalRollout(RolloutEntry aEntry,
                           LocalRolloutOptions aOptions,
                           TimePoint aNow)
  : m_entry(std::move(aEntry))
  , m_firstPosition(m_entry.m_position)
  , m_options(aOptions)
  , m_seenAt(aNow)
  , m_rounding(RoundingOf(m_entry.m_order, aOptions.m_seed))
  , m_credit(m_rounding)
  , m_comparison({ .m_falseAlarm = aOptions.m_falseAlarm })
{
}

void
LocalRollout::SetEntry(const RolloutEntry& aEntry)
{
  if (aEntry.m_position >= m_entry.m_position) {
    m_entry.Adopt(aEntry);
  }
}

void
LocalRollout::OnAnnouncement(const std::string& aHost,
                             const RolloutAnnouncement& aAnnouncement,
                             TimePoint aNow)
{
  bool isForOrder =
    aAnnouncement.m_targetVersion == m_entry.m_order.m_targetVersion &&
    aAnnouncement.m_position >= m_firstPosition;
  if (!isForOrder) {
    return;
  }
  TimePoint orderStart = aNow - aAnnouncement.m_age;
  auto [found, isNew] = m_heard.try_emplace(aHost);
  Heard& heard = found->second;
  if (!isNew && heard.m_announcement.m_controllerProcess ==
                  aAnnouncement.m_controllerProcess) {
    bool isLate = orderStart > heard.m_orderStart + kAnnouncementLifetime;
    if (isLate || aAnnouncement.m_sequence <= heard.m_announcement.m_sequence) {
      return;
    }
    orderStart = std::min(orderStart, heard.m_orderStart);
  }
  heard = { aAnnouncement, aNow, orderStart };
  m_seenAt = std::min(m_seenAt, orderStart);
  m_rolledBack =
    m_rolledBack || aAnnouncement.m_stage == RolloutStage::kRolledBack;
  m_completed =
    m_completed || aAnnouncement.m_stage == RolloutStage::kCompleted;
  if (aAnnouncement.m_grantProcess == m_options.m_processStart) {
    m_grant = std::max(m_grant, aAnnouncement.m_grant);
  }
}

const RolloutAnnouncement*
LocalRollout::Effective(TimePoint aNow) const
{
  const RolloutAnnouncement* effective = nullptr;
  for (const auto& [host, heard] : m_heard) {
    bool isValid = aNow - heard.m_at < kAnnouncementLifetime;
    if (isValid && (effective == nullptr ||
                    heard.m_announcement.m_share < effective->m_share)) {
      effective = &heard.m_announcement;
    }
  }
  return effective;
}

TargetUse
LocalRollout::Use(TimePoint aNow) const
{
  if (IsFinal(m_entry.m_state)) {
    return m_entry.m_state == RolloutState::kCompleted ? TargetUse::kAll
                                                       : TargetUse::kNone;
  }
  if (m_completed) {
    return TargetUse::kAll;
  }
  if (m_stopped || m_rolledBack) {
    return TargetUse::kNone;
  }
  const RolloutAnnouncement* announcement = Effective(aNow);
  if (announcement == nullptr || announcement->m_share <= 0) {
    return TargetUse::kNone;
  }
  return announcement->m_share >= 1 ? TargetUse::kAll : TargetUse::kShare;
}

bool
LocalRollout::IsWithinLimit() const
{
  double limit =
    m_options.m_limits.m_exposureShare * static_cast<double>(m_requests) +
    m_grant + m_rounding;
  return static_cast<double>(m_targetRequests) + 1 <= limit;
}

bool
LocalRollout::TakeFirst(TimePoint aNow)
{
  TargetUse use = Use(aNow);
  if (use == TargetUse::kNone) {
    return false;
  }
  if (use == TargetUse::kShare) {
    bool isEarly = m_grantUsed < m_grant;
    double share = Effective(aNow)->m_share;
    m_credit = std::min(
      m_credit + (isEarly ? std::max(share, kEarlyShare) : share), kMaxCredit);
    if (m_credit < 1 || !IsWithinLimit()) {
      return false;
    }
    m_credit -= 1;
    m_grantUsed += isEarly ? 1 : 0;
  }
  ++m_targetRequests;
  return true;
}

bool
LocalRollout::TakeExtra(TimePoint aNow)
{
  TargetUse use = Use(aNow);
  if (use == TargetUse::kNone ||
      (use == TargetUse::kShare && !IsWithinLimit())) {
    return false;
  }
  ++m_targetRequests;
  return true;
}

void
LocalRollout::OnEnded(const std::string& aRoute,
                      bool aIsTarget,
                      VersionAnswer aAnswer,
                      Duration aLatency,
                      bool aIsCold,
                      TimePoint aNow)
{
  if (IsFinal(m_entry.m_state) || aAnswer == VersionAnswer::kNotRun) {
    return;
  }
  RouteState& route = m_routes[aRoute];
  route.m_counts.m_route = aRoute;
  bool isFailure = aAnswer == VersionAnswer::kFailure;
  bool isSlow =
    !isFailure && route.m_currentLatencies.IsExceeded(aLatency, kSlowFactor);
  bool isSuccess = aAnswer == VersionAnswer::kSuccess;
  if (isSuccess && !aIsTarget) {
    route.m_currentLatencies.Add(aLatency);
  }
  bool counts = isFailure || (isSuccess && !isSlow) || (isSlow && !aIsCold);
  if (!counts) {
    return;
  }
  AnswerCounts& answers =
    aIsTarget ? route.m_counts.m_target : route.m_counts.m_current;
  ++answers.m_answers;
  answers.m_failures += isFailure ? 1 : 0;
  answers.m_slow += isSlow ? 1 : 0;
  BadAnswers added{ .m_answers = 1,
                    .m_bad = static_cast<uint64_t>(isFailure || isSlow) };
  m_comparison.Add(aRoute,
                   aIsTarget ? BadAnswers{} : added,
                   aIsTarget ? added : BadAnswers{},
                   aNow);
  OnTimer(aNow);
}

void
LocalRollout::OnTimer(TimePoint aNow)
{
  m_comparison.OnTimer(aNow);
  m_stopped = m_stopped || m_comparison.Verdict() == VersionVerdict::kBad;
}

RolloutReport
LocalRollout::MakeReport(TimePoint aNow) const
{
  // A new controller may know only the store's copy without the roll-back.
  bool isRolledBack =
    m_rolledBack || m_entry.m_state == RolloutState::kRolledBack;
  RolloutReport report{ .m_service = m_entry.m_order.m_service,
                        .m_targetVersion = m_entry.m_order.m_targetVersion,
                        .m_position = m_firstPosition,
                        .m_processStart = m_options.m_processStart,
                        .m_age = aNow - m_seenAt,
                        .m_stopped = m_stopped || isRolledBack,
                        .m_grant = m_grant,
                        .m_requests = m_requests,
                        .m_targetRequests = m_targetRequests };
  if (const RolloutAnnouncement* announcement = Effective(aNow)) {
    report.m_appliedProcess = announcement->m_controllerProcess;
    report.m_appliedSequence = announcement->m_sequence;
    report.m_appliedStage = announcement->m_stage;
  }
  std::ranges::transform(
    m_routes, std::back_inserter(report.m_routes), [](const auto& aRoute) {
      return aRoute.second.m_counts;
    });
  return report;
}

} // namespace ebonykeel
