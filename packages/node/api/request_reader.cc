#include "node/api/request_reader.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "runtime/http/message.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

// Parses the fields of one body and collects its problems.
class BodyReader
{
public:
  explicit BodyReader(std::string_view aText)
    : m_body(Json::parse(aText, nullptr, false))
  {
    if (!m_body.is_object()) {
      AddProblem("the body is not a JSON object");
      m_body = Json::object();
    }
  }

  void AllowOnly(std::initializer_list<std::string_view> aKeys)
  {
    for (const auto& [key, value] : m_body.items()) {
      if (std::ranges::find(aKeys, key) == aKeys.end()) {
        AddProblem(absl::StrCat(key, ": unknown key"));
      }
    }
  }

  std::string Text(const char* aKey, bool aRequired, size_t aMaxBytes)
  {
    auto found = m_body.find(aKey);
    if (found == m_body.end()) {
      if (aRequired) {
        AddProblem(absl::StrCat(aKey, ": missing"));
      }
      return {};
    }
    if (!found->is_string()) {
      AddProblem(absl::StrCat(aKey, ": must be a string"));
      return {};
    }
    std::string text = found->get<std::string>();
    if (text.size() > aMaxBytes || (aRequired && text.empty())) {
      AddProblem(absl::StrCat(aKey, ": must have 1 to ", aMaxBytes, " bytes"));
    }
    return text;
  }

  // Reads a name that is sent on as the value of a header.
  std::string Name(const char* aKey)
  {
    std::string name = Text(aKey, true, kMaxNameBytes);
    if (!IsHeaderValue(name)) {
      AddProblem(absl::StrCat(
        aKey, ": must have no control bytes and no blank at either end"));
    }
    return name;
  }

  std::optional<int64_t> Number(const char* aKey, int64_t aMin, int64_t aMax)
  {
    auto found = m_body.find(aKey);
    if (found == m_body.end()) {
      return std::nullopt;
    }
    bool valid = found->is_number_integer() && *found >= aMin && *found <= aMax;
    if (!valid) {
      AddProblem(absl::StrCat(
        aKey, ": must be a whole number from ", aMin, " to ", aMax));
      return std::nullopt;
    }
    return found->get<int64_t>();
  }

  std::vector<ServiceName> Services()
  {
    std::vector<ServiceName> services;
    auto found = m_body.find("services");
    if (found == m_body.end()) {
      return services;
    }
    bool valid = found->is_array() && !found->empty() &&
                 std::ranges::all_of(*found, [](const Json& aEntry) {
                   return aEntry.is_string();
                 });
    if (!valid) {
      AddProblem("services: must be a list of names");
      return services;
    }
    for (const Json& entry : *found) {
      ServiceName name(entry.get<std::string>());
      if (std::ranges::find(services, name) != services.end()) {
        AddProblem(absl::StrCat("services: ", name.Text(), " stands twice"));
        continue;
      }
      services.push_back(std::move(name));
    }
    return services;
  }

  std::optional<Duration> Deadline()
  {
    std::optional<int64_t> deadline =
      Number("deadline_ms", 1, ToMilliseconds(kMaxDeadline));
    if (!deadline) {
      return std::nullopt;
    }
    return Milliseconds(*deadline);
  }

  void AddProblem(std::string aProblem)
  {
    m_problems.push_back(std::move(aProblem));
  }

  [[nodiscard]] bool Has(const char* aKey) const
  {
    return m_body.contains(aKey);
  }

  [[nodiscard]] absl::Status Status() const
  {
    if (m_problems.empty()) {
      return absl::OkStatus();
    }
    return absl::InvalidArgumentError(absl::StrJoin(m_problems, "; "));
  }

private:
  Json m_body;
  std::vector<std::string> m_problems;
};

constexpr size_t kMaxQueryBytes = 10'000;
constexpr size_t kMaxPayloadBytes = 500'000;

} // namespace

absl::StatusOr<QueryBody>
ReadQueryBody(std::string_view aText)
{
  BodyReader reader(aText);
  reader.AllowOnly({ "services",
                     "group",
                     "query",
                     "limit",
                     "deadline_ms",
                     "request_id",
                     "caller",
                     "priority" });
  QueryBody body;
  body.m_services = reader.Services();
  body.m_group = GroupName(reader.Text("group", false, kMaxNameBytes));
  if (body.m_services.empty() == body.m_group.empty()) {
    reader.AddProblem("services, group: exactly one of them is needed");
  }
  body.m_query = reader.Text("query", true, kMaxQueryBytes);
  body.m_limit = static_cast<uint32_t>(
    reader.Number("limit", 1, kMaxHitLimit).value_or(body.m_limit));
  body.m_deadline = reader.Deadline();
  body.m_requestId = RequestId(reader.Text("request_id", true, kMaxNameBytes));
  body.m_caller = CallerName(reader.Text("caller", true, kMaxNameBytes));
  std::string priority = reader.Text("priority", false, kMaxNameBytes);
  body.m_batch = priority == "batch";
  if (!priority.empty() && priority != "batch" && priority != "interactive") {
    reader.AddProblem("priority: must be interactive or batch");
  }
  absl::Status status = reader.Status();
  if (!status.ok()) {
    return status;
  }
  return body;
}

absl::StatusOr<FilingBody>
ReadFilingBody(std::string_view aText)
{
  BodyReader reader(aText);
  reader.AllowOnly({ "service",
                     "operation",
                     "caller",
                     "request_id",
                     "key",
                     "payload",
                     "issued_at_ms",
                     "deadline_ms" });
  FilingBody body;
  body.m_service = ServiceName(reader.Text("service", true, kMaxNameBytes));
  body.m_operation = reader.Name("operation");
  body.m_caller = CallerName(reader.Name("caller"));
  body.m_requestId = RequestId(reader.Text("request_id", true, kMaxNameBytes));
  body.m_key = reader.Text("key", false, kMaxNameBytes);
  body.m_payload = reader.Text("payload", false, kMaxPayloadBytes);
  if (!reader.Has("issued_at_ms")) {
    reader.AddProblem("issued_at_ms: missing");
  }
  body.m_issuedAtMilliseconds =
    reader.Number("issued_at_ms", 1, INT64_MAX / 1'000'000).value_or(0);
  body.m_deadline = reader.Deadline();
  absl::Status status = reader.Status();
  if (!status.ok()) {
    return status;
  }
  return body;
}

} // namespace ebonykeel
