// The messages by which instances divide the quotas of workspaces.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/stable_hash.h"
#include "core/base/time.h"

namespace ebonykeel {

// Identifies a workspace in messages: a hash of its name.
using WorkspaceHash = uint64_t;

[[nodiscard]] constexpr WorkspaceHash
HashWorkspace(std::string_view aName)
{
  return StableHash(aName);
}

// The workspaces are in this many groups. In each data centre, one instance is
// the granter of a group.
inline constexpr uint32_t kQuotaGroups = 8;

[[nodiscard]] constexpr uint32_t
QuotaGroupOf(WorkspaceHash aWorkspace)
{
  return static_cast<uint32_t>(aWorkspace % kQuotaGroups);
}

// A set of groups; bit `i` stands for group `i`.
using QuotaGroupSet = uint8_t;

// The maximum number of workspaces in one message, which then has at most about
// 900 bytes.
inline constexpr size_t kMaxQuotaEntries = 36;

struct QuotaRequestEntry
{
  WorkspaceHash m_workspace = 0;
  uint32_t m_wanted = 0;
  // Tokens of earlier leases that the sender gives back.
  uint32_t m_returned = 0;

  friend bool operator==(const QuotaRequestEntry&,
                         const QuotaRequestEntry&) = default;
};

// Asks a granter for tokens.
struct QuotaRequest
{
  uint32_t m_group = 0;
  // Distinguishes runs of the sending process.
  uint64_t m_processStart = 0;
  // Greater in each new request of a run; a repeated request has the same.
  uint64_t m_sequence = 0;
  std::vector<QuotaRequestEntry> m_entries;

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

struct QuotaGrantEntry
{
  WorkspaceHash m_workspace = 0;
  uint32_t m_granted = 0;
  // If less was granted than wanted: the time until the granter has a token.
  Duration m_availableIn{};

  friend bool operator==(const QuotaGrantEntry&,
                         const QuotaGrantEntry&) = default;
};

// Answers a `QuotaRequest`.
struct QuotaGrant
{
  // Of the request.
  uint64_t m_processStart = 0;
  uint64_t m_sequence = 0;
  // Whether the sender took the request as the granter of the group. If not, it
  // grants nothing: it is not the granter, or it has answered a later request.
  bool m_isGranter = false;
  std::vector<QuotaGrantEntry> m_entries;

  friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

// Asks an instance of the same data centre to support the sender as the granter
// of groups.
struct QuotaVoteRequest
{
  uint64_t m_processStart = 0;
  uint64_t m_sequence = 0;
  QuotaGroupSet m_groups = 0;

  friend bool operator==(const QuotaVoteRequest&,
                         const QuotaVoteRequest&) = default;
};

// Answers a `QuotaVoteRequest`.
struct QuotaVote
{
  // Of the request.
  uint64_t m_processStart = 0;
  uint64_t m_sequence = 0;
  // The groups in which the sender supports the requester, and no other for a
  // while.
  QuotaGroupSet m_groups = 0;
  // The number of instances of the requester's data centre that the sender
  // remembers.
  uint32_t m_knownInstances = 0;

  friend bool operator==(const QuotaVote&, const QuotaVote&) = default;
};

using QuotaMessage =
  std::variant<QuotaRequest, QuotaGrant, QuotaVoteRequest, QuotaVote>;

} // namespace ebonykeel
