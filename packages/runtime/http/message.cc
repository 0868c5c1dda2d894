#include "runtime/http/message.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace ebonykeel {
namespace {

std::string
DecodePercent(std::string_view aText)
{
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '+') {
      text.push_back(' ');
      continue;
    }
    bool escaped = aText[i] == '%' && i + 2 < aText.size() &&
                   absl::ascii_isxdigit(aText[i + 1]) &&
                   absl::ascii_isxdigit(aText[i + 2]);
    if (!escaped) {
      text.push_back(aText[i]);
      continue;
    }
    text += absl::HexStringToBytes(absl::string_view(aText.data() + i + 1, 2));
    i += 2;
  }
  return text;
}

} // namespace

std::optional<std::string_view>
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  auto found = std::ranges::find(aHeaders, aName, &HttpHeader::m_name);
  if (found == aHeaders.end()) {
    return std::nullopt;
  }
  return found->m_value;
}

bool
IsValidStatus(int aStatus)
{
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  return aStatus >= kFirstStatus && aStatus <= kLastStatus;
}

bool
IsHeaderName(std::string_view aText)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::ranges::all_of(aText, [&](char aByte) {
    return absl::ascii_isalnum(static_cast<unsigned char>(aByte)) ||
           kMarks.find(aByte) != std::string_view::npos;
  });
}

bool
IsHeaderValue(std::string_view aText)
{
  absl::string_view text(aText.data(), aText.size());
  return std::ranges::none_of(
           aText,
           [](unsigned char aByte) { return absl::ascii_iscntrl(aByte); }) &&
         absl::StripAsciiWhitespace(text).size() == text.size();
}

std::optional<std::string>
QueryParameter(std::string_view aQuery, std::string_view aName)
{
  absl::string_view query(aQuery.data(), aQuery.size());
  for (absl::string_view pair : absl::StrSplit(query, '&')) {
    std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(pair, absl::MaxSplits('=', 1));
    if (std::string_view(parts.first.data(), parts.first.size()) == aName) {
      return DecodePercent({ parts.second.data(), parts.second.size() });
    }
  }
  return std::nullopt;
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kUnreserved = "._~-";
  std::string encoded;
  for (char byte : aText) {
    auto code = static_cast<unsigned char>(byte);
    if (absl::ascii_isalnum(code) ||
        kUnreserved.find(byte) != std::string_view::npos) {
      encoded.push_back(byte);
    } else {
      absl::StrAppendFormat(&encoded, "%%%02X", code);
    }
  }
  return encoded;
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view port = aText.substr(colon + 1);
  uint32_t number = 0;
  if (!absl::SimpleAtoi(absl::string_view(port.data(), port.size()), &number) ||
      number > 65535) {
    return std::nullopt;
  }
  return Endpoint{ std::string(aText.substr(0, colon)),
                   static_cast<uint16_t>(number) };
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  return absl::StrCat(aEndpoint.m_host, ":", aEndpoint.m_port);
}

} // namespace ebonykeel
