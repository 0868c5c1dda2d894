#include "runtime/http1/parser.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "absl/strings/ascii.h"
#include "runtime/http/message.h"

namespace ebonykeel {
namespace {

// The result of `on_headers_complete` that makes http_parser skip the body.
constexpr int kSkipBody = 1;
constexpr int kStopParsing = -1;

// Returns whether the text contains the beginning of a status line, such as
// "HTTP/1.1 200".
bool
ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kProtocol = "HTTP/1.";
  // "N" stands for a digit.
  constexpr std::string_view kRest = "N NNN";
  for (size_t at = aText.find(kProtocol); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    std::string_view rest =
      aText.substr(at + kProtocol.size()).substr(0, kRest.size());
    bool matches = std::ranges::equal(rest, kRest, [](char aLeft, char aRight) {
      return aRight == 'N' ? absl::ascii_isdigit(aLeft) : aLeft == aRight;
    });
    if (matches) {
      return true;
    }
  }
  return false;
}

// Returns whether only blanks stand between the last line break of the text and
// its end; nothing if the text consists of blanks.
std::optional<bool>
EndsAtLineStart(std::string_view aText)
{
  size_t last = aText.find_last_not_of(" \t");
  if (last == std::string_view::npos) {
    return std::nullopt;
  }
  return aText[last] == '\n';
}

} // namespace

Http1Parser::Http1Parser(Kind aKind, Http1Limits aLimits)
  : m_kind(aKind)
  , m_limits(aLimits)
{
  // The library's limit on headers applies to the whole process, so it is
  // raised; each parser applies its own.
  http_parser_set_max_header_size(std::numeric_limits<uint32_t>::max() / 2);
  Reset();
}

size_t
Http1Parser::Feed(std::string_view aBytes)
{
  if (m_progress >= Progress::kComplete || aBytes.empty()) {
    return 0;
  }
  if (m_progress == Progress::kIdle) {
    m_progress = Progress::kHeaders;
  }
  bool inHeaders = m_progress == Progress::kHeaders;
  CountStatusDigits(aBytes);
  m_input = aBytes;
  size_t used =
    http_parser_execute(&m_parser, &Settings(), aBytes.data(), aBytes.size());
  http_errno error = HTTP_PARSER_ERRNO(&m_parser);
  if (m_progress == Progress::kComplete) {
    // `OnComplete` has paused the parser at the end of the message.
    return used;
  }
  if (error != HPE_OK && m_progress < Progress::kComplete) {
    m_progress = Progress::kMalformed;
  }
  if (inHeaders && m_progress == Progress::kHeaders) {
    m_atLineStart = EndsAtLineStart(aBytes).value_or(m_atLineStart);
    m_headerBytesRead += aBytes.size();
    if (m_headerBytesRead > m_limits.m_headerBytes) {
      m_progress = Progress::kHeadersTooLong;
    }
  }
  return used;
}

void
Http1Parser::FeedEndOfStream()
{
  if (m_progress != Progress::kBody) {
    return;
  }
  http_parser_execute(&m_parser, &Settings(), nullptr, 0);
}

void
Http1Parser::Reset()
{
  http_parser_init(&m_parser,
                   m_kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_progress = Progress::kIdle;
  m_keepAlive = false;
  m_inValue = false;
  m_atLineStart = false;
  m_headerBytesRead = 0;
  m_statusLinePart = StatusLinePart::kVersion;
  m_statusDigits = 0;
  m_reason.clear();
  m_request = Http1Request{ .m_method = "", .m_target = "" };
  m_response = Http1Response{ .m_status = 0 };
}

bool
Http1Parser::ExpectsContinue() const
{
  std::optional<std::string_view> expect =
    FindHeader(m_request.m_headers, "expect");
  return expect && EqualIgnoringCase(*expect, "100-continue");
}

size_t
Http1Parser::BufferedBytes() const
{
  size_t body = m_kind == Kind::kRequest ? m_request.m_body.size()
                                         : m_response.m_body.size();
  return m_headerBytesRead + body;
}

const http_parser_settings&
Http1Parser::Settings()
{
  static const http_parser_settings kSettings = []() {
    http_parser_settings made{};
    made.on_url = [](http_parser* aParser, const char* aAt, size_t aLength) {
      Self(aParser).m_request.m_target.append(aAt, aLength);
      return 0;
    };
    made.on_status = [](http_parser* aParser, const char* aAt, size_t aLength) {
      Self(aParser).m_reason.append(aAt, aLength);
      return 0;
    };
    made.on_header_field =
      [](http_parser* aParser, const char* aAt, size_t aLength) {
        return Self(aParser).OnHeaderName({ aAt, aLength });
      };
    made.on_header_value =
      [](http_parser* aParser, const char* aAt, size_t aLength) {
        return Self(aParser).OnHeaderValue({ aAt, aLength });
      };
    made.on_headers_complete = [](http_parser* aParser) {
      return Self(aParser).OnHeadersComplete();
    };
    made.on_body = [](http_parser* aParser, const char* aAt, size_t aLength) {
      return Self(aParser).OnBody({ aAt, aLength });
    };
    made.on_message_complete = [](http_parser* aParser) {
      return Self(aParser).OnComplete();
    };
    return made;
  }();
  return kSettings;
}

Http1Parser&
Http1Parser::Self(http_parser* aParser)
{
  return *static_cast<Http1Parser*>(aParser->data);
}

std::vector<Http1Header>&
Http1Parser::Headers()
{
  return m_kind == Kind::kRequest ? m_request.m_headers : m_response.m_headers;
}

std::string&
Http1Parser::Body()
{
  return m_kind == Kind::kRequest ? m_request.m_body : m_response.m_body;
}

void
Http1Parser::CountStatusDigits(std::string_view aBytes)
{
  for (char character : aBytes) {
    switch (m_statusLinePart) {
      case StatusLinePart::kVersion:
        if (character == ' ') {
          m_statusLinePart = StatusLinePart::kStatus;
        }
        break;
      case StatusLinePart::kStatus:
        if (absl::ascii_isdigit(static_cast<unsigned char>(character))) {
          ++m_statusDigits;
        } else if (m_statusDigits > 0) {
          m_statusLinePart = StatusLinePart::kRest;
        }
        break;
      case StatusLinePart::kRest:
        return;
    }
  }
}

bool
Http1Parser::HasValidStatus() const
{
  constexpr size_t kStatusDigits = 3;
  return m_kind == Kind::kRequest ||
         (m_statusDigits == kStatusDigits &&
          IsValidStatus(static_cast<int>(m_parser.status_code)));
}

bool
Http1Parser::HasValidHeaderNames()
{
  return std::ranges::all_of(Headers(), IsHeaderName, &Http1Header::m_name);
}

bool
Http1Parser::ContainsSecondResponse() const
{
  return m_kind == Kind::kResponse &&
         (ContainsStatusLine(m_reason) ||
          std::ranges::any_of(
            m_response.m_headers, ContainsStatusLine, &Http1Header::m_value));
}

bool
Http1Parser::BeginsLine(std::string_view aValuePart) const
{
  auto offset = static_cast<size_t>(aValuePart.data() - m_input.data());
  return EndsAtLineStart(m_input.substr(0, offset)).value_or(m_atLineStart);
}

int
Http1Parser::OnHeaderName(std::string_view aBytes)
{
  // Ignores trailers after a chunked body.
  if (m_progress != Progress::kHeaders) {
    return 0;
  }
  if (m_inValue || Headers().empty()) {
    Headers().emplace_back();
    m_inValue = false;
  }
  Headers().back().m_name.append(aBytes);
  return 0;
}

int
Http1Parser::OnHeaderValue(std::string_view aBytes)
{
  if (m_progress != Progress::kHeaders) {
    return 0;
  }
  // Continued lines are obsolete, and receivers read them differently.
  if (m_inValue && BeginsLine(aBytes)) {
    m_progress = Progress::kMalformed;
    return kStopParsing;
  }
  m_inValue = true;
  Headers().back().m_value.append(aBytes);
  return 0;
}

int
Http1Parser::OnHeadersComplete()
{
  if (!HasValidStatus() || !HasValidHeaderNames() || ContainsSecondResponse()) {
    m_progress = Progress::kMalformed;
    return kStopParsing;
  }
  m_progress = Progress::kBody;
  m_response.m_status = static_cast<int>(m_parser.status_code);
  if (m_kind == Kind::kRequest) {
    m_request.m_method =
      http_method_str(static_cast<http_method>(m_parser.method));
  }
  constexpr uint64_t kUnknownLength = std::numeric_limits<uint64_t>::max();
  bool known = m_parser.content_length != kUnknownLength;
  if (!m_noBody && known && m_parser.content_length > m_limits.m_bodyBytes) {
    m_progress = Progress::kBodyTooLong;
    return kStopParsing;
  }
  return m_noBody ? kSkipBody : 0;
}

int
Http1Parser::OnBody(std::string_view aBytes)
{
  if (Body().size() + aBytes.size() > m_limits.m_bodyBytes) {
    m_progress = Progress::kBodyTooLong;
    return kStopParsing;
  }
  Body().append(aBytes);
  return 0;
}

int
Http1Parser::OnComplete()
{
  m_keepAlive = http_should_keep_alive(&m_parser) != 0;
  m_progress = Progress::kComplete;
  http_parser_pause(&m_parser, 1);
  return 0;
}

} // namespace ebonykeel
