#include "core/rollout/testing/simulated_rollout.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

using Kind = Disturbance::Kind;

constexpr Duration kTick = Milliseconds(100);
constexpr double kTypicalMs = 20;
// How long after its end an instance counts as lost.
constexpr Duration kDetection = Milliseconds(1000);
constexpr Duration kStoreTimeout = Milliseconds(1500);
constexpr uint64_t kRollbackAnswers = 50;
constexpr Duration kRollbackTime = Seconds(5);
constexpr Duration kAfterDeadline = Seconds(8);

std::string
HostOf(size_t aInstance)
{
  constexpr size_t kFirst = 100;
  return absl::StrCat("10.0.0.", kFirst + aInstance);
}

size_t
InstanceOf(const std::string& aHost)
{
  constexpr size_t kFirst = 100;
  return std::stoul(aHost.substr(aHost.rfind('.') + 1)) - kFirst;
}

Duration
Scaled(Duration aDuration, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aDuration * aFactor);
}

ReplicaPtr
MakeUpstream(const std::string& aId, const std::string& aVersion, uint64_t aAt)
{
  return std::make_shared<const Replica>(Replica{ .m_id = aId,
                                                  .m_startUnixMs = aAt,
                                                  .m_service = "s",
                                                  .m_version = aVersion });
}

} // namespace

// One process run.
class SimulatedRollout::Instance final : public RolloutPort
{
public:
  Instance(SimulatedRollout& aWorld, size_t aIndex, uint64_t aProcessStart)
    : m_world(aWorld)
    , m_index(aIndex)
    , m_chooser({ .m_processStart = aProcessStart,
                  .m_seed = aProcessStart * 1000 + aIndex })
    , m_coordinator(
        m_chooser,
        { .m_host = HostOf(aIndex),
          .m_controller = { .m_process = aProcessStart * 1000 + aIndex } },
        *this)
  {
  }

  void SendReport(const std::string& aHost,
                  const RolloutReport& aReport) override
  {
    size_t to = InstanceOf(aHost);
    m_world.Deliver(
      m_index, to, [world = &m_world, from = m_index, to, aReport]() {
        world->m_instances[to]->m_coordinator.OnReport(
          HostOf(from), aReport, world->m_now);
      });
  }
  void SendAnnouncement(const std::string& aHost,
                        const RolloutAnnouncement& aAnnouncement) override
  {
    size_t to = InstanceOf(aHost);
    m_world.Deliver(
      m_index, to, [world = &m_world, from = m_index, to, aAnnouncement]() {
        world->m_instances[to]->m_coordinator.OnAnnouncement(
          HostOf(from), aAnnouncement, world->m_now);
      });
  }
  void CallStore(const std::string& /*aService*/,
                 const RolloutCall& aCall) override
  {
    m_world.CallStore(m_index, aCall);
  }
  [[nodiscard]] bool HasTarget(const RolloutOrder& /*aOrder*/) const override
  {
    return m_world.m_scenario.m_hasTarget;
  }
  void OnStageChanged(const RolloutController& aController,
                      RolloutStage /*aBefore*/,
                      TimePoint /*aNow*/) override
  {
    if (!aController.Reason().empty()) {
      m_world.m_outcome.m_reason = aController.Reason();
    }
  }

  // The feeds of the instance enter an era of the store.
  void EnterEra(uint64_t aEra) { m_storeEra = std::max(m_storeEra, aEra); }

  void Tick(RolloutFleet aFleet)
  {
    aFleet.m_storeEra = m_storeEra;
    TimePoint now = m_world.m_now;
    if (now - m_lastTick > Milliseconds(500)) {
      m_coordinator.OnSuspended(now);
    }
    m_lastTick = now;
    m_coordinator.OnTimer(aFleet, now);
  }

  void Request(const std::string& aRoute)
  {
    auto choice = std::make_shared<VersionChoice>(VersionChoice::kUndecided);
    Send(aRoute, choice, true);
  }

  // Sends an attempt of a sub-request, and a retry if it fails.
  void Send(const std::string& aRoute,
            const std::shared_ptr<VersionChoice>& aChoice,
            bool aIsFirst)
  {
    SimulatedRollout& world = m_world;
    auto allowed =
      m_chooser.Filter("s", world.m_upstreams, *aChoice, aIsFirst, world.m_now);
    if (allowed.empty()) {
      return;
    }
    const ReplicaPtr& replica = allowed[static_cast<size_t>(
      world.Draw() * static_cast<double>(allowed.size()))];
    bool isTarget = replica->m_version == "v2";
    bool isInTime = world.m_now < world.m_start + world.m_scenario.m_duration;
    if (isTarget) {
      ++world.m_targetInFlight;
      world.m_outcome.m_targetRequests += isInTime ? 1 : 0;
      if (world.m_rollbackDue && world.m_now > *world.m_rollbackDue) {
        world.m_outcome.m_sentAfterRollback = true;
      }
    } else {
      ++m_currentInFlight;
    }
    m_chooser.OnSent(*replica, aIsFirst);
    Answer answer = DrawAnswer(aRoute, isTarget);
    world.At(world.m_now + answer.m_latency,
             [this,
              &world,
              replica,
              aRoute,
              aChoice,
              answer,
              isTarget,
              aIsFirst,
              sentAt = world.m_now]() {
               (isTarget ? world.m_targetInFlight : m_currentInFlight) -= 1;
               if (isTarget && answer.m_isBad) {
                 world.OnBadAnswer();
               }
               OnAnswer(replica, aRoute, aChoice, answer, aIsFirst, sentAt);
             });
  }

  // The process run is over; open requests have no effect any more.
  void End() { m_ended = true; }
  [[nodiscard]] int CurrentInFlight() const { return m_currentInFlight; }
  RolloutCoordinator& Coordinator() { return m_coordinator; }

private:
  struct Answer
  {
    bool m_isFailure = false;
    // By the version itself.
    bool m_isBad = false;
    Duration m_latency{};
  };

  // Reads an answer, later if the process does not run now.
  void OnAnswer(const ReplicaPtr& aReplica,
                const std::string& aRoute,
                const std::shared_ptr<VersionChoice>& aChoice,
                Answer aAnswer,
                bool aIsFirst,
                TimePoint aSentAt)
  {
    TimePoint now = m_world.m_now;
    if (m_ended || m_world.IsActive(Kind::kKill, m_index)) {
      return;
    }
    if (!m_world.Runs(m_index)) {
      m_world.At(now + kTick, [=, this]() {
        OnAnswer(aReplica, aRoute, aChoice, aAnswer, aIsFirst, aSentAt);
      });
      return;
    }
    m_chooser.OnEnded(*aReplica,
                      aRoute,
                      aAnswer.m_isFailure ? VersionAnswer::kFailure
                                          : VersionAnswer::kSuccess,
                      now - aSentAt,
                      false,
                      now);
    if (aAnswer.m_isFailure && aIsFirst) {
      Send(aRoute, aChoice, false);
    }
  }

  Answer DrawAnswer(const std::string& aRoute, bool aIsTarget)
  {
    SimulatedRollout& world = m_world;
    Answer answer;
    double ms = kTypicalMs * (0.7 + 0.6 * world.Draw());
    const std::optional<BadVersion>& bad = world.m_scenario.m_bad;
    bool isBadNow = aIsTarget && bad &&
                    world.m_now >= world.m_start + bad->m_from &&
                    (bad->m_route.empty() || bad->m_route == aRoute) &&
                    world.m_targetInFlight >= bad->m_minLoad;
    if (isBadNow) {
      answer.m_isFailure = world.Draw() < bad->m_failures;
      ms *= bad->m_slowness;
      answer.m_isBad = answer.m_isFailure || bad->m_slowness > 1;
    }
    double common = world.IsActive(Kind::kFaultOfBoth, 0)
                      ? 0.5
                      : world.m_scenario.m_commonFailures;
    answer.m_isFailure = answer.m_isFailure || world.Draw() < common;
    answer.m_latency = Duration(static_cast<int64_t>(ms * 1e6));
    return answer;
  }

  SimulatedRollout& m_world;
  size_t m_index;
  VersionChooser m_chooser;
  RolloutCoordinator m_coordinator;
  TimePoint m_lastTick = m_world.m_now;
  uint64_t m_storeEra = 0;
  int m_currentInFlight = 0;
  bool m_ended = false;
};

SimulatedRollout::SimulatedRollout(RolloutScenario aScenario, uint32_t aSeed)
  : m_scenario(std::move(aScenario))
  , m_random(aSeed)
  , m_start(Seconds(1000))
  , m_now(m_start)
  , m_upstreams{ MakeUpstream("u1", "v1", 1), MakeUpstream("u2", "v1", 2) }
  , m_entry{ .m_order = { .m_service = "s",
                          .m_targetVersion = "v2",
                          .m_duration = m_scenario.m_duration },
             .m_position = { 1, 10 } }
{
  if (m_scenario.m_hasTarget) {
    m_upstreams.push_back(MakeUpstream("u3", "v2", 3));
    m_upstreams.push_back(MakeUpstream("u4", "v2", 4));
  }
  for (size_t i = 0; i < m_scenario.m_instances; ++i) {
    m_instances.push_back(std::make_unique<Instance>(*this, i, 1));
    At(m_now + Scaled(kTick, Draw()), [this, i]() { Tick(i); });
  }
  for (const Disturbance& disturbance : m_scenario.m_disturbances) {
    if (disturbance.m_kind == Kind::kRestart) {
      At(m_start + disturbance.m_to,
         [this, i = disturbance.m_instance]() { Start(i); });
    } else if (disturbance.m_kind == Kind::kRestore) {
      auto copy = std::make_shared<RolloutEntry>();
      At(m_start + disturbance.m_from, [this, copy]() { *copy = m_entry; });
      At(m_start + disturbance.m_to, [this, copy]() { Restore(*copy); });
    }
  }
  Publish();
  ScheduleRequest();
}

SimulatedRollout::~SimulatedRollout() = default;

RolloutOutcome
SimulatedRollout::Run()
{
  TimePoint end = m_start + m_scenario.m_duration + kAfterDeadline;
  while (!m_tasks.empty() && m_tasks.begin()->first < end) {
    auto task = m_tasks.extract(m_tasks.begin());
    m_now = task.key();
    task.mapped()();
  }
  m_outcome.m_state = m_entry.m_state;
  return m_outcome;
}

double
SimulatedRollout::Draw()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration
SimulatedRollout::DrawDelay()
{
  return Scaled(m_scenario.m_maxDelay, Draw());
}

bool
SimulatedRollout::IsActive(Kind aKind, size_t aInstance) const
{
  return std::ranges::any_of(
    m_scenario.m_disturbances, [&](const Disturbance& aDisturbance) {
      return aDisturbance.m_kind == aKind &&
             aDisturbance.m_instance == aInstance &&
             m_now >= m_start + aDisturbance.m_from &&
             (aKind == Kind::kKill || m_now < m_start + aDisturbance.m_to);
    });
}

bool
SimulatedRollout::Runs(size_t aInstance) const
{
  return !IsActive(Kind::kKill, aInstance) &&
         !IsActive(Kind::kFreeze, aInstance) &&
         !IsActive(Kind::kRestart, aInstance);
}

bool
SimulatedRollout::ReachesOthers(size_t aInstance) const
{
  return Runs(aInstance) && !IsActive(Kind::kCutOff, aInstance) &&
         !IsActive(Kind::kIsolate, aInstance);
}

bool
SimulatedRollout::ReachesStore(size_t aInstance) const
{
  return Runs(aInstance) && !IsActive(Kind::kIsolate, aInstance) &&
         !IsActive(Kind::kStoreAway, 0);
}

void
SimulatedRollout::Deliver(size_t aFrom, size_t aTo, Task aTask)
{
  auto deliver = [this, aFrom, aTo, task = std::move(aTask)]() {
    if (ReachesOthers(aFrom) && ReachesOthers(aTo)) {
      task();
    }
  };
  if (!ReachesOthers(aFrom) || Draw() < m_scenario.m_loss) {
    return;
  }
  At(m_now + DrawDelay(), deliver);
  if (Draw() < m_scenario.m_repeat) {
    At(m_now + DrawDelay(), deliver);
  }
}

void
SimulatedRollout::ScheduleRequest()
{
  double gap = std::exponential_distribution<double>(
    m_scenario.m_requestsPerSecond)(m_random);
  At(m_now + Duration(static_cast<int64_t>(gap * 1e9)), [this]() {
    ScheduleRequest();
    double busy = Draw();
    auto instance = busy < 0.5
                      ? m_scenario.m_instances - 1
                      : static_cast<size_t>(
                          Draw() * static_cast<double>(m_scenario.m_instances));
    if (!Runs(instance)) {
      return;
    }
    if (m_now < m_start + m_scenario.m_duration) {
      ++m_outcome.m_requests;
    }
    size_t route = static_cast<size_t>(
      Draw() * static_cast<double>(m_scenario.m_routes.size()));
    m_instances[instance]->Request(m_scenario.m_routes[route]);
  });
}

void
SimulatedRollout::Start(size_t aInstance)
{
  m_instances[aInstance]->End();
  m_ended.push_back(std::move(m_instances[aInstance]));
  m_instances[aInstance] =
    std::make_unique<Instance>(*this, aInstance, m_ended.size() + 1);
  PublishTo(aInstance, m_entry);
}

void
SimulatedRollout::Tick(size_t aInstance)
{
  At(m_now + kTick, [this, aInstance]() { Tick(aInstance); });
  if (!Runs(aInstance)) {
    return;
  }
  // Losses are noticed later than they happen.
  RolloutFleet fleet{ .m_storeReachable = ReachesStore(aInstance) };
  TimePoint now = std::exchange(m_now, m_now - kDetection);
  bool wasReaching = ReachesOthers(aInstance);
  std::vector<bool> reached;
  for (size_t i = 0; i < m_instances.size(); ++i) {
    reached.push_back(i == aInstance || (wasReaching && ReachesOthers(i)));
  }
  m_now = now;
  for (size_t i = 0; i < m_instances.size(); ++i) {
    bool isHeard = ReachesOthers(i) && ReachesOthers(aInstance);
    if (reached[i] || isHeard) {
      fleet.m_liveHosts.push_back(HostOf(i));
    } else {
      ++fleet.m_lostInstances;
    }
  }
  fleet.m_controller = fleet.m_liveHosts.front();
  m_instances[aInstance]->Tick(fleet);
}

void
SimulatedRollout::CallStore(size_t aInstance, const RolloutCall& aCall)
{
  auto answered = std::make_shared<bool>(false);
  auto* instance = m_instances[aInstance].get();
  auto isPresent = [this, aInstance, instance]() {
    return m_instances[aInstance].get() == instance && Runs(aInstance);
  };
  if (ReachesStore(aInstance) && Draw() >= m_scenario.m_loss) {
    At(m_now + DrawDelay(),
       [this, aInstance, aCall, answered, instance, isPresent]() {
         bool isWritten = aCall.m_write && aCall.m_position.m_revision ==
                                             m_entry.m_position.m_revision;
         if (isWritten) {
           Write(aCall);
         }
         if (Draw() < m_scenario.m_loss) {
           return;
         }
         At(m_now + DrawDelay(),
            [this,
             aInstance,
             answered,
             instance,
             isWritten,
             isPresent,
             entry = m_entry]() {
              if (isPresent() && ReachesStore(aInstance) && !*answered) {
                *answered = true;
                instance->Coordinator().OnCallAnswered(
                  "s", entry, isWritten, m_now);
              }
            });
       });
  }
  At(m_now + kStoreTimeout, [this, answered, instance, isPresent]() {
    if (isPresent() && !std::exchange(*answered, true)) {
      instance->Coordinator().OnCallLost("s", m_now);
    }
  });
}

void
SimulatedRollout::Write(const RolloutCall& aCall)
{
  m_entry.m_state = *aCall.m_write;
  ++m_entry.m_position.m_revision;
  if (IsFinal(m_entry.m_state)) {
    bool isRepeated = m_lostFinalState == m_entry.m_state;
    m_outcome.m_finalWrites += isRepeated ? 0 : 1;
    m_lostFinalState.reset();
    m_outcome.m_finalAt = m_now - m_start;
  }
  if (m_entry.m_state == RolloutState::kCompleted) {
    for (size_t i = 0; i < m_instances.size(); ++i) {
      m_outcome.m_inFlightAtCompletion +=
        ReachesOthers(i) ? m_instances[i]->CurrentInFlight() : 0;
    }
  }
  Publish();
}

void
SimulatedRollout::Restore(const RolloutEntry& aCopy)
{
  RolloutEntry before = std::exchange(m_entry, aCopy);
  m_entry.m_position.m_era = before.m_position.m_era + 1;
  if (IsFinal(before.m_state) && !IsFinal(m_entry.m_state)) {
    m_lostFinalState = before.m_state;
  }
  for (size_t i = 0; i < m_instances.size(); ++i) {
    PublishTo(i, m_entry, m_entry.m_state != before.m_state);
  }
}

void
SimulatedRollout::Publish()
{
  for (size_t i = 0; i < m_instances.size(); ++i) {
    PublishTo(i, m_entry);
  }
}

void
SimulatedRollout::PublishTo(size_t aInstance,
                            const RolloutEntry& aEntry,
                            bool aIsChanged)
{
  constexpr Duration kSpread = Milliseconds(800);
  At(m_now + Scaled(kSpread, Draw()), [this, aInstance, aEntry, aIsChanged]() {
    bool hears = ReachesStore(aInstance) ||
                 (ReachesOthers(aInstance) && !IsActive(Kind::kStoreAway, 0));
    if (!hears) {
      PublishTo(aInstance, aEntry, aIsChanged);
      return;
    }
    m_instances[aInstance]->EnterEra(aEntry.m_position.m_era);
    if (aIsChanged) {
      m_instances[aInstance]->Coordinator().SetEntry(aEntry, m_now);
    }
  });
}

void
SimulatedRollout::OnBadAnswer()
{
  if (++m_outcome.m_badAnswers == kRollbackAnswers) {
    m_rollbackDue = m_now + kRollbackTime;
  }
}

} // namespace ebonykeel
