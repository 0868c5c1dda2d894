// Encodes and decodes the messages about roll-outs that instances exchange in
// datagrams.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/rollout/rollout.h"

namespace ebonykeel {

// The most bytes of one message: a datagram also holds the sender's record and
// gossip, and must fit into an Ethernet frame.
inline constexpr size_t kMaxRolloutMessage = 900;

// Returns the report in as many messages as its routes need. A route whose name
// does not fit into a message is left out.
[[nodiscard]] std::vector<std::string>
EncodeRolloutReport(const RolloutReport& aReport);

[[nodiscard]] std::string
EncodeRolloutAnnouncement(const RolloutAnnouncement& aAnnouncement);

using RolloutMessage = std::variant<RolloutReport, RolloutAnnouncement>;

// Returns nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<RolloutMessage>
DecodeRolloutMessage(std::string_view aBytes);

} // namespace ebonykeel
