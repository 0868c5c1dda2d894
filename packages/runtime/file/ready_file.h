// Signals to the parent of a process that the process is ready, and on which
// ports.
//
//   WriteReadyFile("/run/node.json", R"({"public":8080})");
#pragma once

#include <string>
#include <string_view>

namespace ebonykeel {

// Writes `aText` to `aPath` atomically, by renaming a temporary file, so that
// readers never see a part of it. Returns false on failure.
bool
WriteReadyFile(const std::string& aPath, std::string_view aText);

} // namespace ebonykeel
