#include "node/entry/rollout_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/base/stable_hash.h"
#include "core/base/store_era.h"
#include "core/base/store_position.h"
#include "core/fleet/store_readers.h"
#include "runtime/fleet/rollout_codec.h"

namespace ebonykeel {
namespace {

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
// The timer is due every 100 ms; after a longer gap the process did not run.
constexpr Duration kMaxTimerGap = Milliseconds(700);

std::string_view
StateName(RolloutState aState)
{
  switch (aState) {
    case RolloutState::kOrdered:
      return "ordered";
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled-back";
  }
  return "";
}

LocalRolloutOptions
LocalOptionsFrom(const RolloutServiceOptions& aOptions)
{
  return { .m_limits = aOptions.m_limits,
           .m_processStart = aOptions.m_processStart,
           .m_seed = StableHash(aOptions.m_host, aOptions.m_processStart) };
}

RolloutCoordinatorOptions
CoordinatorOptionsFrom(const RolloutServiceOptions& aOptions)
{
  // Instances may start in the same second: the host tells them apart.
  return { .m_host = aOptions.m_host,
           .m_controller = { .m_limits = aOptions.m_limits,
                             .m_process = StableHash(
                               aOptions.m_host, aOptions.m_processStart) } };
}

AnswerCounts
SumOfTarget(const RolloutReport& aReport)
{
  AnswerCounts sum;
  for (const RouteCounts& route : aReport.m_routes) {
    sum.m_answers += route.m_target.m_answers;
    sum.m_failures += route.m_target.m_failures;
    sum.m_slow += route.m_target.m_slow;
  }
  return sum;
}

} // namespace

RolloutServiceOptions
RolloutOptionsFrom(const ForwardSettings& aSettings, uint64_t aProcessStart)
{
  const RolloutSettings& rollout = *aSettings.m_rollout;
  return { .m_host = aSettings.m_host,
           .m_processStart = aProcessStart,
           .m_limits = { .m_exposureShare = rollout.m_exposureShare,
                         .m_exposureSlack = rollout.m_exposureSlack },
           .m_store = aSettings.m_store };
}

RolloutService::RolloutService(UvLoop& aLoop,
                               Http1Client& aClient,
                               const StoreProtocol& aProtocol,
                               const RoutingState& aRouting,
                               FleetService& aFleet,
                               LineLog& aLog,
                               RolloutServiceOptions aOptions)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_routing(aRouting)
  , m_fleet(aFleet)
  , m_log(aLog)
  , m_options(std::move(aOptions))
  , m_chooser(LocalOptionsFrom(m_options))
  , m_coordinator(m_chooser, CoordinatorOptionsFrom(m_options), *this)
{
}

void
RolloutService::ApplyObject(const FeedObject& aObject)
{
  auto entry = aObject.m_deleted
                 ? absl::StatusOr<RolloutEntry>(absl::NotFoundError("removed"))
                 : m_protocol.ReadRollout(aObject);
  if (!entry.ok()) {
    // The object is named after the service.
    if (!m_coordinator.RemoveEntry(aObject.m_name, aObject.m_position)) {
      return;
    }
    m_stopped.erase(aObject.m_name);
    m_log.Write(Event::kRolloutEnded,
                { { "service", aObject.m_name },
                  { "revision", FormatPosition(aObject.m_position) } });
    return;
  }
  m_log.Write(Event::kRolloutSeen,
              { { "service", entry->m_order.m_service },
                { "target", entry->m_order.m_targetVersion },
                { "state", std::string(StateName(entry->m_state)) },
                { "duration_ms",
                  absl::StrCat(ToMilliseconds(entry->m_order.m_duration)) },
                { "revision", FormatPosition(entry->m_position) } });
  m_coordinator.SetEntry(*entry, m_loop.Now());
}

void
RolloutService::OnPayload(const std::string& aHost, std::string_view aPayload)
{
  std::optional<RolloutMessage> message = DecodeRolloutMessage(aPayload);
  if (!message) {
    return;
  }
  if (const auto* report = std::get_if<RolloutReport>(&*message)) {
    m_coordinator.OnReport(aHost, *report, m_loop.Now());
  } else {
    m_coordinator.OnAnnouncement(
      aHost, std::get<RolloutAnnouncement>(*message), m_loop.Now());
  }
}

void
RolloutService::OnSuspended()
{
  m_coordinator.OnSuspended(m_loop.Now());
}

void
RolloutService::OnTimer(bool aStoreReachable)
{
  TimePoint now = m_loop.Now();
  if (m_lastTimer != TimePoint{} && now - m_lastTimer > kMaxTimerGap) {
    OnSuspended();
  }
  m_lastTimer = now;
  m_coordinator.OnTimer(DescribeFleet(aStoreReachable), now);
  LogStopped();
}

RolloutFleet
RolloutService::DescribeFleet(bool aStoreReachable) const
{
  const FleetView& view = m_fleet.View();
  std::vector<FleetRecord> live = view.LiveMembers();
  RolloutFleet fleet{ .m_storeReachable = aStoreReachable,
                      .m_storeEra = m_fleet.StoreEra() };
  std::vector<std::string> readers = ChooseReaders(live, 1);
  if (!readers.empty()) {
    fleet.m_controller = readers.front();
  }
  std::ranges::transform(
    live, std::back_inserter(fleet.m_liveHosts), &FleetRecord::m_host);
  fleet.m_lostInstances = view.DeadFor(Duration{}, m_loop.Now()).size();
  return fleet;
}

void
RolloutService::LogStopped()
{
  for (const LocalRollout* rollout : m_coordinator.Rollouts()) {
    RolloutReport report = rollout->MakeReport(m_loop.Now());
    if (!report.m_stopped) {
      // A later order of the same service may stop again.
      m_stopped.erase(report.m_service);
      continue;
    }
    if (!m_stopped.insert(report.m_service).second) {
      continue;
    }
    AnswerCounts answers = SumOfTarget(report);
    m_log.Write(Event::kRolloutStopped,
                { { "service", report.m_service },
                  { "target", report.m_targetVersion },
                  { "answers", absl::StrCat(answers.m_answers) },
                  { "failures", absl::StrCat(answers.m_failures) },
                  { "slow", absl::StrCat(answers.m_slow) } });
  }
}

void
RolloutService::SendReport(const std::string& aHost,
                           const RolloutReport& aReport)
{
  for (std::string& message : EncodeRolloutReport(aReport)) {
    m_fleet.SendPayload(aHost, PeerTopic::kRollout, std::move(message));
  }
}

void
RolloutService::SendAnnouncement(const std::string& aHost,
                                 const RolloutAnnouncement& aAnnouncement)
{
  m_fleet.SendPayload(
    aHost, PeerTopic::kRollout, EncodeRolloutAnnouncement(aAnnouncement));
}

void
RolloutService::CallStore(const std::string& aService, const RolloutCall& aCall)
{
  RolloutEntry entry = m_chooser.Find(aService)->Entry();
  entry.m_position = aCall.m_position;
  Http1Request request =
    aCall.m_write ? m_protocol.MakeRolloutStatusRequest(entry, *aCall.m_write)
                  : m_protocol.MakeReadRequest(FeedKind::kRollouts, aService);
  m_client.Send({ .m_address = m_options.m_store,
                  .m_bytes = SerializeRequest(request),
                  .m_timeout = m_options.m_callTimeout },
                [this, entry, aCall](const Http1Result& aResult) {
                  OnStoreAnswer(entry, aCall, aResult);
                });
}

void
RolloutService::OnStoreAnswer(const RolloutEntry& aBefore,
                              const RolloutCall& aCall,
                              const Http1Result& aResult)
{
  const std::string& service = aBefore.m_order.m_service;
  int status = aResult.m_outcome == Http1Outcome::kAnswered
                 ? aResult.m_response.m_status
                 : 0;
  bool isOk = status == kOkStatus;
  bool isConflict = status == kConflictStatus && aCall.m_write;
  if (aCall.m_write) {
    m_log.Write(Event::kRolloutStatusWritten,
                { { "service", service },
                  { "target", aBefore.m_order.m_targetVersion },
                  { "state", std::string(StateName(*aCall.m_write)) },
                  { "result",
                    isOk         ? "ok"
                    : isConflict ? "conflict"
                                 : "lost" },
                  { "revision", FormatPosition(aBefore.m_position) } });
  }
  if (status == kNotFoundStatus) {
    ApplyAnswer(service, nullptr, false);
    return;
  }
  auto object =
    isOk || isConflict
      ? m_protocol.ReadObject(FeedKind::kRollouts, aResult.m_response)
      : absl::StatusOr<FeedObject>(absl::UnavailableError("lost"));
  if (!object.ok() || object->m_name != service) {
    m_coordinator.OnCallLost(service, m_loop.Now());
    return;
  }
  uint64_t& era = object->m_position.m_era;
  era = MakeEra(CorrectionsOf(m_fleet.StoreEra()), StatedEra(era));
  ApplyAnswer(service, &*object, isOk && aCall.m_write);
}

void
RolloutService::ApplyAnswer(const std::string& aService,
                            const FeedObject* aObject,
                            bool aIsWritten)
{
  std::optional<RolloutEntry> entry;
  if (aObject != nullptr && !aObject->m_deleted) {
    if (auto read = m_protocol.ReadRollout(*aObject); read.ok()) {
      entry = *std::move(read);
    }
  }
  m_coordinator.OnCallAnswered(aService, entry, aIsWritten, m_loop.Now());
}

bool
RolloutService::HasTarget(const RolloutOrder& aOrder) const
{
  return std::ranges::any_of(m_routing.Catalogue().Usable(aOrder.m_service),
                             [&](const ReplicaPtr& aReplica) {
                               return aReplica->m_version ==
                                      aOrder.m_targetVersion;
                             });
}

void
RolloutService::OnStageChanged(const RolloutController& aController,
                               RolloutStage aBefore,
                               TimePoint /*aNow*/)
{
  const ReportCollector& reports = aController.Reports();
  AnswerCounts answers = reports.TargetAnswers();
  m_log.Write(
    Event::kRolloutStage,
    { { "service", aController.Entry().m_order.m_service },
      { "target", aController.Entry().m_order.m_targetVersion },
      { "before", std::string(RolloutStageName(aBefore)) },
      { "stage", std::string(RolloutStageName(aController.Stage())) },
      { "reason", std::string(aController.Reason()) },
      { "share", absl::StrCat(aController.Share()) },
      { "requests", absl::StrCat(reports.Requests()) },
      { "target_requests", absl::StrCat(reports.TargetRequests()) },
      { "answers", absl::StrCat(answers.m_answers) },
      { "failures", absl::StrCat(answers.m_failures) },
      { "slow", absl::StrCat(answers.m_slow) },
      { "evidence", absl::StrCat(aController.Comparison().Evidence()) },
      { "route", aController.Comparison().BadRoute() } });
}

std::string
RolloutService::RenderMetrics() const
{
  std::map<std::string_view, std::string> metrics;
  auto add = [&metrics](std::string_view aName,
                        const std::string& aService,
                        auto aValue) {
    absl::StrAppend(&metrics[aName],
                    std::string(aName),
                    "{service=\"",
                    aService,
                    "\"} ",
                    aValue,
                    "\n");
  };
  for (const LocalRollout* rollout : m_coordinator.Rollouts()) {
    const RolloutEntry& entry = rollout->Entry();
    const std::string& service = entry.m_order.m_service;
    RolloutReport report = rollout->MakeReport(m_loop.Now());
    add("ebonykeel_rollout_state", service, static_cast<int>(entry.m_state));
    add("ebonykeel_rollout_requests", service, report.m_requests);
    add("ebonykeel_rollout_target_requests", service, report.m_targetRequests);
    add("ebonykeel_rollout_bad_answers", service, SumOfTarget(report).Bad());
    add("ebonykeel_rollout_stopped", service, report.m_stopped ? 1 : 0);
    if (const RolloutController* controller =
          m_coordinator.FindController(service)) {
      add("ebonykeel_rollout_stage",
          service,
          static_cast<int>(controller->Stage()));
      add("ebonykeel_rollout_share", service, controller->Share());
      add("ebonykeel_rollout_evidence",
          service,
          controller->Comparison().Evidence());
    }
  }
  std::string text;
  for (const auto& [name, lines] : metrics) {
    absl::StrAppend(&text, "# TYPE ", std::string(name), " gauge\n", lines);
  }
  return text;
}

} // namespace ebonykeel
