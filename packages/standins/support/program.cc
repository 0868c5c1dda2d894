#include "standins/support/program.h"

#include <csignal>
#include <cstdio>

#include "runtime/file/ready_file.h"

namespace ebonykeel::standins {

void
CaptureStopSignals()
{
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  std::signal(SIGPIPE, SIG_IGN);
}

bool
AnnounceReady(const std::string& aPath, const nlohmann::json& aContent)
{
  if (aPath.empty() || WriteReadyFile(aPath, aContent.dump())) {
    return true;
  }
  std::fprintf(stderr, "cannot write %s\n", aPath.c_str());
  return false;
}

void
RunUntilStopped(Loop& aLoop)
{
  aLoop.OnSignal(SIGTERM)
    .exclusiveJoin(aLoop.OnSignal(SIGINT))
    .wait(aLoop.WaitScope());
}

} // namespace ebonykeel::standins
