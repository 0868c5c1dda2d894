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

// What happens on a stream. Calls may close or destroy the stream.
class TcpObserver
{
public:
  virtual ~TcpObserver() = default;
  // `aConnected` is false if the connection could not be established.
  virtual void OnConnected(bool aConnected) = 0;
  virtual void OnBytes(std::string_view aBytes) = 0;
  // The other end closed its side (`aReset` false) or the connection broke.
  virtual void OnEnd(bool aReset) = 0;
};

// Owns a connection; destroying it closes the connection. The loop and the
// observer outlive it.
class TcpStream
{
public:
  // Connects to `aAddress`; `OnConnected` follows in a later turn.
  static std::unique_ptr<TcpStream> Connect(UvLoop& aLoop,
                                            const Address& aAddress,
                                            TcpObserver& aObserver);
  // Takes a connection from a listening handle; null if there is none.
  static std::unique_ptr<TcpStream> Accept(UvLoop& aLoop,
                                           uv_stream_t* aListener,
                                           TcpObserver& aObserver);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Hands bytes to the connection. What the kernel does not take at once is
  // kept and sent when it can be.
  void Write(std::string aBytes);
  // Returns the bytes that the kernel has not taken yet.
  [[nodiscard]] size_t UnsentBytes() const;
  // Ends this side after what was written; the other side may go on.
  void ShutDown();
  void PauseReading(bool aPause);

private:
  struct Handle;
  explicit TcpStream(Handle* aHandle);
  static Handle* NewHandle(UvLoop& aLoop, TcpObserver& aObserver);
  static void StartReading(Handle& aHandle);

  Handle* m_handle;
};

// Listens for connections. The loop outlives it.
class TcpListener
{
public:
  // Calls `aOnConnection` with the listening handle for each arrival.
  TcpListener(UvLoop& aLoop, std::function<void(uv_stream_t*)> aOnConnection);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Returns an empty text, or why the address cannot be used. Port 0 takes a
  // free one.
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
