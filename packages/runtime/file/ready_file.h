// Tells whoever started a process that it is ready, and on which ports.
//
//   WriteReadyFile("/run/node.json", R"({"public":8080})");
#pragma once

#include <string>
#include <string_view>

namespace ebonykeel {

// Writes `aText` to `aPath` in one step, by renaming a temporary file, so that
// a reader never sees a part of it. Returns false when that fails.
bool
WriteReadyFile(const std::string& aPath, std::string_view aText);

} // namespace ebonykeel
