// HTTP/1.1 messages as they travel, for forwarding them unchanged.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonykeel {

// A header as it was read. Names compare without regard to case.
struct Http1Header
{
  std::string m_name;
  std::string m_value;
};

struct Http1Request
{
  std::string m_method = "GET";
  // Path and query exactly as they were sent.
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

// Returns whether the header concerns one connection only and must not be
// passed on: the fixed ones, and those that a `Connection` header names.
[[nodiscard]] bool
IsHopByHop(std::span<const Http1Header> aHeaders, std::string_view aName);

// Returns the path of a target, without its query.
[[nodiscard]] std::string_view
PathOf(std::string_view aTarget);

// Returns the query of a target, without the question mark; empty if none.
[[nodiscard]] std::string_view
QueryOf(std::string_view aTarget);

// Returns the bytes of a request. The body's length is stated if there is one
// or if the method usually has one.
[[nodiscard]] std::string
SerializeRequest(const Http1Request& aRequest);

// Returns the bytes of a response. `aClose` asks the receiver to close the
// connection; the body is left out if `aHeadOnly`.
[[nodiscard]] std::string
SerializeResponse(const Http1Response& aResponse, bool aClose, bool aHeadOnly);

} // namespace ebonykeel
