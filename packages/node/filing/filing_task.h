// The upstream task of a filing.
#pragma once

#include <string>

#include <kj/async.h>

#include "core/filing/filing_run.h"
#include "node/upstream/upstream_protocol.h"
#include "node/upstream/upstream_service.h"

namespace ebonykeel {

// Fulfils its promise with the result of the filing.
class FilingTask final : public UpstreamTask
{
public:
  FilingTask(UpstreamFiling aRequest,
             kj::Own<kj::PromiseFulfiller<DispatchResult>> aFulfiller);
  ~FilingTask() noexcept override = default;

  [[nodiscard]] const std::string& RequestId() const override;
  [[nodiscard]] HttpRequest MakeRequest(Duration aRemaining) const override;
  void OnRefused(MissingReason aReason) override;
  UpstreamResult OnReply(const HttpReply& aReply, bool aCold) override;

private:
  UpstreamFiling m_request;
  std::string m_requestId;
  kj::Own<kj::PromiseFulfiller<DispatchResult>> m_fulfiller;
};

// Submits `aRequest` to the dispatcher of its upstream. Resolves with the
// result.
[[nodiscard]] kj::Promise<DispatchResult>
SubmitFiling(UpstreamService& aUpstreams,
             UpstreamFiling aRequest,
             TimePoint aDeadline);

} // namespace ebonykeel
