// The HTTP requests that an owner sends to an upstream, and the validation of
// the replies.
//
// A search answer is accepted only if it names the request, service, shard and
// index version of its sub-query, and a filing answer only if it names its
// request.
#pragma once

#include <string>

#include "core/query/messages.h"
#include "core/upstream/upstream_dispatcher.h"
#include "core/upstream/work.h"
#include "runtime/http/client.h"

namespace ebonykeel {

// The reply to a search: the answer for the query, and the result for the
// upstream's dispatcher.
struct SearchReply
{
  SubAnswer m_answer;
  UpstreamResult m_upstreamResult;
};

[[nodiscard]] HttpRequest
MakeSearchRequest(const SubQuery& aSubQuery, Duration aRemaining);

[[nodiscard]] SearchReply
ReadSearchReply(const SubQuery& aSubQuery, const HttpReply& aReply);

// A filing, which must run at most once, as it is sent to an upstream.
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

// The reply to a filing: its outcome, and the result for the upstream's
// dispatcher.
struct UpstreamFilingReply
{
  Outcome m_outcome = Outcome::kUnknown;
  MissingReason m_reason = MissingReason::kNone;
  std::string m_result;
  UpstreamResult m_upstreamResult;
};

// Returns the id that identifies the filing at the upstream. It combines the
// caller and the request id, since two callers may use the same request id.
[[nodiscard]] std::string
FilingRequestId(const UpstreamFiling& aRequest);

[[nodiscard]] HttpRequest
MakeFilingRequest(const UpstreamFiling& aRequest, Duration aRemaining);

[[nodiscard]] UpstreamFilingReply
ReadFilingReply(const UpstreamFiling& aRequest, const HttpReply& aReply);

[[nodiscard]] ProbeResult
ReadProbe(const HttpReply& aReply);

} // namespace ebonykeel
