#include "load/answer_check.h"

#include <algorithm>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace ebonykeel {
namespace {

using Json = nlohmann::json;

std::string
TextField(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

std::optional<uint64_t>
NumberField(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  if (found == aObject.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<uint64_t>();
}

const Json*
ArrayField(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_array() ? &*found : nullptr;
}

// The parts of a document name of the form "SERVICE/SHARD/vVERSION/NNN".
struct DocumentName
{
  std::string m_service;
  std::string m_shard;
  IndexVersion m_version = 0;
};

std::optional<DocumentName>
ParseDocumentName(const std::string& aText)
{
  std::vector<std::string> parts = absl::StrSplit(aText, '/');
  DocumentName name;
  if (parts.size() != 4 || !parts[2].starts_with('v') ||
      !absl::SimpleAtoi(parts[2].substr(1), &name.m_version)) {
    return std::nullopt;
  }
  name.m_service = parts[0];
  name.m_shard = parts[1];
  return name;
}

// Checks the part of an answer that belongs to one service.
class ServiceCheck
{
public:
  ServiceCheck(const Json& aService,
               std::string_view aQuery,
               QueryCheck& aCheck)
    : m_service(aService)
    , m_query(aQuery)
    , m_check(aCheck)
  {
  }

  void Run()
  {
    const Json* hits =
      m_service.is_object() ? ArrayField(m_service, "hits") : nullptr;
    if (hits == nullptr || !CheckCoverage()) {
      AddViolation(Violation::kUnreadable);
      return;
    }
    std::ranges::for_each(*hits, [this](const Json& aHit) { CheckHit(aHit); });
  }

private:
  void AddViolation(Violation aViolation)
  {
    m_check.m_violations.push_back(aViolation);
  }

  // Returns false if the coverage cannot be parsed.
  bool CheckCoverage()
  {
    auto coverage = m_service.find("coverage");
    if (coverage == m_service.end() || !coverage->is_object()) {
      return false;
    }
    std::optional<uint64_t> shards = NumberField(*coverage, "shards");
    std::optional<uint64_t> answered = NumberField(*coverage, "answered");
    const Json* missing = ArrayField(*coverage, "missing");
    if (!shards || !answered || missing == nullptr) {
      return false;
    }
    for (const Json& entry : *missing) {
      if (entry.is_object() && entry.value("partial", Json(false)) != true) {
        m_missing.insert(TextField(entry, "shard"));
      }
    }
    if (*answered + missing->size() != *shards) {
      AddViolation(Violation::kFalseCoverage);
    }
    m_check.m_shards += *shards;
    m_check.m_answered += *answered;
    return true;
  }

  void CheckHit(const Json& aHit)
  {
    std::optional<DocumentName> document;
    if (aHit.is_object()) {
      document = ParseDocumentName(TextField(aHit, "document"));
    }
    if (!document) {
      AddViolation(Violation::kUnreadable);
      return;
    }
    if (document->m_version != NumberField(m_service, "index_version") ||
        document->m_service != TextField(m_service, "service")) {
      AddViolation(Violation::kMixedSnapshot);
    }
    if (m_missing.contains(document->m_shard)) {
      AddViolation(Violation::kFalseCoverage);
    }
    if (!TextField(aHit, "text").starts_with(m_query)) {
      AddViolation(Violation::kForeignAnswer);
    }
  }

  const Json& m_service;
  std::string_view m_query;
  QueryCheck& m_check;
  // Shards that are listed as missing without partial results.
  std::set<std::string> m_missing;
};

} // namespace

std::string_view
ViolationName(Violation aViolation)
{
  switch (aViolation) {
    case Violation::kForeignAnswer:
      return "foreign_answer";
    case Violation::kMixedSnapshot:
      return "mixed_snapshot";
    case Violation::kFalseCoverage:
      return "false_coverage";
    case Violation::kUnreadable:
      return "unreadable";
    case Violation::kDoubledFiling:
      return "doubled_filing";
    case Violation::kFalseRefusal:
      return "false_refusal";
    case Violation::kFalseSuccess:
      return "false_success";
  }
  return "unknown";
}

QueryCheck
CheckQueryAnswer(std::string_view aRequestId,
                 std::string_view aQuery,
                 std::string_view aBody)
{
  QueryCheck check;
  Json body = Json::parse(aBody, nullptr, false);
  const Json* services =
    body.is_object() ? ArrayField(body, "services") : nullptr;
  if (services == nullptr) {
    check.m_violations.push_back(Violation::kUnreadable);
    return check;
  }
  if (TextField(body, "request_id") != aRequestId) {
    check.m_violations.push_back(Violation::kForeignAnswer);
  }
  for (const Json& service : *services) {
    ServiceCheck(service, aQuery, check).Run();
  }
  return check;
}

StatedOutcome
ReadOutcome(std::string_view aBody)
{
  Json body = Json::parse(aBody, nullptr, false);
  StatedOutcome stated;
  if (!body.is_object()) {
    return stated;
  }
  stated.m_code = TextField(body, "code");
  stated.m_requestId = TextField(body, "request_id");
  std::string outcome = TextField(body, "outcome");
  if (outcome == OutcomeName(Outcome::kRan)) {
    stated.m_outcome = Outcome::kRan;
  }
  if (outcome == OutcomeName(Outcome::kNotRun)) {
    stated.m_outcome = Outcome::kNotRun;
  }
  return stated;
}

} // namespace ebonykeel
