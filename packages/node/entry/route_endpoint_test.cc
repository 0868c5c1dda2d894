#include "node/entry/route_endpoint.h"

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "runtime/http/message.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

constexpr TimePoint kNow{ Seconds(100) };

RouteEndpointInstance
Self()
{
  return { .m_id = "front-1", .m_dataCentre = DataCentre("here") };
}

std::string
ProblemOf(std::string_view aQuery)
{
  RouteQuestionResult read = ReadRouteQuestion(aQuery);
  DOCTEST_CHECK(read.m_question.has_value() == read.m_problem.empty());
  return read.m_problem;
}

DOCTEST_TEST_CASE("parameters are decoded; the path's query is not part of it")
{
  RouteQuestionResult read = ReadRouteQuestion(
    "host=h.example%3A80&path=%2Fa%20b%2F%2B%3Fx%3D1&workspace=desk%26co"
    "&service=s-1&body_bytes=0012");
  DOCTEST_REQUIRE_MESSAGE(read.m_question.has_value(), read.m_problem);
  DOCTEST_CHECK(read.m_question->m_host == "h.example:80");
  DOCTEST_CHECK(read.m_question->m_path == "/a b/+");
  DOCTEST_CHECK(read.m_question->m_workspace == "desk&co");
  DOCTEST_CHECK(read.m_question->m_service == "s-1");
  DOCTEST_CHECK(read.m_question->m_bodyBytes == 12U);
  read = ReadRouteQuestion("host=h&path=/");
  DOCTEST_REQUIRE(read.m_question.has_value());
  DOCTEST_CHECK(read.m_question->m_workspace.empty());
  DOCTEST_CHECK_FALSE(read.m_question->m_bodyBytes.has_value());
}

DOCTEST_TEST_CASE("parameters that cannot be read are named")
{
  DOCTEST_CHECK(ProblemOf("") == "host is missing");
  DOCTEST_CHECK(ProblemOf("host=&path=/") == "host is missing");
  DOCTEST_CHECK(ProblemOf("host=h") ==
                "path is missing or does not start with a slash");
  DOCTEST_CHECK(ProblemOf("host=h&path=a/b") ==
                "path is missing or does not start with a slash");
  DOCTEST_CHECK(ProblemOf("host=h&path=/&host=h") == "host occurs twice");
  for (const char* escape : { "%", "%4", "%zz", "%%", "a%2" }) {
    DOCTEST_CAPTURE(escape);
    DOCTEST_CHECK(ProblemOf(absl::StrCat("path=/&host=", escape)) ==
                  "host has a malformed percent escape");
  }
  for (const char* number : { "",
                              "-1",
                              "+1",
                              "1.5",
                              "1e3",
                              "0x10",
                              "%201",
                              "99999999999999999999999",
                              "1099511627777" }) {
    DOCTEST_CAPTURE(number);
    DOCTEST_CHECK(
      ProblemOf(absl::StrCat("host=h&path=/&body_bytes=", number)) ==
      "body_bytes is not a whole number from 0 to 1099511627776");
  }
  DOCTEST_CHECK(ProblemOf("host=a%00b&path=/") ==
                "host contains a control byte");
  DOCTEST_CHECK(ProblemOf("host=h&path=/%0d%0aX:1") ==
                "path contains a control byte");
}

// Guards against a key in an error or a log: it could be given by mistake.
DOCTEST_TEST_CASE("problems do not repeat what the caller sent")
{
  for (const char* query : { "host=h&path=/&token=zq7x",
                             "zq7x=1",
                             "zq7x",
                             "host=h&path=/&key=zq7x",
                             "host=zq7x%&path=/" }) {
    DOCTEST_CAPTURE(query);
    std::string problem = ProblemOf(query);
    DOCTEST_CHECK_FALSE(problem.empty());
    DOCTEST_CHECK(problem.find("zq7x") == std::string::npos);
  }
}

DOCTEST_TEST_CASE("long parameters are refused")
{
  std::string longest(2048, 'x');
  DOCTEST_CHECK(ProblemOf(absl::StrCat("path=/&host=", longest)).empty());
  DOCTEST_CHECK(ProblemOf(absl::StrCat("path=/&host=", longest, "x")) ==
                "host is longer than 2048 bytes");
  std::string encoded;
  for (int i = 0; i < 2048; ++i) {
    encoded += "%41";
  }
  DOCTEST_CHECK(ProblemOf(absl::StrCat("path=/&host=", encoded)).empty());
  DOCTEST_CHECK(ProblemOf(std::string(100000, '&')) ==
                "the parameters are too long");
}

DOCTEST_TEST_CASE(
  "any bytes are read or refused, and encoded text is read back")
{
  std::mt19937 random(5);
  constexpr std::string_view kParts[] = {
    "host=", "path=/",  "workspace=",   "&", "=", "%",
    "%41",   "service", "body_bytes=9", "+", "?", "#"
  };
  std::uniform_int_distribution<size_t> part(0, std::size(kParts) - 1);
  std::uniform_int_distribution<int> byte(0, 255);
  for (int round = 0; round < 20000; ++round) {
    std::string query;
    std::string text;
    for (int i = 0; i < 8; ++i) {
      query += kParts[part(random)];
      if (round % 3 == 0) {
        query.push_back(static_cast<char>(byte(random)));
      }
      text.push_back(static_cast<char>(' ' + byte(random) % 95));
    }
    (void)ProblemOf(query);
    RouteQuestionResult read = ReadRouteQuestion(
      absl::StrCat("path=%2F&host=h&workspace=", PercentEncode(text)));
    DOCTEST_REQUIRE(read.m_question.has_value());
    DOCTEST_CHECK(read.m_question->m_workspace == text);
  }
}

DOCTEST_TEST_CASE("only GET is answered, and unread questions are not asked")
{
  QuestionLimit limit;
  auto fail = [](const RouteQuestion&) -> RouteAnswer {
    DOCTEST_FAIL("must not be asked");
    return {};
  };
  for (const char* method : { "POST", "HEAD", "PUT", "DELETE" }) {
    Http1Response response = AnswerExplainRoute(
      { .m_method = method, .m_target = "/explain-route?host=h&path=/" },
      Self(),
      limit,
      kNow,
      fail);
    DOCTEST_CHECK(response.m_status == 405);
    DOCTEST_CHECK(FindHeader(response.m_headers, "Allow") == "GET");
  }
  Http1Response response = AnswerExplainRoute(
    { .m_target = "/explain-route" }, Self(), limit, kNow, fail);
  DOCTEST_CHECK(response.m_status == 400);
  DOCTEST_CHECK(
    Json::parse(response.m_body) ==
    Json{ { "code", "bad-parameter" }, { "message", "host is missing" } });
}

// Answers a question at `aNow` with the problem "no-route".
Http1Response
AskWithoutRoute(QuestionLimit& aLimit, TimePoint aNow)
{
  return AnswerExplainRoute(
    { .m_target = "/explain-route?host=h&path=/" },
    Self(),
    aLimit,
    aNow,
    [](const RouteQuestion&) -> RouteAnswer {
      return { .m_problem = { .m_status = 404,
                              .m_code = "no-route",
                              .m_message = "no route" } };
    });
}

DOCTEST_TEST_CASE("a problem is answered with its status and code")
{
  QuestionLimit limit;
  Http1Response response = AskWithoutRoute(limit, kNow);
  DOCTEST_CHECK(response.m_status == 404);
  DOCTEST_CHECK(Json::parse(response.m_body)["code"] == "no-route");
}

// Guards against questions that take an instance's time from callers.
DOCTEST_TEST_CASE("the questions of a second are bounded")
{
  QuestionLimit limit;
  for (int i = 0; i < 20; ++i) {
    DOCTEST_CHECK(AskWithoutRoute(limit, kNow).m_status == 404);
  }
  Http1Response refused = AskWithoutRoute(limit, kNow + Milliseconds(500));
  DOCTEST_CHECK(refused.m_status == 429);
  DOCTEST_CHECK(Json::parse(refused.m_body)["code"] == "too-many-questions");
  DOCTEST_CHECK(AskWithoutRoute(limit, kNow + Seconds(1)).m_status == 404);
}

RouteExplanation
MakeExplanation()
{
  auto config = std::make_shared<TrafficConfig>();
  config->m_version = 9;
  config->m_routes = { { .m_name = "split",
                         .m_host = "h",
                         .m_pathPrefix = "/split/",
                         .m_target = RouteTarget::kSplit,
                         .m_split = { { "a", 3 }, { "b", 1 } },
                         .m_timeout = Milliseconds(600),
                         .m_targetLatency = Milliseconds(60) } };
  RouteExplanation explanation;
  explanation.m_routes = std::make_shared<const RouteTable>(std::move(config));
  explanation.m_route = &explanation.m_routes->Config()->m_routes[0];
  explanation.m_splitService = "a";
  explanation.m_priority = 2;
  explanation.m_placesByWork = true;
  explanation.m_typical = Milliseconds(12);
  explanation.m_workspace = { .m_name = "desk",
                              .m_ratePerSecond = 50,
                              .m_burst = 5 };
  CandidateExplanation chosen{
    .m_replica = std::make_shared<const Replica>(
      Replica{ .m_id = "u1",
               .m_address = { "10.0.0.1", 80 },
               .m_dataCentre = DataCentre("here"),
               .m_version = "v2",
               .m_slots = 3 }),
    .m_isChosen = true,
    .m_status = { .m_inFlight = 2,
                  .m_unfinishedWork = std::chrono::microseconds(4567),
                  .m_latencyFactor = 1.23456,
                  .m_coldUntil = kNow + Milliseconds(300),
                  .m_predictedLatency = Milliseconds(15),
                  .m_cost = Milliseconds(215) }
  };
  explanation.m_services = { { .m_service = "a",
                               .m_decision = PartDecision::kSent,
                               .m_reason = "only-eligible",
                               .m_eligible = 1,
                               .m_registered = 1,
                               .m_candidates = { chosen } } };
  explanation.m_summary = { .m_services = 1,
                            .m_required = 1,
                            .m_withEligible = 1,
                            .m_sent = 1,
                            .m_slowest = "a",
                            .m_slowestPredicted = Milliseconds(15) };
  return explanation;
}

Json
Render(RouteExplanation aExplanation)
{
  return Json::parse(RenderRouteAnswer(
    { .m_explanation = std::move(aExplanation) }, Self(), kNow));
}

DOCTEST_TEST_CASE("an explanation is rendered with all that it holds")
{
  Json json = Render(MakeExplanation());
  DOCTEST_CHECK(json["instance"] == "front-1");
  DOCTEST_CHECK(json["version"] == 9);
  DOCTEST_CHECK(json["placement"] == "work");
  DOCTEST_CHECK(json["route"]["split_service"] == "a");
  DOCTEST_CHECK(json["route"]["split"][1] ==
                Json{ { "service", "b" }, { "weight", 1.0 } });
  DOCTEST_CHECK(json["workspace"]["quota"]["left"] == "unknown");
  DOCTEST_CHECK(json["admission"] == Json{ { "decision", "served" } });
  DOCTEST_CHECK(json["summary"]["slowest"]["predicted_ms"] == 15.0);
  const Json& service = json["services"][0];
  DOCTEST_CHECK(service["chosen"] == "u1");
  const Json& candidate = service["candidates"][0];
  DOCTEST_CHECK(candidate["address"] == "10.0.0.1:80");
  DOCTEST_CHECK(candidate["state"] == "eligible");
  DOCTEST_CHECK(candidate["latency_factor"] == 1.235);
  DOCTEST_CHECK(candidate["unfinished_work_ms"] == 4.567);
  DOCTEST_CHECK(candidate["cold_for_ms"] == 300.0);
  DOCTEST_CHECK_FALSE(candidate.contains("unreachable_for_ms"));
}

DOCTEST_TEST_CASE("a refusal, a wait and known quotas are rendered")
{
  RouteExplanation explanation = MakeExplanation();
  explanation.m_workspace->m_tokensHeld = 17;
  explanation.m_placesByWork = false;
  explanation.m_admission = { .m_decision = AdmissionDecision::kRefused,
                              .m_status = 503,
                              .m_reason = "no-replica",
                              .m_retryAfter = Milliseconds(250) };
  Json json = Render(explanation);
  DOCTEST_CHECK(json["workspace"]["quota"]["left"] == 17);
  DOCTEST_CHECK(json["admission"] == Json{ { "decision", "refused" },
                                           { "status", 503 },
                                           { "reason", "no-replica" },
                                           { "retry_after_ms", 250.0 } });
  DOCTEST_CHECK_FALSE(
    json["services"][0]["candidates"][0].contains("unfinished_work_ms"));
  explanation.m_admission = { .m_decision = AdmissionDecision::kWaits,
                              .m_maxWait = Milliseconds(12) };
  explanation.m_workspace->m_ratePerSecond = 0;
  json = Render(explanation);
  DOCTEST_CHECK(json["admission"] ==
                Json{ { "decision", "waits" }, { "max_wait_ms", 12.0 } });
  DOCTEST_CHECK(json["workspace"]["quota"]["left"] == "unlimited");
}

DOCTEST_TEST_CASE("text that is not UTF-8 does not break the answer")
{
  RouteExplanation explanation = MakeExplanation();
  explanation.m_services[0].m_service = "a\xff\xc3\"\n";
  explanation.m_workspace->m_name = "\xf0\x28";
  DOCTEST_CHECK(Render(explanation)["services"].size() == 1);
}

} // namespace
} // namespace ebonykeel
