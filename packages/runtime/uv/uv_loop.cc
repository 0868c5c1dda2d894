#include "runtime/uv/uv_loop.h"

#include <ctime>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ebonykeel {
namespace {

Duration
ReadClock(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  return Seconds(time.tv_sec) + Duration(time.tv_nsec);
}

} // namespace

UvLoop::UvLoop()
  : m_loop()
{
  uv_loop_init(&m_loop);
}

UvLoop::~UvLoop()
{
  uv_run(&m_loop, UV_RUN_NOWAIT);
  uv_loop_close(&m_loop);
}

TimePoint
UvLoop::Now() const
{
  return TimePoint(ReadClock(CLOCK_MONOTONIC));
}

Duration
UvLoop::Suspended() const
{
  return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC);
}

void
UvLoop::Run()
{
  uv_run(&m_loop, UV_RUN_DEFAULT);
}

void
UvLoop::RunOnce(bool aWait)
{
  uv_run(&m_loop, aWait ? UV_RUN_ONCE : UV_RUN_NOWAIT);
}

void
UvLoop::Stop()
{
  uv_stop(&m_loop);
}

struct UvTimer::Handle
{
  uv_timer_t m_timer;
  UvTimer* m_owner;
};

UvTimer::UvTimer(UvLoop& aLoop, std::function<void()> aCallback)
  : m_loop(aLoop)
  , m_callback(std::move(aCallback))
  , m_handle(new Handle{ .m_timer = {}, .m_owner = this })
{
  uv_timer_init(m_loop.Uv(), &m_handle->m_timer);
  m_handle->m_timer.data = m_handle;
}

UvTimer::~UvTimer()
{
  m_handle->m_owner = nullptr;
  uv_close(
    reinterpret_cast<uv_handle_t*>(&m_handle->m_timer),
    [](uv_handle_t* aHandle) { delete static_cast<Handle*>(aHandle->data); });
}

void
UvTimer::Set(std::optional<TimePoint> aTime)
{
  if (aTime == m_dueAt) {
    return;
  }
  m_dueAt = aTime;
  if (!aTime) {
    uv_timer_stop(&m_handle->m_timer);
    return;
  }
  // libuv caches its time, in whole milliseconds, at each turn of the loop.
  uv_update_time(m_loop.Uv());
  Duration wait = std::max(*aTime - m_loop.Now(), Duration{});
  auto milliseconds =
    std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  uv_timer_start(
    &m_handle->m_timer,
    [](uv_timer_t* aTimer) {
      auto* handle = static_cast<Handle*>(aTimer->data);
      if (handle->m_owner != nullptr) {
        handle->m_owner->OnTimer();
      }
    },
    static_cast<uint64_t>(milliseconds),
    0);
}

void
UvTimer::OnTimer()
{
  std::optional<TimePoint> dueAt = std::exchange(m_dueAt, std::nullopt);
  if (dueAt && *dueAt > m_loop.Now()) {
    Set(dueAt);
    return;
  }
  // The callback may destroy this timer.
  std::function<void()> callback = m_callback;
  callback();
}

struct UvSignal::Handle
{
  uv_signal_t m_signal;
  std::function<void()> m_callback;
};

UvSignal::UvSignal(UvLoop& aLoop, int aSignal, std::function<void()> aCallback)
  : m_handle(new Handle{ .m_signal = {}, .m_callback = std::move(aCallback) })
{
  uv_signal_init(aLoop.Uv(), &m_handle->m_signal);
  m_handle->m_signal.data = m_handle;
  uv_signal_start(
    &m_handle->m_signal,
    [](uv_signal_t* aSignalHandle, int) {
      static_cast<Handle*>(aSignalHandle->data)->m_callback();
    },
    aSignal);
}

UvSignal::~UvSignal()
{
  uv_close(
    reinterpret_cast<uv_handle_t*>(&m_handle->m_signal),
    [](uv_handle_t* aHandle) { delete static_cast<Handle*>(aHandle->data); });
}

} // namespace ebonykeel
