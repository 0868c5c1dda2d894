#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "runtime/http/client.h"
#include "standins/upstream/upstream_host.h"

namespace ebonykeel::standins {
namespace {

struct Fixture
{
  Fixture()
    : m_settings{ UpstreamSettings{ .m_id = "u0", .m_connectionLimit = 2 } }
    , m_host(m_loop, m_settings, 7, 1)
    , m_client(m_loop, {})
  {
    DOCTEST_REQUIRE(m_host.Listen("127.0.0.1").ok());
    m_endpoint = { "127.0.0.1",
                   m_host.InstancesJson()[0]["port"].get<uint16_t>() };
  }

  HttpReply Send(HttpRequest aRequest)
  {
    return m_client.Send(m_endpoint, std::move(aRequest), Seconds(60))
      .wait(m_loop.WaitScope());
  }

  HttpReply Search(const std::string& aVersion)
  {
    return Send({ .m_method = "POST",
                  .m_path = "/search",
                  .m_headers = { { "x-request-id", "r1" },
                                 { "x-index-version", aVersion },
                                 { "x-service", "desk" },
                                 { "x-shard", "s0" } },
                  .m_body = R"({"query":"red","limit":2})" });
  }

  void SetFaults(const std::string& aFaults)
  {
    Send(
      { .m_method = "POST", .m_path = "/standin/faults", .m_body = aFaults });
  }

  Loop m_loop;
  std::vector<UpstreamSettings> m_settings;
  UpstreamHost m_host;
  H2oHttpClient m_client;
  Endpoint m_endpoint;
};

DOCTEST_TEST_CASE("a search is answered for a held index version only")
{
  Fixture fixture;
  auto body = nlohmann::json::parse(fixture.Search("1").m_response.m_body);
  DOCTEST_CHECK(body["request_id"] == "r1");
  DOCTEST_CHECK(body["hits"][1]["document"] == "desk/s0/v1/001");
  DOCTEST_CHECK(fixture.Search("2").m_response.m_status == 409);
}

DOCTEST_TEST_CASE("the faults truncate an answer and make the upstream drain")
{
  Fixture fixture;
  fixture.SetFaults(R"({"garble":"truncate"})");
  DOCTEST_CHECK_FALSE(fixture.Search("1").m_status.ok());
  fixture.SetFaults(R"({"garble":"","draining":true})");
  HttpReply reply = fixture.Search("1");
  DOCTEST_CHECK(reply.m_response.m_status == 503);
  DOCTEST_CHECK(FindHeader(reply.m_response.m_headers, "x-draining") == "1");
}

} // namespace
} // namespace ebonykeel::standins
