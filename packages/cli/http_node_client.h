// Talks to nodes over HTTP.
#pragma once

#include "cli/node_client.h"
#include "runtime/http/client.h"
#include "runtime/loop/loop.h"

namespace ebonykeel::cli {

// Runs the process's loop while it waits. The loop and the client must outlive
// it.
class HttpNodeClient final : public NodeClient
{
public:
  HttpNodeClient(Loop& aLoop, HttpClient& aClient);

  CallResult Call(const Endpoint& aNode,
                  const HttpRequest& aRequest,
                  Duration aTimeout) override;
  void Pause(Duration aSpan) override;
  [[nodiscard]] TimePoint Now() override;

private:
  Loop& m_loop;
  HttpClient& m_client;
};

} // namespace ebonykeel::cli
