// Prints the cost of membership per instance and second for growing fleets:
// messages, bytes and processor time, first without faults, then for each
// failure or replacement.
//
// Runs the Membership state machines of all instances in one process and counts
// their messages. Bytes are estimated from field sizes as in Cap'n Proto's
// packed encoding; the wire column adds an allowance for RPC frames and TCP/IP
// headers. No sockets are used, so the processor time is that of the state
// machines only.
//
// Usage: membership_slope [LARGEST_FLEET]
#include <charconv>
#include <cstdio>
#include <ctime>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/membership/membership.h"

namespace ebonykeel {
namespace {

// The frame of an RPC call or return, and the headers of its packet.
constexpr double kWireBytesPerMessage = 64 + 52;
constexpr Duration kDelay = Milliseconds(1);
constexpr Duration kSettleTime = Seconds(120);
constexpr Duration kFaultFreeTime = Seconds(60);
constexpr Duration kFaultInterval = Seconds(10);
constexpr Duration kRestartDelay = Seconds(5);
constexpr Duration kListInterval = Seconds(2);
constexpr Duration kListLag = Seconds(4);
constexpr int kFaults = 12;
// The planned fleet, and its failures and replacements on an ordinary day.
constexpr double kPlannedInstances = 430;
constexpr double kPlannedEventsPerDay = 12 + 210;
constexpr double kSecondsPerDay = 86400;

struct Totals
{
  double m_messages = 0;
  double m_bytes = 0;
  double m_seconds = 0;
};

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}

// Adds the processor time of a scope to a total.
class Stopwatch
{
public:
  explicit Stopwatch(double& aTotal)
    : m_total(aTotal)
    , m_start(ProcessorSeconds())
  {
  }
  ~Stopwatch() { m_total += ProcessorSeconds() - m_start; }
  Stopwatch(const Stopwatch&) = delete;
  Stopwatch& operator=(const Stopwatch&) = delete;

private:
  double& m_total;
  double m_start;
};

class Fleet
{
public:
  explicit Fleet(size_t aCount)
    : m_instances(aCount)
  {
    for (size_t index = 0; index < aCount; ++index) {
      StartInstance(index);
    }
    RunAt(TimePoint{}, [this] { PublishList(); });
  }

  void RunUntil(TimePoint aUntil)
  {
    while (!m_events.empty() && m_events.top().m_time <= aUntil) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      event.m_action();
    }
    m_now = aUntil;
  }

  [[nodiscard]] TimePoint Now() const { return m_now; }
  [[nodiscard]] Totals& MutableTotals() { return m_totals; }

  // Stops an instance, gracefully or by a crash, and starts it again later.
  void Replace(size_t aIndex, bool aGraceful)
  {
    if (aGraceful) {
      m_instances[aIndex].m_membership->SetSelfState(InstanceState::kLeaving,
                                                     m_now);
      RunAt(m_now + kRestartDelay, [this, aIndex] {
        m_instances[aIndex].m_membership->SetSelfState(InstanceState::kDead,
                                                       m_now);
        Tick(aIndex);
        StopInstance(aIndex);
      });
    } else {
      StopInstance(aIndex);
    }
    RunAt(m_now + kRestartDelay + Seconds(1),
          [this, aIndex] { StartInstance(aIndex); });
  }

  // Returns how many instances hold their lease.
  [[nodiscard]] size_t CountLeases() const
  {
    size_t count = 0;
    for (const Instance& instance : m_instances) {
      count += instance.m_membership != nullptr &&
                   instance.m_membership->HoldsLease(m_now)
                 ? 1
                 : 0;
    }
    return count;
  }

private:
  struct Instance
  {
    InstanceRecord m_self;
    std::unique_ptr<Membership> m_membership;
    uint64_t m_run = 0;
    TimePoint m_changedAt;
  };

  struct Event
  {
    TimePoint m_time;
    uint64_t m_order = 0;
    std::function<void()> m_action;

    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.m_time, aOther.m_order) <
             std::pair(m_time, m_order);
    }
  };

  void RunAt(TimePoint aWhen, std::function<void()> aAction)
  {
    m_events.push({ aWhen, m_order++, std::move(aAction) });
  }

  void StartInstance(size_t aIndex)
  {
    constexpr size_t kDataCentres = 8;
    constexpr size_t kSmallFleet = 16;
    Instance& instance = m_instances[aIndex];
    const bool small = m_instances.size() <= kSmallFleet;
    const size_t dataCentre = aIndex % (small ? 3 : kDataCentres);
    instance.m_self = {
      .m_id = InstanceId(absl::StrCat("entry-", 1000 + aIndex)),
      .m_incarnation = 1700000000000U + ++instance.m_run,
      .m_publicAddress = absl::StrCat("10.20.30.", aIndex, ":8080"),
      .m_adminAddress = absl::StrCat("10.20.30.", aIndex, ":8081"),
      .m_peerAddress = absl::StrCat("10.20.30.", aIndex, ":8082"),
      .m_dataCentre = DataCentre(absl::StrCat("dc-", dataCentre)),
      .m_region = Region(absl::StrCat("region-", small ? 0 : dataCentre % 2))
    };
    instance.m_membership = std::make_unique<Membership>(
      MembershipSettings(), instance.m_self, m_random, m_now);
    instance.m_changedAt = m_now;
    QueueTick(aIndex);
  }

  void StopInstance(size_t aIndex)
  {
    ++m_instances[aIndex].m_run;
    m_instances[aIndex].m_membership = nullptr;
    m_instances[aIndex].m_changedAt = m_now;
  }

  void QueueTick(size_t aIndex)
  {
    const uint64_t run = m_instances[aIndex].m_run;
    const TimePoint due =
      std::max(m_instances[aIndex].m_membership->NextTick(), m_now + kDelay);
    RunAt(due, [this, aIndex, run] {
      if (m_instances[aIndex].m_run == run) {
        Tick(aIndex);
        QueueTick(aIndex);
      }
    });
  }

  void Tick(size_t aIndex)
  {
    std::vector<PingAction> pings;
    {
      const Stopwatch stopwatch(m_totals.m_seconds);
      pings = m_instances[aIndex].m_membership->Tick(m_now);
    }
    for (const PingAction& ping : pings) {
      SendPing(aIndex, ping);
    }
  }

  void SendPing(size_t aFrom, const PingAction& aPing)
  {
    constexpr size_t kFirstNumber = 1000;
    const std::string_view number =
      aPing.m_target.View().substr(std::string_view("entry-").size());
    size_t to = 0;
    std::from_chars(number.data(), number.data() + number.size(), to);
    to -= kFirstNumber;
    Count(aPing.m_gossip);
    const TimePoint sentAt = m_now;
    const uint64_t run = m_instances[aFrom].m_run;
    RunAt(m_now + kDelay,
          [this, aFrom, to, run, sentAt, gossip = aPing.m_gossip] {
            Membership* receiver = m_instances[to].m_membership.get();
            if (receiver == nullptr) {
              RunAt(sentAt + Seconds(1), [this, aFrom, to, run] {
                if (m_instances[aFrom].m_run == run) {
                  m_instances[aFrom].m_membership->OnPingFailed(
                    m_instances[to].m_self.m_id, m_now);
                }
              });
              return;
            }
            Gossip ack;
            {
              const Stopwatch stopwatch(m_totals.m_seconds);
              ack = receiver->OnPing(gossip, m_now);
            }
            Count(ack);
            RunAt(m_now + kDelay, [this, aFrom, to, run, sentAt, ack] {
              if (m_instances[aFrom].m_run != run) {
                return;
              }
              const Stopwatch stopwatch(m_totals.m_seconds);
              m_instances[aFrom].m_membership->OnAck(
                m_instances[to].m_self.m_id, sentAt, ack, m_now);
            });
          });
  }

  void Count(const Gossip& aGossip)
  {
    m_totals.m_messages += 1;
    m_totals.m_bytes += static_cast<double>(EstimateBytes(aGossip));
  }

  void PublishList()
  {
    std::vector<ListedInstance> list;
    for (const Instance& instance : m_instances) {
      const bool settled = m_now - instance.m_changedAt >= kListLag;
      const bool up = instance.m_membership != nullptr;
      if (up == settled || m_now < TimePoint(kListLag)) {
        list.push_back({ .m_id = instance.m_self.m_id,
                         .m_peerAddress = instance.m_self.m_peerAddress,
                         .m_dataCentre = instance.m_self.m_dataCentre,
                         .m_region = instance.m_self.m_region });
      }
    }
    for (Instance& instance : m_instances) {
      if (instance.m_membership != nullptr) {
        const Stopwatch stopwatch(m_totals.m_seconds);
        instance.m_membership->OnInstanceList(list, m_now);
      }
    }
    RunAt(m_now + kListInterval, [this] { PublishList(); });
  }

  std::mt19937_64 m_random{ 1 };
  std::vector<Instance> m_instances;
  TimePoint m_now;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  Totals m_totals;
};

// Measures one fleet size and prints its line.
void
Measure(size_t aCount)
{
  Fleet fleet(aCount);
  fleet.RunUntil(TimePoint(kSettleTime));
  const size_t leased = fleet.CountLeases();

  fleet.MutableTotals() = Totals();
  fleet.RunUntil(fleet.Now() + kFaultFreeTime);
  const Totals faultFree = fleet.MutableTotals();
  const double instances = static_cast<double>(aCount);
  const double faultFreeSeconds =
    std::chrono::duration<double>(kFaultFreeTime).count();
  const double perInstance = 1.0 / (instances * faultFreeSeconds);

  fleet.MutableTotals() = Totals();
  const TimePoint faultsFrom = fleet.Now();
  for (int fault = 0; fault < kFaults; ++fault) {
    // One fault in twelve is a crash, which is near the planned 12 in 222.
    const size_t victim = static_cast<size_t>(fault) * 7 % aCount;
    fleet.Replace(victim, fault != 0);
    fleet.RunUntil(fleet.Now() + kFaultInterval);
  }
  fleet.RunUntil(fleet.Now() + 2 * kFaultInterval);
  const double faultSeconds =
    std::chrono::duration<double>(fleet.Now() - faultsFrom).count();
  const Totals withFaults = fleet.MutableTotals();
  const auto wire = [](const Totals& aTotals) {
    return aTotals.m_bytes + aTotals.m_messages * kWireBytesPerMessage;
  };
  const double extraPerEvent =
    (wire(withFaults) - wire(faultFree) * faultSeconds / faultFreeSeconds) /
    (kFaults * instances);
  const double eventsPerSecond =
    kPlannedEventsPerDay * instances / kPlannedInstances / kSecondsPerDay;
  const double processor = faultFree.m_seconds * perInstance;
  std::printf("%5zu %6zu %8.2f %9.1f %9.1f %9.1f %9.1f %9.2f %7.3f\n",
              aCount,
              leased,
              faultFree.m_messages * perInstance,
              faultFree.m_bytes * perInstance,
              wire(faultFree) * perInstance,
              extraPerEvent,
              extraPerEvent * eventsPerSecond,
              processor * 1e6,
              processor * 100);
  std::fflush(stdout);
}

} // namespace
} // namespace ebonykeel

int
main(int aArgumentCount, char** aArguments)
{
  size_t largest = 430;
  if (aArgumentCount > 1) {
    const std::string_view text(aArguments[1]);
    std::from_chars(text.data(), text.data() + text.size(), largest);
  }
  std::puts("Messages of the Membership state machines, in one process and "
            "without sockets.\n"
            "Bytes are estimated from field sizes in Cap'n Proto's packed "
            "encoding; wire adds 116 B\n"
            "a message for RPC frames and TCP/IP headers. Each message is "
            "counted once, as sent;\n"
            "an instance receives as much again on average.\n"
            "Per instance: messages and bytes sent per second without faults; "
            "wire bytes that a failure\n"
            "or replacement adds, also as a rate at 222 a day for 430 "
            "instances; processor time of the\n"
            "state machines.");
  std::puts("    n leased    msg/s  bytes/s    wire/s  wire/evt evt wire/s "
            "us cpu/s  % core");
  for (const size_t count : { 4, 8, 16, 32, 64, 128, 430 }) {
    if (count <= largest) {
      ebonykeel::Measure(count);
    }
  }
  return 0;
}
