// Encodes and decodes the messages by which instances divide quotas.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/quota/quota_message.h"

namespace ebonykeel {

[[nodiscard]] std::string
EncodeQuotaMessage(const QuotaMessage& aMessage);

// Returns nothing if the bytes are not a valid message, or one with a group or
// a number of entries that no instance sends.
[[nodiscard]] std::optional<QuotaMessage>
DecodeQuotaMessage(std::string_view aBytes);

} // namespace ebonykeel
