#include "core/rollout/rollout_controller.h"

#include <algorithm>
#include <utility>

namespace ebonykeel {
namespace {

BadAnswers
BadAnswersOf(const AnswerCounts& aCounts)
{
  return { .m_answers = aCounts.m_answers, .m_bad = aCounts.Bad() };
}

} // namespace

RolloutController::RolloutController(RolloutEntry aEntry,
                                     RolloutControllerOptions aOptions,
                                     TimePoint aSeenAt,
                                     TimePoint aNow)
  : m_entry(std::move(aEntry))
  , m_options(aOptions)
  , m_seenAt(aSeenAt)
  , m_since(aNow)
  , m_takenOver(m_entry.m_state != RolloutState::kOrdered)
  , m_comparison({})
{
}

void
RolloutController::SetEntry(const RolloutEntry& aEntry)
{
  if (aEntry.m_position < m_entry.m_position) {
    return;
  }
  // Another controller took the order up.
  m_takenOver = m_takenOver || (!m_callOpen && !m_isFirst &&
                                m_entry.m_state == RolloutState::kOrdered &&
                                aEntry.m_state == RolloutState::kRunning);
  m_entry.Adopt(aEntry);
}

void
RolloutController::OnReport(const std::string& aHost,
                            const RolloutReport& aReport,
                            TimePoint aNow)
{
  // The instance has seen a later entry than this one: a write would fail.
  m_mustRead = m_mustRead || aReport.m_position > m_entry.m_position;
  m_seenAt = std::min(m_seenAt, aNow - aReport.m_age);
  ReportGain gain = m_reports.Add(aHost, aReport);
  bool isHistory = gain.m_isNew && m_takenOver;
  for (const RouteCounts& route : gain.m_routes) {
    BadAnswers current = BadAnswersOf(route.m_current);
    BadAnswers target = BadAnswersOf(route.m_target);
    if (isHistory) {
      m_comparison.AddHistory(route.m_route, current, target);
    } else {
      m_comparison.Add(route.m_route, current, target, aNow);
    }
  }
  Grant(aHost, aReport, aNow);
}

void
RolloutController::Grant(const std::string& aHost,
                         const RolloutReport& aReport,
                         TimePoint aNow)
{
  GrantRecord& record = m_grants[aHost];
  if (record.m_processStart != aReport.m_processStart) {
    m_endedGrants += record.m_count;
    record = { .m_processStart = aReport.m_processStart };
  }
  record.m_count = std::max(record.m_count, aReport.m_grant);
  bool mayUse =
    aReport.m_requests > 0 && aReport.m_targetRequests >= record.m_count;
  uint32_t added = std::min(m_options.m_maxGrant, GrantsLeft(aNow));
  if (mayUse && added > 0) {
    record.m_count += added;
    m_changed = true;
  }
}

uint32_t
RolloutController::GrantsLeft(TimePoint aNow) const
{
  auto pool = static_cast<uint32_t>(m_options.m_limits.m_exposureSlack *
                                    m_options.m_earlyPart);
  bool hasBaseline = m_reports.CurrentAnswers() >= m_options.m_minBaseline ||
                     aNow >= At(m_options.m_earlyStart);
  if (m_stage != RolloutStage::kCanary || !IsSettled(aNow) || !hasBaseline ||
      m_reports.TargetAnswers().m_answers >= pool) {
    return 0;
  }
  // Earlier controllers may have granted requests to instances that are lost.
  uint32_t available = m_isFirst ? pool : pool / 2;
  uint32_t granted = m_endedGrants;
  for (const auto& [host, record] : m_grants) {
    granted += record.m_count;
  }
  return available > granted ? available - granted : 0;
}

void
RolloutController::OnTimer(const RolloutSurroundings& aSurroundings,
                           TimePoint aNow)
{
  m_surroundings = aSurroundings;
  m_comparison.OnTimer(aNow);
  RolloutStage before = m_stage;
  Decide(aNow);
  m_isHeld =
    !IsSettled(aNow) || (IsStoreAway() && m_surroundings.m_lostInstances > 0);
  m_mayComplete =
    m_stage == RolloutStage::kFull && !IsStoreAway() && MayComplete(aNow);
  m_changed = m_changed || m_stage != before || Share() != m_lastShare;
  m_lastShare = Share();
}

void
RolloutController::Decide(TimePoint aNow)
{
  if (IsFinal(m_entry.m_state)) {
    m_stage = m_entry.m_state == RolloutState::kCompleted
                ? RolloutStage::kCompleted
                : RolloutStage::kRolledBack;
    return;
  }
  if (m_entry.m_state == RolloutState::kOrdered ||
      m_stage == RolloutStage::kRolledBack) {
    return;
  }
  if (m_comparison.Verdict() == VersionVerdict::kBad) {
    RollBack("bad-answers");
    return;
  }
  if (m_reports.AnyStopped()) {
    RollBack("stopped-by-instance");
    return;
  }
  m_stage = std::max(m_stage, RolloutStage::kCanary);
  bool isFull = m_stage == RolloutStage::kFull;
  bool hasAnswers = m_surroundings.m_hasTarget &&
                    (m_reports.TargetAnswers().m_answers > 0 ||
                     m_reports.Requests() < m_options.m_minRequests);
  if (!isFull && !hasAnswers && aNow >= At(1)) {
    RollBack("no-upstream");
    return;
  }
  if (IsStoreAway()) {
    bool isUnknown =
      m_completionUnknownSince &&
      aNow - *m_completionUnknownSince < m_options.m_unknownCompletion;
    m_stage = isFull && !isUnknown ? RolloutStage::kRamp : m_stage;
    return;
  }
  if (!IsSettled(aNow) || isFull) {
    return;
  }
  if (aNow >= At(m_options.m_rampEnd)) {
    DecideAtRampEnd(hasAnswers);
  } else if (aNow >= At(m_options.m_canaryEnd) &&
             m_comparison.Verdict() == VersionVerdict::kGood) {
    m_stage = RolloutStage::kRamp;
  }
}

void
RolloutController::DecideAtRampEnd(bool aHasAnswers)
{
  bool isGood = m_comparison.Verdict() == VersionVerdict::kGood;
  if (!isGood && m_comparison.PointsToBad()) {
    RollBack("not-found-good");
  } else if (aHasAnswers) {
    m_stage = RolloutStage::kFull;
  }
}

void
RolloutController::RollBack(std::string_view aReason)
{
  m_stage = RolloutStage::kRolledBack;
  m_reason = aReason;
}

void
RolloutController::OnSuspended(TimePoint aNow)
{
  if (m_stage == RolloutStage::kRamp || m_stage == RolloutStage::kFull) {
    m_stage = RolloutStage::kCanary;
  }
  m_takenOver = true;
  m_isFirst = false;
  m_since = aNow;
  m_mustRead = true;
  m_changed = true;
}

TimePoint
RolloutController::At(double aPart) const
{
  return m_seenAt + std::chrono::duration_cast<Duration>(
                      aPart * m_entry.m_order.m_duration);
}

bool
RolloutController::IsStoreAway() const
{
  return !m_surroundings.m_storeReachable || m_callLost;
}

bool
RolloutController::IsSettled(TimePoint aNow) const
{
  return !m_takenOver || aNow - m_since >= m_options.m_settleTime;
}

bool
RolloutController::MayComplete(TimePoint aNow) const
{
  bool isMinority =
    m_surroundings.m_lostInstances > m_surroundings.m_liveHosts.size();
  if (isMinority && aNow < At(m_options.m_minorityWait)) {
    return false;
  }
  return std::ranges::all_of(
    m_surroundings.m_liveHosts, [&](const std::string& aHost) {
      const RolloutReport* report = m_reports.Find(aHost);
      if (report == nullptr || report->m_inFlightCurrent > 0 ||
          report->m_appliedStage != RolloutStage::kFull ||
          report->m_appliedProcess != m_options.m_process) {
        return false;
      }
      auto round = std::ranges::find(m_fullRounds,
                                     report->m_appliedSequence,
                                     &std::pair<uint64_t, TimePoint>::first);
      return round != m_fullRounds.end() &&
             aNow - round->second <= m_options.m_maxAppliedAge;
    });
}

std::optional<RolloutState>
RolloutController::WantedState() const
{
  if (m_entry.m_state == RolloutState::kOrdered) {
    return RolloutState::kRunning;
  }
  auto lost =
    m_entry.m_isStateLost ? std::optional(m_entry.m_state) : std::nullopt;
  if (IsFinal(m_entry.m_state)) {
    return lost;
  }
  if (m_stage == RolloutStage::kRolledBack) {
    return RolloutState::kRolledBack;
  }
  return m_mayComplete ? std::optional(RolloutState::kCompleted) : lost;
}

std::optional<RolloutCall>
RolloutController::TakeCall(TimePoint aNow)
{
  if (m_callOpen || aNow < m_nextCall) {
    return std::nullopt;
  }
  std::optional<RolloutState> wanted = WantedState();
  if (!m_mustRead && !wanted) {
    return std::nullopt;
  }
  m_callOpen = true;
  m_isTakingUp = false;
  if (m_mustRead || m_entry.m_position.m_era < m_surroundings.m_storeEra) {
    return RolloutCall{};
  }
  m_isTakingUp = m_entry.m_state == RolloutState::kOrdered;
  if (wanted == RolloutState::kCompleted) {
    m_completionUnknownSince = aNow;
  }
  return RolloutCall{ .m_write = wanted, .m_position = m_entry.m_position };
}

void
RolloutController::OnCallAnswered(const RolloutEntry& aEntry, bool aIsWritten)
{
  m_callOpen = false;
  m_mustRead = false;
  m_callLost = false;
  m_completionUnknownSince.reset();
  if (aEntry.m_state == RolloutState::kRunning) {
    m_isFirst = m_isFirst || (aIsWritten && m_isTakingUp);
    // Without having written it, another controller was faster.
    m_takenOver = m_takenOver || !m_isFirst;
  }
  SetEntry(aEntry);
  m_changed = true;
}

void
RolloutController::OnEntryMissing(TimePoint aNow)
{
  m_callOpen = false;
  m_mustRead = true;
  m_callLost = false;
  m_completionUnknownSince.reset();
  m_nextCall = aNow + m_options.m_callRetryDelay;
}

void
RolloutController::OnCallLost(TimePoint aNow)
{
  m_callOpen = false;
  m_mustRead = true;
  m_callLost = true;
  m_nextCall = aNow + m_options.m_callRetryDelay;
}

double
RolloutController::Share() const
{
  double share = m_options.m_limits.m_exposureShare;
  switch (m_stage) {
    case RolloutStage::kWaiting:
    case RolloutStage::kRolledBack:
      return 0;
    case RolloutStage::kCanary:
      return m_isHeld ? 0 : share * m_options.m_canaryPart;
    case RolloutStage::kRamp:
      return m_isHeld ? 0 : share * m_options.m_rampPart;
    case RolloutStage::kFull:
      return m_isHeld ? 0 : 1;
    case RolloutStage::kCompleted:
      return 1;
  }
  return 0;
}

bool
RolloutController::TakeChanged()
{
  return std::exchange(m_changed, false);
}

void
RolloutController::BeginAnnouncements(TimePoint aNow)
{
  ++m_sequence;
  if (Share() < 1) {
    // An instance may send to the current version again before it reports on
    // the next round with the whole share.
    m_fullRounds.clear();
    return;
  }
  m_fullRounds.emplace_back(m_sequence, aNow);
  std::erase_if(m_fullRounds, [&](const auto& aRound) {
    return aNow - aRound.second > m_options.m_maxAppliedAge;
  });
}

RolloutAnnouncement
RolloutController::MakeAnnouncement(const std::string& aHost,
                                    TimePoint aNow) const
{
  RolloutAnnouncement announcement{
    .m_service = m_entry.m_order.m_service,
    .m_targetVersion = m_entry.m_order.m_targetVersion,
    .m_position = m_entry.m_position,
    .m_controllerProcess = m_options.m_process,
    .m_sequence = m_sequence,
    // An instance that is told to wait must not report the stage full.
    .m_stage = m_stage == RolloutStage::kFull && m_isHeld
                 ? RolloutStage::kCanary
                 : m_stage,
    .m_share = Share(),
    .m_age = aNow - m_seenAt
  };
  auto grant = m_grants.find(aHost);
  if (grant != m_grants.end()) {
    announcement.m_grant = grant->second.m_count;
    announcement.m_grantProcess = grant->second.m_processStart;
  }
  return announcement;
}

} // namespace ebonykeel
