// Runs an instance in the mode "forward" until SIGTERM or SIGINT.
#pragma once

#include <string>

#include "core/config/forward_settings.h"
#include "node/entry/protocol.h"

namespace ebonykeel {

// Returns the process's exit code: 0 after a graceful stop, 1 if an address
// cannot be bound. The settings are read again from `aSettingsPath` at SIGHUP
// and when the file changes.
[[nodiscard]] int
RunForwardInstance(ForwardSettings aSettings,
                   const std::string& aSettingsPath,
                   const TrafficProtocol& aTraffic,
                   const StoreProtocol& aStore);

} // namespace ebonykeel
