#include "cli/route_view.h"

#include <string>

#include <doctest/doctest.h>

#include "cli/command_line.h"
#include "cli/requests.h"
#include "cli/text_view.h"
#include "runtime/http/message.h"

namespace ebonykeel::cli {
namespace {

using Json = nlohmann::json;

CommandLineResult
Parse(const std::vector<std::string>& aArguments)
{
  return ParseCommandLine(aArguments);
}

Json
Answer()
{
  return Json::parse(R"({
    "instance": "front-1", "data_centre": "north", "version": 7,
    "starting": false, "placement": "work", "priority": 1,
    "route": { "name": "search", "host": "h", "path_prefix": "/search/",
               "target": "shards", "public": false, "target_latency_ms": 60.0,
               "timeout_ms": 600.0 },
    "workspace": { "name": "desk", "quota": { "left": "unknown" } },
    "admission": { "decision": "served" },
    "summary": { "services": 2, "required": 1, "with_candidate": 1, "sent": 1,
                 "waiting": 0, "unavailable": 1,
                 "slowest": { "service": "s0", "predicted_ms": 12.5 } },
    "services": [ { "service": "s0", "decision": "sent", "chosen": "a",
      "reason": "lowest-cost", "eligible": 1, "registered": 2, "candidates": [
        { "id": "a", "data_centre": "north", "state": "eligible",
          "chosen": true, "in_flight": 1, "slots": 2, "latency_factor": 1.25,
          "predicted_ms": 12.5, "cost_ms": 12.5, "unfinished_work_ms": 4.0 },
        { "id": "b", "data_centre": "south", "state": "unreachable",
          "remote": true, "chosen": false, "in_flight": 0, "slots": 2,
          "latency_factor": 1.0, "predicted_ms": 10.0, "cost_ms": 10018.0,
          "unreachable_for_ms": 250.0, "cold_for_ms": 70.0 } ] } ] })");
}

DOCTEST_TEST_CASE("explain-route reads the request from the command line")
{
  CommandLineResult parsed = Parse({ "explain-route",
                                     "h.example",
                                     "/a b/?x=1&y",
                                     "--metrics=10.0.0.7:9464",
                                     "--workspace=desk & co",
                                     "--body-bytes=5",
                                     "--shard=s+1",
                                     "--output=json" });
  DOCTEST_REQUIRE_MESSAGE(parsed.m_line.has_value(), parsed.m_text);
  DOCTEST_CHECK(parsed.m_line->m_command == Command::kExplainRoute);
  DOCTEST_CHECK(parsed.m_line->m_output == OutputFormat::kJson);
  InstanceRequest request = MakeRequest(*parsed.m_line, { .m_token = "t" });
  DOCTEST_CHECK(FormatEndpoint(request.m_endpoint) == "10.0.0.7:9464");
  DOCTEST_CHECK(request.m_http.m_method == "GET");
  DOCTEST_CHECK(request.m_http.m_path == "/explain-route");
  DOCTEST_CHECK_FALSE(request.m_hasEffect);
  // The token of the administration address must not reach another one.
  DOCTEST_CHECK(request.m_http.m_headers.empty());
  const std::string& query = request.m_http.m_query;
  DOCTEST_CHECK(QueryParameter(query, "host") == "h.example");
  DOCTEST_CHECK(QueryParameter(query, "path") == "/a b/?x=1&y");
  DOCTEST_CHECK(QueryParameter(query, "workspace") == "desk & co");
  DOCTEST_CHECK(QueryParameter(query, "service") == "s+1");
  DOCTEST_CHECK(QueryParameter(query, "body_bytes") == "5");
}

DOCTEST_TEST_CASE("explain-route needs a host and a path, the rest is optional")
{
  CommandLineResult parsed = Parse({ "explain-route", "h", "/" });
  DOCTEST_REQUIRE(parsed.m_line.has_value());
  DOCTEST_CHECK(FormatEndpoint(parsed.m_line->m_metricsAddress) ==
                "127.0.0.1:9464");
  DOCTEST_CHECK(MakeRequest(*parsed.m_line, {}).m_http.m_query ==
                "host=h&path=%2F");
  DOCTEST_CHECK(Parse({ "explain-route", "h" }).m_exit == ExitCode::kUsage);
  DOCTEST_CHECK(
    Parse({ "explain-route", "h", "/", "--body-bytes=-1" }).m_exit ==
    ExitCode::kUsage);
  DOCTEST_CHECK(Parse({ "explain-route", "h", "/", "--metrics=x" }).m_exit ==
                ExitCode::kUsage);
}

DOCTEST_TEST_CASE("the text names the choice, its reason and what is missing")
{
  std::string text = RenderAnswer(Command::kExplainRoute, Answer());
  DOCTEST_CHECK(
    text ==
    "instance front-1 in north, configuration version 7\n"
    "route search: h/search/ to shards, target 60.0 ms, time-out 600.0 ms\n"
    "workspace desk, quota left here: unknown, priority 1\n"
    "admission: served\n"
    "2 services, 1 required; 1 with a candidate; 1 sent, 0 waiting, 1 "
    "unavailable; slowest s0 (12.5 ms)\n"
    "s0: sent to a (lowest-cost), 1 of 2 eligible\n"
    "  * a                    north        eligible             in flight 1/2 "
    " factor 1.25  predicted 12.5 ms  cost 12.5 ms  unfinished 4.0 ms\n"
    "    b                    south        unreachable          in flight 0/2 "
    " factor 1.0  predicted 10.0 ms  cost 10018.0 ms  cold for 70.0 ms  "
    "unreachable for 250.0 ms  remote\n"
    "1 of 2 services shown; --shard=NAME shows another\n");
}

DOCTEST_TEST_CASE("the text states a refusal with its Retry-After")
{
  Json answer = Answer();
  answer["admission"] = { { "decision", "refused" },
                          { "status", 503 },
                          { "reason", "no-replica" },
                          { "retry_after_ms", 500.0 } };
  answer.erase("workspace");
  std::string text = RenderRoute(answer);
  DOCTEST_CHECK(text.find("no workspace, priority 1\n"
                          "admission: refused with 503 (no-replica), "
                          "Retry-After 500.0 ms\n") != std::string::npos);
}

DOCTEST_TEST_CASE("the text of an answer of another shape is incomplete, "
                  "not an error")
{
  // Answers of other versions, or of something else at the address.
  for (const char* other :
       { "{}",
         "[]",
         "null",
         R"({"route":3,"services":{"a":1},"summary":[],"admission":"x"})",
         R"({"services":[1,null,{"candidates":[[],{"id":{}}]}]})",
         R"({"workspace":{"quota":7},"route":{"split":[[1]]}})" }) {
    DOCTEST_CHECK_NOTHROW((void)RenderRoute(Json::parse(other)));
  }
}

} // namespace
} // namespace ebonykeel::cli
