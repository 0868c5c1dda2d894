// A place in the history of the platform's store.
//
// The store counts its changes. When it comes back from a copy, the count goes
// back and numbers are given out again, so that a revision alone names no
// place. The store states its era, which rises with each such restore.
//
// An era is more than the number that the store states: see store_era.h.
//
// Positions are made by the code that reads the store's answers and the
// messages of other instances. There is no arithmetic on them.
//
//   StorePosition before{ .m_era = 2, .m_revision = 120 };
//   StorePosition after{ .m_era = 3, .m_revision = 105 };
//   before < after;  // true: the era counts first
#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/base/store_era.h"

namespace ebonykeel {

struct StorePosition
{
  // As of store_era.h; 0 if the store states none.
  uint64_t m_era = 0;
  // 0 before the first change.
  uint64_t m_revision = 0;

  friend bool operator==(const StorePosition&, const StorePosition&) = default;
  friend std::strong_ordering operator<=>(const StorePosition& aLeft,
                                          const StorePosition& aRight)
  {
    return std::tie(aLeft.m_era, aLeft.m_revision) <=>
           std::tie(aRight.m_era, aRight.m_revision);
  }
};

// Returns a text such as "3", or "1:3" after a correction.
[[nodiscard]] inline std::string
FormatEra(uint64_t aEra)
{
  std::string stated = std::to_string(StatedEra(aEra));
  uint64_t corrections = CorrectionsOf(aEra);
  return corrections == 0 ? stated : std::to_string(corrections) + ":" + stated;
}

// Returns a text such as "3.105", or "1:3.105" after a correction.
[[nodiscard]] inline std::string
FormatPosition(const StorePosition& aPosition)
{
  return FormatEra(aPosition.m_era) + "." +
         std::to_string(aPosition.m_revision);
}

// Parses a text of `FormatPosition`. Returns nothing for any other text.
[[nodiscard]] inline std::optional<StorePosition>
ParsePosition(std::string_view aText)
{
  // Reads a number that `aEnd` follows, and drops both; nothing if there is
  // none.
  auto readUntil = [&](char aEnd) -> std::optional<uint64_t> {
    uint64_t number = 0;
    const char* end = aText.data() + aText.size();
    auto read = std::from_chars(aText.data(), end, number);
    if (read.ec != std::errc() || read.ptr == end || *read.ptr != aEnd) {
      return std::nullopt;
    }
    aText.remove_prefix(static_cast<size_t>(read.ptr + 1 - aText.data()));
    return number;
  };
  uint64_t corrections = readUntil(':').value_or(0);
  std::optional<uint64_t> stated = readUntil('.');
  StorePosition position;
  const char* end = aText.data() + aText.size();
  auto revision = std::from_chars(aText.data(), end, position.m_revision);
  if (!stated || *stated > kMaxStatedEra || revision.ec != std::errc() ||
      revision.ptr != end) {
    return std::nullopt;
  }
  position.m_era = MakeEra(corrections, *stated);
  return position;
}

} // namespace ebonykeel
