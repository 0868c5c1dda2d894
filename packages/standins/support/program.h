// What every stand-in program does at its start and at its end.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "runtime/loop/loop.h"

namespace ebonykeel::standins {

// Makes SIGTERM and SIGINT wait for `RunUntilStopped`. Call it first in main.
void
CaptureStopSignals();

// Writes `aContent` to the file `aPath` in one step, and to stderr if that
// fails. An empty path writes nothing. Returns whether it succeeded.
[[nodiscard]] bool
AnnounceReady(const std::string& aPath, const nlohmann::json& aContent);

// Runs the loop until the process gets SIGTERM or SIGINT.
void
RunUntilStopped(Loop& aLoop);

} // namespace ebonykeel::standins
