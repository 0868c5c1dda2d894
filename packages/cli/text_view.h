// Renders the JSON answers of an instance as human-readable text. Never
// fails: a missing field is rendered as empty text, a field of an unexpected
// type as its JSON text or not at all.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "cli/command_line.h"

namespace ebonykeel::cli {

// Returns the text for the answer to `aCommand`.
[[nodiscard]] std::string
RenderAnswer(Command aCommand, const nlohmann::json& aAnswer);

// Returns the text for an error answer: its findings or message, its code, and
// whether the request ran.
[[nodiscard]] std::string
RenderError(int aStatus, const nlohmann::json& aAnswer);

// Returns a text such as "in force on 2 of 3, missing: entry-03".
[[nodiscard]] std::string
RenderInForce(const nlohmann::json& aInForce);

} // namespace ebonykeel::cli
