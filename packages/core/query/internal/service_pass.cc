#include "core/query/internal/service_pass.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace ebonykeel::internal {

bool
ShardState::HasOpenAttempt() const
{
  return std::ranges::any_of(m_attempts, &Attempt::m_open);
}

Attempt*
ShardState::FindAttempt(const std::string& aId)
{
  auto found = std::ranges::find(m_attempts, aId, &Attempt::m_id);
  return found == m_attempts.end() ? nullptr : &*found;
}

std::vector<UpstreamId>
ShardState::TriedUpstreams() const
{
  std::vector<UpstreamId> tried;
  std::ranges::transform(
    m_attempts, std::back_inserter(tried), &Attempt::m_upstream);
  return tried;
}

ServicePass::ServicePass(ServiceSnapshot aSnapshot)
  : m_snapshot(std::move(aSnapshot))
{
  for (const ShardConfig& shard : m_snapshot.m_service->m_shards) {
    m_shards.emplace_back().m_shard = &shard;
  }
}

uint32_t
ServicePass::AnsweredShards() const
{
  auto answered = std::ranges::count_if(m_shards, [](const ShardState& aShard) {
    return aShard.m_whole.has_value();
  });
  return static_cast<uint32_t>(answered);
}

ServiceAnswer
ServicePass::Assemble(uint32_t aLimit) const
{
  ServiceAnswer answer;
  answer.m_service = m_snapshot.m_service->m_name;
  answer.m_indexVersion = m_snapshot.Version();
  answer.m_coverage.m_shards = static_cast<uint32_t>(m_shards.size());
  answer.m_coverage.m_answered = AnsweredShards();
  std::vector<Hit> hits;
  for (const ShardState& shard : m_shards) {
    const auto& used = shard.m_whole ? shard.m_whole : shard.m_partial;
    if (used) {
      std::ranges::copy(used->m_hits, std::back_inserter(hits));
    }
    if (!shard.m_whole) {
      bool partial = shard.m_partial.has_value();
      answer.m_coverage.m_missing.push_back(
        { shard.m_shard->m_name,
          partial ? MissingReason::kNone : shard.m_reason,
          partial });
    }
  }
  answer.m_hits = BestHits(std::move(hits), aLimit);
  return answer;
}

std::vector<Hit>
BestHits(std::vector<Hit> aHits, uint32_t aLimit)
{
  auto better = [](const Hit& aLeft, const Hit& aRight) {
    return std::tie(aRight.m_score, aLeft.m_document) <
           std::tie(aLeft.m_score, aRight.m_document);
  };
  size_t kept = std::min<size_t>(aLimit, aHits.size());
  auto middle = aHits.begin() + static_cast<std::ptrdiff_t>(kept);
  std::ranges::partial_sort(aHits, middle, better);
  aHits.erase(middle, aHits.end());
  return aHits;
}

} // namespace ebonykeel::internal
