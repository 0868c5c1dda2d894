// Builds the HTTP requests of the commands.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "cli/check.h"
#include "cli/command_line.h"
#include "runtime/http/message.h"

namespace ebonykeel::cli {

// An HTTP request, the instance it goes to, and the effect it may have.
struct InstanceRequest
{
  Endpoint m_endpoint;
  HttpRequest m_http;
  // True for a change or a filing: without an answer, its outcome is unknown.
  bool m_hasEffect = false;
  // True for a change of the configuration. The tool then waits until the
  // change is in force everywhere.
  bool m_changesConfiguration = false;
};

// The input of a request that does not come from the command line.
struct RequestContext
{
  // The bearer token; empty sends no token.
  std::string m_token;
  // The change id or request id to use when the command line gives none.
  std::string m_randomId;
  // Wall-clock time in milliseconds since 1970.
  int64_t m_unixMs = 0;
};

// Returns the request of a command. `check`, `publish`, `load` and `explain`
// have no request here; the status request is returned for them.
[[nodiscard]] InstanceRequest
MakeRequest(const CommandLine& aLine, const RequestContext& aContext);

// Returns the request that publishes `aFiles`.
[[nodiscard]] InstanceRequest
MakePublishRequest(const CommandLine& aLine,
                   const RequestContext& aContext,
                   std::span<const ServiceFile> aFiles);

// Returns the request that reads the status of the instance.
[[nodiscard]] InstanceRequest
MakeStatusRequest(const CommandLine& aLine, const RequestContext& aContext);

} // namespace ebonykeel::cli
