// Tells from the instances' logs what became of one request.
//
//   Explanation told = ExplainRequest("9c41d07be2a35f68", logs);
//   print(told.m_text);
//
// Logs are those of the forward mode, one line an event. What stands before a
// line's time, such as the instance's name, is kept as where it comes from.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonykeel::cli {

// One log and where it comes from.
struct LogText
{
  std::string m_name;
  std::string m_text;
};

// One line of a log.
struct LogLine
{
  // What stands before the time, or else the name of the log.
  std::string m_source;
  // Since the start of the instance.
  int64_t m_uptimeMs = 0;
  // Such as "forward_ended".
  std::string m_event;
  std::map<std::string, std::string, std::less<>> m_fields;
};

// Returns nothing for a line that is no event.
[[nodiscard]] std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aName);

struct Explanation
{
  // Whether a line names the request.
  bool m_found = false;
  std::string m_text;
};

// Returns the request's story: its end, the sendings that failed or were late,
// what the logs say of their searchers around that time, and what is missing.
[[nodiscard]] Explanation
ExplainRequest(std::string_view aId, std::span<const LogText> aLogs);

} // namespace ebonykeel::cli
