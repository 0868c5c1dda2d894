// TCP sockets with kj's asynchronous I/O.
#pragma once

#include <kj/async-io.h>
#include <kj/async.h>

#include "absl/status/statusor.h"
#include "runtime/http/message.h"
#include "runtime/loop/loop.h"

namespace ebonykeel::standins {

// Listens on a numeric IPv4 address and a port; port 0 selects any free port.
// Fails with InvalidArgument if the address is not numeric and with Unavailable
// if it cannot be bound.
[[nodiscard]] absl::StatusOr<kj::Own<kj::ConnectionReceiver>>
ListenTcp(Loop& aLoop, const Endpoint& aEndpoint);

// Connects to a numeric IPv4 address and a port. The promise is rejected if
// that fails.
[[nodiscard]] kj::Promise<kj::Own<kj::AsyncIoStream>>
ConnectTcp(Loop& aLoop, const Endpoint& aEndpoint);

// Makes closing `aStream` reset the connection instead of ending it cleanly.
void
AbortOnClose(kj::AsyncIoStream& aStream);

} // namespace ebonykeel::standins
