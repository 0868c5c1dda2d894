#include "node/api/request_reader.h"

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("a valid query body is parsed")
{
  auto body = ReadQueryBody(
    R"({"group":"desk","query":"knots","request_id":"r1","caller":"c",)"
    R"("deadline_ms":50,"limit":3})");
  DOCTEST_REQUIRE(body.ok());
  DOCTEST_CHECK(body->m_group == GroupName("desk"));
  DOCTEST_CHECK(body->m_deadline == Milliseconds(50));
  DOCTEST_CHECK(body->m_limit == 3);
}

DOCTEST_TEST_CASE("all problems of a body are reported together")
{
  auto body = ReadQueryBody(R"({"qery":"x","limit":0,"deadline_ms":"soon"})");
  DOCTEST_REQUIRE(!body.ok());
  std::string message(body.status().message());
  for (const char* expected : { "qery: unknown key",
                                "exactly one of them",
                                "query: missing",
                                "limit: must be",
                                "deadline_ms: must be",
                                "request_id: missing",
                                "caller: missing" }) {
    DOCTEST_CAPTURE(expected);
    DOCTEST_CHECK(message.find(expected) != std::string::npos);
  }
}

DOCTEST_TEST_CASE("a body that is not a JSON object is rejected")
{
  DOCTEST_CHECK(!ReadQueryBody("{").ok());
  DOCTEST_CHECK(!ReadQueryBody("[1]").ok());
  DOCTEST_CHECK(!ReadFilingBody("").ok());
}

DOCTEST_TEST_CASE("a filing without a request id or an issue time is rejected")
{
  auto body = ReadFilingBody(R"({"service":"s","operation":"file"})");
  DOCTEST_REQUIRE(!body.ok());
  std::string message(body.status().message());
  DOCTEST_CHECK(message.find("request_id: missing") != std::string::npos);
  DOCTEST_CHECK(message.find("issued_at_ms: missing") != std::string::npos);
}

// Guards against requests that no caller sent: names become headers of the
// requests to upstreams.
DOCTEST_TEST_CASE("a name that no header can carry is refused")
{
  auto fileAs = [](const std::string& aCaller) {
    return ReadFilingBody(
      R"({"service":"s","operation":"file","request_id":"r","issued_at_ms":1,)"
      R"("caller":")" +
      aCaller + R"("})");
  };
  for (const char* caller :
       { R"(c\r\nx-operation: other)", R"(c\n)", R"(\u0000)", " c", "c " }) {
    DOCTEST_CHECK_FALSE(fileAs(caller).ok());
  }
  for (const char* caller : { "c", "c d", "&+#%", "\xc3\xbc" }) {
    DOCTEST_CHECK(fileAs(caller).ok());
  }
}

} // namespace
} // namespace ebonykeel
