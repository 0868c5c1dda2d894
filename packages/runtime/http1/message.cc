#include "runtime/http1/message.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <http_parser.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace ebonykeel {
namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
  "connection", "keep-alive",        "proxy-connection", "te",
  "trailer",    "transfer-encoding", "upgrade",          "content-length",
};

absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

void
AppendHeaders(std::string& aText, std::span<const Http1Header> aHeaders)
{
  for (const Http1Header& header : aHeaders) {
    absl::StrAppend(&aText, header.m_name, ": ", header.m_value, "\r\n");
  }
}

} // namespace

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(ToAbsl(aLeft), ToAbsl(aRight));
}

std::optional<std::string_view>
FindHeader(std::span<const Http1Header> aHeaders, std::string_view aName)
{
  auto found = std::ranges::find_if(aHeaders, [&](const Http1Header& aHeader) {
    return EqualIgnoringCase(aHeader.m_name, aName);
  });
  if (found == aHeaders.end()) {
    return std::nullopt;
  }
  return found->m_value;
}

bool
IsHopByHop(std::span<const Http1Header> aHeaders, std::string_view aName)
{
  bool fixed = std::ranges::any_of(kHopByHop, [&](std::string_view aFixed) {
    return EqualIgnoringCase(aFixed, aName);
  });
  if (fixed) {
    return true;
  }
  return std::ranges::any_of(aHeaders, [&](const Http1Header& aHeader) {
    if (!EqualIgnoringCase(aHeader.m_name, "connection")) {
      return false;
    }
    std::vector<std::string> names = absl::StrSplit(aHeader.m_value, ',');
    return std::ranges::any_of(names, [&](const std::string& aListed) {
      return absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(aListed),
                                    ToAbsl(aName));
    });
  });
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string_view
QueryOf(std::string_view aTarget)
{
  size_t question = aTarget.find('?');
  return question == std::string_view::npos ? std::string_view()
                                            : aTarget.substr(question + 1);
}

std::string
SerializeRequest(const Http1Request& aRequest)
{
  std::string text =
    absl::StrCat(aRequest.m_method, " ", aRequest.m_target, " HTTP/1.1\r\n");
  AppendHeaders(text, aRequest.m_headers);
  bool hasLength = !aRequest.m_body.empty() || aRequest.m_method == "POST" ||
                   aRequest.m_method == "PUT" || aRequest.m_method == "PATCH";
  if (hasLength) {
    absl::StrAppend(&text, "Content-Length: ", aRequest.m_body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", aRequest.m_body);
  return text;
}

std::string
SerializeResponse(const Http1Response& aResponse, bool aClose, bool aHeadOnly)
{
  std::string text =
    absl::StrCat("HTTP/1.1 ",
                 aResponse.m_status,
                 " ",
                 http_status_str(static_cast<http_status>(aResponse.m_status)),
                 "\r\n");
  AppendHeaders(text, aResponse.m_headers);
  bool hasBody = aResponse.m_status != 204 && aResponse.m_status != 304;
  if (hasBody) {
    absl::StrAppend(&text, "Content-Length: ", aResponse.m_body.size(), "\r\n");
  }
  if (aClose) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  if (hasBody && !aHeadOnly) {
    text += aResponse.m_body;
  }
  return text;
}

} // namespace ebonykeel
