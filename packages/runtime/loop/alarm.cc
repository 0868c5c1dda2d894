#include "runtime/loop/alarm.h"

#include <kj/debug.h>

namespace ebonykeel {

Alarm::Alarm(RuntimeClock& aClock, kj::Function<void()> aCallback)
  : m_clock(aClock)
  , m_callback(kj::mv(aCallback))
  , m_tasks(*this)
{
}

void
Alarm::Set(std::optional<TimePoint> aTime)
{
  m_requestedAt = aTime;
  if (!aTime || (m_timerDueAt && *m_timerDueAt <= *aTime)) {
    return;
  }
  m_timerDueAt = aTime;
  m_tasks.add(
    m_clock.At(*aTime).then([this, time = *aTime]() { OnTimer(time); }));
}

void
Alarm::OnTimer(TimePoint aTime)
{
  if (m_timerDueAt != aTime) {
    // A timer for an earlier time was set meanwhile and replaces this one.
    return;
  }
  m_timerDueAt.reset();
  if (!m_requestedAt) {
    return;
  }
  if (*m_requestedAt > m_clock.Now()) {
    Set(m_requestedAt);
    return;
  }
  m_requestedAt.reset();
  m_callback();
}

void
Alarm::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "alarm failed", aException);
}

} // namespace ebonykeel
