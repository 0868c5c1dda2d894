// Startup and shutdown shared by the stand-in programs.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "runtime/loop/loop.h"

namespace ebonykeel::standins {

// Captures SIGTERM and SIGINT for `RunUntilStopped` and ignores SIGPIPE. Call
// it at the start of the program, before creating the loop.
void
CaptureStopSignals();

// Writes `aContent` atomically to the file `aPath`; does nothing if the path is
// empty. Returns whether it succeeded, and reports a failure on stderr.
[[nodiscard]] bool
AnnounceReady(const std::string& aPath, const nlohmann::json& aContent);

// Runs the loop until the process receives SIGTERM or SIGINT.
void
RunUntilStopped(Loop& aLoop);

} // namespace ebonykeel::standins
