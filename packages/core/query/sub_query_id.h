// Sub-query ids that are unique over all instances and their restarts.
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

// Generates the sub-query ids of one query. An id consists of the boot id, the
// query number and a counter.
class SubQueryIds
{
public:
  // `aQueryNumber` must be unique among the queries of the boot `aBoot`.
  SubQueryIds(BootId aBoot, uint64_t aQueryNumber);

  [[nodiscard]] std::string Next();

private:
  std::string m_prefix;
  uint32_t m_last = 0;
};

// Returns the query number in the sub-query id `aId`, or nullopt if `aId` is
// not a valid id or belongs to another boot.
[[nodiscard]] std::optional<uint64_t>
QueryNumberOf(std::string_view aId, BootId aBoot);

} // namespace ebonykeel
