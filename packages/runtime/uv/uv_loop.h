// libuv's loop, its clock and its timers, for processes that run nothing else.
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

// Owns a loop. One a process, on its only thread; destroyed last.
class UvLoop
{
public:
  UvLoop();
  ~UvLoop();
  UvLoop(const UvLoop&) = delete;
  UvLoop& operator=(const UvLoop&) = delete;

  [[nodiscard]] uv_loop_t* Uv() { return &m_loop; }
  // Returns the steady time of this very moment.
  [[nodiscard]] TimePoint Now() const;
  // Returns for how long the machine was suspended since it started, as far as
  // its clocks tell.
  [[nodiscard]] Duration Suspended() const;
  // Runs until `Stop`.
  void Run();
  // Handles what is ready and returns; waits for something if `aWait`.
  void RunOnce(bool aWait);
  void Stop();

private:
  uv_loop_t m_loop;
};

// Calls back once at an instant; can be set again at any time. The loop
// outlives it.
class UvTimer
{
public:
  UvTimer(UvLoop& aLoop, std::function<void()> aCallback);
  ~UvTimer();
  UvTimer(const UvTimer&) = delete;
  UvTimer& operator=(const UvTimer&) = delete;

  // Sets the instant, or clears it. The callback is never early.
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

// Calls back at each arrival of a signal.
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
