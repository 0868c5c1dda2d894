// The documents that a searcher stand-in finds. They depend only on service,
// shard, index version and query, so that a checker can tell which snapshot
// each hit belongs to: its name is "SERVICE/SHARD/vVERSION/NNN" and its text
// repeats the query.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/query/messages.h"

namespace ebonykeel::standins {

// The documents that each shard holds.
constexpr uint64_t kDocumentsPerShard = 100'000;

struct SearchResult
{
  std::vector<Hit> m_hits;
  // Matches in the shard, of which `m_hits` are the best.
  uint64_t m_total = 0;
};

// Returns the best `aLimit` matches, best first.
[[nodiscard]] SearchResult
SearchDocuments(std::string_view aService,
                std::string_view aShard,
                IndexVersion aVersion,
                std::string_view aQuery,
                uint32_t aLimit);

} // namespace ebonykeel::standins
