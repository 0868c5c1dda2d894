// Parses HTTP/1.1 messages, one at a time, with the http_parser library of
// Node.js.
//
//   Http1Parser parser(Http1Parser::Kind::kResponse, limits);
//   size_t used = parser.Feed(bytes);
//   if (parser.State() == Http1Parser::Progress::kComplete) {
//     Http1Response response = std::move(parser.Response());
//   }
#pragma once

#include <cstddef>
#include <string_view>

#include <http_parser.h>

#include "runtime/http1/message.h"

namespace ebonykeel {

struct Http1Limits
{
  size_t m_headerBytes = 65536;
  size_t m_bodyBytes = size_t{ 16 } << 20;
};

class Http1Parser
{
public:
  enum class Kind
  {
    kRequest,
    kResponse,
  };
  enum class Progress
  {
    // No byte of the message has been read.
    kIdle,
    // The headers are incomplete.
    kHeaders,
    kBody,
    kComplete,
    kMalformed,
    kHeadersTooLong,
    kBodyTooLong,
  };

  Http1Parser(Kind aKind, Http1Limits aLimits);

  // Parses bytes up to the end of the message and returns how many it consumed.
  // The remaining bytes belong to the next message.
  size_t Feed(std::string_view aBytes);
  // Processes the end of a connection that was closed in order. Completes a
  // response without a length, which ends with its connection.
  void FeedEndOfStream();
  // Discards the message and prepares for the next one.
  void Reset();
  // Sets whether the next response answers a HEAD request and so has no body.
  void ExpectNoBody(bool aNoBody) { m_noBody = aNoBody; }
  void SetLimits(Http1Limits aLimits) { m_limits = aLimits; }

  [[nodiscard]] Progress State() const { return m_progress; }
  // Returns whether the connection stays open after this message.
  [[nodiscard]] bool KeepAlive() const { return m_keepAlive; }
  // Returns whether the sender waits for `100 Continue` before it sends the
  // body.
  [[nodiscard]] bool ExpectsContinue() const;

  // Returns the number of bytes of the message that are held.
  [[nodiscard]] size_t BufferedBytes() const;
  // The message as far as it was parsed; complete in the state `kComplete`.
  [[nodiscard]] Http1Request& Request() { return m_request; }
  [[nodiscard]] Http1Response& Response() { return m_response; }

private:
  static const http_parser_settings& Settings();
  static Http1Parser& Self(http_parser* aParser);
  [[nodiscard]] std::vector<Http1Header>& Headers();
  [[nodiscard]] std::string& Body();
  // Counts the digits of the status in the next bytes of a response.
  void CountStatusDigits(std::string_view aBytes);
  // The library accepts statuses with any number of digits, such as 0200.
  [[nodiscard]] bool HasValidStatus() const;
  // The library accepts names that contain a blank, or a blank after them.
  [[nodiscard]] bool HasValidHeaderNames();
  // Returns whether the headers of a response contain a status line: a server
  // has broken off another response there, and this one follows.
  [[nodiscard]] bool ContainsSecondResponse() const;
  // Returns whether a part of a header's value begins a line: the line then
  // continues the header before it.
  [[nodiscard]] bool BeginsLine(std::string_view aValuePart) const;
  int OnHeaderName(std::string_view aBytes);
  int OnHeaderValue(std::string_view aBytes);
  int OnHeadersComplete();
  int OnBody(std::string_view aBytes);
  int OnComplete();

  Kind m_kind;
  Http1Limits m_limits;
  http_parser m_parser{};
  Progress m_progress = Progress::kIdle;
  bool m_keepAlive = false;
  bool m_noBody = false;
  bool m_inValue = false;
  // The bytes that are being parsed.
  std::string_view m_input;
  // Whether only blanks stand between the last line break of the headers read
  // so far and their end.
  bool m_atLineStart = false;
  size_t m_headerBytesRead = 0;
  // The part of a response's first line that is read next.
  enum class StatusLinePart
  {
    kVersion,
    kStatus,
    kRest,
  };
  StatusLinePart m_statusLinePart = StatusLinePart::kVersion;
  size_t m_statusDigits = 0;
  // The text after the status code of a response.
  std::string m_reason;
  Http1Request m_request;
  Http1Response m_response;
};

} // namespace ebonykeel
