// How the attempts of a forwarded request and the request itself end.
//
//   ForwardResult result{ .m_status = ForwardStatus::kRefused,
//                         .m_retryAfter = Milliseconds(50),
//                         .m_reason = "no-replica" };
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

// How an attempt ended.
enum class AttemptOutcome
{
  // The upstream answered with success.
  kSuccess,
  // The upstream executed the request and answered with a failure.
  kFailure,
  // The upstream states that it did not execute the request.
  kNotExecuted,
  // A different upstream answered at the address; the request was not executed.
  kWrongInstance,
  // No byte of the request was sent.
  kNotSent,
  // Bytes were sent and no complete answer arrived: the request may have been
  // executed.
  kBroken,
};

// Returns the stable name of `aOutcome`, such as "not-sent".
[[nodiscard]] std::string_view
AttemptOutcomeName(AttemptOutcome aOutcome);

// Why an attempt was made.
enum class AttemptReason
{
  kFirst,
  kHedge,
  kRetry,
};

[[nodiscard]] std::string_view
AttemptReasonName(AttemptReason aReason);

enum class ForwardStatus
{
  // Every sub-request was answered.
  kWhole,
  // Enough sub-requests for a success were answered, but not all.
  kPartial,
  // An upstream's failure answer is passed on to the caller.
  kUpstreamFailure,
  // The request was not executed and will not be; the caller may retry after
  // `m_retryAfter`.
  kRefused,
  // The request failed and may have been executed.
  kFailed,
  // The time ran out and the request may have been executed.
  kTimedOut,
};

[[nodiscard]] std::string_view
ForwardStatusName(ForwardStatus aStatus);

// Identifies the attempt whose answer is used for a sub-request.
struct ChosenAnswer
{
  uint32_t m_subRequest = 0;
  uint32_t m_attempt = 0;
};

struct ForwardResult
{
  ForwardStatus m_status = ForwardStatus::kFailed;
  // The answers to use, at most one for each sub-request, in the order of the
  // sub-requests.
  std::vector<ChosenAnswer> m_answers;
  // Sub-requests without an answer.
  uint32_t m_missing = 0;
  // For `kRefused`.
  Duration m_retryAfter{};
  // A stable word for logs and answers, such as "no-replica".
  std::string_view m_reason;
};

} // namespace ebonykeel
