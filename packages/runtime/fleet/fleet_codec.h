// The bytes of what instances send each other.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/feed/object_feed.h"
#include "core/fleet/fleet_message.h"

namespace ebonykeel {

[[nodiscard]] std::string
EncodeFleetMessage(const FleetMessage& aMessage);

// Returns nothing if the bytes are no message.
[[nodiscard]] std::optional<FleetMessage>
DecodeFleetMessage(std::string_view aBytes);

// The deltas stand in the fixed order of the kinds.
[[nodiscard]] std::string
EncodeDeltas(std::span<const FeedDelta> aDeltas);

// Returns nothing if the bytes are no deltas.
[[nodiscard]] std::optional<std::vector<FeedDelta>>
DecodeDeltas(std::string_view aBytes);

} // namespace ebonykeel
