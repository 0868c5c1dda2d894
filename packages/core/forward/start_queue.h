// Queues requests that arrive while an instance starts and cannot route yet.
//
// What a starting instance lacks usually arrives within a fraction of a second,
// so a short wait serves callers better than a refusal. The wait ends for all
// requests at a fixed time after the start; later ones are refused at once.
//
//   StartQueue queue(startedAt, {});
//   if (!queue.Add(id, now)) { ... refuse it ... }
//   for (uint64_t id : queue.TakeAll()) { ... serve or refuse it ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/time.h"

namespace ebonykeel {

struct StartQueueOptions
{
  // How long after the start requests wait. A start that takes longer has met a
  // failure, such as an unavailable store.
  Duration m_maxWait = Milliseconds(400);
  // The maximum number of requests that wait at the same time.
  size_t m_maxWaiting = 256;
};

class StartQueue
{
public:
  StartQueue(TimePoint aStartedAt, StartQueueOptions aOptions);

  // Queues a request; returns false if it may not wait.
  [[nodiscard]] bool Add(uint64_t aId, TimePoint aNow);
  // Called when the caller disconnected.
  void Remove(uint64_t aId);
  // Returns every waiting request, in order of arrival. No request may wait
  // after this.
  [[nodiscard]] std::vector<uint64_t> TakeAll();
  // Returns when the wait ends; nothing while no request waits.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

private:
  StartQueueOptions m_options;
  TimePoint m_waitEndsAt;
  bool m_open = true;
  std::vector<uint64_t> m_waiting;
};

} // namespace ebonykeel
