// Reads HTTP/1.1 messages from bytes, one at a time, on Node's http_parser.
//
//   Http1Parser parser(Http1Parser::Kind::kResponse, limits);
//   size_t used = parser.Feed(bytes);
//   if (parser.State() == Http1Parser::State::kComplete) {
//     Http1Response response = parser.TakeResponse();
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
    // No byte of a message was read.
    kIdle,
    // The headers are not complete.
    kHeaders,
    kBody,
    kComplete,
    kMalformed,
    kHeadersTooLong,
    kBodyTooLong,
  };

  Http1Parser(Kind aKind, Http1Limits aLimits);

  // Reads bytes up to the end of the message and returns how many were read.
  // The rest belongs to what follows it.
  size_t Feed(std::string_view aBytes);
  // Tells that the connection ended in order; completes a response that ends
  // with its connection.
  void FeedEndOfStream();
  // Prepares for the next message.
  void Reset();
  // Tells that the next response belongs to a HEAD request.
  void ExpectNoBody(bool aNoBody) { m_noBody = aNoBody; }
  void SetLimits(Http1Limits aLimits) { m_limits = aLimits; }

  [[nodiscard]] Progress State() const { return m_progress; }
  // Returns whether the connection may carry another message after this one.
  [[nodiscard]] bool KeepAlive() const { return m_keepAlive; }
  // Returns whether the sender waits for leave to send the body.
  [[nodiscard]] bool ExpectsContinue() const;

  // The message so far; whole once the state is `kComplete`.
  [[nodiscard]] Http1Request& Request() { return m_request; }
  [[nodiscard]] Http1Response& Response() { return m_response; }

private:
  static const http_parser_settings& Settings();
  static Http1Parser& Self(http_parser* aParser);
  [[nodiscard]] std::vector<Http1Header>& Headers();
  [[nodiscard]] std::string& Body();
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
  size_t m_headerBytesRead = 0;
  Http1Request m_request;
  Http1Response m_response;
};

} // namespace ebonykeel
