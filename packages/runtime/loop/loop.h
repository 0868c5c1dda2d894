// The single event loop of a process: libuv's loop run from kj's.
//
// Cap'n Proto RPC runs on kj and h2o runs on libuv. `Loop` watches libuv's
// backend descriptor from kj, so that both make progress on one thread.
//
//   Loop loop;
//   loop.Clock().After(Milliseconds(5)).wait(loop.WaitScope());
#pragma once

#include <uv.h>

#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/function.h>
#include <kj/timer.h>

#include "core/base/time.h"

namespace ebonykeel {

// The clock and the timers of a loop. A test can pause and advance both by
// passing a `kj::TimerImpl` and a clock of its own. Both must outlive this.
class RuntimeClock
{
public:
  RuntimeClock(kj::Timer& aTimer, const kj::MonotonicClock& aMonotonic);

  // Returns the current monotonic time. Each call reads the clock, so that a
  // pause of the process within a turn of its loop is visible.
  [[nodiscard]] TimePoint Now() const;
  // Returns a promise that resolves after `aDelay`.
  [[nodiscard]] kj::Promise<void> After(Duration aDelay);
  // Returns a promise that resolves at `aTime`.
  [[nodiscard]] kj::Promise<void> At(TimePoint aTime);
  [[nodiscard]] kj::Timer& Timer() { return m_timer; }

private:
  kj::Timer& m_timer;
  const kj::MonotonicClock& m_monotonic;
};

// Owns the event loop of the calling thread. A process creates one, before any
// promise, and destroys it last.
class Loop final : private kj::TaskSet::ErrorHandler
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  [[nodiscard]] uv_loop_t* Uv() { return &m_uv; }
  [[nodiscard]] RuntimeClock& Clock() { return m_clock; }
  [[nodiscard]] kj::AsyncIoContext& Io() { return m_io; }
  [[nodiscard]] kj::WaitScope& WaitScope() { return m_io.waitScope; }

  // Schedules a turn of libuv's loop. Must follow each call into h2o or libuv
  // from a kj callback, since libuv registers descriptors only in a turn.
  void ScheduleTurn();

  // Returns the number of turns since the start. One turn may run libuv's loop
  // several times.
  [[nodiscard]] uint64_t Turns() const { return m_turns; }

  // Runs `aAction` in a later turn of the loop.
  void RunLater(kj::Function<void()> aAction);

  // Resolves when the process receives `aSignal`, which must have been passed
  // to `kj::UnixEventPort::captureSignal` at the start of the process.
  [[nodiscard]] kj::Promise<void> OnSignal(int aSignal);

private:
  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> WatchBackend();
  void RunTurn();
  void SetTimer();
  // Schedules a turn at `aTime`, unless one is scheduled before it.
  void ScheduleTurnAt(TimePoint aTime);

  kj::AsyncIoContext m_io;
  uv_loop_t m_uv;
  RuntimeClock m_clock;
  kj::UnixEventPort::FdObserver m_backendObserver;
  bool m_turnScheduled = false;
  uint64_t m_turns = 0;
  // The time for which `m_timer` is set, if any.
  kj::Maybe<TimePoint> m_timerDueAt;
  kj::Promise<void> m_timer;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
