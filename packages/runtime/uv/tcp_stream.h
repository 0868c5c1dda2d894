// A TCP connection on a libuv loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "core/config/address.h"
#include "runtime/uv/uv_loop.h"

namespace ebonykeel {

// Receives the events of a stream. Its functions may destroy the stream.
class TcpObserver
{
public:
  virtual ~TcpObserver() = default;
  // Called once for an outgoing connection; `aConnected` is false if it could
  // not be established.
  virtual void OnConnected(bool aConnected) = 0;
  virtual void OnBytes(std::string_view aBytes) = 0;
  // Called when the other end closed its side (`aReset` is false) or the
  // connection failed (`aReset` is true).
  virtual void OnEnd(bool aReset) = 0;
};

// Owns a connection and closes it in the destructor. The loop and the observer
// must outlive it.
class TcpStream
{
public:
  // Connects to `aAddress`; calls `OnConnected` in a later turn of the loop.
  static std::unique_ptr<TcpStream> Connect(UvLoop& aLoop,
                                            const Address& aAddress,
                                            TcpObserver& aObserver);
  // Accepts a connection from a listening handle; returns null if there is
  // none.
  static std::unique_ptr<TcpStream> Accept(UvLoop& aLoop,
                                           uv_stream_t* aListener,
                                           TcpObserver& aObserver);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Sends bytes. Those that the kernel does not accept at once are queued.
  void Write(std::string aBytes);
  // Returns the number of queued bytes.
  [[nodiscard]] size_t UnsentBytes() const;
  // Closes the sending side after the queued bytes are sent; the other end may
  // still send.
  void ShutDown();
  void PauseReading(bool aPause);

private:
  struct Handle;
  explicit TcpStream(Handle* aHandle);
  static Handle* NewHandle(UvLoop& aLoop, TcpObserver& aObserver);
  static void StartReading(Handle& aHandle);

  Handle* m_handle;
};

// Listens for connections. The loop must outlive it.
class TcpListener
{
public:
  // Calls `aOnConnection` with the listening handle for each new connection.
  TcpListener(UvLoop& aLoop, std::function<void(uv_stream_t*)> aOnConnection);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns an empty string, or the reason why the address cannot be bound.
  // Port 0 selects a free port.
  [[nodiscard]] std::string Listen(const Address& aAddress);
  [[nodiscard]] uint16_t Port() const { return m_port; }
  void Stop();

private:
  struct Handle;
  UvLoop& m_loop;
  std::function<void(uv_stream_t*)> m_onConnection;
  Handle* m_handle = nullptr;
  uint16_t m_port = 0;
};

} // namespace ebonykeel
