// HTTP messages of the server and the client.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace ebonykeel {

// A header. Names are in lower case.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

// Returns the value of the first header named `aName` (in lower case), if
// present.
[[nodiscard]] std::optional<std::string_view>
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string m_method = "GET";
  // The path, without the query string.
  std::string m_path = "/";
  // The query string without the question mark, percent-encoded.
  std::string m_query;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

struct HttpResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

// Returns whether HTTP has the status: whether it is in 100..599.
[[nodiscard]] bool
IsValidStatus(int aStatus);

// Returns whether the text can be the name of a header: a token of RFC 9110.
[[nodiscard]] bool
IsHeaderName(std::string_view aText);

// Returns whether a header can carry the text unchanged: it contains no control
// bytes, and no blank at either end.
[[nodiscard]] bool
IsHeaderValue(std::string_view aText);

// Returns the decoded value of the first parameter `aName` in a query string
// such as "service=desk&count=3", if present.
[[nodiscard]] std::optional<std::string>
QueryParameter(std::string_view aQuery, std::string_view aName);

// Returns `aText` with every byte percent-encoded except ASCII letters, digits,
// '.', '_', '~' and '-', so that any text can stand in a path or a query.
[[nodiscard]] std::string
PercentEncode(std::string_view aText);

// An IPv4 or IPv6 address and a port.
struct Endpoint
{
  std::string m_host;
  uint16_t m_port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend bool operator<(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return std::tie(aLeft.m_host, aLeft.m_port) <
           std::tie(aRight.m_host, aRight.m_port);
  }
};

// Parses "127.0.0.1:8080". Returns nothing unless the port is in 0..65535.
[[nodiscard]] std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

// Returns "host:port".
[[nodiscard]] std::string
FormatEndpoint(const Endpoint& aEndpoint);

} // namespace ebonykeel
