// Prints what the membership machines cost for each instance and second as the
// fleet grows: messages, bytes and processor time, first without faults, then
// for each failure or replacement.
//
// This drives the deterministic machines in one process and counts their own
// messages. Bytes are estimated from field sizes as in Cap'n Proto's packed
// encoding; the wire column adds an allowance for RPC frames and TCP/IP
// headers. No socket is involved, so processor time is that of the decisions
// alone.
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

// Frames of an RPC call or return, and the headers of its packet.
constexpr double kWireBytesPerMessage = 64 + 52;
constexpr Duration kDelay = Milliseconds(1);
constexpr Duration kSettle = Seconds(120);
constexpr Duration kQuiet = Seconds(60);
constexpr Duration kBetweenFaults = Seconds(10);
constexpr Duration kRestartAfter = Seconds(5);
constexpr Duration kListEvery = Seconds(2);
constexpr Duration kListLag = Seconds(4);
constexpr int kFaults = 12;
// What the planned fleet has on an ordinary day.
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
    : m_nodes(aCount)
  {
    for (size_t index = 0; index < aCount; ++index) {
      Boot(index);
    }
    At(TimePoint{}, [this] { PublishList(); });
  }

  void RunUntil(TimePoint aUntil)
  {
    while (!m_events.empty() && m_events.top().m_at <= aUntil) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
    m_now = aUntil;
  }

  [[nodiscard]] TimePoint Now() const { return m_now; }
  [[nodiscard]] Totals& Counted() { return m_totals; }

  // Ends an instance, with or without notice, and starts it again later.
  void Replace(size_t aIndex, bool aGraceful)
  {
    if (aGraceful) {
      m_nodes[aIndex].m_membership->SetSelfState(InstanceState::kLeaving,
                                                 m_now);
      At(m_now + kRestartAfter, [this, aIndex] {
        m_nodes[aIndex].m_membership->SetSelfState(InstanceState::kDead, m_now);
        Tick(aIndex);
        Stop(aIndex);
      });
    } else {
      Stop(aIndex);
    }
    At(m_now + kRestartAfter + Seconds(1), [this, aIndex] { Boot(aIndex); });
  }

  // Returns how many instances hold their lease.
  [[nodiscard]] size_t CountLeases() const
  {
    size_t count = 0;
    for (const Node& node : m_nodes) {
      count +=
        node.m_membership != nullptr && node.m_membership->HoldsLease(m_now)
          ? 1
          : 0;
    }
    return count;
  }

private:
  struct Node
  {
    InstanceRecord m_self;
    std::unique_ptr<Membership> m_membership;
    uint64_t m_run = 0;
    TimePoint m_changedAt;
  };

  struct Event
  {
    TimePoint m_at;
    uint64_t m_order = 0;
    std::function<void()> m_action;

    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.m_at, aOther.m_order) < std::pair(m_at, m_order);
    }
  };

  void At(TimePoint aWhen, std::function<void()> aAction)
  {
    m_events.push({ aWhen, m_order++, std::move(aAction) });
  }

  void Boot(size_t aIndex)
  {
    constexpr size_t kDataCentres = 8;
    constexpr size_t kSmallFleet = 16;
    Node& node = m_nodes[aIndex];
    const bool small = m_nodes.size() <= kSmallFleet;
    const size_t dataCentre = aIndex % (small ? 3 : kDataCentres);
    node.m_self = {
      .m_id = InstanceId(absl::StrCat("entry-", 1000 + aIndex)),
      .m_incarnation = 1700000000000U + ++node.m_run,
      .m_publicAddress = absl::StrCat("10.20.30.", aIndex, ":8080"),
      .m_adminAddress = absl::StrCat("10.20.30.", aIndex, ":8081"),
      .m_peerAddress = absl::StrCat("10.20.30.", aIndex, ":8082"),
      .m_dataCentre = DataCentre(absl::StrCat("dc-", dataCentre)),
      .m_region = Region(absl::StrCat("region-", small ? 0 : dataCentre % 2))
    };
    node.m_membership = std::make_unique<Membership>(
      MembershipSettings(), node.m_self, m_random, m_now);
    node.m_changedAt = m_now;
    QueueTick(aIndex);
  }

  void Stop(size_t aIndex)
  {
    ++m_nodes[aIndex].m_run;
    m_nodes[aIndex].m_membership = nullptr;
    m_nodes[aIndex].m_changedAt = m_now;
  }

  void QueueTick(size_t aIndex)
  {
    const uint64_t run = m_nodes[aIndex].m_run;
    const TimePoint due =
      std::max(m_nodes[aIndex].m_membership->NextTick(), m_now + kDelay);
    At(due, [this, aIndex, run] {
      if (m_nodes[aIndex].m_run == run) {
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
      pings = m_nodes[aIndex].m_membership->Tick(m_now);
    }
    for (const PingAction& ping : pings) {
      Deliver(aIndex, ping);
    }
  }

  void Deliver(size_t aFrom, const PingAction& aPing)
  {
    constexpr size_t kFirstNumber = 1000;
    const std::string_view number =
      aPing.m_target.View().substr(std::string_view("entry-").size());
    size_t to = 0;
    std::from_chars(number.data(), number.data() + number.size(), to);
    to -= kFirstNumber;
    Count(aPing.m_gossip);
    const TimePoint sentAt = m_now;
    const uint64_t run = m_nodes[aFrom].m_run;
    At(m_now + kDelay, [this, aFrom, to, run, sentAt, gossip = aPing.m_gossip] {
      Membership* receiver = m_nodes[to].m_membership.get();
      if (receiver == nullptr) {
        At(sentAt + Seconds(1), [this, aFrom, to, run] {
          if (m_nodes[aFrom].m_run == run) {
            m_nodes[aFrom].m_membership->OnPingFailed(m_nodes[to].m_self.m_id,
                                                      m_now);
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
      At(m_now + kDelay, [this, aFrom, to, run, sentAt, ack] {
        if (m_nodes[aFrom].m_run != run) {
          return;
        }
        const Stopwatch stopwatch(m_totals.m_seconds);
        m_nodes[aFrom].m_membership->OnAck(
          m_nodes[to].m_self.m_id, sentAt, ack, m_now);
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
    for (const Node& node : m_nodes) {
      const bool settled = m_now - node.m_changedAt >= kListLag;
      const bool up = node.m_membership != nullptr;
      if (up == settled || m_now < TimePoint(kListLag)) {
        list.push_back({ .m_id = node.m_self.m_id,
                         .m_peerAddress = node.m_self.m_peerAddress,
                         .m_dataCentre = node.m_self.m_dataCentre,
                         .m_region = node.m_self.m_region });
      }
    }
    for (Node& node : m_nodes) {
      if (node.m_membership != nullptr) {
        const Stopwatch stopwatch(m_totals.m_seconds);
        node.m_membership->OnInstanceList(list, m_now);
      }
    }
    At(m_now + kListEvery, [this] { PublishList(); });
  }

  std::mt19937_64 m_random{ 1 };
  std::vector<Node> m_nodes;
  TimePoint m_now;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  Totals m_totals;
};

// Prints the line of one fleet size.
void
Measure(size_t aCount)
{
  Fleet fleet(aCount);
  fleet.RunUntil(TimePoint(kSettle));
  const size_t leased = fleet.CountLeases();

  fleet.Counted() = Totals();
  fleet.RunUntil(fleet.Now() + kQuiet);
  const Totals quiet = fleet.Counted();
  const double instances = static_cast<double>(aCount);
  const double quietSeconds = std::chrono::duration<double>(kQuiet).count();
  const double perInstance = 1.0 / (instances * quietSeconds);

  fleet.Counted() = Totals();
  const TimePoint faultsFrom = fleet.Now();
  for (int fault = 0; fault < kFaults; ++fault) {
    // One in twelve comes without notice, near the planned 12 in 222.
    const size_t victim = static_cast<size_t>(fault) * 7 % aCount;
    fleet.Replace(victim, fault != 0);
    fleet.RunUntil(fleet.Now() + kBetweenFaults);
  }
  fleet.RunUntil(fleet.Now() + 2 * kBetweenFaults);
  const double faultSeconds =
    std::chrono::duration<double>(fleet.Now() - faultsFrom).count();
  const Totals faulty = fleet.Counted();
  const auto wire = [](const Totals& aTotals) {
    return aTotals.m_bytes + aTotals.m_messages * kWireBytesPerMessage;
  };
  const double extraPerEvent =
    (wire(faulty) - wire(quiet) * faultSeconds / quietSeconds) /
    (kFaults * instances);
  const double eventsPerSecond =
    kPlannedEventsPerDay * instances / kPlannedInstances / kSecondsPerDay;
  const double processor = quiet.m_seconds * perInstance;
  std::printf("%5zu %6zu %8.2f %9.1f %9.1f %9.1f %9.1f %9.2f %7.3f\n",
              aCount,
              leased,
              quiet.m_messages * perInstance,
              quiet.m_bytes * perInstance,
              wire(quiet) * perInstance,
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
  std::puts("Counts of the deterministic machines' own messages, one process, "
            "no sockets.\n"
            "Bytes are estimated from field sizes in Cap'n Proto's packed "
            "encoding; wire adds 116 B\n"
            "a message for RPC frames and TCP/IP headers. Each message is "
            "counted once, as sent;\n"
            "an instance receives as much again on average.\n"
            "Per instance: messages and bytes sent a second without faults, "
            "wire bytes a failure\n"
            "or replacement adds, and that at 222 a day for 430 instances; "
            "processor time of the\n"
            "decisions.");
  std::puts("    n leased    msg/s  bytes/s    wire/s  wire/evt evt wire/s "
            "us cpu/s  % core");
  for (const size_t count : { 4, 8, 16, 32, 64, 128, 430 }) {
    if (count <= largest) {
      ebonykeel::Measure(count);
    }
  }
  return 0;
}
