#include "core/quota/quota_granter.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace ebonykeel {
namespace {

// How long an instance that asks for nothing is remembered: longer than a
// request may be delayed, so that none is granted twice.
constexpr Duration kClientRetention = Seconds(60);
constexpr Duration kPruneInterval = Seconds(10);
// How long the bucket of a removed workspace is kept.
constexpr Duration kRemovedRetention = Seconds(60);
// The delay that is stated for a workspace which this instance does not know
// yet: a newer configuration is usually there by then.
constexpr Duration kUnknownWorkspaceDelay = Milliseconds(500);

} // namespace

QuotaGranter::QuotaGranter(const QuotaPolicy& aPolicy,
                           const GranterElection& aElection)
  : m_policy(aPolicy)
  , m_election(aElection)
  , m_bucketOptions{ .m_returnHorizon = aPolicy.LeaseLifetime() * 5 / 4,
                     .m_window = aPolicy.Window() }
{
}

void
QuotaGranter::SetWorkspaces(std::span<const Workspace> aWorkspaces,
                            TimePoint aNow)
{
  std::set<WorkspaceHash> present;
  for (const Workspace& workspace : aWorkspaces) {
    WorkspaceHash hash = HashWorkspace(workspace.m_name);
    if (!present.insert(hash).second) {
      continue;
    }
    TokenBucket emptyBucket(m_bucketOptions, aNow);
    auto [found, isNew] =
      m_budgets.try_emplace(hash, Budget{ false, emptyBucket, {}, {} });
    Budget& budget = found->second;
    budget.m_removedAt.reset();
    bool isLimited = workspace.m_ratePerSecond > 0;
    if (isLimited && !budget.m_isLimited) {
      budget.m_bucket = emptyBucket;
    }
    budget.m_isLimited = isLimited;
    budget.m_bucket.SetLimit(
      m_policy.DataCentreLimit(workspace.m_ratePerSecond, workspace.m_burst),
      aNow);
  }
  // A workspace that is removed and added again keeps its bucket, so that it
  // does not get its burst twice.
  for (auto& [hash, budget] : m_budgets) {
    if (!present.contains(hash) && !budget.m_removedAt) {
      budget.m_removedAt = aNow;
    }
  }
  std::erase_if(m_budgets, [&](const auto& aEntry) {
    const std::optional<TimePoint>& removedAt = aEntry.second.m_removedAt;
    return removedAt && aNow - *removedAt >= kRemovedRetention;
  });
}

QuotaGrant
QuotaGranter::OnRequest(const std::string& aSender,
                        const QuotaRequest& aRequest,
                        TimePoint aNow)
{
  QuotaGrant answer{ .m_processStart = aRequest.m_processStart,
                     .m_sequence = aRequest.m_sequence };
  uint32_t group = aRequest.m_group;
  if (group >= kQuotaGroups || !m_election.IsGranter(group, aNow)) {
    return answer;
  }
  Prune(aNow);
  Client& client = m_clients[aSender];
  if (client.m_processStart != aRequest.m_processStart) {
    client = {};
    client.m_processStart = aRequest.m_processStart;
  }
  client.m_lastRequest = aNow;
  uint64_t& sequence = client.m_sequences[group];
  if (aRequest.m_sequence < sequence) {
    return answer;
  }
  if (aRequest.m_sequence == sequence) {
    return client.m_answers[group];
  }
  sequence = aRequest.m_sequence;
  answer.m_isGranter = true;
  std::ranges::transform(aRequest.m_entries,
                         std::back_inserter(answer.m_entries),
                         [&](const QuotaRequestEntry& aEntry) {
                           return Grant(client, group, aEntry, aNow);
                         });
  client.m_answers[group] = answer;
  return answer;
}

QuotaGrantEntry
QuotaGranter::Grant(Client& aClient,
                    uint32_t aGroup,
                    const QuotaRequestEntry& aEntry,
                    TimePoint aNow)
{
  QuotaGrantEntry grant{ .m_workspace = aEntry.m_workspace };
  auto found = m_budgets.find(aEntry.m_workspace);
  if (found == m_budgets.end() || QuotaGroupOf(aEntry.m_workspace) != aGroup) {
    grant.m_availableIn = kUnknownWorkspaceDelay;
    return grant;
  }
  Budget& budget = found->second;
  if (!budget.m_isLimited) {
    grant.m_granted = aEntry.m_wanted;
    return grant;
  }
  TimePoint termSince = m_election.GranterSince(aGroup);
  if (budget.m_termSince != termSince) {
    // Another instance may have granted the tokens before this term.
    budget.m_bucket.Clear(std::min(termSince, aNow));
    budget.m_termSince = termSince;
  }
  uint32_t returned = TakeRecent(aClient, aEntry, aNow);
  (void)budget.m_bucket.Return(returned, aNow);
  grant.m_granted = budget.m_bucket.Take(aEntry.m_wanted, aNow);
  if (grant.m_granted > 0) {
    aClient.m_recent[aEntry.m_workspace].push_back({ aNow, grant.m_granted });
    m_granted += grant.m_granted;
  }
  if (grant.m_granted < aEntry.m_wanted) {
    grant.m_availableIn = budget.m_bucket.UntilAvailable(aNow);
  }
  return grant;
}

uint32_t
QuotaGranter::TakeRecent(Client& aClient,
                         const QuotaRequestEntry& aEntry,
                         TimePoint aNow) const
{
  auto found = aClient.m_recent.find(aEntry.m_workspace);
  if (found == aClient.m_recent.end()) {
    return 0;
  }
  std::deque<RecentGrant>& recent = found->second;
  while (!recent.empty() &&
         aNow - recent.front().m_at >= m_policy.LeaseLifetime()) {
    recent.pop_front();
  }
  uint32_t taken = 0;
  for (RecentGrant& grant : recent) {
    uint32_t part = std::min(grant.m_tokens, aEntry.m_returned - taken);
    grant.m_tokens -= part;
    taken += part;
  }
  return taken;
}

void
QuotaGranter::Prune(TimePoint aNow)
{
  if (aNow - m_prunedAt < kPruneInterval) {
    return;
  }
  m_prunedAt = aNow;
  std::erase_if(m_clients, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_lastRequest >= kClientRetention;
  });
}

} // namespace ebonykeel
