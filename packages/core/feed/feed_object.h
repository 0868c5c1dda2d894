// An object of the store as a feed holds it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

#include "core/base/store_position.h"

namespace ebonykeel {

// What an entry states itself about the order of its states, for comparisons
// across eras of the store. Both are 0 if it states nothing.
struct EntryOrder
{
  // The start of the upstream in Unix milliseconds, or the version of a
  // configuration.
  uint64_t m_start = 0;
  // Counts the writes since that start.
  uint64_t m_sequence = 0;

  friend std::strong_ordering operator<=>(const EntryOrder& aLeft,
                                          const EntryOrder& aRight)
  {
    return std::tie(aLeft.m_start, aLeft.m_sequence) <=>
           std::tie(aRight.m_start, aRight.m_sequence);
  }
  friend bool operator==(const EntryOrder&, const EntryOrder&) = default;
};

// One object, or the tombstone of a removed one.
struct FeedObject
{
  std::string m_name;
  // The position at which the object got this content, or a later one of the
  // same era at which it had it. Never one that the store has not reached: it
  // would hide the change that gets this position.
  StorePosition m_position;
  bool m_deleted = false;
  std::string m_payload;
  // For a tombstone: that of the last state before the removal.
  EntryOrder m_order;

  friend bool operator==(const FeedObject&, const FeedObject&) = default;
};

} // namespace ebonykeel
