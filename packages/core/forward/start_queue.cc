#include "core/forward/start_queue.h"

#include <utility>

namespace ebonykeel {

StartQueue::StartQueue(TimePoint aStartedAt, StartQueueOptions aOptions)
  : m_options(aOptions)
  , m_waitEndsAt(aStartedAt + aOptions.m_maxWait)
{
}

bool
StartQueue::Add(uint64_t aId, TimePoint aNow)
{
  if (!m_open || aNow >= m_waitEndsAt ||
      m_waiting.size() >= m_options.m_maxWaiting) {
    return false;
  }
  m_waiting.push_back(aId);
  return true;
}

void
StartQueue::Remove(uint64_t aId)
{
  std::erase(m_waiting, aId);
}

std::vector<uint64_t>
StartQueue::TakeAll()
{
  m_open = false;
  return std::exchange(m_waiting, {});
}

std::optional<TimePoint>
StartQueue::NextTimer() const
{
  return m_waiting.empty() ? std::nullopt : std::optional(m_waitEndsAt);
}

} // namespace ebonykeel
