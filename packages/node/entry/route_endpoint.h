// The interface of `ebonykeel explain-route`: reads the parameters of
// `GET /explain-route` and renders the answer as JSON.
//
//   RouteQuestionResult read = ReadRouteQuestion("host=h&path=%2Fdesk%2F1");
//   if (!read.m_question) { ... read.m_problem ... }
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/ids.h"
#include "core/forward/expiring_tokens.h"
#include "core/forward/route_explanation.h"
#include "runtime/http1/message.h"

namespace ebonykeel {

inline constexpr std::string_view kExplainRoutePath = "/explain-route";

struct RouteQuestionResult
{
  std::optional<RouteQuestion> m_question;
  // Why the parameters cannot be read, if they cannot.
  std::string m_problem;
};

// Reads a query string with the parameters `host`, `path`, and optionally
// `workspace`, `service` and `body_bytes`. The parameters are percent-encoded;
// one that is unknown, repeated, malformed or too long is a problem.
[[nodiscard]] RouteQuestionResult
ReadRouteQuestion(std::string_view aQuery);

// Bounds how many questions an instance answers, so that they do not take its
// time from callers' requests: one takes about 6 ms where a route has 4,000
// upstreams.
class QuestionLimit
{
public:
  static constexpr double kMaxPerSecond = 20;

  // Returns whether a question may be answered at `aNow`, and counts it if so.
  [[nodiscard]] bool Admit(TimePoint aNow);

private:
  ExpiringTokens m_admitted{ Seconds(1) };
};

// The instance that answers.
struct RouteEndpointInstance
{
  std::string m_id;
  DataCentre m_dataCentre;
};

// Renders an explanation that was made at `aNow`, or a problem.
[[nodiscard]] std::string
RenderRouteAnswer(const RouteAnswer& aAnswer,
                  const RouteEndpointInstance& aInstance,
                  TimePoint aNow);

// Answers a request to `kExplainRoutePath`. `aExplain` is called if the
// parameters can be read and the limit allows it.
[[nodiscard]] Http1Response
AnswerExplainRoute(
  const Http1Request& aRequest,
  const RouteEndpointInstance& aInstance,
  QuestionLimit& aLimit,
  TimePoint aNow,
  const std::function<RouteAnswer(const RouteQuestion&)>& aExplain);

} // namespace ebonykeel
