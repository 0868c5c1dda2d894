// Generates the hits that an upstream stand-in returns for a query. They depend
// only on the service, the shard, the index version, the query and the limit,
// so that a test can check which snapshot each hit comes from: a document is
// named "SERVICE/SHARD/vVERSION/NNN", and its text contains the query.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/ids.h"
#include "core/query/messages.h"

namespace ebonykeel::standins {

// The number of documents that each shard reports as searched.
constexpr uint64_t kDocumentsPerShard = 100'000;

struct SearchResult
{
  std::vector<Hit> m_hits;
  // The number of matches in the shard; `m_hits` are the best of them.
  uint64_t m_total = 0;
};

// Returns the best `aLimit` matches in descending order of score.
[[nodiscard]] SearchResult
SearchDocuments(std::string_view aService,
                std::string_view aShard,
                IndexVersion aVersion,
                std::string_view aQuery,
                uint32_t aLimit);

} // namespace ebonykeel::standins
