// Answers `explain-route` at the metrics address, which callers do not reach.
#pragma once

#include <memory>

#include "node/entry/forward_service.h"
#include "node/entry/route_endpoint.h"
#include "runtime/http1/server.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

// Everything that is passed by reference must outlive the handler.
class MetricsHandler final : public Http1Handler
{
public:
  // `aOther` answers all other requests.
  MetricsHandler(const UvLoop& aLoop,
                 ForwardService& aForward,
                 RouteEndpointInstance aInstance,
                 Http1Handler& aOther);

  void OnRequest(std::shared_ptr<Http1Exchange> aExchange) override;

private:
  const UvLoop& m_loop;
  ForwardService& m_forward;
  RouteEndpointInstance m_instance;
  QuestionLimit m_limit;
  Http1Handler& m_other;
};

} // namespace ebonykeel
