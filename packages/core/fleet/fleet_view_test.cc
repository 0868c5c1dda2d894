#include "core/fleet/fleet_view.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

constexpr Duration kStep = Milliseconds(10);

// A fleet on a simulated network that delivers datagrams in the next step.
class Fleet
{
public:
  explicit Fleet(size_t aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      Add(HostAt(i), { HostAt(0) });
    }
    Run(Seconds(3));
  }

  static std::string HostAt(size_t aIndex)
  {
    return "10.0.0." + std::to_string(100 + aIndex);
  }

  void Add(const std::string& aHost,
           std::vector<std::string> aSeeds,
           uint64_t aIncarnation = 1)
  {
    size_t index = m_instances.size();
    auto instance = std::make_unique<Instance>(*this);
    FleetRecord self{ .m_host = aHost,
                      .m_incarnation = aIncarnation,
                      .m_dataCentre =
                        DataCentre(index % 2 == 0 ? "north" : "south"),
                      .m_ready = true };
    instance->m_view = std::make_unique<FleetView>(
      FleetOptions{}, self, std::move(aSeeds), m_random, *instance);
    m_instances[aHost] = std::move(instance);
    m_instances[aHost]->m_view->Start(m_now);
  }

  void Run(Duration aFor)
  {
    TimePoint end = m_now + aFor;
    while (m_now < end) {
      m_now += kStep;
      std::deque<std::pair<std::string, FleetMessage>> arriving =
        std::exchange(m_network, {});
      for (auto& [host, message] : arriving) {
        auto instance = m_instances.find(host);
        bool partitioned = m_partition.contains(host) !=
                           m_partition.contains(message.m_sender.m_host);
        if (instance != m_instances.end() && !partitioned) {
          instance->second->m_view->OnMessage(message, m_now);
        }
      }
      for (auto& [host, instance] : m_instances) {
        if (instance->m_view->NextTimer() <= m_now) {
          instance->m_view->OnTimer(m_now);
        }
      }
    }
  }

  // Returns the state of `aOf` as seen by `aBy`.
  FleetState StateSeenBy(const std::string& aBy, const std::string& aOf)
  {
    for (const FleetRecord& record : m_instances[aBy]->m_view->LiveMembers()) {
      if (record.m_host == aOf) {
        return record.m_state;
      }
    }
    return FleetState::kDead;
  }

  bool AllSee(const std::string& aOf, FleetState aState)
  {
    return std::ranges::all_of(m_instances, [&](const auto& aEntry) {
      return aEntry.first == aOf || StateSeenBy(aEntry.first, aOf) == aState;
    });
  }

  FleetView& View(const std::string& aHost)
  {
    return *m_instances[aHost]->m_view;
  }
  void Kill(const std::string& aHost) { m_instances.erase(aHost); }
  void Partition(std::set<std::string> aHosts)
  {
    m_partition = std::move(aHosts);
  }
  [[nodiscard]] size_t Size() const { return m_instances.size(); }
  [[nodiscard]] TimePoint Now() const { return m_now; }
  size_t m_sent = 0;

private:
  struct Instance final : public FleetPort
  {
    explicit Instance(Fleet& aFleet)
      : m_fleet(aFleet)
    {
    }
    void SendTo(const std::string& aHost, const FleetMessage& aMessage) override
    {
      ++m_fleet.m_sent;
      m_fleet.m_network.emplace_back(aHost, aMessage);
    }
    void OnMemberChanged(const FleetRecord& /*aRecord*/) override {}
    void OnFeedWatermarks(
      const FleetRecord& /*aSender*/,
      std::span<const FeedWatermark> /*aWatermarks*/) override
    {
    }
    void OnPayload(const FleetRecord& aSender,
                   PeerTopic aTopic,
                   std::string_view aPayload) override
    {
      m_payloads.push_back({ aSender.m_host, aTopic, std::string(aPayload) });
    }
    std::vector<FeedWatermark> FeedWatermarks() override { return {}; }

    struct Payload
    {
      std::string m_sender;
      PeerTopic m_topic;
      std::string m_text;
    };

    Fleet& m_fleet;
    std::vector<Payload> m_payloads;
    std::unique_ptr<FleetView> m_view;
  };

  std::mt19937_64 m_random{ 7 };
  TimePoint m_now{ Seconds(100) };
  std::map<std::string, std::unique_ptr<Instance>> m_instances;
  std::deque<std::pair<std::string, FleetMessage>> m_network;
  std::set<std::string> m_partition;
};

DOCTEST_TEST_CASE("instances that know one seed discover each other")
{
  Fleet fleet(30);
  for (size_t i = 0; i < 30; ++i) {
    DOCTEST_CHECK(fleet.View(Fleet::HostAt(i)).LiveMembers().size() == 30);
  }
}

DOCTEST_TEST_CASE("all instances see a killed one as dead within three seconds")
{
  Fleet fleet(18);
  fleet.Kill(Fleet::HostAt(5));
  fleet.Run(Seconds(3));
  DOCTEST_CHECK(fleet.AllSee(Fleet::HostAt(5), FleetState::kDead));
}

DOCTEST_TEST_CASE("all instances see a leaving one as leaving within a second")
{
  Fleet fleet(18);
  fleet.View(Fleet::HostAt(4)).SetSelf(FleetState::kLeaving, false, true);
  fleet.Run(Seconds(1));
  DOCTEST_CHECK(fleet.AllSee(Fleet::HostAt(4), FleetState::kLeaving));
}

DOCTEST_TEST_CASE(
  "all instances see an isolated one as alive after it reconnects")
{
  Fleet fleet(18);
  std::string host = Fleet::HostAt(3);
  fleet.Partition({ host });
  fleet.Run(Seconds(6));
  DOCTEST_CHECK(fleet.AllSee(host, FleetState::kDead));
  DOCTEST_CHECK_FALSE(fleet.View(host).InContact(fleet.Now()));
  fleet.Partition({});
  fleet.Run(Seconds(4));
  DOCTEST_CHECK(fleet.AllSee(host, FleetState::kAlive));
  for (size_t i = 0; i < 18; ++i) {
    DOCTEST_CHECK(fleet.StateSeenBy(host, Fleet::HostAt(i)) ==
                  FleetState::kAlive);
  }
}

DOCTEST_TEST_CASE("a partition into two halves heals")
{
  Fleet fleet(16);
  std::set<std::string> firstHalf;
  for (size_t i = 0; i < 8; ++i) {
    firstHalf.insert(Fleet::HostAt(i));
  }
  fleet.Partition(firstHalf);
  fleet.Run(Seconds(6));
  DOCTEST_CHECK(fleet.View(Fleet::HostAt(0)).LiveMembers().size() == 8);
  fleet.Partition({});
  fleet.Run(Seconds(12));
  for (size_t i = 0; i < 16; ++i) {
    DOCTEST_CHECK(fleet.View(Fleet::HostAt(i)).LiveMembers().size() == 16);
  }
}

DOCTEST_TEST_CASE(
  "a restarted instance counts as alive even with a lower incarnation")
{
  Fleet fleet(12);
  std::string host = Fleet::HostAt(6);
  fleet.View(host).SetSelf(FleetState::kLeaving, false, true);
  fleet.Run(Seconds(1));
  fleet.Kill(host);
  fleet.Run(Seconds(3));
  fleet.Add(host, { Fleet::HostAt(0) }, 0);
  fleet.Run(Seconds(3));
  DOCTEST_CHECK(fleet.AllSee(host, FleetState::kAlive));
}

DOCTEST_TEST_CASE("an instance's datagram rate does not grow with the fleet")
{
  auto rate = [](size_t aCount) {
    Fleet fleet(aCount);
    fleet.Run(Seconds(5));
    size_t before = fleet.m_sent;
    fleet.Run(Seconds(10));
    return static_cast<double>(fleet.m_sent - before) /
           static_cast<double>(aCount * 10);
  };
  // One ping and one answer in each interval.
  constexpr double kPerSecond = 2 / 0.3;
  DOCTEST_CHECK(rate(16) < kPerSecond * 1.2);
  DOCTEST_CHECK(rate(64) < kPerSecond * 1.2);
}

DOCTEST_TEST_CASE(
  "instances that restart at once discover each other through a seed")
{
  Fleet fleet(10);
  for (size_t i = 1; i < 10; ++i) {
    fleet.Kill(Fleet::HostAt(i));
  }
  fleet.Run(Seconds(3));
  for (size_t i = 1; i < 10; ++i) {
    fleet.Add(Fleet::HostAt(i), { Fleet::HostAt(0) }, 2);
  }
  fleet.Run(Seconds(3));
  for (size_t i = 0; i < 10; ++i) {
    DOCTEST_CHECK(fleet.View(Fleet::HostAt(i)).LiveMembers().size() == 10);
  }
}

} // namespace
} // namespace ebonykeel
