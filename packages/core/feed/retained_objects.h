// What stays in force over a restore of the store although the store states
// something else.
//
// A store that comes back from a copy states what was true some seconds ago.
// Whoever wrote in that time writes again soon. Until then the states that were
// known before stay in force, each for a limited time.
//
//   RetainedObjects retained(options);
//   if (RetainedObjects::Outranks(known, stated)) retained.Keep(known, stated);
//   retained.StartHolds(now);                  // the list is complete
//   for (auto& object : retained.TakeExpired(now)) { ... }
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/feed/feed_object.h"

namespace ebonykeel {

// How long known states stay in force.
struct RetentionOptions
{
  // For an object that the restored store lacks: whoever wrote it writes it
  // again within this time if it still holds.
  Duration m_missingHold = Milliseconds(2300);
  // For a state that is later than the one in the restored store, and for a
  // removal; nothing if it stays until the store states one that is not
  // earlier.
  std::optional<Duration> m_laterHold = Milliseconds(2300);
};

// An object that stays in force, and for how long.
struct RetainedObject
{
  FeedObject m_object;
  // The position of the store's statement that it outranks.
  StorePosition m_against;
  // Nothing if there is no limit.
  std::optional<Duration> m_remaining;

  friend bool operator==(const RetainedObject&,
                         const RetainedObject&) = default;
};

// The retained objects of one feed.
class RetainedObjects
{
public:
  explicit RetainedObjects(RetentionOptions aOptions)
    : m_options(aOptions)
  {
  }

  // Returns whether the known state of an object stays in force although a
  // store of a later era states another one, which may come from its copy.
  [[nodiscard]] static bool Outranks(const FeedObject& aKnown,
                                     const FeedObject& aStated);

  // Returns whether a later state stays in force until the store states one
  // that is not earlier, whenever that was written.
  [[nodiscard]] bool NeverGoesBack() const { return !m_options.m_laterHold; }

  // Keeps a state in force against what the store states. Its hold begins at
  // the next `StartHolds`.
  void Keep(FeedObject aKnown, const FeedObject& aStated);
  // Keeps what another instance keeps, for its remaining time.
  void Adopt(RetainedObject aRetained, TimePoint aNow);
  void Drop(std::string_view aName);
  // Begins the holds that have not begun, as of `aSince`.
  void StartHolds(TimePoint aSince);

  [[nodiscard]] const FeedObject* Find(std::string_view aName) const;
  // Returns all objects with their remaining times at `aNow`.
  [[nodiscard]] std::vector<RetainedObject> All(TimePoint aNow) const;
  // Removes and returns the objects whose hold has ended.
  [[nodiscard]] std::vector<FeedObject> TakeExpired(TimePoint aNow);
  [[nodiscard]] size_t Count() const { return m_entries.size(); }

private:
  struct Entry
  {
    FeedObject m_object;
    StorePosition m_against;
    // How long the hold lasts; nothing if there is no limit.
    std::optional<Duration> m_hold;
    // Nothing before the hold begins, or if there is no limit.
    std::optional<TimePoint> m_until;
  };

  RetentionOptions m_options;
  std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace ebonykeel
