// Renders the answer to `explain-route` as text. Like the other renderers it
// never fails, whatever the answer holds.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace ebonykeel::cli {

[[nodiscard]] std::string
RenderRoute(const nlohmann::json& aAnswer);

} // namespace ebonykeel::cli
