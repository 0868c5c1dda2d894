// A relay between an instance and the store whose link can be cut silently:
// bytes that are on their way then arrive when the cut heals, as with TCP's
// retransmissions after a short partition.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "http.h"

namespace review {

class Link
{
public:
  // Relays connections to `aTarget`; returns the address of the relay.
  Address Start(const std::string& aHost, const Address& aTarget)
  {
    m_target = aTarget;
    return m_server.Start(
      aHost, [this](Connection& aConnection) { Serve(aConnection); });
  }
  void SetCut(bool aCut) { m_isCut = aCut; }

private:
  static constexpr Milliseconds kCheckInterval{ 5 };

  void Serve(Connection& aConnection)
  {
    WaitWhileCut();
    auto target = Connection::Open(m_target, Milliseconds(1000));
    if (target == nullptr) {
      return;
    }
    std::thread back([&]() { Copy(*target, aConnection); });
    Copy(aConnection, *target);
    back.join();
  }

  // Copies bytes until one side ends, and then ends both.
  void Copy(Connection& aFrom, Connection& aTo)
  {
    std::string bytes;
    while (aFrom.ReadSome(bytes)) {
      WaitWhileCut();
      if (!aTo.Write(bytes)) {
        break;
      }
    }
    aFrom.ShutDown();
    aTo.ShutDown();
  }

  void WaitWhileCut() const
  {
    while (m_isCut) {
      std::this_thread::sleep_for(kCheckInterval);
    }
  }

  Server m_server;
  Address m_target;
  std::atomic<bool> m_isCut = false;
};

} // namespace review
