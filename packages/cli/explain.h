// Explains, from the logs of instances, how one request ended.
//
//   Explanation explanation = ExplainRequest("9c41d07be2a35f68", logs);
//   print(explanation.m_text);
//
// The logs are those of the forward mode, with one event on each line. Text in
// front of the time of a line, such as the name of the instance, is kept as the
// source of the line.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ebonykeel::cli {

// The content of one log and its name, such as its path.
struct LogText
{
  std::string m_name;
  std::string m_text;
};

struct LogLine
{
  // The last word in front of the time, or the name of the log if there is
  // none.
  std::string m_source;
  // Milliseconds since the start of the instance.
  int64_t m_uptimeMs = 0;
  // The name of the event, such as "forward_ended".
  std::string m_event;
  std::map<std::string, std::string, std::less<>> m_fields;
};

// Parses one line of the log `aName`. Returns nullopt if the line is not an
// event.
[[nodiscard]] std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aName);

struct Explanation
{
  // True if a line of the logs names the request.
  bool m_found = false;
  std::string m_text;
};

// Describes how the request `aId` ended, which attempts failed or were late,
// what the logs contain about the upstreams of these attempts around that time,
// and whether the store came back from a copy shortly before.
[[nodiscard]] Explanation
ExplainRequest(std::string_view aId, std::span<const LogText> aLogs);

} // namespace ebonykeel::cli
