#include "standins/support/program.h"

#include <csignal>
#include <cstdio>
#include <fstream>

#include "absl/strings/str_cat.h"

namespace ebonykeel::standins {

void
CaptureStopSignals()
{
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  std::signal(SIGPIPE, SIG_IGN);
}

absl::Status
WriteReadyFile(const std::string& aPath, const nlohmann::json& aContent)
{
  if (aPath.empty()) {
    return absl::OkStatus();
  }
  std::string temporary = absl::StrCat(aPath, ".new");
  std::ofstream file(temporary);
  file << aContent.dump() << '\n';
  file.close();
  if (!file || std::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return absl::UnavailableError(absl::StrCat("cannot write ", aPath));
  }
  return absl::OkStatus();
}

void
RunUntilStopped(Loop& aLoop)
{
  aLoop.OnSignal(SIGTERM)
    .exclusiveJoin(aLoop.OnSignal(SIGINT))
    .wait(aLoop.WaitScope());
}

} // namespace ebonykeel::standins
