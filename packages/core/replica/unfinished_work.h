// The requests of this instance that one upstream has not answered, and the
// work that is left of them.
//
// The upstream is assumed to start requests in the order in which it received
// them, each when a slot comes free. Other instances' requests are not known:
// the time that they cost appears as slowness of the upstream.
//
//   UnfinishedWork unfinished;
//   unfinished.Add(now, work, replica.m_slots);
//   Duration wait = unfinished.ExpectedWait(replica.m_slots, slowness, now);
//   auto ended = unfinished.Remove(sentAt, replica.m_slots, later);
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/base/time.h"
#include "core/replica/expected_work.h"

namespace ebonykeel {

// A request that has ended.
struct EndedWork
{
  Duration m_expected{};
  Duration m_spread{};
  // When it is assumed to have got a slot.
  TimePoint m_startedAt;
};

class UnfinishedWork
{
public:
  // Adds a request that was sent at `aSentAt`.
  void Add(TimePoint aSentAt, const ExpectedWork& aWork, uint32_t aSlots);
  // Removes a request that was sent at `aSentAt`, if there is one. Returns what
  // is known about it: nothing if no work was expected of it, or if it is not
  // assumed to have started. Which of several requests with the same time is
  // removed is not specified.
  std::optional<EndedWork> Remove(TimePoint aSentAt,
                                  uint32_t aSlots,
                                  TimePoint aNow);

  [[nodiscard]] size_t Count() const { return m_requests.size(); }
  [[nodiscard]] bool IsEmpty() const { return m_requests.empty(); }
  // Returns when the oldest request was sent. Must not be called if there is
  // none.
  [[nodiscard]] TimePoint OldestSentAt() const
  {
    return m_requests.begin()->first;
  }
  // Returns how long a new request is expected to wait for a slot, if the
  // upstream needs `aSlowness` times as long as a typical one.
  [[nodiscard]] Duration ExpectedWait(uint32_t aSlots,
                                      double aSlowness,
                                      TimePoint aNow) const;
  // Returns how long the oldest request that exceeds its expected time and its
  // spread more than `aFactor` times has been running; zero if none does.
  [[nodiscard]] Duration OverdueAge(double aFactor, TimePoint aNow) const;
  // Returns the expected work that is left of all requests.
  [[nodiscard]] Duration Remaining(double aSlowness, TimePoint aNow) const;

private:
  struct Request
  {
    ExpectedWork m_work;
    std::optional<TimePoint> m_startedAt;

    // Returns the expected time that is left.
    [[nodiscard]] Duration RemainingTime(double aSlowness,
                                         TimePoint aNow) const;
  };

  // By the time of sending.
  std::multimap<TimePoint, Request> m_requests;
  size_t m_running = 0;
};

} // namespace ebonykeel
