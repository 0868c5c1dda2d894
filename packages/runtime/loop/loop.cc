#include "runtime/loop/loop.h"

#include <kj/debug.h>
#include <poll.h>

#include <algorithm>
#include <chrono>

namespace ebonykeel {
namespace {

// How often one turn runs libuv's loop at most, while descriptors are ready.
constexpr int kMaxRunsPerTurn = 4;

bool
IsReadable(int aDescriptor)
{
  pollfd request{ .fd = aDescriptor, .events = POLLIN, .revents = 0 };
  return poll(&request, 1, 0) > 0;
}

kj::TimePoint
ToKj(TimePoint aTime)
{
  return kj::origin<kj::TimePoint>() +
         aTime.time_since_epoch().count() * kj::NANOSECONDS;
}

} // namespace

RuntimeClock::RuntimeClock(kj::Timer& aTimer,
                           const kj::MonotonicClock& aMonotonic)
  : m_timer(aTimer)
  , m_monotonic(aMonotonic)
{
}

TimePoint
RuntimeClock::Now() const
{
  return TimePoint(Duration((m_monotonic.now() - kj::origin<kj::TimePoint>()) /
                            kj::NANOSECONDS));
}

kj::Promise<void>
RuntimeClock::After(Duration aDelay)
{
  return m_timer.afterDelay(std::max<int64_t>(0, aDelay.count()) *
                            kj::NANOSECONDS);
}

kj::Promise<void>
RuntimeClock::At(TimePoint aTime)
{
  return m_timer.atTime(ToKj(aTime));
}

Loop::Loop()
  : m_io(kj::setupAsyncIo())
  , m_uv()
  , m_clock(m_io.provider->getTimer(), kj::systemPreciseMonotonicClock())
  , m_backendObserver(m_io.unixEventPort,
                      (uv_loop_init(&m_uv), uv_backend_fd(&m_uv)),
                      kj::UnixEventPort::FdObserver::OBSERVE_READ)
  , m_timer(nullptr)
  , m_tasks(*this)
{
  m_tasks.add(WatchBackend());
  ScheduleTurn();
}

Loop::~Loop() = default;

void
Loop::ScheduleTurn()
{
  if (m_turnScheduled) {
    return;
  }
  m_turnScheduled = true;
  m_tasks.add(kj::evalLast([this]() {
    m_turnScheduled = false;
    RunTurn();
  }));
}

void
Loop::RunLater(kj::Function<void()> aAction)
{
  m_tasks.add(kj::evalLater(kj::mv(aAction)));
}

kj::Promise<void>
Loop::OnSignal(int aSignal)
{
  return m_io.unixEventPort.onSignal(aSignal).ignoreResult();
}

void
Loop::taskFailed(kj::Exception&& aException)
{
  KJ_LOG(ERROR, "event loop task failed", aException);
}

kj::Promise<void>
Loop::WatchBackend()
{
  return m_backendObserver.whenBecomesReadable().then([this]() {
    RunTurn();
    return WatchBackend();
  });
}

void
Loop::RunTurn()
{
  ++m_turns;
  int descriptor = uv_backend_fd(&m_uv);
  bool readable = true;
  for (int run = 0; readable && run < kMaxRunsPerTurn; ++run) {
    uv_run(&m_uv, UV_RUN_NOWAIT);
    readable = IsReadable(descriptor);
  }
  if (readable) {
    // Unlike a turn that runs at once, a timer lets other timers and
    // descriptors go first.
    ScheduleTurnAt(m_clock.Now());
    return;
  }
  SetTimer();
}

void
Loop::SetTimer()
{
  // Without an active handle, libuv always reports a timeout of zero, as if
  // something were due.
  if (uv_loop_alive(&m_uv) == 0) {
    return;
  }
  int timeout = uv_backend_timeout(&m_uv);
  if (timeout < 0) {
    return;
  }
  if (timeout == 0) {
    ScheduleTurn();
    return;
  }
  ScheduleTurnAt(m_clock.Now() + Milliseconds(timeout));
}

void
Loop::ScheduleTurnAt(TimePoint aTime)
{
  KJ_IF_MAYBE (dueAt, m_timerDueAt) {
    if (*dueAt <= aTime) {
      return;
    }
  }
  m_timerDueAt = aTime;
  m_timer = m_clock.At(aTime)
              .then([this]() {
                m_timerDueAt = nullptr;
                ScheduleTurn();
              })
              .eagerlyEvaluate(nullptr);
}

} // namespace ebonykeel
