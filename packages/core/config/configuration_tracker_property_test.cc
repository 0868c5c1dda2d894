// Runs several trackers against a simulated store and network, with simulated
// time and random sequences of changes and faults.
#include "core/config/configuration_tracker.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/config/configuration_json.h"

namespace ebonykeel {
namespace {

constexpr int kInstances = 4;
constexpr Duration kSettleTime = Seconds(150);

struct Step
{
  enum Kind
  {
    kReportingChange,
    kReapplyingChange,
    kOutage,
    kLoseReplies,
    kLateWrites,
    kStaleReads,
    kPeersDisconnected,
    kRestart,
    kAcceptedGenerationFromPeer,
    kInvalidBodyFromPeer,
    kInvalidStoreReplies,
    kWait,
    kKindCount,
  };
  int m_kind = kWait;
  int m_instance = 0;
  int m_afterMs = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << "{" << aStep.m_kind << " at " << aStep.m_instance << " after "
              << aStep.m_afterMs << " ms}";
}

rc::Gen<Step>
ArbitraryStep()
{
  return rc::gen::construct<Step>(rc::gen::inRange<int>(0, Step::kKindCount),
                                  rc::gen::inRange(0, kInstances),
                                  rc::gen::inRange(0, 3000));
}

// The contents of the simulated store and the record of its writes that the
// checks use.
struct SimulatedStore
{
  struct Object
  {
    StoreVersion m_version = 0;
    std::string m_body;
  };
  std::map<std::string, Object> m_objects;
  StoreVersion m_lastVersion = 0;
  // The object `config/current` before the last write; stale reads return it.
  Object m_previous;
  // Every generation that was written, with its body.
  std::map<Generation, std::string> m_accepted;
  std::set<std::string> m_acceptedChanges;
};

class Simulation
{
public:
  explicit Simulation(uint64_t aSeed)
    : m_random(aSeed)
  {
    for (int i = 0; i < kInstances; ++i) {
      m_instances.push_back(std::make_unique<Instance>());
      Restart(i);
    }
    for (int i = 0; i < kInstances; ++i) {
      Heartbeat(i);
    }
  }

  void Run(const Step& aStep)
  {
    Advance(Milliseconds(aStep.m_afterMs));
    int at = aStep.m_instance;
    switch (aStep.m_kind) {
      case Step::kReportingChange:
        return Change(at, OnConflict::kReport, NewChangeId());
      case Step::kReapplyingChange:
        return Change(at, OnConflict::kReapply, NewChangeId());
      case Step::kOutage:
        m_outage = !m_outage;
        return;
      case Step::kLoseReplies:
        m_repliesToLose = 2;
        return;
      case Step::kLateWrites:
        m_lateWrites = !m_lateWrites;
        return;
      case Step::kStaleReads:
        m_staleReads = !m_staleReads;
        return;
      case Step::kPeersDisconnected:
        m_instances[at]->m_disconnected = !m_instances[at]->m_disconnected;
        return;
      case Step::kRestart:
        return Restart(at);
      case Step::kAcceptedGenerationFromPeer:
        return SendAcceptedGeneration(at);
      case Step::kInvalidBodyFromPeer:
        return Perform(at,
                       m_instances[at]->m_tracker->OnPeerConfiguration(
                         InstanceId("x"), "{\"generation\":99}", m_now));
      case Step::kInvalidStoreReplies:
        m_invalidReplies = 2;
        return;
      default:
        return;
    }
  }

  void EndFaults()
  {
    m_outage = m_lateWrites = m_staleReads = false;
    m_repliesToLose = m_invalidReplies = 0;
    for (auto& instance : m_instances) {
      instance->m_disconnected = false;
    }
    Advance(kSettleTime);
  }

  // Checks that the last accepted configuration is in force on every instance,
  // that each change has had exactly one reply, and that changes reported as
  // not written were not written. Requires that faults have ended.
  void CheckSettled()
  {
    const SimulatedStore::Object& current = Current();
    for (auto& instance : m_instances) {
      const ConfigurationPtr& inForce = instance->m_tracker->InForce();
      RC_ASSERT((inForce == nullptr) == (current.m_version == 0));
      if (inForce) {
        RC_ASSERT(EncodeConfiguration(*inForce) == current.m_body);
      }
    }
    RC_ASSERT(m_pendingRequests.empty());
    for (const std::string& change : m_notWritten) {
      RC_ASSERT(!m_store.m_acceptedChanges.contains(change));
    }
  }

  [[nodiscard]] size_t Accepted() const { return m_store.m_accepted.size(); }

private:
  struct Instance
  {
    std::unique_ptr<ConfigurationTracker> m_tracker;
    int m_run = 0;
    bool m_disconnected = false;
    Generation m_inForce = 0;
  };

  SimulatedStore::Object& Current()
  {
    return m_store.m_objects[std::string(kCurrentConfigurationKey)];
  }

  void Schedule(Duration aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(m_now + aDelay, std::move(aEvent));
  }

  Duration Delay(int aMaxMs)
  {
    return Milliseconds(std::uniform_int_distribution(1, aMaxMs)(m_random));
  }

  bool OneIn(int aCount)
  {
    return std::uniform_int_distribution(1, aCount)(m_random) == 1;
  }

  void Advance(Duration aSpan)
  {
    TimePoint end = m_now + aSpan;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    m_now = end;
  }

  // Runs `aEvent` after `aDelay` unless the instance has restarted by then.
  void ScheduleForRun(int aAt, Duration aDelay, std::function<void()> aEvent)
  {
    Schedule(
      aDelay,
      [this, aAt, run = m_instances[aAt]->m_run, event = std::move(aEvent)] {
        if (m_instances[aAt]->m_run == run) {
          event();
        }
      });
  }

  void Restart(int aAt)
  {
    Instance& instance = *m_instances[aAt];
    std::erase_if(m_pendingRequests, [&](const auto& aPending) {
      return aPending.second.first == aAt;
    });
    ++instance.m_run;
    instance.m_inForce = 0;
    ConfigurationTrackerOptions options;
    options.m_readInterval = Seconds(30);
    instance.m_tracker =
      std::make_unique<ConfigurationTracker>(options, m_random);
    Perform(aAt, instance.m_tracker->Start(m_now));
    // Half of the instances watch the store.
    Perform(aAt, instance.m_tracker->SetWatcher(aAt % 2 == 0, m_now));
    Tick(aAt);
  }

  void Tick(int aAt)
  {
    Perform(aAt, m_instances[aAt]->m_tracker->OnTimer(m_now));
    ScheduleForRun(aAt, Milliseconds(50), [this, aAt] { Tick(aAt); });
  }

  void Heartbeat(int aAt)
  {
    int peer = std::uniform_int_distribution(0, kInstances - 1)(m_random);
    Generation generation = m_instances[aAt]->m_tracker->InForceGeneration();
    if (peer != aAt && !m_instances[aAt]->m_disconnected &&
        !m_instances[peer]->m_disconnected) {
      Perform(peer,
              m_instances[peer]->m_tracker->OnPeerGeneration(
                InstanceId(std::to_string(aAt)), generation, m_now));
    }
    Schedule(Milliseconds(500), [this, aAt] { Heartbeat(aAt); });
  }

  std::string NewChangeId() { return "c" + std::to_string(++m_changeCount); }

  void Change(int aAt, OnConflict aOnConflict, const std::string& aId)
  {
    uint64_t request = ++m_requestCount;
    m_pendingRequests[request] = { aAt, aId };
    auto make = [aId](const Configuration& aCurrent) {
      DataCentre dataCentre("oviedo");
      bool out = aCurrent.m_withdrawnDataCentres.contains(dataCentre);
      return SetDataCentre(aCurrent,
                           dataCentre,
                           out ? AvailabilityChange::kRestore
                               : AvailabilityChange::kWithdraw,
                           { .m_author = "a", .m_changeId = aId },
                           { dataCentre });
    };
    Perform(aAt,
            m_instances[aAt]->m_tracker->RequestChange(
              { request, aId, make, std::nullopt, aOnConflict }, m_now));
  }

  void SendAcceptedGeneration(int aAt)
  {
    if (m_store.m_accepted.empty()) {
      return;
    }
    size_t index = std::uniform_int_distribution<size_t>(
      0, m_store.m_accepted.size() - 1)(m_random);
    auto entry =
      std::next(m_store.m_accepted.begin(), static_cast<ptrdiff_t>(index));
    Perform(aAt,
            m_instances[aAt]->m_tracker->OnPeerConfiguration(
              InstanceId("x"), entry->second, m_now));
  }

  void Perform(int aAt, const ConfigurationActions& aActions)
  {
    for (const ConfigurationAction& action : aActions) {
      std::visit([&](const auto& aAction) { PerformAction(aAt, aAction); },
                 action);
    }
  }

  void PerformAction(int aAt, const ReadStore& aRead)
  {
    Schedule(Delay(20), [=, this, run = m_instances[aAt]->m_run] {
      if (!m_outage) {
        Reply(aAt, run, ReadReply(aRead.m_token, aRead.m_key), 20);
      }
    });
  }

  StoreCallReply ReadReply(StoreToken aToken, const std::string& aKey)
  {
    if (m_invalidReplies > 0) {
      --m_invalidReplies;
      return { aToken, StoreStatus::kOk, 1, OneIn(2) ? "" : "{}" };
    }
    bool stale = m_staleReads && OneIn(2);
    const auto& object = stale ? m_store.m_previous : m_store.m_objects[aKey];
    StoreStatus status =
      object.m_version == 0 ? StoreStatus::kNotFound : StoreStatus::kOk;
    return { aToken, status, object.m_version, object.m_body };
  }

  void PerformAction(int aAt, const WatchStore& aWatch)
  {
    Schedule(Delay(20), [=, this, run = m_instances[aAt]->m_run] {
      CheckWatch(aAt, run, aWatch, m_now + Seconds(2));
    });
  }

  void CheckWatch(int aAt, int aRun, const WatchStore& aWatch, TimePoint aEnd)
  {
    if (m_outage) {
      return;
    }
    if (Current().m_version != aWatch.m_version) {
      return Reply(aAt, aRun, ReadReply(aWatch.m_token, aWatch.m_key), 20);
    }
    if (m_now >= aEnd) {
      return Reply(
        aAt, aRun, { aWatch.m_token, StoreStatus::kUnchanged, 0, "" }, 20);
    }
    Schedule(Milliseconds(20),
             [=, this, watch = aWatch] { CheckWatch(aAt, aRun, watch, aEnd); });
  }

  void PerformAction(int aAt, const WriteStore& aWrite)
  {
    int delay = m_lateWrites && OneIn(2) ? 12'000 : 20;
    Schedule(Delay(delay), [=, this, run = m_instances[aAt]->m_run] {
      if (m_outage) {
        return;
      }
      StoreCallReply reply = Apply(aWrite);
      if (m_repliesToLose > 0) {
        --m_repliesToLose;
        return;
      }
      Reply(aAt, run, reply, 20);
    });
  }

  StoreCallReply Apply(const WriteStore& aWrite)
  {
    SimulatedStore::Object& object = m_store.m_objects[aWrite.m_key];
    if (object.m_version != aWrite.m_ifVersion) {
      return { aWrite.m_token, StoreStatus::kConflict, 0, "" };
    }
    if (aWrite.m_key == kCurrentConfigurationKey) {
      m_store.m_previous = object;
      RecordWrite(aWrite.m_body);
    }
    object = { ++m_store.m_lastVersion, aWrite.m_body };
    return { aWrite.m_token, StoreStatus::kOk, object.m_version, "" };
  }

  // Checks that generations are written once each and without gaps, and that
  // each change is written once.
  void RecordWrite(const std::string& aBody)
  {
    absl::StatusOr<Configuration> written = DecodeConfiguration(aBody);
    RC_ASSERT(written.ok());
    RC_ASSERT(written->m_generation == m_store.m_accepted.size() + 1);
    RC_ASSERT(m_store.m_acceptedChanges.insert(written->m_changeId).second);
    m_store.m_accepted[written->m_generation] = aBody;
    Generation before = written->m_generation - 1;
    if (before > 0) {
      // The replaced generation must be in the history.
      RC_ASSERT(m_store.m_objects[ConfigurationHistoryKey(before)].m_body ==
                m_store.m_accepted[before]);
    }
  }

  // Delivers a reply, and sometimes a duplicate of it.
  void Reply(int aAt, int aRun, const StoreCallReply& aReply, int aMaxDelayMs)
  {
    int copies = OneIn(8) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      int maxDelay = i == 0 ? aMaxDelayMs : 5000;
      Schedule(Delay(maxDelay), [=, this, reply = aReply] {
        if (m_instances[aAt]->m_run == aRun) {
          Perform(aAt, m_instances[aAt]->m_tracker->OnStoreReply(reply, m_now));
        }
      });
    }
  }

  // Checks that only accepted configurations come into force and that the
  // generation in force increases.
  void PerformAction(int aAt, const PutInForce& aAction)
  {
    Generation generation = aAction.m_configuration->m_generation;
    RC_ASSERT(generation > m_instances[aAt]->m_inForce);
    m_instances[aAt]->m_inForce = generation;
    RC_ASSERT(m_store.m_accepted.contains(generation));
    RC_ASSERT(m_store.m_accepted[generation] ==
              EncodeConfiguration(*aAction.m_configuration));
  }

  void PerformAction(int aAt, const OfferToPeers& aOffer)
  {
    int peer = (aAt + 1) % kInstances;
    if (!m_instances[aAt]->m_disconnected &&
        !m_instances[peer]->m_disconnected) {
      ScheduleForRun(peer, Delay(20), [=, this] {
        Perform(peer,
                m_instances[peer]->m_tracker->OnPeerGeneration(
                  InstanceId(std::to_string(aAt)), aOffer.m_generation, m_now));
      });
    }
  }

  void PerformAction(int aAt, const FetchFromPeer& aFetch)
  {
    int peer = std::stoi(aFetch.m_peer.Text());
    const ConfigurationPtr& theirs = m_instances[peer]->m_tracker->InForce();
    if (!theirs || m_instances[aAt]->m_disconnected ||
        m_instances[peer]->m_disconnected) {
      return;
    }
    ScheduleForRun(
      aAt, Delay(200), [=, this, body = EncodeConfiguration(*theirs)] {
        Perform(aAt,
                m_instances[aAt]->m_tracker->OnPeerConfiguration(
                  aFetch.m_peer, body, m_now));
      });
  }

  void PerformAction(int /*aAt*/, const ChangeReply& aReply)
  {
    auto pending = m_pendingRequests.find(aReply.m_request);
    RC_ASSERT(pending != m_pendingRequests.end());
    auto [at, change] = pending->second;
    m_pendingRequests.erase(pending);
    if (aReply.m_outcome == ChangeOutcome::kAccepted) {
      RC_ASSERT(m_store.m_accepted.contains(aReply.m_generation));
      RC_ASSERT(DecodeConfiguration(m_store.m_accepted[aReply.m_generation])
                  ->m_changeId == change);
    } else if (aReply.m_outcome == ChangeOutcome::kUnknown) {
      // The operator requests the change again from another instance, with the
      // same change id.
      Change((at + 1) % kInstances, OnConflict::kReport, change);
    } else if (!m_mayHaveBeenWritten.contains(change)) {
      m_notWritten.insert(change);
    }
    if (aReply.m_outcome == ChangeOutcome::kUnknown) {
      m_mayHaveBeenWritten.insert(change);
    }
  }

  void PerformAction(int /*aAt*/, const ConfigurationProblem& aProblem)
  {
    RC_ASSERT(aProblem.m_kind != ConfigurationProblem::Kind::kDivergent);
  }

  std::mt19937_64 m_random;
  TimePoint m_now{};
  std::multimap<TimePoint, std::function<void()>> m_events;
  SimulatedStore m_store;
  std::vector<std::unique_ptr<Instance>> m_instances;
  // The instance and change id of each request without a reply.
  std::map<uint64_t, std::pair<int, std::string>> m_pendingRequests;
  std::set<std::string> m_notWritten;
  std::set<std::string> m_mayHaveBeenWritten;
  uint64_t m_requestCount = 0;
  int m_changeCount = 0;
  bool m_outage = false;
  bool m_lateWrites = false;
  bool m_staleReads = false;
  int m_repliesToLose = 0;
  int m_invalidReplies = 0;
};

DOCTEST_TEST_CASE("generations only increase, each by one change, and the last "
                  "one is in force everywhere once faults end")
{
  size_t accepted = 0;
  DOCTEST_CHECK(rc::check("random changes and faults", [&] {
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto steps = *rc::gen::container<std::vector<Step>>(
      rc::gen::scale(0.6, ArbitraryStep()));
    Simulation simulation(seed);
    for (const Step& step : steps) {
      simulation.Run(step);
    }
    simulation.EndFaults();
    simulation.CheckSettled();
    accepted += simulation.Accepted();
  }));
  // The check is meaningful only if changes are accepted.
  DOCTEST_CHECK(accepted > 100);
}

} // namespace
} // namespace ebonykeel
