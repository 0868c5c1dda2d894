// HTTP/1.1 messages in the form in which they are sent, so that they can be
// forwarded unchanged.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonykeel {

// A header with its name and value as received. Names are not case-sensitive.
struct Http1Header
{
  std::string m_name;
  std::string m_value;
};

struct Http1Request
{
  std::string m_method = "GET";
  // The path and query exactly as received.
  std::string m_target = "/";
  std::vector<Http1Header> m_headers;
  std::string m_body;
};

struct Http1Response
{
  int m_status = 200;
  std::vector<Http1Header> m_headers;
  std::string m_body;
};

[[nodiscard]] bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

// Returns the value of the first header named `aName`, if present.
[[nodiscard]] std::optional<std::string_view>
FindHeader(std::span<const Http1Header> aHeaders, std::string_view aName);

// Returns whether the header applies to one connection only and must not be
// forwarded: either it is always hop-by-hop, or a `Connection` header lists it.
[[nodiscard]] bool
IsHopByHop(std::span<const Http1Header> aHeaders, std::string_view aName);

// Returns the path of a request target, without the query.
[[nodiscard]] std::string_view
PathOf(std::string_view aTarget);

// Returns the query of a request target without the question mark, or an empty
// string.
[[nodiscard]] std::string_view
QueryOf(std::string_view aTarget);

// Serializes a request. Adds a Content-Length header if there is a body or the
// method usually has one.
[[nodiscard]] std::string
SerializeRequest(const Http1Request& aRequest);

// Serializes a response. With `aClose`, it asks the receiver to close the
// connection; with `aHeadOnly`, it omits the body.
[[nodiscard]] std::string
SerializeResponse(const Http1Response& aResponse, bool aClose, bool aHeadOnly);

} // namespace ebonykeel
