#include "cli/http_instance_client.h"

#include <utility>

namespace ebonykeel::cli {

HttpInstanceClient::HttpInstanceClient(Loop& aLoop, HttpClient& aClient)
  : m_loop(aLoop)
  , m_client(aClient)
{
}

CallResult
HttpInstanceClient::Call(const Endpoint& aInstance,
                         const HttpRequest& aRequest,
                         Duration aTimeout)
{
  HttpReply reply =
    m_client.Send(aInstance, aRequest, aTimeout).wait(m_loop.WaitScope());
  CallResult result;
  if (reply.m_status.ok()) {
    result.m_status = CallStatus::kAnswered;
    result.m_response = std::move(reply.m_response);
    return result;
  }
  result.m_status = reply.m_progress == HttpProgress::kNotSent
                      ? CallStatus::kNotSent
                      : CallStatus::kNoAnswer;
  result.m_problem = std::string(reply.m_status.message());
  return result;
}

void
HttpInstanceClient::Pause(Duration aSpan)
{
  m_loop.Clock().After(aSpan).wait(m_loop.WaitScope());
}

TimePoint
HttpInstanceClient::Now()
{
  return m_loop.Clock().Now();
}

} // namespace ebonykeel::cli
