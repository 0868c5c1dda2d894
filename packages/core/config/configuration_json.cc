#include "core/config/configuration_json.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "core/config/address.h"
#include "core/config/internal/json_reader.h"
#include "core/config/limits.h"

namespace ebonykeel {
namespace {

using internal::JsonReader;
using nlohmann::json;

// Version of the layout of the stored object.
constexpr int64_t kFormatVersion = 1;
constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();

bool
IsMetadataText(std::string_view aText)
{
  return aText.size() <= kMaxMetadataBytes;
}

template<typename Ids>
json
EncodeIds(const Ids& aIds)
{
  json array = json::array();
  for (const auto& id : aIds) {
    array.push_back(id.Text());
  }
  return array;
}

json
EncodeUpstream(const UpstreamConfig& aUpstream)
{
  return { { "id", aUpstream.m_id.Text() },
           { "address", FormatAddress({ aUpstream.m_host, aUpstream.m_port }) },
           { "data_centre", aUpstream.m_dataCentre.Text() } };
}

json
EncodeShard(const ShardConfig& aShard)
{
  json replicas = json::array();
  std::ranges::transform(
    aShard.m_replicas, std::back_inserter(replicas), EncodeUpstream);
  return { { "name", aShard.m_name.Text() }, { "replicas", replicas } };
}

json
EncodeTarget(const ServiceLevelTarget& aTarget)
{
  auto hours = std::chrono::duration_cast<std::chrono::hours>(aTarget.m_window);
  return { { "objective", aTarget.m_objective },
           { "latency_ms", ToMilliseconds(aTarget.m_latency) },
           { "coverage", aTarget.m_coverage },
           { "window_h", hours.count() } };
}

json
EncodeRecord(const ChangeRecord& aRecord)
{
  return { { "generation", aRecord.m_generation },
           { "change_id", aRecord.m_changeId },
           { "author", aRecord.m_author },
           { "summary", aRecord.m_summary },
           { "unix_ms", aRecord.m_unixMs } };
}

json
EncodeService(const ServiceConfig& aService)
{
  json shards = json::array();
  std::ranges::transform(
    aService.m_shards, std::back_inserter(shards), EncodeShard);
  bool latency = aService.m_preference == Preference::kLatency;
  return { { "name", aService.m_name.Text() },
           { "group", aService.m_group.Text() },
           { "index_version", aService.m_indexVersion },
           { "shards", shards },
           { "slots", aService.m_slots },
           { "connection_limit", aService.m_connectionLimit },
           { "connect_time_ms", ToMilliseconds(aService.m_connectTime) },
           { "deadline_ms", ToMilliseconds(aService.m_deadline) },
           { "preference", latency ? "latency" : "coverage" },
           { "sufficient_coverage", aService.m_sufficientCoverage },
           { "service_level", EncodeTarget(aService.m_target) },
           { "idempotent", aService.m_idempotentOperations },
           { "once", aService.m_onceOperations } };
}

// Reports a problem of `aKey` to `aReader` if `aName` is already in `aSeen`,
// and adds it otherwise.
template<typename Name>
void
CheckUnique(std::set<Name>& aSeen,
            const Name& aName,
            std::string_view aKey,
            JsonReader& aReader)
{
  if (!aSeen.insert(aName).second) {
    aReader.Fail(aKey, "stands twice");
  }
}

UpstreamConfig
DecodeUpstream(const json& aJson, JsonReader& aParent)
{
  JsonReader reader(aJson, "replica");
  UpstreamConfig upstream;
  upstream.m_id = UpstreamId(reader.Text("id", IsName));
  std::string text = reader.Text("address", [](std::string_view aText) {
    return ParseAddress(aText).has_value();
  });
  Address address = ParseAddress(text).value_or(Address{});
  upstream.m_host = address.m_host;
  upstream.m_port = address.m_port;
  upstream.m_dataCentre = DataCentre(reader.Text("data_centre", IsName));
  aParent.Adopt(reader.Finish());
  return upstream;
}

ShardConfig
DecodeShard(const json& aJson, JsonReader& aParent)
{
  JsonReader reader(aJson, "shard");
  ShardConfig shard;
  shard.m_name = ShardName(reader.Text("name", IsName));
  for (const json& replica : reader.Array("replicas")) {
    shard.m_replicas.push_back(DecodeUpstream(replica, reader));
  }
  aParent.Adopt(reader.Finish());
  return shard;
}

ServiceLevelTarget
DecodeTarget(const json& aJson, JsonReader& aParent)
{
  JsonReader reader(aJson, "service_level");
  ServiceLevelTarget target;
  target.m_objective = reader.Fraction("objective", 0, 1);
  target.m_latency =
    Milliseconds(reader.Integer("latency_ms", 1, kMaxDeadlineMs));
  target.m_coverage = reader.Fraction("coverage", 0, 1);
  target.m_window =
    std::chrono::hours(reader.Integer("window_h", 1, kMaxWindowHours));
  aParent.Adopt(reader.Finish());
  return target;
}

void
DecodeLoad(JsonReader& aReader, ServiceConfig& aService)
{
  aService.m_slots =
    static_cast<uint32_t>(aReader.Integer("slots", 1, kMaxSlots));
  aService.m_connectionLimit = static_cast<uint32_t>(
    aReader.Integer("connection_limit", 1, kMaxConnections));
  if (aService.m_slots > aService.m_connectionLimit) {
    aReader.Fail("slots", "is over connection_limit");
  }
  aService.m_connectTime =
    Milliseconds(aReader.Integer("connect_time_ms", 0, kMaxConnectTimeMs));
  aService.m_deadline =
    Milliseconds(aReader.Integer("deadline_ms", 1, kMaxDeadlineMs));
  std::string preference =
    aReader.Text("preference", [](std::string_view aText) {
      return aText == "latency" || aText == "coverage";
    });
  aService.m_preference =
    preference == "latency" ? Preference::kLatency : Preference::kCoverage;
  aService.m_sufficientCoverage = aReader.Fraction("sufficient_coverage", 0, 1);
}

void
CheckOperations(const ServiceConfig& aService, JsonReader& aReader)
{
  std::set<std::string> seen;
  for (const std::string& operation : aService.m_idempotentOperations) {
    CheckUnique(seen, operation, "idempotent", aReader);
  }
  for (const std::string& operation : aService.m_onceOperations) {
    CheckUnique(seen, operation, "once", aReader);
  }
}

ServiceConfig
DecodeService(const json& aJson, JsonReader& aParent)
{
  JsonReader reader(aJson, "service");
  ServiceConfig service;
  service.m_name = ServiceName(reader.Text("name", IsName));
  service.m_group = GroupName(reader.Text("group", IsName));
  service.m_indexVersion =
    static_cast<IndexVersion>(reader.Integer("index_version", 1, kMaxInteger));
  DecodeLoad(reader, service);
  service.m_target = DecodeTarget(reader.Object("service_level"), reader);
  service.m_idempotentOperations = reader.Texts("idempotent", IsName);
  service.m_onceOperations = reader.Texts("once", IsName);
  CheckOperations(service, reader);
  std::set<ShardName> names;
  for (const json& shard : reader.Array("shards")) {
    service.m_shards.push_back(DecodeShard(shard, reader));
    CheckUnique(names, service.m_shards.back().m_name, "shards", reader);
  }
  aParent.Adopt(reader.Finish());
  return service;
}

ChangeRecord
DecodeRecord(const json& aJson, JsonReader& aParent)
{
  JsonReader reader(aJson, "history");
  ChangeRecord record;
  record.m_generation =
    static_cast<Generation>(reader.Integer("generation", 1, kMaxInteger));
  record.m_changeId = reader.Text("change_id", IsMetadataText);
  record.m_author = reader.Text("author", IsMetadataText);
  record.m_summary = reader.Text("summary", IsMetadataText);
  record.m_unixMs = reader.Integer("unix_ms", 0, kMaxInteger);
  aParent.Adopt(reader.Finish());
  return record;
}

void
DecodeHistory(JsonReader& aReader, Configuration& aConfiguration)
{
  for (const json& record : aReader.Array("history")) {
    aConfiguration.m_history.push_back(DecodeRecord(record, aReader));
  }
  if (aConfiguration.m_history.size() > kMaxHistory) {
    aReader.Fail("history", "is too long");
  }
}

void
CheckUpstreams(const Configuration& aConfiguration, JsonReader& aReader)
{
  std::set<UpstreamId> seen;
  for (const ServiceConfig& service : aConfiguration.m_services) {
    for (const ShardConfig& shard : service.m_shards) {
      for (const UpstreamConfig& upstream : shard.m_replicas) {
        CheckUnique(seen, upstream.m_id, "services", aReader);
      }
    }
  }
}

template<typename Id>
std::set<Id>
DecodeIds(JsonReader& aReader, std::string_view aKey)
{
  std::set<Id> ids;
  for (const std::string& text : aReader.Texts(aKey, IsName)) {
    ids.insert(Id(text));
  }
  return ids;
}

void
DecodeServices(JsonReader& aReader, Configuration& aConfiguration)
{
  for (const json& service : aReader.Array("services")) {
    aConfiguration.m_services.push_back(DecodeService(service, aReader));
  }
  auto outOfOrder = [](const ServiceConfig& aLeft,
                       const ServiceConfig& aRight) {
    return aLeft.m_name >= aRight.m_name;
  };
  if (std::ranges::adjacent_find(aConfiguration.m_services, outOfOrder) !=
      aConfiguration.m_services.end()) {
    aReader.Fail("services", "is not sorted by distinct names");
  }
  CheckUpstreams(aConfiguration, aReader);
}

} // namespace

std::string
ConfigurationHistoryKey(Generation aGeneration)
{
  return absl::StrFormat("config/history/%020d", aGeneration);
}

std::string
EncodeConfiguration(const Configuration& aConfiguration)
{
  json services = json::array();
  std::ranges::transform(
    aConfiguration.m_services, std::back_inserter(services), EncodeService);
  json history = json::array();
  std::ranges::transform(
    aConfiguration.m_history, std::back_inserter(history), EncodeRecord);
  json object = { { "format", kFormatVersion },
                  { "generation", aConfiguration.m_generation },
                  { "change_id", aConfiguration.m_changeId },
                  { "author", aConfiguration.m_author },
                  { "summary", aConfiguration.m_summary },
                  { "services", services },
                  { "history", history },
                  { "withdrawn_data_centres",
                    EncodeIds(aConfiguration.m_withdrawnDataCentres) },
                  { "drained_upstreams",
                    EncodeIds(aConfiguration.m_drainedUpstreams) } };
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<Configuration>
DecodeConfiguration(std::string_view aText)
{
  if (aText.size() > kMaxConfigurationBytes) {
    return absl::InvalidArgumentError(absl::StrCat(
      "configuration of ", aText.size(), " bytes is over the limit"));
  }
  json object = json::parse(aText, nullptr, false);
  if (object.is_discarded()) {
    return absl::InvalidArgumentError("configuration is no JSON");
  }
  JsonReader reader(object, "configuration");
  Configuration configuration;
  (void)reader.Integer("format", kFormatVersion, kFormatVersion);
  configuration.m_generation =
    static_cast<Generation>(reader.Integer("generation", 0, kMaxInteger));
  configuration.m_changeId = reader.Text("change_id", IsMetadataText);
  configuration.m_author = reader.Text("author", IsMetadataText);
  configuration.m_summary = reader.Text("summary", IsMetadataText);
  DecodeServices(reader, configuration);
  DecodeHistory(reader, configuration);
  configuration.m_withdrawnDataCentres =
    DecodeIds<DataCentre>(reader, "withdrawn_data_centres");
  configuration.m_drainedUpstreams =
    DecodeIds<UpstreamId>(reader, "drained_upstreams");
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return configuration;
}

} // namespace ebonykeel
