// What travels between an owner and an upstream over HTTP, and the strict
// reading of what comes back.
//
// Nothing that an upstream answers is believed unless it names the request,
// service, shard and index version that it was asked for.
#pragma once

#include <string>

#include "core/query/messages.h"
#include "core/upstream/upstream_dispatcher.h"
#include "core/upstream/work.h"
#include "runtime/http/client.h"

namespace ebonykeel {

// What a reply to a search means for the query and for the upstream's gate.
struct SearchReply
{
  SubAnswer m_answer;
  UpstreamResult m_result;
};

[[nodiscard]] HttpRequest
MakeSearchRequest(const SubQuery& aSubQuery, Duration aRemaining);

[[nodiscard]] SearchReply
ReadSearchReply(const SubQuery& aSubQuery, const HttpReply& aReply);

// One request that must run at most once, as it goes to an upstream.
struct UpstreamFiling
{
  ServiceName m_service;
  std::string m_operation;
  CallerName m_caller;
  RequestId m_requestId;
  std::string m_payload;
  ShardName m_shard;
  UpstreamId m_upstream;
};

// What became of it.
struct UpstreamFilingReply
{
  Outcome m_outcome = Outcome::kUnknown;
  MissingReason m_reason = MissingReason::kNone;
  std::string m_result;
  UpstreamResult m_upstream;
};

// Returns the id under which the upstream knows the request: caller and
// request id together, since two callers may use the same request id.
[[nodiscard]] std::string
FilingRequestId(const UpstreamFiling& aRequest);

[[nodiscard]] HttpRequest
MakeFilingRequest(const UpstreamFiling& aRequest, Duration aRemaining);

[[nodiscard]] UpstreamFilingReply
ReadFilingReply(const UpstreamFiling& aRequest, const HttpReply& aReply);

[[nodiscard]] ProbeResult
ReadProbe(const HttpReply& aReply);

} // namespace ebonykeel
