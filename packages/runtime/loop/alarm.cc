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
Alarm::Set(std::optional<TimePoint> aAt)
{
  m_wanted = aAt;
  if (!aAt || (m_armed && *m_armed <= *aAt)) {
    return;
  }
  m_armed = aAt;
  m_tasks.add(m_clock.At(*aAt).then([this, at = *aAt]() { OnDue(at); }));
}

void
Alarm::OnDue(TimePoint aAt)
{
  if (m_armed != aAt) {
    // A timer for an earlier instant was set meanwhile and has taken over.
    return;
  }
  m_armed.reset();
  if (!m_wanted) {
    return;
  }
  if (*m_wanted > m_clock.Now()) {
    Set(m_wanted);
    return;
  }
  m_wanted.reset();
  m_callback();
}

void
Alarm::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "alarm failed", aException);
}

} // namespace ebonykeel
