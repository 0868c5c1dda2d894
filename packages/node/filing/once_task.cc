#include "node/filing/once_task.h"

#include <utility>

namespace ebonykeel {

OnceTask::OnceTask(OnceRequest aRequest,
                   kj::Own<kj::PromiseFulfiller<DispatchResult>> aFulfiller)
  : m_request(std::move(aRequest))
  , m_name(OnceRequestName(m_request))
  , m_fulfiller(kj::mv(aFulfiller))
{
}

const std::string&
OnceTask::RequestId() const
{
  return m_name;
}

HttpRequest
OnceTask::MakeRequest(Duration aRemaining) const
{
  return MakeOnceRequest(m_request, aRemaining);
}

void
OnceTask::OnRefused(MissingReason aReason)
{
  m_fulfiller->fulfill({ .m_outcome = Outcome::kNotRun, .m_reason = aReason });
}

UpstreamResult
OnceTask::OnReply(const HttpReply& aReply, bool /* aCold */)
{
  OnceReply reply = ReadOnceReply(m_request, aReply);
  m_fulfiller->fulfill({ .m_outcome = reply.m_outcome,
                         .m_reason = reply.m_reason,
                         .m_result = std::move(reply.m_result) });
  return reply.m_upstream;
}

kj::Promise<DispatchResult>
SubmitOnce(UpstreamService& aUpstreams,
           OnceRequest aRequest,
           TimePoint aDeadline)
{
  auto paf = kj::newPromiseAndFulfiller<DispatchResult>();
  UpstreamId upstream = aRequest.m_upstream;
  UpstreamWork work{ .m_deadline = aDeadline, .m_caller = aRequest.m_caller };
  (void)aUpstreams.Submit(
    upstream,
    work,
    kj::heap<OnceTask>(std::move(aRequest), kj::mv(paf.fulfiller)));
  return kj::mv(paf.promise);
}

} // namespace ebonykeel
