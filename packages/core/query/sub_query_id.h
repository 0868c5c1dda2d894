// Names for sub-queries that no other sub-query of any instance ever has.
//
//   SubQueryIds ids(bootId, queryNumber);
//   std::string id = ids.Next();
//   std::optional<uint64_t> number = QueryNumberOf(id, bootId);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/ids.h"

namespace ebonykeel {

// Names the sub-queries of one query: boot id, query number and a counter.
class SubQueryIds
{
public:
  // `aQueryNumber` is unique among the queries of the boot `aBoot`.
  SubQueryIds(BootId aBoot, uint64_t aQueryNumber);

  [[nodiscard]] std::string Next();

private:
  std::string m_prefix;
  uint32_t m_last = 0;
};

// Returns the query number in the sub-query id `aId`; nothing when the text is
// no such id or was made by another boot.
[[nodiscard]] std::optional<uint64_t>
QueryNumberOf(std::string_view aId, BootId aBoot);

} // namespace ebonykeel
