// Writes log events without blocking the event loop.
//
// Lines are buffered and written by `Flush`. Bytes that the descriptor does not
// accept stay in the buffer. Lines are dropped and counted when the buffer is
// full, and, for events of severity info, beyond a limit for each event between
// two calls of `Flush`.
//
// Each line is stamped with the time of its `Write`, in milliseconds since the
// log was made. A stamp that is shared by all lines of a tick hides how often
// and how fast a call is repeated.
//
//   LineLog log([&loop]() { return loop.Now(); }, options);
//   log.Write(Event::kStoreRecovered, {});
//   log.Flush();  // from a timer
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "runtime/log/events.h"

namespace ebonykeel {

struct LineLogOptions
{
  // The descriptor to write to; standard output by default.
  int m_descriptor = 1;
  // No further line is added once this many bytes are buffered.
  size_t m_maxPendingBytes = size_t{ 256 } << 10;
  // The maximum number of lines of one info event between two calls of `Flush`.
  uint32_t m_maxLinesPerEvent = 200;
};

class LineLog
{
public:
  // `aNow` returns the current time and must be callable for as long as the log
  // is written.
  LineLog(std::function<TimePoint()> aNow, LineLogOptions aOptions);

  void Write(Event aEvent, std::initializer_list<EventField> aFields);
  // Writes as much as the descriptor accepts, and resets the counts of the
  // limits for each event.
  void Flush();

  [[nodiscard]] uint64_t Dropped() const { return m_dropped; }
  [[nodiscard]] const std::string& Pending() const { return m_pending; }

private:
  std::function<TimePoint()> m_now;
  TimePoint m_startedAt;
  LineLogOptions m_options;
  std::string m_pending;
  std::unordered_map<int, uint32_t> m_linesSinceFlush;
  uint64_t m_dropped = 0;
  uint64_t m_reportedDropped = 0;
};

} // namespace ebonykeel
