// Ends calls whose answers have headers without end.
//
// h2o holds all bytes of an answer until its headers are complete, and parses
// them from the beginning whenever some arrive. It has no limit of its own, so
// the number of bytes held is checked at short intervals.
//
//   HeaderLimiter limiter(loop.Clock(), 65536);
//   limiter.Add(call);     // the call awaits headers
//   limiter.Remove(call);  // they are complete, or the call has ended
#pragma once

#include <cstddef>
#include <set>

#include <kj/async.h>

#include "runtime/loop/loop.h"

namespace ebonykeel {

// A call that awaits the headers of its answer.
class HeaderReceiver
{
public:
  virtual ~HeaderReceiver() = default;
  // Returns the number of bytes that are held.
  [[nodiscard]] virtual size_t HeldBytes() const = 0;
  // Ends the call. It may call `HeaderLimiter::Remove`.
  virtual void OnHeadersTooLong() = 0;
};

// The clock must outlive the limiter, and the limiter the calls.
class HeaderLimiter
{
public:
  HeaderLimiter(RuntimeClock& aClock, size_t aMaxBytes);

  void Add(HeaderReceiver& aReceiver);
  // Does nothing if the call was not added.
  void Remove(HeaderReceiver& aReceiver);

private:
  // Checks all calls at intervals for as long as there are any.
  kj::Promise<void> Watch();
  void CheckAll();

  RuntimeClock& m_clock;
  size_t m_maxBytes;
  std::set<HeaderReceiver*> m_receivers;
  bool m_watching = false;
  kj::Promise<void> m_watch;
};

} // namespace ebonykeel
