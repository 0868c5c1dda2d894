#include "runtime/log/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

bool
IsInfo(Event aEvent)
{
  for (const EventInfo& info : EventCatalogue()) {
    if (info.m_event == aEvent) {
      return info.m_severity == Severity::kInfo;
    }
  }
  return false;
}

} // namespace

LineLog::LineLog(std::function<TimePoint()> aNow, LineLogOptions aOptions)
  : m_now(std::move(aNow))
  , m_startedAt(m_now())
  , m_options(aOptions)
{
  int flags = fcntl(m_options.m_descriptor, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(m_options.m_descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
LineLog::Write(Event aEvent, std::initializer_list<EventField> aFields)
{
  uint32_t& count = m_linesSinceFlush[static_cast<int>(aEvent)];
  bool overLimit = IsInfo(aEvent) && count >= m_options.m_maxLinesPerEvent;
  if (overLimit || m_pending.size() >= m_options.m_maxPendingBytes) {
    ++m_dropped;
    return;
  }
  ++count;
  absl::StrAppend(&m_pending,
                  "ms=",
                  ToMilliseconds(m_now() - m_startedAt),
                  " ",
                  FormatEvent(aEvent, { aFields.begin(), aFields.size() }),
                  "\n");
}

void
LineLog::Flush()
{
  m_linesSinceFlush.clear();
  if (m_dropped != m_reportedDropped &&
      m_pending.size() < m_options.m_maxPendingBytes) {
    Write(Event::kLinesDropped,
          { { "count", absl::StrCat(m_dropped - m_reportedDropped) } });
    m_reportedDropped = m_dropped;
  }
  if (m_pending.empty()) {
    return;
  }
  ssize_t written =
    write(m_options.m_descriptor, m_pending.data(), m_pending.size());
  if (written > 0) {
    m_pending.erase(0, static_cast<size_t>(written));
  }
}

} // namespace ebonykeel
