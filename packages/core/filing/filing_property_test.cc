// Runs filings through several instances over one store, with lost and late
// replies, outages, conflicts, pauses and crashes, and counts what the upstream
// actually ran.
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "core/filing/claim_batcher.h"
#include "core/filing/filing_run.h"

namespace ebonykeel {
namespace {

constexpr int kInstances = 3;
constexpr int kKeys = 3;
constexpr std::chrono::milliseconds kHorizon{ 3000 };
constexpr std::chrono::milliseconds kSkew{ 20 };
const TimePoint kStart = TimePoint(Seconds(1000));

// A random event: its kind and two parameters.
using Step = std::tuple<uint8_t, uint8_t, uint8_t>;

class ScriptedGuard : public DispatchGuard
{
public:
  [[nodiscard]] bool MayDispatch(TimePoint /*aNow*/) const override
  {
    return m_allowed;
  }

  bool m_allowed = true;
};

struct Object
{
  uint64_t m_version = 0;
  std::string m_value;
};

// One attempt of a caller, and the answer that it got.
struct Attempt
{
  ClaimKey m_key;
  TimePoint m_deadline;
  std::unique_ptr<FilingRun> m_run;
  std::optional<FilingAnswer> m_answer;
  // The number of its claim among all granted claims; 0 if none was granted.
  uint64_t m_grantNumber = 0;
  bool m_dispatched = false;
  bool m_executed = false;
};

// An instance: its batcher and the attempts that it handles.
struct Instance
{
  uint64_t m_incarnation = 0;
  TimePoint m_pausedUntil = kStart;
  std::chrono::milliseconds m_clockError{ 0 };
  std::mt19937_64 m_bitGen;
  std::unique_ptr<ClaimBatcher> m_batcher;
  std::set<ClaimTicket> m_attempts;
};

class World
{
public:
  explicit World(uint32_t aSeed)
    : m_random(aSeed)
  {
    for (int i = 0; i < kInstances; ++i) {
      m_instances[i].m_clockError = kSkew * (i - 1);
      Boot(i);
    }
  }

  void Run(const std::vector<Step>& aSteps)
  {
    for (const auto& [kind, first, second] : aSteps) {
      RunUntil(m_now + Milliseconds(first % 32));
      Apply(kind, first, second);
    }
    m_faults = false;
    m_guard.m_allowed = true;
    RunUntil(m_now + Seconds(5));
    CheckEnd();
  }

private:
  using Event = std::function<void()>;

  [[nodiscard]] uint32_t DrawBelow(uint32_t aLimit)
  {
    return static_cast<uint32_t>(m_random() % aLimit);
  }

  void Boot(int aInstance)
  {
    Instance& instance = m_instances[aInstance];
    ++instance.m_incarnation;
    instance.m_attempts.clear();
    instance.m_bitGen.seed(m_random());
    instance.m_batcher = std::make_unique<ClaimBatcher>(
      ClaimBatcherSettings{ .m_bucketCount = 2,
                            .m_horizon = kHorizon,
                            .m_clockSkew = kSkew,
                            .m_callTimeout = Milliseconds(40),
                            .m_maxBackoff = Milliseconds(50),
                            .m_writeSpacing = aInstance * Milliseconds(5) },
      InstanceId(absl::StrCat("n", aInstance)),
      instance.m_bitGen);
  }

  void Apply(uint8_t aKind, uint8_t aFirst, uint8_t aSecond)
  {
    int instance = aSecond % kInstances;
    switch (aKind % 16) {
      case 10:
        Boot(instance);
        return;
      case 11:
        m_instances[instance].m_pausedUntil = m_now + 2 * Milliseconds(aFirst);
        return;
      case 12:
        m_outageUntil = m_now + Milliseconds(aFirst);
        return;
      case 13:
        m_guard.m_allowed = aSecond % 4 != 0;
        return;
      case 14:
        RunUntil(m_now + 20 * Milliseconds(aFirst));
        return;
      case 15:
        // Two instances get the same id at the same time.
        Issue(instance, aFirst % kKeys, aSecond);
        Issue((instance + 1) % kInstances, aFirst % kKeys, aSecond);
        return;
      default:
        Issue(instance, aFirst % kKeys, aSecond);
    }
  }

  void Issue(int aInstance, int aKey, uint8_t aDetail)
  {
    ClaimTicket ticket = ++m_lastTicket;
    ClaimKey key{ CallerName("desk"), RequestId(absl::StrCat("r", aKey)) };
    WallTime issuedAt = m_issuedAt.try_emplace(aKey, Wall({})).first->second;
    FilingRequest request{ .m_ticket = ticket,
                           .m_key = key,
                           .m_nonce = { m_random(), m_random() | 1U },
                           .m_digest = aDetail % 32 == 31 ? "other" : "payload",
                           .m_issuedAt = issuedAt,
                           .m_deadline = m_now + Milliseconds(10) +
                                         (aDetail % 16) * Milliseconds(20) };
    FilingSettings settings{ .m_horizon = kHorizon,
                             .m_clockSkew = kSkew,
                             .m_claimTimeout = Milliseconds(150),
                             .m_recordTimeout = Milliseconds(60),
                             .m_maxAttemptDuration =
                               std::chrono::milliseconds(500) };
    Attempt& attempt = m_attempts[ticket];
    attempt.m_key = key;
    attempt.m_deadline = request.m_deadline;
    attempt.m_run = std::make_unique<FilingRun>(request, settings, m_guard);
    m_instances[aInstance].m_attempts.insert(ticket);
    Deliver(aInstance, Milliseconds(0), [this, aInstance, ticket] {
      FilingRun& run = *m_attempts[ticket].m_run;
      Perform(aInstance, ticket, run.Start(At(aInstance)));
    });
  }

  [[nodiscard]] WallTime Wall(std::chrono::milliseconds aError) const
  {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
             m_now.time_since_epoch())) +
           aError;
  }

  [[nodiscard]] EventTime At(int aInstance) const
  {
    return { m_now, Wall(m_instances.at(aInstance).m_clockError) };
  }

  void Schedule(Duration aDelay, Event aEvent)
  {
    m_events.emplace(m_now + aDelay, std::move(aEvent));
  }

  // Schedules an event for the current incarnation of the instance. It is
  // dropped if the instance crashes before.
  void Deliver(int aInstance, Duration aDelay, const Event& aEvent)
  {
    DeliverTo(aInstance, m_instances[aInstance].m_incarnation, aDelay, aEvent);
  }

  void DeliverTo(int aInstance,
                 uint64_t aIncarnation,
                 Duration aDelay,
                 const Event& aEvent)
  {
    Schedule(aDelay, [this, aInstance, aIncarnation, aEvent] {
      Instance& instance = m_instances[aInstance];
      if (instance.m_incarnation != aIncarnation) {
        return;
      }
      if (m_now < instance.m_pausedUntil) {
        DeliverTo(
          aInstance, aIncarnation, instance.m_pausedUntil - m_now, aEvent);
        return;
      }
      aEvent();
    });
  }

  void RunUntil(TimePoint aUntil)
  {
    while (true) {
      ArmTimers();
      if (m_events.empty() || m_events.begin()->first > aUntil) {
        break;
      }
      auto next = m_events.extract(m_events.begin());
      m_now = std::max(m_now, next.key());
      next.mapped()();
    }
    m_now = std::max(m_now, aUntil);
  }

  // Fires the timers that are due, and schedules the next check in a
  // millisecond.
  void ArmTimers()
  {
    for (auto& [number, instance] : m_instances) {
      if (m_now < instance.m_pausedUntil) {
        continue;
      }
      FireTimers(number);
    }
    if (m_nextTick <= m_now) {
      m_nextTick = m_now + Milliseconds(1);
      Schedule(Milliseconds(1), [] {});
    }
  }

  void FireTimers(int aInstance)
  {
    ClaimBatcher& batcher = *m_instances[aInstance].m_batcher;
    if (batcher.NextTimer() <= m_now && batcher.NextTimer()) {
      Perform(aInstance, batcher.OnTimer(At(aInstance)));
    }
    for (ClaimTicket ticket : std::set(m_instances[aInstance].m_attempts)) {
      FilingRun& run = *m_attempts[ticket].m_run;
      if (run.NextTimer() && *run.NextTimer() <= m_now) {
        Perform(aInstance, ticket, run.OnTimer(At(aInstance)));
      }
    }
  }

  void Perform(int aInstance,
               ClaimTicket aTicket,
               const FilingActions& aActions)
  {
    ClaimBatcher& batcher = *m_instances[aInstance].m_batcher;
    EventTime at = At(aInstance);
    for (const FilingAction& action : aActions) {
      if (const auto* claim = std::get_if<FilingClaim>(&action)) {
        Perform(aInstance, batcher.Acquire(claim->m_request, at));
      } else if (const auto* giveUp = std::get_if<FilingGiveUpClaim>(&action)) {
        Perform(aInstance, batcher.GiveUp(giveUp->m_key, giveUp->m_ticket, at));
      } else if (const auto* record = std::get_if<FilingRecord>(&action)) {
        Perform(aInstance, batcher.Record(record->m_request, at));
      } else if (std::holds_alternative<FilingDispatch>(action)) {
        Dispatch(aInstance, aTicket);
      } else if (const auto* finish = std::get_if<FilingFinish>(&action)) {
        OnAnswer(aTicket, finish->m_answer);
      }
    }
  }

  void Perform(int aInstance, const BatcherActions& aActions)
  {
    for (const BatcherAction& action : aActions) {
      if (const auto* read = std::get_if<BatcherRead>(&action)) {
        Read(aInstance, *read);
      } else if (const auto* write = std::get_if<BatcherWrite>(&action)) {
        Write(aInstance, *write);
      } else if (const auto* done = std::get_if<BatcherClaimDone>(&action)) {
        Attempt& attempt = m_attempts[done->m_ticket];
        bool granted = done->m_reply.m_kind == ClaimReplyKind::kGranted;
        attempt.m_grantNumber = granted ? ++m_grants : attempt.m_grantNumber;
        FilingRun& run = *attempt.m_run;
        Perform(
          aInstance, done->m_ticket, run.OnClaim(done->m_reply, At(aInstance)));
      } else if (const auto* recorded =
                   std::get_if<BatcherRecordDone>(&action)) {
        FilingRun& run = *m_attempts[recorded->m_ticket].m_run;
        Perform(aInstance,
                recorded->m_ticket,
                run.OnRecorded(recorded->m_recorded, At(aInstance)));
      }
    }
  }

  void Reply(int aInstance, uint64_t aIncarnation, const StoreReply& aReply)
  {
    DeliverTo(aInstance, aIncarnation, StoreDelay(), [this, aInstance, aReply] {
      ClaimBatcher& batcher = *m_instances[aInstance].m_batcher;
      Perform(aInstance, batcher.OnStoreReply(aReply, At(aInstance)));
    });
  }

  [[nodiscard]] bool DrawLoss()
  {
    return m_now < m_outageUntil || (m_faults && DrawBelow(8) == 0);
  }

  [[nodiscard]] Duration StoreDelay()
  {
    // Some calls take effect only after their caller has given up.
    return Milliseconds(m_faults && DrawBelow(8) == 0 ? 30 + DrawBelow(60)
                                                      : 1 + DrawBelow(4));
  }

  void Read(int aInstance, const BatcherRead& aRead)
  {
    if (DrawLoss()) {
      return;
    }
    uint64_t incarnation = m_instances[aInstance].m_incarnation;
    Schedule(StoreDelay(), [this, aInstance, incarnation, aRead] {
      auto object = m_objects.find(aRead.m_key);
      StoreReply reply{ .m_call = aRead.m_call,
                        .m_kind = StoreReplyKind::kNotFound };
      if (object != m_objects.end()) {
        reply.m_kind = StoreReplyKind::kOk;
        reply.m_version = object->second.m_version;
        reply.m_value = object->second.m_value;
      }
      Reply(aInstance, incarnation, reply);
    });
  }

  void Write(int aInstance, const BatcherWrite& aWrite)
  {
    if (DrawLoss()) {
      return;
    }
    bool replyLost = DrawLoss();
    uint64_t incarnation = m_instances[aInstance].m_incarnation;
    Schedule(StoreDelay(), [this, aInstance, incarnation, aWrite, replyLost] {
      Object& object = m_objects[aWrite.m_key];
      StoreReply reply{ .m_call = aWrite.m_call,
                        .m_kind = StoreReplyKind::kConflict };
      if (object.m_version == aWrite.m_ifVersion) {
        ++object.m_version;
        object.m_value = aWrite.m_value;
        reply.m_kind = StoreReplyKind::kOk;
        reply.m_version = object.m_version;
      }
      if (!replyLost) {
        Reply(aInstance, incarnation, reply);
      }
    });
  }

  // Dispatches to the owner of the upstream, which refuses the request, loses
  // it or runs it; the answer may be lost or late.
  void Dispatch(int aInstance, ClaimTicket aTicket)
  {
    Attempt& attempt = m_attempts[aTicket];
    RC_ASSERT(!attempt.m_dispatched);
    // A run must not dispatch after its answer.
    RC_ASSERT(!attempt.m_answer);
    RC_ASSERT(m_guard.m_allowed);
    RC_ASSERT(m_now < attempt.m_deadline);
    attempt.m_dispatched = true;
    uint32_t scenario = DrawBelow(8);
    DispatchResult result{ .m_outcome = Outcome::kUnknown };
    Duration delay = Milliseconds(1 + DrawBelow(scenario == 0 ? 200 : 10));
    if (scenario == 1) {
      result = { .m_outcome = Outcome::kNotRun,
                 .m_reason = MissingReason::kOverloaded };
    } else if (scenario != 2) {
      Schedule(delay, [this, aTicket] { Execute(aTicket); });
      if (scenario != 3) {
        result = { .m_outcome = Outcome::kRan, .m_result = Result(aTicket) };
      }
    }
    Deliver(aInstance, 2 * delay, [this, aInstance, aTicket, result] {
      FilingRun& run = *m_attempts[aTicket].m_run;
      Perform(aInstance, aTicket, run.OnDispatched(result, At(aInstance)));
    });
  }

  [[nodiscard]] static std::string Result(ClaimTicket aTicket)
  {
    return absl::StrCat("certificate \"", aTicket, "\"");
  }

  void Execute(ClaimTicket aTicket)
  {
    Attempt& attempt = m_attempts[aTicket];
    attempt.m_executed = true;
    // The request runs at most once for each id, whichever attempt sent it.
    RC_ASSERT(m_executed.emplace(attempt.m_key, aTicket).second);
    RC_ASSERT(!attempt.m_answer ||
              attempt.m_answer->m_outcome != Outcome::kNotRun);
  }

  void OnAnswer(ClaimTicket aTicket, const FilingAnswer& aAnswer)
  {
    Attempt& attempt = m_attempts[aTicket];
    RC_ASSERT(!attempt.m_answer);
    attempt.m_answer = aAnswer;
    if (aAnswer.m_outcome == Outcome::kNotRun) {
      RC_ASSERT(!attempt.m_executed);
      RC_ASSERT(aAnswer.m_earlierUnknown || NoEarlierAttemptRan(attempt));
      RC_ASSERT(aAnswer.m_reason != FilingReason::kHeldByOther);
    }
    if (aAnswer.m_outcome == Outcome::kRan) {
      RC_ASSERT(m_executed.contains(attempt.m_key));
      ClaimTicket executed = m_executed.at(attempt.m_key);
      RC_ASSERT(aAnswer.m_result == Result(executed));
      RC_ASSERT(aAnswer.m_repeated == (executed != aTicket));
    }
    if (aAnswer.m_outcome == Outcome::kUnknown) {
      // A request with this id was dispatched, and its outcome is unknown.
      RC_ASSERT(aAnswer.m_reason == FilingReason::kNoAnswer ||
                aAnswer.m_reason == FilingReason::kHeldByOther);
    }
  }

  // Returns true if no request with this id ran, or if it got its claim only
  // after this attempt had released its own.
  [[nodiscard]] bool NoEarlierAttemptRan(const Attempt& aAttempt) const
  {
    auto executed = m_executed.find(aAttempt.m_key);
    return aAttempt.m_grantNumber != 0 &&
           (executed == m_executed.end() ||
            m_attempts.at(executed->second).m_grantNumber >
              aAttempt.m_grantNumber);
  }

  void CheckEnd() const
  {
    for (const auto& [number, instance] : m_instances) {
      RC_ASSERT(instance.m_batcher->Pending() == 0U);
      for (ClaimTicket ticket : instance.m_attempts) {
        const Attempt& attempt = m_attempts.at(ticket);
        RC_ASSERT(attempt.m_answer.has_value());
        RC_ASSERT(attempt.m_run->Ended());
      }
    }
  }

  std::mt19937_64 m_random;
  TimePoint m_now = kStart;
  TimePoint m_nextTick = kStart;
  TimePoint m_outageUntil = kStart;
  bool m_faults = true;
  ScriptedGuard m_guard;
  std::multimap<TimePoint, Event> m_events;
  std::map<int, Instance> m_instances;
  std::map<ClaimTicket, Attempt> m_attempts;
  std::map<int, WallTime> m_issuedAt;
  std::map<std::string, Object> m_objects;
  std::map<ClaimKey, ClaimTicket> m_executed;
  ClaimTicket m_lastTicket = 0;
  uint64_t m_grants = 0;
};

DOCTEST_TEST_CASE("a filing runs at most once and its answers are correct")
{
  DOCTEST_CHECK(rc::check([](uint32_t aSeed, const std::vector<Step>& aSteps) {
    World world(aSeed);
    world.Run(aSteps);
  }));
}

} // namespace
} // namespace ebonykeel
