// Lets several instances follow one store that comes back from a copy, over
// drawn orders of writes, lists, watches, exchanges, restores, freezes and
// restarts. Messages arrive in any order, also those of older eras. The
// properties are those of docs/design/store-restore.md.
#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "core/feed/object_feed.h"

namespace ebonykeel {
namespace {

constexpr size_t kInstances = 4;
constexpr uint32_t kSeeds = 400;
constexpr int kSteps = 300;
constexpr Duration kLongestHold = Seconds(10);

enum Kind : size_t
{
  kConfigurations,
  kUpstreams,
  kEvacuations,
  kKinds,
};

constexpr std::array<RetentionOptions, kKinds> kRetention{ {
  { .m_laterHold = std::nullopt },
  { .m_missingHold = Milliseconds(2300), .m_laterHold = kLongestHold },
  { .m_missingHold = Seconds(5), .m_laterHold = Milliseconds(2300) },
} };

const std::array<std::vector<std::string>, kKinds> kNames{
  { { "main" }, { "u0", "u1", "u2" }, { "z0", "z1" } }
};

using Contents = std::map<std::string, FeedObject>;

// The store's objects at each position.
class StoreModel
{
public:
  [[nodiscard]] StorePosition Now() const
  {
    return { m_eras.size() - 1, m_eras.back().size() - 1 };
  }
  [[nodiscard]] const Contents& At(const StorePosition& aPosition) const
  {
    return m_eras[aPosition.m_era][aPosition.m_revision];
  }
  [[nodiscard]] const Contents& Current() const { return m_eras.back().back(); }

  void Write(FeedObject aObject)
  {
    Contents next = Current();
    if (aObject.m_deleted) {
      next.erase(aObject.m_name);
    } else {
      aObject.m_position = { Now().m_era, Now().m_revision + 1 };
      next[aObject.m_name] = std::move(aObject);
    }
    m_eras.back().push_back(std::move(next));
  }
  // Begins an era with a copy that lacks the last `aLostWrites` writes, but not
  // the first one.
  void Restore(size_t aLostWrites)
  {
    std::vector<Contents> copy = m_eras.back();
    copy.resize(copy.size() - std::min(aLostWrites, copy.size() - 2));
    for (Contents& contents : copy) {
      for (auto& [name, object] : contents) {
        object.m_position.m_era = m_eras.size();
      }
    }
    m_eras.push_back(std::move(copy));
  }

private:
  std::vector<std::vector<Contents>> m_eras{ { {} }, { {} } };
};

// What the store answers to a list, or to a watch: the last state of each
// object that changed.
struct StoreAnswer
{
  bool m_isList = false;
  StorePosition m_asOf;
  std::vector<FeedObject> m_objects;
};

// Answers a list, or a watch since `aSince`.
StoreAnswer
Answer(const StoreModel& aStore,
       Kind aKind,
       const std::optional<StorePosition>& aSince)
{
  StoreAnswer answer{ .m_isList = !aSince, .m_asOf = aStore.Now() };
  for (const std::string& name : kNames[aKind]) {
    auto object = aStore.Current().find(name);
    if (object != aStore.Current().end()) {
      if (!aSince || object->second.m_position > *aSince) {
        answer.m_objects.push_back(object->second);
      }
      continue;
    }
    bool existed = false;
    for (StorePosition past = aSince.value_or(answer.m_asOf);
         past <= answer.m_asOf;
         ++past.m_revision) {
      existed = existed || aStore.At(past).contains(name);
    }
    if (existed) {
      answer.m_objects.push_back({ .m_name = name, .m_deleted = true });
    }
  }
  return answer;
}

// A state in which an upstream gets no requests.
struct NotReady
{
  EntryOrder m_order;
  // When the hold ends that a restore began; nothing if there was none.
  std::optional<TimePoint> m_until;
};

// An instance: its feeds and what it has known.
struct Instance
{
  uint64_t m_incarnation = 0;
  bool m_frozen = false;
  std::array<ObjectFeed, kKinds> m_feeds{ ObjectFeed(kRetention[0]),
                                          ObjectFeed(kRetention[1]),
                                          ObjectFeed(kRetention[2]) };
  uint64_t m_version = 0;
  // The era of the feed of upstreams.
  uint64_t m_era = 0;
  // The latest state of each upstream that was known as draining or gone.
  std::map<std::string, NotReady> m_notReady;
  // When the holds end of which peers have told.
  std::map<std::string, TimePoint> m_toldHolds;
};

// A message that is on its way to a feed.
struct Message
{
  size_t m_to = 0;
  uint64_t m_incarnation = 0;
  Kind m_kind = kConfigurations;
  std::variant<StoreAnswer, FeedDelta> m_content;
};

class Simulation
{
public:
  explicit Simulation(uint32_t aSeed)
    : m_random(aSeed)
  {
    for (const auto& names : kNames) {
      for (const std::string& name : names) {
        m_written[name] = { .m_name = name, .m_deleted = true };
      }
    }
    WriteNew("main");
  }

  void Step()
  {
    auto kind = static_cast<Kind>(Below(kKinds));
    size_t to = Below(kInstances);
    switch (Below(16)) {
      case 0:
      case 1:
        WriteNew(AnyName());
        break;
      case 2:
        WriteAgain(AnyName());
        break;
      case 3:
        Send(to, kind, Answer(m_store, kind, std::nullopt));
        break;
      case 4:
      case 5:
        Watch(to, kind);
        break;
      case 6:
      case 7:
        Fetch(to, Below(kInstances), kind);
        break;
      case 8:
        Advance(Milliseconds(Below(20) == 0 ? 6000 : Below(600)));
        break;
      case 9:
        Disturb(to);
        break;
      default:
        DeliverOne();
    }
  }

  // Lets the writers write again what was lost, the holds end and all instances
  // exchange.
  void Settle()
  {
    for (Instance& instance : m_instances) {
      instance.m_frozen = false;
    }
    for (const auto& [name, object] : Contents(m_written)) {
      WriteAgain(name);
    }
    while (!m_messages.empty()) {
      DeliverOne();
    }
    for (size_t to = 0; to < kInstances; ++to) {
      for (size_t kind = 0; kind < kKinds; ++kind) {
        ObjectFeed& feed = m_instances[to].m_feeds[kind];
        if (to == 0 || Below(3) == 0) {
          Apply(feed, Answer(m_store, static_cast<Kind>(kind), std::nullopt));
        } else {
          feed.Merge(m_instances[Below(to)].m_feeds[kind].ChangesSince(
                       feed.CompleteTo(), m_now),
                     m_now,
                     [](const FeedObject&) {});
        }
      }
    }
    Advance(kLongestHold);
  }

  // Returns what is wrong, or an empty text.
  std::string FindFault()
  {
    for (size_t i = 0; i < kInstances; ++i) {
      Instance& instance = m_instances[i];
      for (size_t kind = 0; kind < kKinds; ++kind) {
        for (const std::string& name : kNames[kind]) {
          if (!HoldsTruth(instance.m_feeds[kind], name)) {
            return "instance " + std::to_string(i) + " holds a wrong " + name;
          }
        }
      }
      if (std::string fault = FindFault(instance); !fault.empty()) {
        return "instance " + std::to_string(i) + ": " + fault;
      }
    }
    return "";
  }

  // Returns the name of an object whose state in force differs from the store.
  [[nodiscard]] std::string FindUnsettled() const
  {
    for (const Instance& instance : m_instances) {
      for (size_t kind = 0; kind < kKinds; ++kind) {
        const ObjectFeed& feed = instance.m_feeds[kind];
        for (const std::string& name : kNames[kind]) {
          if (feed.CompleteTo() != m_store.Now() || feed.RetainedCount() != 0 ||
              !IsSame(feed.Find(name), m_store.Current(), name)) {
            return name;
          }
        }
      }
    }
    return "";
  }

private:
  size_t Below(size_t aBound)
  {
    return std::uniform_int_distribution<size_t>(0, aBound - 1)(m_random);
  }

  const std::string& AnyName()
  {
    auto chosen = m_written.begin();
    std::advance(chosen, Below(m_written.size()));
    return chosen->first;
  }

  void WriteNew(const std::string& aName)
  {
    FeedObject& object = m_written[aName];
    if (aName == "main") {
      object.m_deleted = false;
      object.m_payload = "v" + std::to_string(++object.m_order.m_start);
    } else if (aName.starts_with('z')) {
      object.m_deleted = !object.m_deleted;
      object.m_payload = "evacuated";
    } else if (object.m_deleted) {
      object.m_deleted = false;
      object.m_payload = "ready";
      object.m_order = { object.m_order.m_start + 1, 1 };
    } else if (Below(3) == 0) {
      object.m_deleted = true;
    } else {
      object.m_payload = Below(2) == 0 ? "draining" : "ready";
      ++object.m_order.m_sequence;
    }
    m_store.Write(object);
  }

  // Writes a lost state again. An upstream counts its writes; a configuration
  // may get another content.
  void WriteAgain(const std::string& aName)
  {
    FeedObject& object = m_written[aName];
    if (IsSame(&object, m_store.Current(), aName)) {
      return;
    }
    if (aName.starts_with('u') && !object.m_deleted) {
      ++object.m_order.m_sequence;
    } else if (aName == "main" && Below(4) == 0) {
      object.m_payload += "b";
    }
    m_store.Write(object);
  }

  void Send(size_t aTo,
            Kind aKind,
            std::variant<StoreAnswer, FeedDelta> aContent)
  {
    m_messages.push_back(
      { aTo, m_instances[aTo].m_incarnation, aKind, std::move(aContent) });
  }

  void Watch(size_t aTo, Kind aKind)
  {
    std::optional<StorePosition> since =
      m_instances[aTo].m_feeds[aKind].CompleteTo();
    // The store answers 410 for another era; a list follows.
    if (since->m_era != m_store.Now().m_era) {
      since.reset();
    }
    Send(aTo, aKind, Answer(m_store, aKind, since));
  }

  void Fetch(size_t aTo, size_t aFrom, Kind aKind)
  {
    if (aTo != aFrom && !m_instances[aFrom].m_frozen) {
      StorePosition since = m_instances[aTo].m_feeds[aKind].CompleteTo();
      Send(aTo,
           aKind,
           m_instances[aFrom].m_feeds[aKind].ChangesSince(since, m_now));
    }
  }

  void Advance(Duration aBy)
  {
    m_now += aBy;
    for (Instance& instance : m_instances) {
      for (ObjectFeed& feed : instance.m_feeds) {
        if (!instance.m_frozen) {
          (void)feed.ReleaseRetained(m_now);
        }
      }
    }
  }

  void Disturb(size_t aInstance)
  {
    Instance& instance = m_instances[aInstance];
    switch (Below(8)) {
      case 0:
        instance = Instance{ .m_incarnation = instance.m_incarnation + 1 };
        break;
      case 1:
        instance.m_frozen = true;
        break;
      case 2:
      case 3:
      case 4:
        instance.m_frozen = false;
        break;
      case 5:
      case 6:
        m_store.Restore(Below(10));
        break;
      default:
        break;
    }
  }

  // Delivers any of the messages, so that they arrive in any order.
  void DeliverOne()
  {
    if (m_messages.empty()) {
      return;
    }
    auto chosen =
      m_messages.begin() + static_cast<ptrdiff_t>(Below(m_messages.size()));
    Instance& to = m_instances[chosen->m_to];
    if (to.m_frozen) {
      return;
    }
    Message message = std::move(*chosen);
    m_messages.erase(chosen);
    if (message.m_incarnation != to.m_incarnation) {
      return;
    }
    ObjectFeed& feed = to.m_feeds[message.m_kind];
    if (const auto* delta = std::get_if<FeedDelta>(&message.m_content)) {
      for (const RetainedObject& retained : delta->m_retained) {
        to.m_toldHolds[retained.m_object.m_name] =
          m_now + retained.m_remaining.value_or(Duration{});
      }
      feed.Merge(*delta, m_now, [](const FeedObject&) {});
    } else {
      Apply(feed, std::get<StoreAnswer>(message.m_content));
    }
  }

  void Apply(ObjectFeed& aFeed, const StoreAnswer& aAnswer) const
  {
    std::vector<std::string> names;
    for (const FeedObject& object : aAnswer.m_objects) {
      (void)aFeed.Apply(object, aAnswer.m_asOf);
      names.push_back(object.m_name);
    }
    if (aAnswer.m_isList) {
      (void)aFeed.RemoveAllExcept(names, aAnswer.m_asOf);
      aFeed.ForgetRemovalsUpTo(aAnswer.m_asOf);
    }
    aFeed.MarkCompleteTo(aAnswer.m_asOf, m_now);
  }

  static bool IsSame(const FeedObject* aKnown,
                     const Contents& aTruth,
                     const std::string& aName)
  {
    auto truth = aTruth.find(aName);
    if (aKnown == nullptr || aKnown->m_deleted || truth == aTruth.end()) {
      return (aKnown == nullptr || aKnown->m_deleted) ==
             (truth == aTruth.end());
    }
    return aKnown->m_payload == truth->second.m_payload &&
           aKnown->m_order == truth->second.m_order;
  }

  // Returns whether what the feed tells peers is what the store held, and so is
  // what is in force if nothing is retained.
  [[nodiscard]] bool HoldsTruth(const ObjectFeed& aFeed,
                                const std::string& aName) const
  {
    if (!aFeed.WasComplete()) {
      return true;
    }
    const Contents& truth = m_store.At(aFeed.CompleteTo());
    FeedDelta all = aFeed.ChangesSince({}, m_now);
    auto stated = std::ranges::find(all.m_objects, aName, &FeedObject::m_name);
    return IsSame(stated == all.m_objects.end() ? nullptr : &*stated,
                  truth,
                  aName) &&
           (aFeed.RetainedCount() != 0 ||
            IsSame(aFeed.Find(aName), truth, aName));
  }

  // Checks what must not go back while the instance runs.
  std::string FindFault(Instance& aInstance) const
  {
    const FeedObject* main = aInstance.m_feeds[kConfigurations].Find("main");
    uint64_t version = main == nullptr ? 0 : main->m_order.m_start;
    if (version < aInstance.m_version || (main != nullptr && main->m_deleted)) {
      return "configuration " + std::to_string(aInstance.m_version) +
             " goes back to " + std::to_string(version);
    }
    aInstance.m_version = version;

    const ObjectFeed& upstreams = aInstance.m_feeds[kUpstreams];
    if (upstreams.CompleteTo().m_era != aInstance.m_era) {
      aInstance.m_era = upstreams.CompleteTo().m_era;
      for (auto& [name, known] : aInstance.m_notReady) {
        known.m_until = m_now + kLongestHold;
      }
    }
    for (const std::string& name : kNames[kUpstreams]) {
      const FeedObject* object = upstreams.Find(name);
      if (object == nullptr) {
        continue;
      }
      auto known = aInstance.m_notReady.find(name);
      bool isKnown = known != aInstance.m_notReady.end();
      bool isLater = !isKnown || object->m_order > known->second.m_order;
      if (object->m_deleted || object->m_payload == "draining") {
        bool isFromPeer = upstreams.RetainedCount() != 0 &&
                          object->m_position.m_era < aInstance.m_era;
        if (isLater) {
          aInstance.m_notReady[name] = {
            object->m_order,
            isFromPeer ? std::optional(aInstance.m_toldHolds[name])
                       : std::nullopt
          };
        }
      } else if (isKnown) {
        auto until = known->second.m_until;
        if (!isLater && (!until || m_now < *until)) {
          return name + " is ready before its hold has ended";
        }
        aInstance.m_notReady.erase(known);
      }
    }
    return "";
  }

  std::mt19937 m_random;
  TimePoint m_now{ Seconds(100) };
  StoreModel m_store;
  // What the writers wrote last.
  Contents m_written;
  std::array<Instance, kInstances> m_instances;
  std::vector<Message> m_messages;
};

// Guards against feeds that end in different states after restores, and against
// a configuration or an upstream that goes back to the copy's state too early.
DOCTEST_TEST_CASE("feeds follow a store that comes back from copies")
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed);
    DOCTEST_CAPTURE(seed);
    for (int step = 0; step < kSteps; ++step) {
      simulation.Step();
      DOCTEST_CAPTURE(step);
      DOCTEST_REQUIRE(simulation.FindFault() == "");
    }
    simulation.Settle();
    DOCTEST_REQUIRE(simulation.FindFault() == "");
    DOCTEST_REQUIRE(simulation.FindUnsettled() == "");
  }
}

} // namespace
} // namespace ebonykeel
