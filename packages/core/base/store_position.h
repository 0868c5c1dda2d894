// A place in the history of the platform's store.
//
// The store counts its changes. When it comes back from a copy, the count goes
// back and numbers are given out again, so that a revision alone names no
// place. The store states its era, which rises with each such restore.
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

namespace ebonykeel {

struct StorePosition
{
  // 0 if the store states none.
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

// Returns a text such as "3.105".
[[nodiscard]] inline std::string
FormatPosition(const StorePosition& aPosition)
{
  return std::to_string(aPosition.m_era) + "." +
         std::to_string(aPosition.m_revision);
}

// Parses a text of `FormatPosition`. Returns nothing for any other text.
[[nodiscard]] inline std::optional<StorePosition>
ParsePosition(std::string_view aText)
{
  StorePosition position;
  const char* end = aText.data() + aText.size();
  auto era = std::from_chars(aText.data(), end, position.m_era);
  if (era.ec != std::errc() || era.ptr == end || *era.ptr != '.') {
    return std::nullopt;
  }
  auto revision = std::from_chars(era.ptr + 1, end, position.m_revision);
  if (revision.ec != std::errc() || revision.ptr != end) {
    return std::nullopt;
  }
  return position;
}

} // namespace ebonykeel
