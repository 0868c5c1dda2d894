#include "standins/support/sockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <uv.h>

#include <kj/debug.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel::standins {
namespace {

// Returns null if the host is not a numeric IPv4 address.
kj::Maybe<kj::Own<kj::NetworkAddress>>
ToAddress(Loop& aLoop, const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  if (uv_ip4_addr(aEndpoint.m_host.c_str(), aEndpoint.m_port, &address) != 0) {
    return nullptr;
  }
  return aLoop.Io().provider->getNetwork().getSockaddr(&address,
                                                       sizeof(address));
}

} // namespace

absl::StatusOr<kj::Own<kj::ConnectionReceiver>>
ListenTcp(Loop& aLoop, const Endpoint& aEndpoint)
{
  kj::Own<kj::ConnectionReceiver> receiver;
  KJ_IF_MAYBE (address, ToAddress(aLoop, aEndpoint)) {
    kj::Maybe<kj::Exception> failure =
      kj::runCatchingExceptions([&]() { receiver = (*address)->listen(); });
    KJ_IF_MAYBE (exception, failure) {
      return absl::UnavailableError(exception->getDescription().cStr());
    }
    return receiver;
  }
  return absl::InvalidArgumentError(
    absl::StrCat(aEndpoint.m_host, " is not a numeric IPv4 address"));
}

kj::Promise<kj::Own<kj::AsyncIoStream>>
ConnectTcp(Loop& aLoop, const Endpoint& aEndpoint)
{
  KJ_IF_MAYBE (address, ToAddress(aLoop, aEndpoint)) {
    auto connected = (*address)->connect();
    return connected.attach(kj::mv(*address));
  }
  return KJ_EXCEPTION(FAILED, "not a numeric IPv4 address");
}

void
AbortOnClose(kj::AsyncIoStream& aStream)
{
  linger option{ .l_onoff = 1, .l_linger = 0 };
  aStream.setsockopt(SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace ebonykeel::standins
