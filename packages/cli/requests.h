// The HTTP requests that the commands stand for.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "cli/check.h"
#include "cli/command_line.h"
#include "runtime/http/message.h"

namespace ebonykeel::cli {

// One request and what its answer means.
struct InstanceRequest
{
  Endpoint m_endpoint;
  HttpRequest m_http;
  // Changes something: without an answer its outcome is unknown.
  bool m_hasEffect = false;
  // A change of the configuration, which is then put in force everywhere.
  bool m_changesConfiguration = false;
};

// What a request needs besides the command line.
struct RequestContext
{
  // Bearer token; empty for none.
  std::string m_token;
  // Used where the command line names no change or request.
  std::string m_randomId;
  // Wall-clock time in milliseconds since 1970.
  int64_t m_unixMs = 0;
};

// Returns the request of any command but `check` and `publish`.
[[nodiscard]] InstanceRequest
MakeRequest(const CommandLine& aLine, const RequestContext& aContext);

// Returns the request that publishes `aFiles`.
[[nodiscard]] InstanceRequest
MakePublishRequest(const CommandLine& aLine,
                   const RequestContext& aContext,
                   std::span<const ServiceFile> aFiles);

// Returns the request for the state of the node.
[[nodiscard]] InstanceRequest
MakeStatusRequest(const CommandLine& aLine, const RequestContext& aContext);

// Returns `aText` with everything but letters, digits, '.', '_', '~' and '-'
// percent-encoded.
[[nodiscard]] std::string
PercentEncode(std::string_view aText);

} // namespace ebonykeel::cli
