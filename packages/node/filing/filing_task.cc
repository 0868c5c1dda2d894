#include "node/filing/filing_task.h"

#include <utility>

namespace ebonykeel {

FilingTask::FilingTask(UpstreamFiling aRequest,
                       kj::Own<kj::PromiseFulfiller<DispatchResult>> aFulfiller)
  : m_request(std::move(aRequest))
  , m_requestId(FilingRequestId(m_request))
  , m_fulfiller(kj::mv(aFulfiller))
{
}

const std::string&
FilingTask::RequestId() const
{
  return m_requestId;
}

HttpRequest
FilingTask::MakeRequest(Duration aRemaining) const
{
  return MakeFilingRequest(m_request, aRemaining);
}

void
FilingTask::OnRefused(MissingReason aReason)
{
  m_fulfiller->fulfill({ .m_outcome = Outcome::kNotRun, .m_reason = aReason });
}

UpstreamResult
FilingTask::OnReply(const HttpReply& aReply, bool /* aCold */)
{
  UpstreamFilingReply reply = ReadFilingReply(m_request, aReply);
  m_fulfiller->fulfill({ .m_outcome = reply.m_outcome,
                         .m_reason = reply.m_reason,
                         .m_result = std::move(reply.m_result) });
  return reply.m_upstreamResult;
}

kj::Promise<DispatchResult>
SubmitFiling(UpstreamService& aUpstreams,
             UpstreamFiling aRequest,
             TimePoint aDeadline)
{
  auto paf = kj::newPromiseAndFulfiller<DispatchResult>();
  UpstreamId upstream = aRequest.m_upstream;
  UpstreamWork work{ .m_deadline = aDeadline, .m_caller = aRequest.m_caller };
  (void)aUpstreams.Submit(
    upstream,
    work,
    kj::heap<FilingTask>(std::move(aRequest), kj::mv(paf.fulfiller)));
  return kj::mv(paf.promise);
}

} // namespace ebonykeel
