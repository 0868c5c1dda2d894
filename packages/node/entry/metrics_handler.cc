#include "node/entry/metrics_handler.h"

#include <utility>

namespace ebonykeel {

MetricsHandler::MetricsHandler(const UvLoop& aLoop,
                               ForwardService& aForward,
                               RouteEndpointInstance aInstance,
                               Http1Handler& aOther)
  : m_loop(aLoop)
  , m_forward(aForward)
  , m_instance(std::move(aInstance))
  , m_other(aOther)
{
}

void
MetricsHandler::OnRequest(std::shared_ptr<Http1Exchange> aExchange)
{
  const Http1Request& request = aExchange->Request();
  if (PathOf(request.m_target) != kExplainRoutePath) {
    m_other.OnRequest(std::move(aExchange));
    return;
  }
  aExchange->Answer(AnswerExplainRoute(request,
                                       m_instance,
                                       m_limit,
                                       m_loop.Now(),
                                       [this](const RouteQuestion& aQuestion) {
                                         return m_forward.ExplainRoute(
                                           aQuestion);
                                       }));
}

} // namespace ebonykeel
