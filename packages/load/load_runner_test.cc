#include <doctest/doctest.h>

#include <random>

#include "load/load_runner.h"
#include "runtime/http/server.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

class NoProgress final : public LoadProgress
{
public:
  void Show(double /* aShare */,
            uint64_t /* aSent */,
            uint64_t /* aInFlight */) override
  {
  }
};

// Serves both the API of an instance and the control API of an upstream.
class FakeInstance final : public HttpHandler
{
public:
  kj::Promise<HttpResponse> Handle(HttpRequest aRequest) override
  {
    Json body = Json::parse(aRequest.m_body, nullptr, false);
    if (aRequest.m_path == "/v1/instances") {
      return Addresses();
    }
    if (aRequest.m_path == "/v1/query") {
      return Query(body);
    }
    if (aRequest.m_path == "/v1/file") {
      return File(body);
    }
    Json executions = { { "executions", m_executions } };
    return HttpResponse{ .m_body = executions.dump() };
  }

  HttpResponse Addresses()
  {
    ++m_addressRequests;
    Json addresses = Json::array();
    for (uint16_t port : m_ports) {
      addresses.push_back("127.0.0.1:" + std::to_string(port));
    }
    Json answer = { { "addresses", addresses }, { "lifetime_ms", 60'000 } };
    return { .m_body = answer.dump() };
  }

  HttpResponse Query(const Json& aBody)
  {
    if (m_refuse) {
      return { .m_status = 503,
               .m_body = R"({"code":"leaving","outcome":"not-run"})" };
    }
    std::string text = aBody["query"].get<std::string>() + " #0";
    Json hit = { { "document", "desk/s0/v7/000" },
                 { "score", 1.0 },
                 { "text", text } };
    Json service = {
      { "service", "desk" },
      { "index_version", 7 },
      { "coverage",
        { { "shards", 1 }, { "answered", 1 }, { "missing", Json::array() } } },
      { "hits", { hit } }
    };
    Json answer = { { "request_id", aBody["request_id"] },
                    { "services", { service } },
                    { "outcome", "ran" } };
    return { .m_body = answer.dump() };
  }

  HttpResponse File(const Json& aBody)
  {
    m_executions.push_back({ { "caller", aBody["caller"] },
                             { "request_id", aBody["request_id"] },
                             { "count", 2 } });
    Json answer = { { "request_id", aBody["request_id"] },
                    { "outcome", "ran" } };
    return { .m_body = answer.dump() };
  }

  std::vector<uint16_t> m_ports;
  Json m_executions = Json::array();
  int m_addressRequests = 0;
  bool m_refuse = false;
};

struct Fixture
{
  Fixture()
    : m_client(m_loop, {})
    , m_goodServer(Listen(m_goodInstance))
    , m_refusingServer(Listen(m_refusingInstance))
  {
    m_refusingInstance.m_refuse = true;
    m_goodInstance.m_ports = { m_refusingServer->Port(), m_goodServer->Port() };
    m_experiment.m_duration = Milliseconds(200);
    m_experiment.m_rate = 500;
    m_experiment.m_callers = 4;
    m_experiment.m_timeout = Seconds(60);
    m_experiment.m_instances = { { "127.0.0.1", m_goodServer->Port() } };
    m_experiment.m_upstreams = m_experiment.m_instances;
    m_experiment.m_query.m_services = { "desk" };
  }

  std::unique_ptr<HttpServer> Listen(FakeInstance& aInstance)
  {
    return *HttpServer::Listen(m_loop, { "127.0.0.1", 0 }, {}, aInstance);
  }

  Json Run()
  {
    std::mt19937_64 random(7);
    NoProgress progress;
    LoadRunner runner(m_loop, m_client, m_experiment, "test", random, progress);
    return runner.Run().wait(m_loop.WaitScope()).ToJson();
  }

  Loop m_loop;
  H2oHttpClient m_client;
  FakeInstance m_goodInstance;
  FakeInstance m_refusingInstance;
  std::unique_ptr<HttpServer> m_goodServer;
  std::unique_ptr<HttpServer> m_refusingServer;
  Experiment m_experiment;
};

DOCTEST_TEST_CASE("a refusal as not run is retried at another instance and "
                  "addresses are cached")
{
  Fixture fixture;
  Json result = fixture.Run();
  DOCTEST_CHECK(result["requests"].get<int>() > 0);
  DOCTEST_CHECK(result["failed"] == 0);
  DOCTEST_CHECK(result["broken_promises"] == 0);
  DOCTEST_CHECK(result["attempts"] > result["requests"]);
  // Callers request addresses at most once for each request that is sent before
  // the first answer, and not again during the lifetime of that answer.
  DOCTEST_CHECK(fixture.m_goodInstance.m_addressRequests <
                result["requests"].get<int>());
}

DOCTEST_TEST_CASE("a refusal by every instance is reported under its code")
{
  Fixture fixture;
  fixture.m_goodInstance.m_refuse = true;
  Json result = fixture.Run();
  DOCTEST_CHECK(result["answered"] == 0);
  DOCTEST_CHECK(result["refusals"]["leaving"] == result["requests"]);
}

DOCTEST_TEST_CASE(
  "doubled filings are detected from the executions of the upstreams")
{
  Fixture fixture;
  fixture.m_goodInstance.m_ports = { fixture.m_goodServer->Port() };
  fixture.m_experiment.m_filing = { .m_share = 0.5,
                                    .m_services = { "office" } };
  Json result = fixture.Run();
  DOCTEST_CHECK(result["filings"]["sent"].get<int>() > 0);
  DOCTEST_CHECK(result["filings"]["doubled"] == result["filings"]["sent"]);
  DOCTEST_CHECK(result["broken_promises"] == result["filings"]["sent"]);
}

} // namespace
} // namespace ebonykeel
