#include <doctest/doctest.h>

#include "runtime/http/client.h"
#include "standins/platform/platform_service.h"

namespace ebonykeel::standins {
namespace {

struct Fixture
{
  Fixture()
    : m_service(m_loop.Clock(), {})
    , m_listener(m_loop, m_service)
    , m_client(m_loop, {})
    , m_endpoint{ "127.0.0.1", *m_listener.Listen({ "127.0.0.1", 0 }) }
  {
  }

  kj::Promise<HttpReply> Start(HttpRequest aRequest)
  {
    return m_client.Send(m_endpoint, std::move(aRequest), Seconds(60));
  }

  HttpReply Send(HttpRequest aRequest)
  {
    return Start(std::move(aRequest)).wait(m_loop.WaitScope());
  }

  HttpReply Create(const std::string& aBody)
  {
    return Send({ .m_method = "PUT",
                  .m_path = "/v1/objects/a/b",
                  .m_headers = { { "if-none-match", "*" } },
                  .m_body = aBody });
  }

  Loop m_loop;
  PlatformService m_service;
  HttpListener m_listener;
  H2oHttpClient m_client;
  Endpoint m_endpoint;
};

DOCTEST_TEST_CASE(
  "a watch returns the change it waits for and 304 at its timeout")
{
  Fixture fixture;
  auto watch = fixture.Start(
    { .m_path = "/v1/objects/a/b", .m_query = "watch=0&timeout_ms=50000" });
  DOCTEST_CHECK(fixture.Create("one").m_response.m_status == 200);
  DOCTEST_CHECK(fixture.Create("two").m_response.m_status == 412);
  HttpReply reply = watch.wait(fixture.m_loop.WaitScope());
  DOCTEST_CHECK(reply.m_response.m_body == "one");
  DOCTEST_CHECK(FindHeader(reply.m_response.m_headers, "etag") == "1");
  HttpReply unchanged = fixture.Send(
    { .m_path = "/v1/objects/a/b", .m_query = "watch=1&timeout_ms=1" });
  DOCTEST_CHECK(unchanged.m_response.m_status == 304);
}

DOCTEST_TEST_CASE("a change whose reply is lost is still applied")
{
  Fixture fixture;
  fixture.Send({ .m_method = "POST",
                 .m_path = "/standin/faults",
                 .m_body = R"({"lose_replies":1})" });
  HttpReply lost = fixture.Create("one");
  DOCTEST_CHECK_FALSE(lost.m_status.ok());
  DOCTEST_CHECK(lost.m_progress == HttpProgress::kSent);
  DOCTEST_CHECK(
    fixture.Send({ .m_path = "/v1/objects/a/b" }).m_response.m_body == "one");
}

} // namespace
} // namespace ebonykeel::standins
