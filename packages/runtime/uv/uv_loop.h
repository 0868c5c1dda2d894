// libuv's loop, its clock, timers and signals, for processes that run no other
// event loop.
//
//   UvLoop loop;
//   UvTimer timer(loop, [&]() { ... });
//   timer.Set(loop.Now() + Milliseconds(5));
//   loop.Run();
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <uv.h>

#include "core/base/time.h"

namespace ebonykeel {

// Owns a loop. A process creates one, on its only thread, and destroys it last.
class UvLoop
{
public:
  UvLoop();
  ~UvLoop();
  UvLoop(const UvLoop&) = delete;
  UvLoop& operator=(const UvLoop&) = delete;

  [[nodiscard]] uv_loop_t* Uv() { return &m_loop; }
  // Returns the current monotonic time.
  [[nodiscard]] TimePoint Now() const;
  // Returns for how long the host was suspended since its boot, as the
  // difference between its boot-time clock and its monotonic clock.
  [[nodiscard]] Duration Suspended() const;
  // Runs until `Stop`.
  void Run();
  // Handles ready events and returns; first waits for one if `aWait`.
  void RunOnce(bool aWait);
  void Stop();

private:
  uv_loop_t m_loop;
};

// A timer that calls back once and can be set again at any time. The loop must
// outlive it.
class UvTimer
{
public:
  UvTimer(UvLoop& aLoop, std::function<void()> aCallback);
  ~UvTimer();
  UvTimer(const UvTimer&) = delete;
  UvTimer& operator=(const UvTimer&) = delete;

  // Sets the timer, or clears it if `aTime` is empty. The callback is never
  // early.
  void Set(std::optional<TimePoint> aTime);
  [[nodiscard]] bool IsSet() const { return m_dueAt.has_value(); }

private:
  struct Handle;
  void OnTimer();

  UvLoop& m_loop;
  std::function<void()> m_callback;
  std::optional<TimePoint> m_dueAt;
  Handle* m_handle;
};

// Calls back whenever the process receives a signal. The loop must outlive it.
class UvSignal
{
public:
  UvSignal(UvLoop& aLoop, int aSignal, std::function<void()> aCallback);
  ~UvSignal();
  UvSignal(const UvSignal&) = delete;
  UvSignal& operator=(const UvSignal&) = delete;

private:
  struct Handle;
  Handle* m_handle;
};

} // namespace ebonykeel
