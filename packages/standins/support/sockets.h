// TCP sockets on kj's side of the loop.
#pragma once

#include <kj/async-io.h>
#include <kj/async.h>

#include "absl/status/statusor.h"
#include "runtime/http/message.h"
#include "runtime/loop/loop.h"

namespace ebonykeel::standins {

// Listens on an IPv4 number and a port; port 0 takes a free one. Fails with
// InvalidArgument or Unavailable.
[[nodiscard]] absl::StatusOr<kj::Own<kj::ConnectionReceiver>>
ListenTcp(Loop& aLoop, const Endpoint& aEndpoint);

// Connects to an IPv4 number and a port. The promise fails if that fails.
[[nodiscard]] kj::Promise<kj::Own<kj::AsyncIoStream>>
ConnectTcp(Loop& aLoop, const Endpoint& aEndpoint);

// Makes the peer see a reset when `aStream` is closed.
void
AbortOnClose(kj::AsyncIoStream& aStream);

} // namespace ebonykeel::standins
