// Renders the JSON answers of a node as text for people. A field that is
// missing or of another type than expected is left out.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "cli/command_line.h"

namespace ebonykeel::cli {

// Returns the text for the answer to `aCommand`.
[[nodiscard]] std::string
RenderAnswer(Command aCommand, const nlohmann::json& aAnswer);

// Returns the text for an error of the node: its code, its message and whether
// the request ran.
[[nodiscard]] std::string
RenderError(int aStatus, const nlohmann::json& aAnswer);

// Returns "in force on 2 of 3, missing: entry-03".
[[nodiscard]] std::string
RenderInForce(const nlohmann::json& aInForce);

} // namespace ebonykeel::cli
