// Encodes and decodes the messages that instances exchange.
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

// Returns nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<FleetMessage>
DecodeFleetMessage(std::string_view aBytes);

// `aDeltas` holds one delta for each kind of objects, in the fixed order of the
// kinds.
[[nodiscard]] std::string
EncodeDeltas(std::span<const FeedDelta> aDeltas);

// Returns nothing if the bytes are not valid deltas.
[[nodiscard]] std::optional<std::vector<FeedDelta>>
DecodeDeltas(std::string_view aBytes);

} // namespace ebonykeel
