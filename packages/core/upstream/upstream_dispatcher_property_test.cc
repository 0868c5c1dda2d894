// Runs one dispatcher through random schedules against an upstream whose actual
// work the test tracks independently, abandoned work included.
#include "core/upstream/upstream_dispatcher.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ebonykeel {
namespace {

constexpr uint32_t kSlots = 3;
constexpr uint32_t kConnectionLimit = 8;
constexpr uint32_t kAnswersPerStep = 4;
const TimePoint kStart = TimePoint(Seconds(100));

// A random event: its kind and two parameters.
using Step = std::tuple<uint8_t, uint8_t, uint8_t>;

class ScriptedPermit : public SendPermit
{
public:
  [[nodiscard]] uint32_t AllowedSlots(const UpstreamId& /*aUpstream*/,
                                      TimePoint /*aNow*/) const override
  {
    return m_allowed;
  }

  uint32_t m_allowed = kSlots;
};

class DispatcherModel
{
public:
  DispatcherModel()
    : m_dispatcher(UpstreamId("u"),
                   { .m_slots = kSlots, .m_connectionLimit = kConnectionLimit },
                   m_settings,
                   m_permit,
                   std::make_unique<ColdStartRamp>(
                     kSlots,
                     ColdStartSettings{ .m_answersPerStep = kAnswersPerStep,
                                        .m_groupsWithoutBaseline = 1 },
                     kStart),
                   kStart)
  {
  }

  void Run(const std::vector<Step>& aSteps)
  {
    for (const auto& [kind, first, second] : aSteps) {
      Advance(m_now + Milliseconds(first % 8));
      Apply(kind, first, second);
      Check();
    }
    m_permit.m_allowed = kSlots;
    Advance(m_now + Seconds(3));
    // By now, every piece of work was dispatched, refused or cancelled.
    RC_ASSERT(m_queued.empty());
    RC_ASSERT(m_dispatcher.HeldWork(m_now) == 0U);
  }

private:
  // Work as the upstream actually holds it.
  struct Work
  {
    TimePoint m_deadline;
    TimePoint m_dispatchedAt;
    // When the upstream stops working on it, whether or not the result is still
    // needed.
    TimePoint m_realEnd;
    // When the result reaches the owner; never if the answer is lost.
    TimePoint m_resultAt;
    UpstreamResult m_result;
  };

  void Apply(uint8_t aKind, uint8_t aFirst, uint8_t aSecond)
  {
    switch (aKind % 16) {
      case 8:
        // The upstream restarts: it loses its work and is cold.
        Restart();
        return;
      case 9:
        Perform(m_dispatcher.Cancel(aFirst % m_nextId, m_now));
        m_queued.erase(aFirst % m_nextId);
        return;
      case 10:
        // A lease may also expire without a call of `OnPermitChanged`.
        if (aFirst % 2 == 0) {
          m_permit.m_allowed = aSecond % (kSlots + 1);
          Perform(m_dispatcher.OnPermitChanged(m_now));
        } else {
          m_permit.m_allowed = 0;
        }
        return;
      case 11:
        m_permit.m_allowed = kSlots;
        Perform(m_dispatcher.OnPermitChanged(m_now));
        return;
      case 12:
        m_closed = aSecond % 4 == 0;
        Perform(
          m_dispatcher.SetClosed(ClosureReason::kDrained, m_closed, m_now));
        m_answers = m_closed ? 0 : m_answers;
        return;
      case 13:
        m_permit.m_allowed = kSlots;
        m_dispatcher.OnOwnershipGained(
          { .m_inheritedWork = aSecond % 2U,
            .m_inheritedUntil = m_now + Milliseconds(30) },
          m_now);
        m_inherited = aSecond % 2;
        m_inheritedUntil = m_now + Milliseconds(30);
        m_answers = 0;
        Perform(m_dispatcher.OnPermitChanged(m_now));
        return;
      case 14:
        // The process is paused, so its timers are late.
        m_now += Milliseconds(aSecond % 100);
        Perform(m_dispatcher.OnTimer(m_now));
        return;
      default:
        Enqueue(aFirst, aSecond);
    }
  }

  void Enqueue(uint8_t aFirst, uint8_t aSecond)
  {
    WorkItem item{ .m_id = m_nextId++,
                   .m_deadline = m_now + Milliseconds(5 + (aSecond % 60)),
                   .m_caller = CallerName(aFirst % 3 == 0 ? "desk" : "portal"),
                   .m_cost = 1 };
    m_queued[item.m_id] = item.m_deadline;
    m_scenarios[item.m_id] = { aFirst, aSecond };
    Perform(m_dispatcher.Enqueue(item, m_now));
  }

  void Restart()
  {
    ++m_boot;
    for (auto& [id, work] : m_work) {
      if (work.m_realEnd > m_now) {
        work.m_realEnd = m_now;
        work.m_resultAt = m_now;
        work.m_result = { .m_kind = UpstreamResultKind::kReset,
                          .m_connection = ConnectionDisposition::kClosed };
      }
    }
  }

  void Perform(const DispatcherActions& aActions)
  {
    for (const DispatcherAction& action : aActions) {
      if (const auto* dispatch = std::get_if<DispatchWork>(&action)) {
        OnDispatch(*dispatch);
      } else if (const auto* refuse = std::get_if<RefuseWork>(&action)) {
        // A refusal says that the work was not run.
        RC_ASSERT(m_queued.erase(refuse->m_work) == 1U);
      } else if (const auto* cancel = std::get_if<CancelWork>(&action)) {
        OnCancel(cancel->m_work);
      } else if (std::holds_alternative<CloseIdleConnections>(action)) {
        m_closing += m_idle;
        m_idle = 0;
      }
    }
  }

  void OnDispatch(const DispatchWork& aDispatch)
  {
    auto queued = m_queued.find(aDispatch.m_work);
    RC_ASSERT(queued != m_queued.end());
    RC_ASSERT(m_now < queued->second);
    RC_ASSERT(!m_closed);
    RC_ASSERT(m_permit.m_allowed > 0U);
    auto [service, scenario] = m_scenarios[aDispatch.m_work];
    Work work{ .m_deadline = queued->second, .m_dispatchedAt = m_now };
    TimePoint ends = m_now + Milliseconds(3 + (service % 4));
    if (scenario % 8 == 0) {
      ends = m_now + Milliseconds(80);
    }
    // The upstream enforces the deadline with some delay.
    work.m_realEnd =
      std::min(ends, work.m_deadline + m_settings.m_abandonedMargin / 2);
    work.m_resultAt = scenario % 8 == 1 ? TimePoint::max() : work.m_realEnd;
    work.m_result = { .m_kind = KindOf(scenario),
                      .m_bootId = m_boot,
                      .m_connection = ConnectionDisposition::kKept };
    if (work.m_result.m_kind == UpstreamResultKind::kReset) {
      // The connection breaks at once, and the upstream continues to work.
      work.m_resultAt = m_now + Milliseconds(1);
      work.m_result.m_connection = ConnectionDisposition::kClosed;
    }
    m_queued.erase(queued);
    m_work[aDispatch.m_work] = work;
    m_resultsPending.insert(aDispatch.m_work);
    RC_ASSERT(aDispatch.m_newConnection || m_idle > 0U);
    m_idle -= aDispatch.m_newConnection ? 0 : 1;
    m_busy += 1;
    // The connections of two owners must fit into the limit.
    RC_ASSERT(m_idle + m_busy + m_closing <= kConnectionLimit / 2);
    uint32_t limit = m_answers < kAnswersPerStep ? 1 : kSlots;
    RC_ASSERT(RealWork() + Inherited() <= limit);
    RC_ASSERT(RealWork() <= m_permit.m_allowed);
  }

  void OnCancel(WorkId aWork)
  {
    Work& work = m_work.at(aWork);
    bool acknowledged = aWork % 2 == 0 && work.m_realEnd > m_now;
    if (acknowledged) {
      work.m_realEnd = m_now + Milliseconds(2);
      work.m_resultAt = work.m_realEnd;
      work.m_result = { .m_kind = UpstreamResultKind::kCancelled,
                        .m_bootId = m_boot,
                        .m_connection = ConnectionDisposition::kKept };
      return;
    }
    // The owner closes the connection, which the upstream does not notice.
    if (m_resultsPending.contains(aWork) && work.m_resultAt > m_now) {
      work.m_resultAt = m_now;
      work.m_result = { .m_kind = UpstreamResultKind::kReset,
                        .m_connection = ConnectionDisposition::kClosed };
    }
  }

  // Delivers the results and timers that are due up to `aUntil`, in the order
  // of time.
  void Advance(TimePoint aUntil)
  {
    while (true) {
      TimePoint next = aUntil;
      std::optional<WorkId> nextResult;
      for (WorkId id : m_resultsPending) {
        if (m_work[id].m_resultAt <= next) {
          next = m_work[id].m_resultAt;
          nextResult = id;
        }
      }
      std::optional<TimePoint> timer = m_dispatcher.NextTimer();
      if (timer && *timer <= next && (!nextResult || *timer < next)) {
        m_now = std::max(m_now, *timer);
        Perform(m_dispatcher.OnTimer(m_now));
        RC_ASSERT(m_dispatcher.NextTimer() != timer);
        continue;
      }
      m_now = std::max(m_now, next);
      if (!nextResult) {
        return;
      }
      DeliverResult(*nextResult);
    }
  }

  void DeliverResult(WorkId aWork)
  {
    m_resultsPending.erase(aWork);
    const Work& work = m_work[aWork];
    const UpstreamResult result = work.m_result;
    m_busy -= 1;
    m_idle += result.m_connection == ConnectionDisposition::kKept ? 1 : 0;
    TrackWarmth(work, result);
    Perform(m_dispatcher.OnResult(aWork, result, m_now));
    if (m_closing > 0) {
      uint32_t closed = std::exchange(m_closing, 0);
      Perform(m_dispatcher.OnConnectionsClosed(0, closed, m_now));
    }
  }

  // Tracks, independently of the dispatcher, which answers show that the
  // upstream is warm.
  void TrackWarmth(const Work& aWork, const UpstreamResult& aResult)
  {
    m_reportedBoot = m_reportedBoot == 0 ? aResult.m_bootId : m_reportedBoot;
    bool otherBoot =
      aResult.m_bootId != 0 && aResult.m_bootId != m_reportedBoot;
    if (otherBoot && aWork.m_dispatchedAt >= m_reportedBootSince) {
      m_answers = 0;
      m_coldSince = m_now;
      m_reportedBootSince = m_now;
      m_reportedBoot = aResult.m_bootId;
    }
    if (aResult.m_kind == UpstreamResultKind::kShed) {
      m_answers = 0;
      m_coldSince = m_now;
    }
    bool ok = aResult.m_kind == UpstreamResultKind::kOk;
    m_answers += ok && aWork.m_dispatchedAt >= m_coldSince ? 1 : 0;
  }

  [[nodiscard]] UpstreamResultKind KindOf(uint8_t aScenario) const
  {
    switch (aScenario % 32) {
      case 20:
        return UpstreamResultKind::kShed;
      case 21:
        return UpstreamResultKind::kVersionNotHeld;
      case 22:
        return UpstreamResultKind::kReset;
      case 23:
        return UpstreamResultKind::kBadAnswer;
      default:
        return UpstreamResultKind::kOk;
    }
  }

  [[nodiscard]] uint32_t RealWork() const
  {
    return static_cast<uint32_t>(
      std::ranges::count_if(m_work, [this](const auto& aEntry) {
        return aEntry.second.m_realEnd > m_now;
      }));
  }

  [[nodiscard]] uint32_t Inherited() const
  {
    return m_now < m_inheritedUntil ? m_inherited : 0;
  }

  void Check() const
  {
    RC_ASSERT(m_dispatcher.OpenConnections() == m_idle + m_busy + m_closing);
    // The dispatcher never counts less held work than the upstream actually
    // holds.
    RC_ASSERT(m_dispatcher.HeldWork(m_now) >= RealWork());
    RC_ASSERT(m_dispatcher.Queued() == m_queued.size());
    CheckNoIdleSlot();
  }

  // Checks that no slot is idle while work is queued, unless there is a reason
  // to wait.
  void CheckNoIdleSlot() const
  {
    bool mayWait = m_closed || m_permit.m_allowed < kSlots ||
                   m_dispatcher.BackingOff(m_now) ||
                   m_idle + m_busy + m_closing >= kConnectionLimit / 2;
    if (m_queued.empty() || mayWait) {
      return;
    }
    uint32_t occupied = Inherited();
    for (const auto& [id, work] : m_work) {
      bool ended = !m_resultsPending.contains(id) && OwnerSeesEnd(work);
      occupied += ended ? 0 : 1;
    }
    RC_ASSERT(occupied >= m_dispatcher.Limit());
  }

  // Returns true if the owner can tell that the work has ended.
  [[nodiscard]] bool OwnerSeesEnd(const Work& aWork) const
  {
    bool mayRunOn = aWork.m_result.m_kind == UpstreamResultKind::kReset ||
                    aWork.m_result.m_kind == UpstreamResultKind::kBadAnswer;
    return !mayRunOn ||
           m_now >= aWork.m_deadline + m_settings.m_abandonedMargin;
  }

  const DispatcherSettings m_settings;
  ScriptedPermit m_permit;
  TimePoint m_now = kStart;
  UpstreamDispatcher m_dispatcher;
  WorkId m_nextId = 1;
  std::map<WorkId, TimePoint> m_queued;
  std::map<WorkId, std::pair<uint8_t, uint8_t>> m_scenarios;
  std::map<WorkId, Work> m_work;
  std::set<WorkId> m_resultsPending;
  uint32_t m_idle = 0;
  uint32_t m_busy = 0;
  uint32_t m_closing = 0;
  BootId m_boot = 1;
  BootId m_reportedBoot = 0;
  TimePoint m_reportedBootSince = kStart;
  TimePoint m_coldSince = kStart;
  uint32_t m_answers = 0;
  bool m_closed = false;
  uint32_t m_inherited = 0;
  TimePoint m_inheritedUntil = kStart;
};

DOCTEST_TEST_CASE("an upstream never holds more work than its answers allow")
{
  DOCTEST_CHECK(rc::check([](const std::vector<Step>& aSteps) {
    DispatcherModel model;
    model.Run(aSteps);
  }));
}

} // namespace
} // namespace ebonykeel
