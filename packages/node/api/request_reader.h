// Parses and validates the JSON bodies of caller requests.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// The body of `POST /v1/query`.
struct QueryBody
{
  std::vector<ServiceName> m_services;
  // Selects every service of the group; set only if no service is named.
  GroupName m_group;
  std::string m_query;
  uint32_t m_limit = 10;
  // If unset, the longest deadline of the services applies.
  std::optional<Duration> m_deadline;
  RequestId m_requestId;
  CallerName m_caller;
  bool m_batch = false;
};

// The body of `POST /v1/file`.
struct FilingBody
{
  ServiceName m_service;
  std::string m_operation;
  CallerName m_caller;
  RequestId m_requestId;
  std::string m_key;
  std::string m_payload;
  int64_t m_issuedAtMilliseconds = 0;
  std::optional<Duration> m_deadline;
};

// Limits on the values that callers may send.
inline constexpr uint32_t kMaxHitLimit = 1000;
inline constexpr size_t kMaxNameBytes = 200;
inline constexpr Duration kMaxDeadline = Seconds(60);

// Returns InvalidArgument with a list of all problems if the body is invalid.
[[nodiscard]] absl::StatusOr<QueryBody>
ReadQueryBody(std::string_view aText);
[[nodiscard]] absl::StatusOr<FilingBody>
ReadFilingBody(std::string_view aText);

} // namespace ebonykeel
