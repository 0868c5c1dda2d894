// Compares two ways to limit the load on one upstream during its cold start, on
// a model and under the same arrivals: one owner that applies the limit of the
// fleet, and instances that each limit themselves. Prints one line for each
// way.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "core/upstream/upstream_dispatcher.h"

namespace ebonykeel {
namespace {

constexpr uint32_t kInstances = 15;
constexpr uint32_t kSlots = 2;
constexpr uint64_t kSeed = 7;
constexpr Duration kRunTime = Seconds(10);
constexpr Duration kDeadline = Milliseconds(100);
constexpr Duration kOneWay = Milliseconds(1);
// The mean time between arrivals of the whole fleet: nine tenths of the rate at
// which the warm upstream answers a sender that respects its slots.
constexpr Duration kMeanArrivalInterval = std::chrono::microseconds(3333);
const TimePoint kStart = TimePoint(Seconds(1000));

class Scheduler
{
public:
  [[nodiscard]] TimePoint Now() const { return m_now; }

  void After(Duration aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(m_now + aDelay, std::move(aEvent));
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!m_events.empty() && m_events.begin()->first <= aEnd) {
      auto next = m_events.extract(m_events.begin());
      m_now = next.key();
      next.mapped()();
    }
  }

private:
  TimePoint m_now = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
};

// A model of an upstream that can hold one piece of work while cold and
// `kSlots` when warm. More work slows all of it down, and much more makes it
// restart.
class UpstreamModel
{
public:
  using Reply = std::function<void(UpstreamResultKind, BootId)>;

  // Restarts when it holds more than `aCrashAbove` pieces of work.
  UpstreamModel(Scheduler& aScheduler, uint32_t aCrashAbove)
    : m_scheduler(aScheduler)
    , m_crashAbove(aCrashAbove)
  {
  }

  void Send(TimePoint aDeadline, const Reply& aReply)
  {
    if (m_scheduler.Now() < m_downUntil) {
      aReply(UpstreamResultKind::kConnectFailed, 0);
      return;
    }
    m_waiting.push_back({ aDeadline, aReply });
    uint32_t held = Held();
    m_maxHeldWhileCold =
      Warm() ? m_maxHeldWhileCold : std::max(m_maxHeldWhileCold, held);
    if (held > m_crashAbove) {
      Restart();
      return;
    }
    StartNext();
  }

  [[nodiscard]] bool Warm() const { return m_goodAnswers >= kAnswersToWarm; }
  [[nodiscard]] uint32_t MaxHeldWhileCold() const { return m_maxHeldWhileCold; }
  [[nodiscard]] uint32_t Restarts() const { return m_restarts; }

private:
  static constexpr uint32_t kAnswersToWarm = 30;
  static constexpr Duration kWarmService = Milliseconds(4);
  static constexpr Duration kColdService = Milliseconds(12);
  static constexpr Duration kRestartTime = Milliseconds(200);

  struct Work
  {
    TimePoint m_deadline;
    Reply m_reply;
  };

  [[nodiscard]] uint32_t Held() const
  {
    return m_running + static_cast<uint32_t>(m_waiting.size());
  }

  void StartNext()
  {
    while (m_running < kSlots && !m_waiting.empty()) {
      Work work = std::move(m_waiting.front());
      m_waiting.pop_front();
      ++m_running;
      uint32_t capacity = Warm() ? kSlots : 1;
      uint32_t overload = std::max(Held(), capacity) / capacity;
      Duration service = (Warm() ? kWarmService : kColdService) * overload;
      m_scheduler.After(service, [this, work, overload, boot = m_boot] {
        if (boot == m_boot) {
          Finish(work, overload);
        }
      });
    }
  }

  void Finish(const Work& aWork, uint32_t aOverload)
  {
    --m_running;
    m_goodAnswers += aOverload == 1 ? 1 : 0;
    bool tooLate = m_scheduler.Now() > aWork.m_deadline;
    aWork.m_reply(tooLate ? UpstreamResultKind::kCancelled
                          : UpstreamResultKind::kOk,
                  m_boot);
    StartNext();
  }

  void Restart()
  {
    ++m_boot;
    ++m_restarts;
    m_goodAnswers = 0;
    m_running = 0;
    m_downUntil = m_scheduler.Now() + kRestartTime;
    std::deque<Work> lost = std::exchange(m_waiting, {});
    for (const Work& work : lost) {
      work.m_reply(UpstreamResultKind::kReset, 0);
    }
  }

  Scheduler& m_scheduler;
  const uint32_t m_crashAbove;
  std::deque<Work> m_waiting;
  uint32_t m_running = 0;
  uint32_t m_goodAnswers = 0;
  uint32_t m_maxHeldWhileCold = 0;
  uint32_t m_restarts = 0;
  BootId m_boot = 1;
  TimePoint m_downUntil = kStart;
};

class AllSlotsPermit : public SendPermit
{
public:
  [[nodiscard]] uint32_t AllowedSlots(const UpstreamId& /*aUpstream*/,
                                      TimePoint /*aNow*/) const override
  {
    return kSlots;
  }
};

// An instance that sends to the upstream.
class Sender
{
public:
  Sender(Scheduler& aScheduler,
         UpstreamModel& aUpstream,
         const SendPermit& aPermit,
         std::unique_ptr<ConcurrencyPolicy> aPolicy)
    : m_scheduler(aScheduler)
    , m_upstream(aUpstream)
    , m_dispatcher(UpstreamId("u"),
                   { .m_slots = kSlots },
                   {},
                   aPermit,
                   std::move(aPolicy),
                   kStart)
  {
  }

  void Submit()
  {
    WorkId id = ++m_lastId;
    TimePoint deadline = m_scheduler.Now() + kDeadline;
    m_deadlines[id] = deadline;
    Perform(m_dispatcher.Enqueue({ .m_id = id, .m_deadline = deadline },
                                 m_scheduler.Now()));
  }

  [[nodiscard]] const std::vector<TimePoint>& Answers() const
  {
    return m_answers;
  }

private:
  void Perform(const DispatcherActions& aActions)
  {
    for (const DispatcherAction& action : aActions) {
      if (const auto* dispatch = std::get_if<DispatchWork>(&action)) {
        Dispatch(dispatch->m_work);
      }
    }
    if (auto timer = m_dispatcher.NextTimer()) {
      Duration delay = std::max(*timer - m_scheduler.Now(), Duration{ 0 });
      m_scheduler.After(
        delay, [this] { Perform(m_dispatcher.OnTimer(m_scheduler.Now())); });
    }
  }

  void Dispatch(WorkId aId)
  {
    m_scheduler.After(kOneWay, [this, aId] {
      m_upstream.Send(m_deadlines[aId],
                      [this, aId](UpstreamResultKind aKind, BootId aBoot) {
                        m_scheduler.After(kOneWay, [this, aId, aKind, aBoot] {
                          OnReply(aId, aKind, aBoot);
                        });
                      });
    });
  }

  void OnReply(WorkId aId, UpstreamResultKind aKind, BootId aBoot)
  {
    if (aKind == UpstreamResultKind::kOk &&
        m_scheduler.Now() <= m_deadlines[aId]) {
      m_answers.push_back(m_scheduler.Now());
    }
    bool answered = aKind == UpstreamResultKind::kOk;
    Perform(m_dispatcher.OnResult(
      aId,
      { .m_kind = aKind,
        .m_bootId = aBoot,
        .m_connection = answered ? ConnectionDisposition::kKept
                                 : ConnectionDisposition::kClosed },
      m_scheduler.Now()));
  }

  Scheduler& m_scheduler;
  UpstreamModel& m_upstream;
  UpstreamDispatcher m_dispatcher;
  WorkId m_lastId = 0;
  std::map<WorkId, TimePoint> m_deadlines;
  std::vector<TimePoint> m_answers;
};

// Returns the time until the end of the first half second in which 95% of the
// offered work was answered in time, or a negative duration if there was none.
Duration
TimeToFullLoad(std::vector<TimePoint> aAnswers)
{
  constexpr Duration kWindow = Milliseconds(500);
  const auto minAnswers =
    static_cast<size_t>(0.95 * (kWindow / kMeanArrivalInterval));
  std::ranges::sort(aAnswers);
  for (size_t first = 0; first + minAnswers < aAnswers.size(); ++first) {
    if (aAnswers[first + minAnswers] - aAnswers[first] <= kWindow) {
      return aAnswers[first + minAnswers] - kStart;
    }
  }
  return Duration{ -1 };
}

void
RunTrial(std::string_view aName, bool aSingleOwner, uint32_t aCrashAbove)
{
  Scheduler scheduler;
  UpstreamModel upstream(scheduler, aCrashAbove);
  AllSlotsPermit permit;
  std::vector<std::unique_ptr<Sender>> senders;
  for (uint32_t i = 0; i < (aSingleOwner ? 1 : kInstances); ++i) {
    std::unique_ptr<ConcurrencyPolicy> policy;
    if (aSingleOwner) {
      policy =
        std::make_unique<ColdStartRamp>(kSlots, ColdStartSettings{}, kStart);
    } else {
      policy = std::make_unique<FixedLimit>(kSlots);
    }
    senders.push_back(
      std::make_unique<Sender>(scheduler, upstream, permit, std::move(policy)));
  }
  std::mt19937_64 random(kSeed);
  std::exponential_distribution<double> gap(
    1.0 / static_cast<double>(kMeanArrivalInterval.count()));
  uint32_t offered = 0;
  for (Duration at{ 0 }; at < kRunTime;
       at += Duration(static_cast<int64_t>(gap(random)))) {
    Sender& sender = *senders[random() % kInstances % senders.size()];
    scheduler.After(at, [&sender] { sender.Submit(); });
    ++offered;
  }
  scheduler.RunUntil(kStart + kRunTime);
  std::vector<TimePoint> answers;
  for (const auto& sender : senders) {
    answers.insert(
      answers.end(), sender->Answers().begin(), sender->Answers().end());
  }
  Duration timeToFullLoad = TimeToFullLoad(answers);
  std::printf("%-18.*s %4u %11u %8u %8zu %7u",
              static_cast<int>(aName.size()),
              aName.data(),
              aCrashAbove,
              upstream.MaxHeldWhileCold(),
              upstream.Restarts(),
              answers.size(),
              offered);
  if (timeToFullLoad.count() < 0) {
    std::printf("     never\n");
  } else {
    std::printf(" %6.0f ms\n", ToMillisecondsF(timeToFullLoad));
  }
}

} // namespace
} // namespace ebonykeel

int
main()
{
  constexpr uint32_t kFragile = 12;
  constexpr uint32_t kRobust = 1000;
  std::printf(
    "trial on a model of one upstream, %u instances, seed %llu\n"
    "held: maximum work held while cold; in time: answered by the deadline\n"
    "way                over        held restarts  in time offered full "
    "load\n",
    ebonykeel::kInstances,
    static_cast<unsigned long long>(ebonykeel::kSeed));
  for (uint32_t crashAbove : { kFragile, kRobust }) {
    ebonykeel::RunTrial("fleet limit", true, crashAbove);
    ebonykeel::RunTrial("independent limits", false, crashAbove);
  }
  return 0;
}
