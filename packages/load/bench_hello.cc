// A minimal h2o server on the event loop of this project that answers every
// request with two bytes. Its throughput is the upper bound that the HTTP
// front end of an instance is compared with.
#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>
#include <kj/async-unix.h>

#include "absl/strings/str_cat.h"
#include "runtime/file/ready_file.h"
#include "runtime/http/server.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {
namespace {

constexpr char kUsage[] = R"(Answers every request with two bytes.

Usage:
  bench_hello [--listen=ADDRESS] [--ready-file=PATH]
  bench_hello --help

Options:
  --listen=ADDRESS   Address and port [default: 127.0.0.1:0].
  --ready-file=PATH  File to write once the port is open [default: ].
)";

class HelloHandler final : public HttpHandler
{
public:
  kj::Promise<HttpResponse> Handle(HttpRequest /* aRequest */) override
  {
    return HttpResponse{ .m_contentType = "text/plain", .m_body = "hi" };
  }
};

int
Run(const std::map<std::string, docopt::value>& aArguments)
{
  std::optional<Endpoint> endpoint =
    ParseEndpoint(aArguments.at("--listen").asString());
  if (!endpoint) {
    std::cerr << "--listen: not an IP address and port\n";
    return 2;
  }
  kj::UnixEventPort::captureSignal(SIGTERM);
  Loop loop;
  HelloHandler handler;
  auto server = HttpServer::Listen(loop, *endpoint, {}, handler);
  if (!server.ok()) {
    std::cerr << server.status() << "\n";
    return 1;
  }
  std::string path = aArguments.at("--ready-file").asString();
  std::string ready = absl::StrCat("{\"port\":", (*server)->Port(), "}");
  if (!path.empty() && !WriteReadyFile(path, ready)) {
    std::cerr << "cannot write " << path << "\n";
    return 1;
  }
  loop.OnSignal(SIGTERM).wait(loop.WaitScope());
  return 0;
}

} // namespace
} // namespace ebonykeel

int
main(int aCount, char** aArguments)
{
  return ebonykeel::Run(docopt::docopt(
    ebonykeel::kUsage, { aArguments + 1, aArguments + aCount }, true));
}
