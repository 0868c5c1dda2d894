// Interface through which commands send requests to an instance. Abstract, so
// that commands can be tested without sockets.
#pragma once

#include <string>

#include "core/base/time.h"
#include "runtime/http/message.h"

namespace ebonykeel::cli {

// The progress that a call made.
enum class CallStatus
{
  // The instance answered; the response is valid.
  kAnswered,
  // No part of the request was sent.
  kNotSent,
  // Some of the request was sent, but no answer arrived.
  kNoAnswer,
};

struct CallResult
{
  CallStatus m_status = CallStatus::kNotSent;
  HttpResponse m_response;
  // The reason why there is no answer.
  std::string m_problem;
};

class InstanceClient
{
public:
  virtual ~InstanceClient() = default;
  // Sends one request and waits at most `aTimeout` for its answer.
  virtual CallResult Call(const Endpoint& aInstance,
                          const HttpRequest& aRequest,
                          Duration aTimeout) = 0;
  virtual void Pause(Duration aSpan) = 0;
  // Returns the current monotonic time.
  [[nodiscard]] virtual TimePoint Now() = 0;
};

} // namespace ebonykeel::cli
