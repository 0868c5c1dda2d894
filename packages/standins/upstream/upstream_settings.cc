#include "standins/upstream/upstream_settings.h"

#include <chrono>

#include <toml++/toml.h>

#include "absl/strings/str_cat.h"

namespace ebonykeel::standins {
namespace {

template<typename T>
void
Update(const toml::table& aTable, std::string_view aKey, T& aValue)
{
  aValue = aTable[aKey].value<T>().value_or(aValue);
}

template<typename T>
void
UpdateList(const toml::table& aTable,
           std::string_view aKey,
           std::vector<T>& aList)
{
  const toml::array* array = aTable[aKey].as_array();
  if (array == nullptr) {
    return;
  }
  aList.clear();
  for (const toml::node& node : *array) {
    aList.push_back(node.value<T>().value_or(T{}));
  }
}

void
UpdateMilliseconds(const toml::table& aTable,
                   std::string_view aKey,
                   Duration& aValue)
{
  double milliseconds = ToMillisecondsF(aValue);
  Update(aTable, aKey, milliseconds);
  aValue = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(milliseconds));
}

UpstreamSettings
ParseUpstream(const toml::table& aTable, const UpstreamSettings& aDefaults)
{
  UpstreamSettings settings = aDefaults;
  Update(aTable, "id", settings.m_id);
  Update(aTable, "port", settings.m_port);
  Update(aTable, "service", settings.m_service);
  UpdateList(aTable, "shards", settings.m_shards);
  UpdateList(aTable, "index_versions", settings.m_indexVersions);
  Update(aTable, "connection_limit", settings.m_connectionLimit);
  UpdateMilliseconds(aTable, "connect_ms", settings.m_connectTime);
  UpstreamModelOptions& model = settings.m_model;
  Update(aTable, "slots", model.m_slots);
  Update(aTable, "queue_limit", model.m_queueLimit);
  UpdateMilliseconds(aTable, "service_ms", model.m_meanServiceTime);
  Update(aTable, "spread", model.m_logStdDev);
  Update(aTable, "straggler_share", model.m_stragglerShare);
  Update(aTable, "straggler_factor", model.m_stragglerFactor);
  Update(aTable, "starts_cold", model.m_startsCold);
  Update(aTable, "cold_answers", model.m_warmUpAnswers);
  Update(aTable, "cold_factor", model.m_coldFactor);
  Update(aTable, "cold_limit", model.m_coldWorkLimit);
  return settings;
}

} // namespace

absl::StatusOr<std::vector<UpstreamSettings>>
ParseUpstreams(std::string_view aText, const UpstreamSettings& aDefaults)
{
  toml::parse_result parsed = toml::parse(aText);
  if (!parsed) {
    return absl::InvalidArgumentError(
      absl::StrCat("line ",
                   parsed.error().source().begin.line,
                   ": ",
                   std::string(parsed.error().description())));
  }
  const toml::table& table = parsed.table();
  std::vector<UpstreamSettings> upstreams;
  if (const toml::array* array = table["upstream"].as_array()) {
    for (const toml::node& node : *array) {
      if (const toml::table* entry = node.as_table()) {
        upstreams.push_back(ParseUpstream(*entry, aDefaults));
      }
    }
  }
  if (upstreams.empty()) {
    return absl::InvalidArgumentError("no [[upstream]]");
  }
  return upstreams;
}

} // namespace ebonykeel::standins
