#include "cli/explain.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace ebonykeel::cli {
namespace {

// Log lines within this time of the end of the request are related to it.
constexpr int64_t kRelatedWindowMs = 1000;
// A restore of the store within this time before the end of a request is named:
// what instances know and the copy lacks stays in force for up to 10 s.
constexpr int64_t kRestoreWindowMs = 15000;
// At most this many related lines about the upstreams of a request are shown.
constexpr size_t kMaxRelatedLines = 20;
// The fields of an attempt: sub-request, replica, reason, outcome, start and
// duration.
constexpr size_t kAttemptFields = 6;

// One attempt listed in the field `sends` of a `forward_ended` line.
struct LoggedAttempt
{
  std::string m_subRequest;
  std::string m_replica;
  std::string m_reason;
  std::string m_outcome;
  int64_t m_startMs = 0;
  int64_t m_durationMs = 0;
};

struct LoggedAttempts
{
  std::vector<LoggedAttempt> m_attempts;
  // True if the line was truncated, so that some attempts cannot be read.
  bool m_truncated = false;
};

std::string
Field(const LogLine& aLine, std::string_view aName)
{
  auto found = aLine.m_fields.find(aName);
  return found == aLine.m_fields.end() ? "" : found->second;
}

LoggedAttempts
ReadAttempts(const LogLine& aLine)
{
  LoggedAttempts attempts;
  std::string text = Field(aLine, "sends");
  for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    std::vector<std::string> fields = absl::StrSplit(part, ':');
    LoggedAttempt attempt;
    bool isComplete = fields.size() == kAttemptFields &&
                      absl::SimpleAtoi(fields[4], &attempt.m_startMs) &&
                      absl::SimpleAtoi(fields[5], &attempt.m_durationMs);
    if (!isComplete) {
      attempts.m_truncated = true;
      continue;
    }
    attempt.m_subRequest = fields[0];
    attempt.m_replica = fields[1];
    attempt.m_reason = fields[2];
    attempt.m_outcome = fields[3];
    attempts.m_attempts.push_back(std::move(attempt));
  }
  return attempts;
}

// Returns a sentence that explains why a request was refused.
std::string
RefusalText(std::string_view aReason)
{
  if (aReason == "no-replica") {
    return "refused, not run: too few upstreams are registered and reachable";
  }
  if (aReason == "pushed-back") {
    return "refused, not run: too many upstreams had asked this instance for "
           "no requests for a while";
  }
  if (aReason == "overloaded") {
    return "refused, not run: too many shards were not expected to answer "
           "before its deadline";
  }
  if (aReason == "stopping") {
    return "refused, not run: the instance was about to stop";
  }
  return "refused, not run: every upstream that was tried rejected the request "
         "or could not be reached";
}

// Returns a sentence that explains the status and reason of the line.
std::string
DescribeEnd(const LogLine& aLine)
{
  std::string status = Field(aLine, "status");
  std::string reason = Field(aLine, "reason");
  std::string missing = Field(aLine, "missing");
  if (aLine.m_event == "forward_abandoned") {
    return "the caller disconnected before its answer; the attempts were "
           "cancelled";
  }
  if (aLine.m_event == "forward_no_route") {
    return status == "404"
             ? "no route matches the request: 404"
             : "this instance had no configuration, or only an outdated one: "
               "503, not run";
  }
  if (aLine.m_event == "access_refused") {
    return status == "401"
             ? absl::StrCat("401, not run: ",
                            reason == "missing-key"
                              ? "the request had no key"
                              : "the configuration in force does not contain "
                                "its key")
             : "this instance had only an outdated configuration, which does "
               "not allow the request: 503, not run";
  }
  if (status == "whole") {
    return "complete answer";
  }
  if (status == "partial") {
    return reason == "early"
             ? absl::StrCat(
                 "partial answer shortly before the target latency, with ",
                 missing,
                 " shards still outstanding")
             : absl::StrCat(
                 "partial answer with ",
                 missing,
                 " shards missing: none of their upstreams could answer");
  }
  if (status == "refused") {
    return RefusalText(reason);
  }
  if (status == "timed-out") {
    return "timed out while upstreams were still working; it may have run";
  }
  if (status == "upstream-failure") {
    return "the error response of an upstream was passed on";
  }
  return "failed; it may have run";
}

// Returns the sub-requests that needed more than one attempt or had an attempt
// without success, in order.
std::set<std::string>
DelayedSubRequests(const LoggedAttempts& aAttempts)
{
  std::map<std::string, size_t> counts;
  std::set<std::string> delayed;
  for (const LoggedAttempt& attempt : aAttempts.m_attempts) {
    if (++counts[attempt.m_subRequest] > 1 || attempt.m_outcome != "success") {
      delayed.insert(attempt.m_subRequest);
    }
  }
  return delayed;
}

class RequestReport
{
public:
  RequestReport(std::string_view aId, std::vector<LogLine> aLines)
    : m_id(aId)
    , m_lines(std::move(aLines))
  {
  }

  Explanation Build()
  {
    for (const LogLine& line : m_lines) {
      if (Field(line, "request") == m_id) {
        m_found = true;
        AppendEnd(line);
      }
    }
    if (!m_found) {
      absl::StrAppend(
        &m_text,
        "no line names request ",
        m_id,
        ": it did not reach any of these instances, was rejected as "
        "malformed, or its line was dropped (see lines_dropped)\n");
    }
    return { m_found, m_text };
  }

private:
  void AppendEnd(const LogLine& aLine)
  {
    absl::StrAppend(&m_text,
                    "request ",
                    m_id,
                    " at ",
                    aLine.m_source,
                    ", ",
                    aLine.m_uptimeMs,
                    " ms after its start\n  ",
                    DescribeEnd(aLine),
                    "\n");
    for (const char* name :
         { "route", "version", "took_ms", "remaining_ms", "replicas_age_ms" }) {
      std::string value = Field(aLine, name);
      if (!value.empty()) {
        absl::StrAppend(&m_text, "  ", name, " ", value, "\n");
      }
    }
    AppendRestore(aLine);
    LoggedAttempts attempts = ReadAttempts(aLine);
    AppendAttempts(attempts);
    AppendUpstreamEvents(aLine, attempts);
    if (Field(aLine, "missing") != "0" && !Field(aLine, "missing").empty()) {
      AppendSuspendedUpstreams(aLine);
    }
  }

  // Appends the latest era of the store that the instance noticed shortly
  // before the end of a request.
  void AppendRestore(const LogLine& aEnd)
  {
    uint64_t latestEra = 0;
    std::optional<int64_t> noticedAtMs;
    for (const LogLine& line : m_lines) {
      int64_t beforeMs = aEnd.m_uptimeMs - line.m_uptimeMs;
      bool isRestore = line.m_event == "feed_era_entered";
      bool isRelated = isRestore && line.m_source == aEnd.m_source &&
                       beforeMs >= 0 && beforeMs <= kRestoreWindowMs;
      uint64_t era = 0;
      // The first line of an era counts: the kinds enter it one by one.
      if (isRelated && absl::SimpleAtoi(Field(line, "era"), &era) &&
          (!noticedAtMs || era > latestEra)) {
        latestEra = era;
        noticedAtMs = line.m_uptimeMs;
      }
    }
    if (noticedAtMs) {
      absl::StrAppend(&m_text,
                      "  ",
                      aEnd.m_uptimeMs - *noticedAtMs,
                      " ms before, this instance noticed that the store came "
                      "back from a copy (era ",
                      latestEra,
                      ")\n");
    }
  }

  // Appends the upstreams that the instance sent no requests at the end of a
  // request, since they were leaving or had asked for none.
  void AppendSuspendedUpstreams(const LogLine& aEnd)
  {
    std::map<std::string, std::string> suspended;
    for (const LogLine& line : m_lines) {
      bool isEarlier =
        line.m_source == aEnd.m_source && line.m_uptimeMs <= aEnd.m_uptimeMs;
      if (isEarlier && line.m_event == "replica_suspended") {
        suspended[Field(line, "replica")] =
          absl::StrCat(Field(line, "service"), ", ", Field(line, "cause"));
      } else if (isEarlier && line.m_event == "replica_resumed") {
        suspended.erase(Field(line, "replica"));
      }
    }
    if (suspended.empty()) {
      return;
    }
    absl::StrAppend(
      &m_text, "  ", suspended.size(), " upstreams were set aside then:");
    size_t shown = 0;
    for (const auto& [replica, cause] : suspended) {
      if (++shown > kMaxRelatedLines) {
        break;
      }
      absl::StrAppend(&m_text, " ", replica, " (", cause, ")");
    }
    absl::StrAppend(&m_text, "\n");
  }

  void AppendAttempts(const LoggedAttempts& aAttempts)
  {
    std::set<std::string> delayed = DelayedSubRequests(aAttempts);
    absl::StrAppend(&m_text,
                    "  ",
                    aAttempts.m_attempts.size(),
                    " attempts, ",
                    delayed.size(),
                    " delayed or unanswered sub-requests\n");
    for (const LoggedAttempt& attempt : aAttempts.m_attempts) {
      if (!delayed.contains(attempt.m_subRequest)) {
        continue;
      }
      absl::StrAppend(&m_text,
                      "    sub-request ",
                      attempt.m_subRequest,
                      ": ",
                      attempt.m_reason,
                      " to ",
                      attempt.m_replica,
                      " at ",
                      attempt.m_startMs,
                      " ms: ",
                      attempt.m_outcome,
                      " after ",
                      attempt.m_durationMs,
                      " ms\n");
    }
    if (aAttempts.m_truncated) {
      absl::StrAppend(
        &m_text, "    the line was truncated: more attempts are missing\n");
    }
  }

  // Appends the log lines around the end of the request about replicas with an
  // unsuccessful attempt, and counts such attempts of other requests to them.
  void AppendUpstreamEvents(const LogLine& aEnd,
                            const LoggedAttempts& aAttempts)
  {
    std::set<std::string> replicas;
    for (const LoggedAttempt& attempt : aAttempts.m_attempts) {
      if (attempt.m_outcome != "success") {
        replicas.insert(attempt.m_replica);
      }
    }
    size_t shown = 0;
    std::map<std::string, size_t> otherAttempts;
    for (const LogLine& line : m_lines) {
      bool isRelated =
        line.m_source == aEnd.m_source &&
        std::abs(line.m_uptimeMs - aEnd.m_uptimeMs) <= kRelatedWindowMs;
      if (!isRelated) {
        continue;
      }
      if (replicas.contains(Field(line, "replica")) &&
          shown < kMaxRelatedLines) {
        ++shown;
        AppendLogLine(line);
      }
      if (Field(line, "request") != m_id) {
        CountUnsuccessfulAttempts(line, replicas, otherAttempts);
      }
    }
    for (const auto& [replica, count] : otherAttempts) {
      absl::StrAppend(&m_text,
                      "  ",
                      replica,
                      " did not answer ",
                      count,
                      " other requests within a second of this one\n");
    }
  }

  void AppendLogLine(const LogLine& aLine)
  {
    absl::StrAppend(&m_text, "  ", aLine.m_uptimeMs, " ms ", aLine.m_event);
    for (const auto& [name, value] : aLine.m_fields) {
      absl::StrAppend(&m_text, " ", name, "=", value);
    }
    absl::StrAppend(&m_text, "\n");
  }

  static void CountUnsuccessfulAttempts(const LogLine& aLine,
                                        const std::set<std::string>& aReplicas,
                                        std::map<std::string, size_t>& aCounts)
  {
    for (const LoggedAttempt& attempt : ReadAttempts(aLine).m_attempts) {
      if (attempt.m_outcome != "success" &&
          aReplicas.contains(attempt.m_replica)) {
        ++aCounts[attempt.m_replica];
      }
    }
  }

  std::string m_id;
  std::vector<LogLine> m_lines;
  bool m_found = false;
  std::string m_text;
};

// Reads "name=value" pairs; a quoted value may contain spaces.
void
ReadFields(std::string_view aText, LogLine& aLine)
{
  while (!aText.empty()) {
    size_t equals = aText.find('=');
    if (equals == std::string_view::npos) {
      return;
    }
    std::string name(aText.substr(0, equals));
    aText.remove_prefix(equals + 1);
    bool quoted = !aText.empty() && aText.front() == '"';
    if (quoted) {
      aText.remove_prefix(1);
    }
    size_t end = std::min(aText.find(quoted ? '"' : ' '), aText.size());
    aLine.m_fields[name] = std::string(aText.substr(0, end));
    aText.remove_prefix(end);
    size_t next = aText.find(' ');
    aText.remove_prefix(next == std::string_view::npos ? aText.size()
                                                       : next + 1);
  }
}

} // namespace

std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aName)
{
  size_t at = aLine.starts_with("ms=") ? 0 : aLine.find(" ms=");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string before(aLine.substr(0, at));
  LogLine line{ .m_source = std::string(absl::StripAsciiWhitespace(before)) };
  if (line.m_source.empty()) {
    line.m_source = std::string(aName);
  } else {
    // Collected logs may have another time in front of the name of the
    // instance.
    std::vector<std::string> words =
      absl::StrSplit(line.m_source, ' ', absl::SkipEmpty());
    line.m_source = words.back();
  }
  std::string_view rest = aLine.substr(aLine.find("ms=", at) + 3);
  size_t space = rest.find(' ');
  size_t name =
    space == std::string_view::npos ? space : rest.find(' ', space + 1);
  std::string time(rest.substr(0, space));
  if (name == std::string_view::npos ||
      !rest.substr(space + 1).starts_with("EK") ||
      !absl::SimpleAtoi(time, &line.m_uptimeMs)) {
    return std::nullopt;
  }
  rest.remove_prefix(name + 1);
  size_t end = std::min(rest.find(' '), rest.size());
  line.m_event = std::string(rest.substr(0, end));
  rest.remove_prefix(std::min(end + 1, rest.size()));
  ReadFields(rest, line);
  return line;
}

Explanation
ExplainRequest(std::string_view aId, std::span<const LogText> aLogs)
{
  std::vector<LogLine> lines;
  for (const LogText& log : aLogs) {
    std::string_view text = log.m_text;
    while (!text.empty()) {
      size_t end = std::min(text.find('\n'), text.size());
      if (std::optional<LogLine> line =
            ParseLogLine(text.substr(0, end), log.m_name)) {
        lines.push_back(*std::move(line));
      }
      text.remove_prefix(std::min(end + 1, text.size()));
    }
  }
  return RequestReport(aId, std::move(lines)).Build();
}

} // namespace ebonykeel::cli
