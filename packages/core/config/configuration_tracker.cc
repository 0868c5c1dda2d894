#include "core/config/configuration_tracker.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"

#include "core/config/configuration_json.h"

namespace ebonykeel {
namespace {

using internal::CommitCall;
using internal::CommitStep;
using internal::CurrentRead;

constexpr char kStoreSource[] = "store";

ChangeReply
ReplyTo(const ChangeRequest& aRequest, ChangeOutcome aOutcome)
{
  ChangeReply reply;
  reply.m_request = aRequest.m_request;
  reply.m_outcome = aOutcome;
  return reply;
}

} // namespace

std::string_view
ChangeOutcomeName(ChangeOutcome aOutcome)
{
  switch (aOutcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kRefused:
      return "refused";
    case ChangeOutcome::kConflict:
      return "conflict";
    case ChangeOutcome::kStoreUnreachable:
      return "store_unreachable";
    case ChangeOutcome::kStoreUnreadable:
      return "store_unreadable";
    case ChangeOutcome::kStoreBehind:
      return "store_behind";
    case ChangeOutcome::kBusy:
      return "busy";
    case ChangeOutcome::kUnknown:
      break;
  }
  return "unknown";
}

ConfigurationTracker::ConfigurationTracker(
  const ConfigurationTrackerOptions& aOptions,
  absl::BitGenRef aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
{
}

ConfigurationActions
ConfigurationTracker::Start(TimePoint aNow)
{
  m_read.m_due = aNow;
  return OnTimer(aNow);
}

ConfigurationActions
ConfigurationTracker::SetWatcher(bool aWatcher, TimePoint aNow)
{
  if (aWatcher != m_isWatcher) {
    m_isWatcher = aWatcher;
    m_watch = {};
    if (aWatcher) {
      m_watch.m_due = aNow;
    }
  }
  return OnTimer(aNow);
}

ConfigurationActions
ConfigurationTracker::OnStoreReply(const StoreCallReply& aReply, TimePoint aNow)
{
  ConfigurationActions actions;
  auto isReplyTo = [&](const RecurringCall& aCall) {
    return aCall.m_pending && aCall.m_pending->m_token == aReply.m_token;
  };
  bool write = isReplyTo(m_commitCall) && m_commit->NextCall().m_write;
  bool expected =
    isReplyTo(m_read) || isReplyTo(m_watch) || isReplyTo(m_commitCall);
  CurrentRead read;
  // A late or duplicate reply may also carry a newer configuration.
  if (!write && (expected || !aReply.m_body.empty())) {
    read = ProcessReadReply(aReply, actions);
  }
  if (isReplyTo(m_read)) {
    OnReadDone(read, aNow);
  } else if (isReplyTo(m_watch)) {
    OnWatchDone(aReply, read, aNow);
  } else if (isReplyTo(m_commitCall)) {
    OnCommitReply(aReply, read, aNow, actions);
  }
  return actions;
}

ConfigurationActions
ConfigurationTracker::OnPeerGeneration(const InstanceId& aPeer,
                                       Generation aGeneration,
                                       TimePoint aNow)
{
  ConfigurationActions actions;
  // A configuration can be large, so a generation is fetched from one peer at a
  // time even if several peers offer it.
  bool fetching = aGeneration <= m_fetchGeneration && aNow < m_fetchDeadline;
  if (aGeneration > InForceGeneration() && !fetching) {
    m_fetchGeneration = aGeneration;
    m_fetchDeadline = aNow + m_options.m_fetchTimeout;
    actions.emplace_back(FetchFromPeer{ aPeer });
  }
  return actions;
}

ConfigurationActions
ConfigurationTracker::OnPeerConfiguration(const InstanceId& aPeer,
                                          std::string_view aBody,
                                          TimePoint aNow)
{
  ConfigurationActions actions;
  absl::StatusOr<Configuration> decoded = DecodeConfiguration(aBody);
  if (!decoded.ok()) {
    actions.emplace_back(
      ConfigurationProblem{ ConfigurationProblem::Kind::kUnreadable,
                            aPeer.Text(),
                            std::string(decoded.status().message()) });
    return actions;
  }
  bool first = !m_inForce;
  PutInForceIfNewer(std::make_shared<const Configuration>(*std::move(decoded)),
                    aPeer.Text(),
                    actions);
  if (first && m_inForce && !m_read.m_pending) {
    ScheduleRead(aNow);
  }
  return actions;
}

ConfigurationActions
ConfigurationTracker::RequestChange(ChangeRequest aRequest, TimePoint aNow)
{
  ConfigurationActions actions;
  if (aRequest.m_changeId.empty()) {
    ChangeReply reply = ReplyTo(aRequest, ChangeOutcome::kRefused);
    reply.m_refusal = ChangeRefusal::kInvalid;
    reply.m_findings.push_back(
      { .m_key = "change_id", .m_problem = "is missing" });
    actions.emplace_back(std::move(reply));
    return actions;
  }
  if (m_waiting.size() >= m_options.m_maxWaitingChanges) {
    actions.emplace_back(ReplyTo(aRequest, ChangeOutcome::kBusy));
    return actions;
  }
  m_waiting.push_back(
    { std::move(aRequest), aNow + m_options.m_changeTimeout });
  StartNextCommit(aNow, actions);
  return actions;
}

ConfigurationActions
ConfigurationTracker::OnTimer(TimePoint aNow)
{
  ConfigurationActions actions;
  EndExpiredChanges(aNow, actions);
  TimeOutCalls(aNow, actions);
  StartDueCalls(aNow, actions);
  return actions;
}

std::optional<TimePoint>
ConfigurationTracker::NextTimer() const
{
  std::optional<TimePoint> next;
  auto consider = [&next](TimePoint aTime) {
    next = next ? std::min(*next, aTime) : aTime;
  };
  for (const RecurringCall* call :
       std::array{ &m_read, &m_watch, &m_commitCall }) {
    if (call->m_pending) {
      consider(call->m_pending->m_timeout);
    }
    if (call->m_due) {
      consider(*call->m_due);
    }
  }
  if (m_commit) {
    consider(m_commitDeadline);
  }
  if (!m_waiting.empty()) {
    consider(m_waiting.front().m_deadline);
  }
  return next;
}

Generation
ConfigurationTracker::InForceGeneration() const
{
  return m_inForce ? m_inForce->m_generation : 0;
}

void
ConfigurationTracker::PutInForceIfNewer(ConfigurationPtr aConfiguration,
                                        const std::string& aSource,
                                        ConfigurationActions& aActions)
{
  Generation generation = aConfiguration->m_generation;
  if (generation > InForceGeneration()) {
    m_inForce = std::move(aConfiguration);
    aActions.emplace_back(PutInForce{ m_inForce });
    aActions.emplace_back(OfferToPeers{ generation });
    return;
  }
  if (m_inForce && generation == m_inForce->m_generation &&
      *aConfiguration != *m_inForce) {
    aActions.emplace_back(ConfigurationProblem{
      ConfigurationProblem::Kind::kDivergent,
      aSource,
      absl::StrCat("a different configuration has generation ", generation) });
  }
}

CurrentRead
ConfigurationTracker::ProcessReadReply(const StoreCallReply& aReply,
                                       ConfigurationActions& aActions)
{
  if (aReply.m_status == StoreStatus::kNotFound) {
    return { CurrentRead::Status::kAbsent, nullptr, 0 };
  }
  if (aReply.m_status != StoreStatus::kOk) {
    return {};
  }
  auto report = [&](ConfigurationProblem::Kind aKind, std::string aDetail) {
    if (m_reportedVersion != aReply.m_version) {
      m_reportedVersion = aReply.m_version;
      aActions.emplace_back(
        ConfigurationProblem{ aKind, kStoreSource, std::move(aDetail) });
    }
  };
  absl::StatusOr<Configuration> decoded = DecodeConfiguration(aReply.m_body);
  if (!decoded.ok()) {
    report(ConfigurationProblem::Kind::kUnreadable,
           std::string(decoded.status().message()));
    return { CurrentRead::Status::kUnreadable, nullptr, aReply.m_version };
  }
  auto configuration =
    std::make_shared<const Configuration>(*std::move(decoded));
  if (configuration->m_generation < InForceGeneration()) {
    report(ConfigurationProblem::Kind::kStoreBehind,
           absl::StrCat("the store returned generation ",
                        configuration->m_generation));
  }
  PutInForceIfNewer(configuration, kStoreSource, aActions);
  return { CurrentRead::Status::kFound, configuration, aReply.m_version };
}

void
ConfigurationTracker::OnReadDone(const CurrentRead& aRead, TimePoint aNow)
{
  m_read.m_pending.reset();
  bool answered = aRead.m_status == CurrentRead::Status::kFound ||
                  aRead.m_status == CurrentRead::Status::kAbsent;
  if (answered) {
    m_read.m_backoff = {};
    m_version = aRead.m_version;
    ScheduleRead(aNow);
    return;
  }
  m_read.m_due = aNow + NextBackoff(m_read);
}

void
ConfigurationTracker::OnWatchDone(const StoreCallReply& aReply,
                                  const CurrentRead& aRead,
                                  TimePoint aNow)
{
  m_watch.m_pending.reset();
  if (aReply.m_status == StoreStatus::kUnchanged) {
    m_watch.m_backoff = {};
    m_watch.m_due = aNow;
    return;
  }
  bool answered = aRead.m_status != CurrentRead::Status::kFailed;
  // Backs off if the store ends the watch although nothing changed; otherwise
  // the watch would be renewed in a tight loop.
  bool changed = answered && aRead.m_version != m_version;
  if (answered) {
    m_version = aRead.m_version;
  }
  if (changed) {
    m_watch.m_backoff = {};
  }
  m_watch.m_due = changed ? aNow : aNow + NextBackoff(m_watch);
}

void
ConfigurationTracker::OnCommitReply(const StoreCallReply& aReply,
                                    const CurrentRead& aRead,
                                    TimePoint aNow,
                                    ConfigurationActions& aActions)
{
  m_commitCall.m_pending.reset();
  bool write = m_commit->NextCall().m_write;
  CommitStep step = write ? m_commit->OnWrite(aReply.m_status)
                          : m_commit->OnRead(aRead, InForceGeneration());
  ApplyCommitStep(step, aNow, aActions);
}

void
ConfigurationTracker::ApplyCommitStep(CommitStep aStep,
                                      TimePoint aNow,
                                      ConfigurationActions& aActions)
{
  switch (aStep) {
    case CommitStep::kCall:
      m_commitCall.m_backoff = {};
      StartCommitCall(aNow, aActions);
      return;
    case CommitStep::kCallLater:
      m_commitCall.m_due = aNow + NextBackoff(m_commitCall);
      return;
    case CommitStep::kDone:
      EndCommit(aNow, aActions);
      return;
  }
}

void
ConfigurationTracker::StartCommitCall(TimePoint aNow,
                                      ConfigurationActions& aActions)
{
  m_commitCall.m_due.reset();
  PendingCall pending = NewCall(aNow, m_options.m_storeTimeout);
  m_commitCall.m_pending = pending;
  CommitCall call = m_commit->NextCall();
  m_commit->OnCallStarted();
  if (!call.m_write) {
    aActions.emplace_back(ReadStore{ pending.m_token, std::move(call.m_key) });
    return;
  }
  aActions.emplace_back(WriteStore{ pending.m_token,
                                    std::move(call.m_key),
                                    std::move(call.m_body),
                                    call.m_ifVersion });
}

void
ConfigurationTracker::EndCommit(TimePoint aNow, ConfigurationActions& aActions)
{
  if (m_commit->Accepted()) {
    PutInForceIfNewer(m_commit->Accepted(), kStoreSource, aActions);
  }
  aActions.emplace_back(m_commit->Reply());
  m_commit.reset();
  m_commitCall = {};
  StartNextCommit(aNow, aActions);
}

void
ConfigurationTracker::StartNextCommit(TimePoint aNow,
                                      ConfigurationActions& aActions)
{
  if (m_commit || m_waiting.empty()) {
    return;
  }
  WaitingChange next = std::move(m_waiting.front());
  m_waiting.pop_front();
  m_commit.emplace(std::move(next.m_request));
  m_commitDeadline = next.m_deadline;
  StartCommitCall(aNow, aActions);
}

void
ConfigurationTracker::EndExpiredChanges(TimePoint aNow,
                                        ConfigurationActions& aActions)
{
  if (m_commit && m_commitDeadline <= aNow) {
    m_commit->GiveUp();
    EndCommit(aNow, aActions);
  }
  while (!m_waiting.empty() && m_waiting.front().m_deadline <= aNow) {
    aActions.emplace_back(
      ReplyTo(m_waiting.front().m_request, ChangeOutcome::kBusy));
    m_waiting.pop_front();
  }
}

void
ConfigurationTracker::TimeOutCalls(TimePoint aNow,
                                   ConfigurationActions& aActions)
{
  for (RecurringCall* call : std::array{ &m_read, &m_watch, &m_commitCall }) {
    if (!call->m_pending || call->m_pending->m_timeout > aNow) {
      continue;
    }
    StoreCallReply failed;
    failed.m_token = call->m_pending->m_token;
    std::ranges::move(OnStoreReply(failed, aNow), std::back_inserter(aActions));
  }
}

void
ConfigurationTracker::StartDueCalls(TimePoint aNow,
                                    ConfigurationActions& aActions)
{
  auto due = [aNow](const RecurringCall& aCall) {
    return !aCall.m_pending && aCall.m_due && *aCall.m_due <= aNow;
  };
  if (due(m_read)) {
    m_read.m_due.reset();
    m_read.m_pending = NewCall(aNow, m_options.m_storeTimeout);
    aActions.emplace_back(ReadStore{ m_read.m_pending->m_token,
                                     std::string(kCurrentConfigurationKey) });
  }
  if (due(m_watch)) {
    m_watch.m_due.reset();
    m_watch.m_pending =
      NewCall(aNow, m_options.m_storeWatchTimeout + m_options.m_storeTimeout);
    aActions.emplace_back(WatchStore{ m_watch.m_pending->m_token,
                                      std::string(kCurrentConfigurationKey),
                                      m_version });
  }
  if (m_commit && due(m_commitCall)) {
    StartCommitCall(aNow, aActions);
  }
}

void
ConfigurationTracker::ScheduleRead(TimePoint aNow)
{
  double jitter = absl::Uniform(m_random, 1.0, 1.5);
  m_read.m_due = aNow + std::chrono::duration_cast<Duration>(
                          m_options.m_readInterval * jitter);
}

ConfigurationTracker::PendingCall
ConfigurationTracker::NewCall(TimePoint aNow, Duration aTimeout)
{
  return { ++m_lastToken, aNow + aTimeout };
}

Duration
ConfigurationTracker::NextBackoff(RecurringCall& aCall)
{
  aCall.m_backoff = std::clamp(
    aCall.m_backoff * 2, m_options.m_minBackoff, m_options.m_maxBackoff);
  double jitter = absl::Uniform(m_random, 0.5, 1.0);
  return std::chrono::duration_cast<Duration>(aCall.m_backoff * jitter);
}

} // namespace ebonykeel
