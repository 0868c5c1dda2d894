// A granter's state: the token buckets of workspaces, out of which it grants
// leases to instances.
//
//   QuotaGranter granter(policy, election);
//   granter.SetWorkspaces(config.m_workspaces, now);
//   QuotaGrant grant = granter.OnRequest("10.1.0.9", request, now);
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "core/quota/granter_election.h"
#include "core/quota/quota_message.h"
#include "core/quota/quota_policy.h"
#include "core/quota/token_bucket.h"
#include "core/traffic/traffic_config.h"

namespace ebonykeel {

class QuotaGranter
{
public:
  // `aElection` must outlive the granter.
  QuotaGranter(const QuotaPolicy& aPolicy, const GranterElection& aElection);

  // Sets the limits; they take effect at once.
  void SetWorkspaces(std::span<const Workspace> aWorkspaces, TimePoint aNow);
  // Returns the answer. A request that arrives again has the same answer and
  // grants nothing more; one that is older than the latest grants nothing.
  [[nodiscard]] QuotaGrant OnRequest(const std::string& aSender,
                                     const QuotaRequest& aRequest,
                                     TimePoint aNow);

  // The number of tokens that were granted.
  [[nodiscard]] uint64_t Granted() const { return m_granted; }

private:
  struct Budget
  {
    // A workspace without a limit gets what it asks for.
    bool m_isLimited = false;
    TokenBucket m_bucket;
    // The term of this instance as granter for which the bucket is filled.
    TimePoint m_termSince;
    // When the workspace was removed from the configuration.
    std::optional<TimePoint> m_removedAt;
  };
  struct RecentGrant
  {
    TimePoint m_at;
    uint32_t m_tokens = 0;
  };
  // What one run of an instance asked for.
  struct Client
  {
    uint64_t m_processStart = 0;
    std::array<uint64_t, kQuotaGroups> m_sequences{};
    std::array<QuotaGrant, kQuotaGroups> m_answers;
    // Grants that may still be returned.
    std::unordered_map<WorkspaceHash, std::deque<RecentGrant>> m_recent;
    TimePoint m_lastRequest;
  };

  [[nodiscard]] QuotaGrantEntry Grant(Client& aClient,
                                      uint32_t aGroup,
                                      const QuotaRequestEntry& aEntry,
                                      TimePoint aNow);
  // Returns how many of `aReturned` tokens were granted to the client so
  // recently that they may be returned.
  [[nodiscard]] uint32_t TakeRecent(Client& aClient,
                                    const QuotaRequestEntry& aEntry,
                                    TimePoint aNow) const;
  // Forgets clients that have not asked for long.
  void Prune(TimePoint aNow);

  QuotaPolicy m_policy;
  const GranterElection& m_election;
  TokenBucketOptions m_bucketOptions;
  std::unordered_map<WorkspaceHash, Budget> m_budgets;
  std::map<std::string, Client> m_clients;
  TimePoint m_prunedAt;
  uint64_t m_granted = 0;
};

} // namespace ebonykeel
