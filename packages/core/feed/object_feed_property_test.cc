// Lets several feeds follow one store over drawn orders of changes, watches,
// lists, exchanges, late messages and restarts. A feed that counts as complete
// to a revision must hold exactly what the store held then, apart from objects
// of which it knows a later state.
#include <algorithm>
#include <array>
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

constexpr TimePoint kStart{ Seconds(100) };
constexpr size_t kFeeds = 4;
constexpr int kSeeds = 400;
constexpr int kSteps = 300;

using Contents = std::map<std::string, FeedObject>;

// The store's objects at each revision.
class StoreModel
{
public:
  StoreModel()
    : m_history{ {} }
  {
  }

  void Put(const std::string& aName, std::string aPayload)
  {
    Contents next = m_history.back();
    next[aName] = { .m_name = aName,
                    .m_position = { 1, m_history.size() },
                    .m_payload = std::move(aPayload) };
    m_history.push_back(std::move(next));
  }
  void Remove(const std::string& aName)
  {
    Contents next = m_history.back();
    next.erase(aName);
    m_history.push_back(std::move(next));
  }
  [[nodiscard]] StorePosition Now() const
  {
    return { .m_era = 1, .m_revision = m_history.size() - 1 };
  }
  [[nodiscard]] const Contents& At(const StorePosition& aPosition) const
  {
    return m_history[aPosition.m_revision];
  }

private:
  std::vector<Contents> m_history;
};

// What the store answers to a list, or to a watch from a revision: the last
// state of each object that changed.
struct StoreAnswer
{
  bool m_isList = false;
  StorePosition m_asOf;
  std::vector<FeedObject> m_objects;
};

StoreAnswer
AnswerList(const StoreModel& aStore)
{
  StoreAnswer answer{ .m_isList = true, .m_asOf = aStore.Now() };
  for (const auto& [name, object] : aStore.At(answer.m_asOf)) {
    answer.m_objects.push_back(object);
  }
  return answer;
}

StoreAnswer
AnswerWatch(const StoreModel& aStore, const StorePosition& aSince)
{
  StoreAnswer answer{ .m_asOf = aStore.Now() };
  const Contents& now = aStore.At(answer.m_asOf);
  std::map<std::string, FeedObject> changed;
  for (StorePosition past = aSince; past <= answer.m_asOf; ++past.m_revision) {
    for (const auto& [name, object] : aStore.At(past)) {
      bool gone = !now.contains(name);
      if (gone) {
        // The store states the last change before the removal.
        changed[name] = { .m_name = name,
                          .m_position = object.m_position,
                          .m_deleted = true };
      }
    }
  }
  for (const auto& [name, object] : now) {
    if (object.m_position > aSince) {
      changed[name] = object;
    }
  }
  for (const auto& [name, object] : changed) {
    answer.m_objects.push_back(object);
  }
  return answer;
}

// A message that is on its way to a feed.
struct Message
{
  size_t m_to = 0;
  uint64_t m_incarnation = 0;
  std::variant<StoreAnswer, FeedDelta> m_content;
};

class Simulation
{
public:
  explicit Simulation(uint32_t aSeed)
    : m_random(aSeed)
  {
  }

  void Step()
  {
    size_t feed = Below(kFeeds);
    switch (Below(10)) {
      case 0:
      case 1:
        ChangeStore();
        break;
      case 2:
        Send(feed, AnswerList(m_store));
        break;
      case 3:
      case 4:
        Watch(feed);
        break;
      case 5:
      case 6:
        Fetch(feed, Below(kFeeds));
        break;
      case 7:
        if (Below(4) == 0) {
          m_feeds[feed] = ObjectFeed();
          ++m_incarnations[feed];
        }
        break;
      default:
        DeliverOne();
    }
  }

  // Returns the name of an object whose state is wrong in a feed, if any.
  [[nodiscard]] std::optional<std::string> FindWrongObject() const
  {
    for (const ObjectFeed& feed : m_feeds) {
      const StorePosition& complete = feed.CompleteTo();
      if (!feed.WasComplete()) {
        continue;
      }
      const Contents& truth = m_store.At(complete);
      for (const std::string& name : kNames) {
        const FeedObject* known = feed.Find(name);
        bool isLater = known != nullptr && known->m_position > complete;
        bool exists = truth.contains(name);
        bool held = known != nullptr && !known->m_deleted;
        bool same = exists == held &&
                    (!exists || truth.at(name).m_payload == known->m_payload);
        if (!same && !isLater) {
          return name;
        }
      }
    }
    return std::nullopt;
  }

private:
  size_t Below(size_t aBound)
  {
    return std::uniform_int_distribution<size_t>(0, aBound - 1)(m_random);
  }

  void ChangeStore()
  {
    const std::string& name = kNames[Below(kNames.size())];
    const Contents& now = m_store.At(m_store.Now());
    if (now.contains(name) && Below(2) == 0) {
      m_store.Remove(name);
    } else {
      m_store.Put(name, Below(2) == 0 ? "x" : "y");
    }
  }

  void Send(size_t aTo, std::variant<StoreAnswer, FeedDelta> aContent)
  {
    m_messages.push_back({ aTo, m_incarnations[aTo], std::move(aContent) });
  }

  void Watch(size_t aFeed)
  {
    const StorePosition& since = m_feeds[aFeed].CompleteTo();
    if (m_feeds[aFeed].WasComplete()) {
      Send(aFeed, AnswerWatch(m_store, since));
    }
  }

  void Fetch(size_t aTo, size_t aFrom)
  {
    if (aTo != aFrom) {
      Send(aTo, m_feeds[aFrom].ChangesSince(m_feeds[aTo].CompleteTo(), kStart));
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
    Message message = std::move(*chosen);
    m_messages.erase(chosen);
    if (message.m_incarnation != m_incarnations[message.m_to]) {
      return;
    }
    ObjectFeed& feed = m_feeds[message.m_to];
    if (const auto* delta = std::get_if<FeedDelta>(&message.m_content)) {
      feed.Merge(*delta, kStart, [](const FeedObject&) {});
    } else {
      Apply(feed, std::get<StoreAnswer>(message.m_content));
    }
  }

  static void Apply(ObjectFeed& aFeed, const StoreAnswer& aAnswer)
  {
    for (const FeedObject& object : aAnswer.m_objects) {
      (void)aFeed.Apply(object, aAnswer.m_asOf);
    }
    if (aAnswer.m_isList) {
      for (const std::string& name : kNames) {
        bool listed =
          std::ranges::any_of(aAnswer.m_objects, [&](const auto& aObject) {
            return aObject.m_name == name;
          });
        if (!listed) {
          (void)aFeed.Apply({ .m_name = name, .m_deleted = true },
                            aAnswer.m_asOf);
        }
      }
      aFeed.ForgetRemovalsUpTo(aAnswer.m_asOf);
    }
    aFeed.MarkCompleteTo(aAnswer.m_asOf, kStart);
  }

  static inline const std::vector<std::string> kNames{ "a", "b", "c", "d" };

  std::mt19937 m_random;
  StoreModel m_store;
  std::array<ObjectFeed, kFeeds> m_feeds;
  std::array<uint64_t, kFeeds> m_incarnations{};
  std::vector<Message> m_messages;
};

DOCTEST_TEST_CASE("a feed holds what the store held at its complete revision")
{
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed);
    for (int step = 0; step < kSteps; ++step) {
      simulation.Step();
      std::optional<std::string> wrong = simulation.FindWrongObject();
      DOCTEST_CAPTURE(seed);
      DOCTEST_CAPTURE(step);
      DOCTEST_REQUIRE_FALSE(wrong.has_value());
    }
  }
}

} // namespace
} // namespace ebonykeel
