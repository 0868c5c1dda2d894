// Requests that reach an instance while it starts and cannot route yet.
//
// What a starting instance lacks mostly comes within a fraction of a second, so
// that a short wait serves callers better than a refusal. The wait ends for all
// of them at a fixed time after the start; later ones are refused at once.
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
  // How long after the start requests wait. A start that takes longer has met
  // trouble, such as a store that is down.
  Duration m_maxWait = Milliseconds(400);
  // Requests that may wait at the same time.
  size_t m_maxWaiting = 256;
};

class StartQueue
{
public:
  StartQueue(TimePoint aStartedAt, StartQueueOptions aOptions);

  // Lets a request wait; returns false if it is not to.
  [[nodiscard]] bool Add(uint64_t aId, TimePoint aNow);
  // The caller left.
  void Remove(uint64_t aId);
  // Returns every waiting request, in the order in which they came. None waits
  // after this.
  [[nodiscard]] std::vector<uint64_t> TakeAll();
  // Returns when the wait is over; nothing while nobody waits.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

private:
  StartQueueOptions m_options;
  TimePoint m_until;
  bool m_open = true;
  std::vector<uint64_t> m_waiting;
};

} // namespace ebonykeel
