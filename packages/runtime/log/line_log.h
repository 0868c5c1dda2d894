// Writes log events without ever blocking the loop.
//
// Lines are collected and written at intervals. What a full pipe does not take
// stays for the next time; beyond a bound, and beyond a rate for each event,
// lines are dropped and counted. Warnings and errors have no rate.
//
//   LineLog log(options);
//   log.Write(Event::kStoreRecovered, {});
//   log.Flush(now);      // from a timer
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <unordered_map>

#include "core/base/time.h"
#include "runtime/log/events.h"

namespace ebonykeel {

struct LineLogOptions
{
  // The descriptor that lines go to; standard output unless set.
  int m_descriptor = 1;
  // Bytes that wait at most.
  size_t m_mostBytes = size_t{ 256 } << 10;
  // Lines of one event between two calls of `Flush`.
  uint32_t m_linesPerEvent = 200;
};

class LineLog
{
public:
  explicit LineLog(LineLogOptions aOptions);

  void Write(Event aEvent, std::initializer_list<EventField> aFields);
  // Writes what the descriptor takes and starts a new span of rates.
  void Flush();
  // Stamps later lines with this time in milliseconds since the start.
  void SetTime(Duration aSinceStart) { m_sinceStart = aSinceStart; }

  [[nodiscard]] uint64_t Dropped() const { return m_dropped; }
  [[nodiscard]] const std::string& Pending() const { return m_pending; }

private:
  LineLogOptions m_options;
  std::string m_pending;
  std::unordered_map<int, uint32_t> m_counts;
  Duration m_sinceStart{};
  uint64_t m_dropped = 0;
  uint64_t m_reportedDropped = 0;
};

} // namespace ebonykeel
