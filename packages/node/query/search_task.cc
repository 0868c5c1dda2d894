#include "node/query/search_task.h"

#include <utility>

#include "node/upstream/upstream_protocol.h"

namespace ebonykeel {

SearchTask::SearchTask(SubQuery aSubQuery, SubAnswerListener& aListener)
  : m_subQuery(std::move(aSubQuery))
  , m_listener(aListener)
{
}

const std::string&
SearchTask::RequestId() const
{
  return m_subQuery.m_id;
}

HttpRequest
SearchTask::MakeRequest(Duration aRemaining) const
{
  return MakeSearchRequest(m_subQuery, aRemaining);
}

void
SearchTask::OnRefused(MissingReason aReason)
{
  m_listener.OnSubAnswer(FailedAnswer(m_subQuery, aReason));
}

UpstreamResult
SearchTask::OnReply(const HttpReply& aReply, bool aCold)
{
  SearchReply reply = ReadSearchReply(m_subQuery, aReply);
  reply.m_answer.m_cold = aCold;
  m_listener.OnSubAnswer(std::move(reply.m_answer));
  return reply.m_upstreamResult;
}

SubAnswer
FailedAnswer(const SubQuery& aSubQuery, MissingReason aReason)
{
  return { .m_id = aSubQuery.m_id,
           .m_upstream = aSubQuery.m_upstream,
           .m_shard = aSubQuery.m_shard,
           .m_indexVersion = aSubQuery.m_indexVersion,
           .m_reason = aReason };
}

} // namespace ebonykeel
