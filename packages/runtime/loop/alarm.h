// A timer that calls back once, and can be set again at any time.
//
//   Alarm alarm(clock, [this]() { OnTimer(); });
//   alarm.Set(stateMachine.NextTimer());
#pragma once

#include <optional>

#include <kj/async.h>
#include <kj/function.h>

#include "core/base/time.h"
#include "runtime/loop/loop.h"

namespace ebonykeel {

// Calls `aCallback` no earlier than the time that was set last. Spurious calls
// are possible, so the callback has to check what is due. The callback may set
// the alarm but must not destroy it. The clock must outlive the alarm.
class Alarm final : private kj::TaskSet::ErrorHandler
{
public:
  Alarm(RuntimeClock& aClock, kj::Function<void()> aCallback);

  // Sets the alarm, or clears it if `aTime` is empty.
  void Set(std::optional<TimePoint> aTime);

private:
  void taskFailed(kj::Exception&& aException) override;
  void OnTimer(TimePoint aTime);

  RuntimeClock& m_clock;
  kj::Function<void()> m_callback;
  std::optional<TimePoint> m_requestedAt;
  // The earliest time for which a timer of the clock runs.
  std::optional<TimePoint> m_timerDueAt;
  kj::TaskSet m_tasks;
};

} // namespace ebonykeel
