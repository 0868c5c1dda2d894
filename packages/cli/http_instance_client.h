// Sends requests to instances over HTTP.
#pragma once

#include "cli/instance_client.h"
#include "runtime/http/client.h"
#include "runtime/loop/loop.h"

namespace ebonykeel::cli {

// Runs the event loop of the process while a call waits. The loop and the HTTP
// client must outlive this object.
class HttpInstanceClient final : public InstanceClient
{
public:
  HttpInstanceClient(Loop& aLoop, HttpClient& aClient);

  CallResult Call(const Endpoint& aInstance,
                  const HttpRequest& aRequest,
                  Duration aTimeout) override;
  void Pause(Duration aSpan) override;
  [[nodiscard]] TimePoint Now() override;

private:
  Loop& m_loop;
  HttpClient& m_client;
};

} // namespace ebonykeel::cli
