// How the tool talks to a node. Abstract, so that commands are tested without
// sockets.
#pragma once

#include <string>

#include "core/base/time.h"
#include "runtime/http/message.h"

namespace ebonykeel::cli {

// How far a call got.
enum class CallStatus
{
  // The node answered; see the response.
  kAnswered,
  // Nothing was sent.
  kNotSent,
  // Something was sent, and no answer came.
  kNoAnswer,
};

struct CallResult
{
  CallStatus m_status = CallStatus::kNotSent;
  HttpResponse m_response;
  // Why there is no answer.
  std::string m_problem;
};

class InstanceClient
{
public:
  virtual ~InstanceClient() = default;
  // Sends one request and waits for its answer for at most `aTimeout`.
  virtual CallResult Call(const Endpoint& aInstance,
                          const HttpRequest& aRequest,
                          Duration aTimeout) = 0;
  // Waits for `aSpan`.
  virtual void Pause(Duration aSpan) = 0;
  // Returns the monotonic time.
  [[nodiscard]] virtual TimePoint Now() = 0;
};

} // namespace ebonykeel::cli
