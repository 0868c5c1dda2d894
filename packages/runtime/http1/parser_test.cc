#include "runtime/http1/parser.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

using Progress = Http1Parser::Progress;

Http1Parser
RequestParser(Http1Limits aLimits = {})
{
  return { Http1Parser::Kind::kRequest, aLimits };
}

Http1Parser
ResponseParser()
{
  return { Http1Parser::Kind::kResponse, {} };
}

DOCTEST_TEST_CASE("a request is parsed completely when fed byte by byte")
{
  Http1Parser parser = RequestParser();
  std::string text = "POST /a?b=%20 HTTP/1.1\r\nHost: x\r\nContent-Length: "
                     "3\r\nX-Two: a b\r\n\r\nabc";
  for (char byte : text) {
    DOCTEST_CHECK(parser.Feed({ &byte, 1 }) == 1);
  }
  DOCTEST_REQUIRE(parser.State() == Progress::kComplete);
  DOCTEST_CHECK(parser.Request().m_method == "POST");
  DOCTEST_CHECK(parser.Request().m_target == "/a?b=%20");
  DOCTEST_CHECK(parser.Request().m_body == "abc");
  DOCTEST_CHECK(FindHeader(parser.Request().m_headers, "x-two") == "a b");
  DOCTEST_CHECK(parser.KeepAlive());
}

DOCTEST_TEST_CASE("bytes after a message are not consumed")
{
  Http1Parser parser = RequestParser();
  std::string first = "GET /a HTTP/1.1\r\n\r\n";
  DOCTEST_CHECK(parser.Feed(first + "GET /b HTTP/1.1\r\n\r\n") == first.size());
  DOCTEST_CHECK(parser.Request().m_target == "/a");
}

DOCTEST_TEST_CASE("a chunked body is joined and its trailers dropped")
{
  Http1Parser parser = RequestParser();
  parser.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n");
  DOCTEST_REQUIRE(parser.State() == Progress::kComplete);
  DOCTEST_CHECK(parser.Request().m_body == "abc");
  DOCTEST_CHECK(parser.Request().m_headers.size() == 1);
}

DOCTEST_TEST_CASE("conflicting lengths are malformed")
{
  Http1Parser both = RequestParser();
  both.Feed("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
            "chunked\r\n\r\n");
  DOCTEST_CHECK(both.State() == Progress::kMalformed);
  Http1Parser twice = RequestParser();
  twice.Feed(
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
  DOCTEST_CHECK(twice.State() == Progress::kMalformed);
}

DOCTEST_TEST_CASE("headers and bodies over their limits are reported")
{
  Http1Parser headers = RequestParser({ .m_headerBytes = 64 });
  headers.Feed("GET / HTTP/1.1\r\nX: ");
  headers.Feed(std::string(100, 'x'));
  DOCTEST_CHECK(headers.State() == Progress::kHeadersTooLong);
  Http1Parser stated = RequestParser({ .m_bodyBytes = 4 });
  stated.Feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
  DOCTEST_CHECK(stated.State() == Progress::kBodyTooLong);
  Http1Parser chunked = RequestParser({ .m_bodyBytes = 4 });
  chunked.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "5\r\nabcde\r\n");
  DOCTEST_CHECK(chunked.State() == Progress::kBodyTooLong);
}

DOCTEST_TEST_CASE(
  "an answer without a length is complete when the connection ends")
{
  Http1Parser parser = ResponseParser();
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  DOCTEST_CHECK(parser.State() == Progress::kBody);
  parser.FeedEndOfStream();
  DOCTEST_CHECK(parser.State() == Progress::kComplete);
  DOCTEST_CHECK_FALSE(parser.KeepAlive());
}

DOCTEST_TEST_CASE("an answer that ends before its length is not complete")
{
  Http1Parser parser = ResponseParser();
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  parser.FeedEndOfStream();
  DOCTEST_CHECK(parser.State() != Progress::kComplete);
}

DOCTEST_TEST_CASE("bytes that are not an HTTP answer are malformed")
{
  Http1Parser parser = ResponseParser();
  parser.Feed("\x01\x02garbage\r\n\r\n");
  DOCTEST_CHECK(parser.State() == Progress::kMalformed);
}

DOCTEST_TEST_CASE("a status out of the range of HTTP is malformed")
{
  auto parse = [](const std::string& aStatus) {
    Http1Parser parser = ResponseParser();
    parser.Feed("HTTP/1.1 " + aStatus + " X\r\nContent-Length: 0\r\n\r\n");
    return parser.State();
  };
  for (const char* status :
       { "000", "0", "1", "20", "099", "600", "999", "1000", "-200", "2e2" }) {
    DOCTEST_CHECK(parse(status) == Progress::kMalformed);
  }
  for (const char* status : { "100", "200", "421", "599" }) {
    DOCTEST_CHECK(parse(status) == Progress::kComplete);
  }
}

// Guards against a status that receivers read differently, such as 0200.
DOCTEST_TEST_CASE("a status without exactly three digits is malformed")
{
  auto parse = [](const std::string& aLine, bool aInPieces) {
    Http1Parser parser = ResponseParser();
    std::string bytes = "\r\n" + aLine + "\r\nContent-Length: 0\r\n\r\n";
    size_t size = aInPieces ? 1 : bytes.size();
    for (size_t at = 0; at < bytes.size(); at += size) {
      parser.Feed(std::string_view(bytes).substr(at, size));
    }
    return parser.State();
  };
  for (bool inPieces : { false, true }) {
    for (const char* line : { "HTTP/1.1 0200 200",
                              "HTTP/1.1 00200",
                              "HTTP/1.1 0404 Not Found",
                              "HTTP/1.1 0100",
                              "HTTP/1.1 20 0" }) {
      DOCTEST_CHECK(parse(line, inPieces) == Progress::kMalformed);
    }
    for (const char* line :
         { "HTTP/1.1 200", "HTTP/1.1 200 0200", "HTTP/1.1  404 X" }) {
      DOCTEST_CHECK(parse(line, inPieces) == Progress::kComplete);
    }
  }
}

// Guards against a receiver that does not read a header which the sender acts
// on, such as "Content-Length : 4".
DOCTEST_TEST_CASE("a message with an invalid header name is malformed")
{
  for (const char* name : { "X Y", "X ", "X\tY", "X\x01", "X@Y", "" }) {
    std::string headers =
      std::string(name) + ": 1\r\nContent-Length: 0\r\n\r\n";
    Http1Parser request = RequestParser();
    request.Feed("POST / HTTP/1.1\r\nHost: h\r\n" + headers);
    DOCTEST_CHECK(request.State() == Progress::kMalformed);
    Http1Parser response = ResponseParser();
    response.Feed("HTTP/1.1 200 OK\r\n" + headers);
    DOCTEST_CHECK(response.State() == Progress::kMalformed);
  }
  Http1Parser marks = ResponseParser();
  marks.Feed("HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: 1\r\n"
             "Content-Length: 0\r\n\r\n");
  DOCTEST_CHECK(marks.State() == Progress::kComplete);
}

// Guards against a line that becomes a part of the header before it.
DOCTEST_TEST_CASE("a message with a continued header line is malformed")
{
  const std::string start = "HTTP/1.1 200 OK\r\nA: b";
  const std::string end = "\r\nContent-Length: 0\r\n\r\n";
  for (const char* line :
       { "\r\n X: 1", "\r\n\tX: 1", "\r\n \t X", "\r\n  " }) {
    const std::string bytes = absl::StrCat(start, line, end);
    for (size_t cut = 0; cut < bytes.size(); ++cut) {
      Http1Parser parser = ResponseParser();
      parser.Feed(bytes.substr(0, cut));
      parser.Feed(bytes.substr(cut));
      DOCTEST_CAPTURE(cut);
      DOCTEST_CHECK(parser.State() == Progress::kMalformed);
    }
    Http1Parser parser = ResponseParser();
    for (char byte : bytes) {
      parser.Feed({ &byte, 1 });
    }
    DOCTEST_CHECK(parser.State() == Progress::kMalformed);
  }
}

DOCTEST_TEST_CASE("blanks inside a value belong to it however it is split")
{
  const std::string bytes = "HTTP/1.1 200 OK\r\nA:  b  c\td\r\nE:\r\n"
                            "Content-Length: 0\r\n\r\n";
  for (size_t cut = 0; cut < bytes.size(); ++cut) {
    Http1Parser parser = ResponseParser();
    parser.Feed(bytes.substr(0, cut));
    parser.Feed(bytes.substr(cut));
    DOCTEST_CAPTURE(cut);
    DOCTEST_REQUIRE(parser.State() == Progress::kComplete);
    DOCTEST_CHECK(FindHeader(parser.Response().m_headers, "a") == "b  c\td");
  }
}

// Guards against an answer whose first headers are those of another one that
// the server broke off.
DOCTEST_TEST_CASE("an answer with a status line among its headers is malformed")
{
  for (const char* bytes :
       { "HTTP/1.1 200 OHTTP/1.1 500 Failed\r\nA: b\r\n\r\n",
         "HTTP/1.1 200 OK\r\nA: bHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 200 OK\r\nA: HTTP/1.HTTP/1.0 200\r\n\r\n" }) {
    Http1Parser parser(Http1Parser::Kind::kResponse, {});
    (void)parser.Feed(bytes);
    DOCTEST_CHECK(parser.State() == Http1Parser::Progress::kMalformed);
  }
  Http1Parser parser(Http1Parser::Kind::kResponse, {});
  (void)parser.Feed("HTTP/1.1 200 OK\r\nUpgrade: HTTP/2.0\r\n"
                    "Via: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n");
  DOCTEST_CHECK(parser.State() == Http1Parser::Progress::kComplete);
}

DOCTEST_TEST_CASE("an answer to HEAD has no body")
{
  Http1Parser parser = ResponseParser();
  parser.ExpectNoBody(true);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  DOCTEST_CHECK(parser.State() == Progress::kComplete);
}

} // namespace
} // namespace ebonykeel
