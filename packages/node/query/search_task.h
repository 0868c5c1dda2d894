// The upstream task of a sub-query.
#pragma once

#include <string>

#include "core/query/messages.h"
#include "node/upstream/upstream_service.h"

namespace ebonykeel {

// Receives the answers to sub-queries.
class SubAnswerListener
{
public:
  virtual ~SubAnswerListener() = default;
  virtual void OnSubAnswer(SubAnswer aAnswer) = 0;
};

// Reports one answer to its listener, which must outlive the task or cancel it.
class SearchTask final : public UpstreamTask
{
public:
  SearchTask(SubQuery aSubQuery, SubAnswerListener& aListener);

  [[nodiscard]] const std::string& RequestId() const override;
  [[nodiscard]] HttpRequest MakeRequest(Duration aRemaining) const override;
  void OnRefused(MissingReason aReason) override;
  UpstreamResult OnReply(const HttpReply& aReply, bool aCold) override;

private:
  SubQuery m_subQuery;
  SubAnswerListener& m_listener;
};

// Returns an answer without hits: `aSubQuery` failed for `aReason`.
[[nodiscard]] SubAnswer
FailedAnswer(const SubQuery& aSubQuery, MissingReason aReason);

} // namespace ebonykeel
