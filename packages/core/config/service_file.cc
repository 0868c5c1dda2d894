#include "core/config/service_file.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/config/address.h"
#include "core/config/internal/toml_reader.h"
#include "core/config/limits.h"

namespace ebonykeel {
namespace {

using internal::NameRule;
using internal::NumberRange;
using internal::PlacedText;
using internal::TextRule;
using internal::TomlReader;

constexpr NumberRange kFractionRange{ .m_min = 0,
                                      .m_max = 1,
                                      .m_minOpen = true };
constexpr NumberRange kOpenFractionRange{ .m_min = 0,
                                          .m_max = 1,
                                          .m_minOpen = true,
                                          .m_maxOpen = true };

TextRule
UpstreamAddressRule()
{
  auto accepts = [](std::string_view aText) {
    std::optional<Address> address = ParseAddress(aText);
    return address && address->m_port != 0;
  };
  return { accepts, "an IP number and a port, such as \"10.0.0.7:9001\"" };
}

// Adds a finding for each entry that occurs more than once.
class DuplicateCheck
{
public:
  DuplicateCheck(std::string aWhat, Findings& aFindings)
    : m_what(std::move(aWhat))
    , m_findings(&aFindings)
  {
  }

  void Add(const std::string& aText, std::string aKey, Place aPlace)
  {
    if (aText.empty()) {
      return;
    }
    auto [entry, inserted] = m_seen.try_emplace(aText, aPlace);
    if (inserted) {
      return;
    }
    m_findings->push_back({ std::move(aPlace),
                            std::move(aKey),
                            absl::StrCat("repeats the ",
                                         m_what,
                                         " \"",
                                         aText,
                                         "\" of line ",
                                         entry->second.m_line),
                            "each once" });
  }

private:
  std::string m_what;
  Findings* m_findings;
  std::map<std::string, Place> m_seen;
};

class ServiceFileReader
{
public:
  ServiceFileReader(TomlReader aRoot, Findings& aFindings)
    : m_root(std::move(aRoot))
    , m_findings(&aFindings)
    , m_shardNames("shard name", aFindings)
    , m_upstreamIds("upstream id", aFindings)
    , m_addresses("address", aFindings)
  {
  }

  ServiceConfig Read()
  {
    ServiceConfig service;
    ReadIdentity(service);
    ReadLoad(service);
    ReadTarget(service);
    ReadOperations(service);
    for (TomlReader& shard : m_root.Tables("shard", kMaxShards)) {
      service.m_shards.push_back(ReadShard(shard));
    }
    m_root.ReportUnknownKeys();
    return service;
  }

private:
  void ReadIdentity(ServiceConfig& aService)
  {
    aService.m_name = ServiceName(m_root.Text("name", NameRule()));
    aService.m_group =
      GroupName(m_root.Text("group", NameRule(), aService.m_name.Text()));
    aService.m_indexVersion = static_cast<IndexVersion>(
      m_root.Integer("index_version", { .m_min = 1 }));
  }

  void ReadLoad(ServiceConfig& aService)
  {
    ServiceConfig defaults;
    int64_t slots = m_root.Integer("slots", { 1, kMaxSlots }, defaults.m_slots);
    int64_t connections = m_root.Integer(
      "connection_limit", { 1, kMaxConnections }, defaults.m_connectionLimit);
    if (slots > connections) {
      m_root.Report("slots",
                    absl::StrCat("is ", slots, ", over connection_limit"),
                    absl::StrCat("at most ", connections));
    }
    aService.m_slots = static_cast<uint32_t>(slots);
    aService.m_connectionLimit = static_cast<uint32_t>(connections);
    aService.m_connectTime =
      Milliseconds(m_root.Integer("connect_time_ms",
                                  { 0, kMaxConnectTimeMs },
                                  ToMilliseconds(defaults.m_connectTime)));
    aService.m_deadline =
      Milliseconds(m_root.Integer("deadline_ms",
                                  { 1, kMaxDeadlineMs },
                                  ToMilliseconds(defaults.m_deadline)));
    TextRule preference{ [](std::string_view aText) {
                          return aText == "coverage" || aText == "latency";
                        },
                         "\"coverage\" or \"latency\"" };
    aService.m_preference =
      m_root.Text("preference", preference, "coverage") == "latency"
        ? Preference::kLatency
        : Preference::kCoverage;
    aService.m_sufficientCoverage = m_root.Number(
      "sufficient_coverage", kFractionRange, defaults.m_sufficientCoverage);
  }

  void ReadTarget(ServiceConfig& aService)
  {
    ServiceLevelTarget target;
    int64_t latencyMs =
      ToMilliseconds(std::min(target.m_latency, aService.m_deadline));
    std::optional<TomlReader> table = m_root.Table("service_level");
    if (table) {
      target.m_objective =
        table->Number("objective", kOpenFractionRange, target.m_objective);
      latencyMs =
        table->Integer("latency_ms", { 1, kMaxDeadlineMs }, latencyMs);
      target.m_coverage =
        table->Number("coverage", kFractionRange, target.m_coverage);
      int64_t defaultHours =
        std::chrono::duration_cast<std::chrono::hours>(target.m_window).count();
      target.m_window = std::chrono::hours(
        table->Integer("window_h", { 1, kMaxWindowHours }, defaultHours));
      if (Milliseconds(latencyMs) > aService.m_deadline) {
        table->Report(
          "latency_ms",
          absl::StrCat("is ", latencyMs, ", over deadline_ms"),
          absl::StrCat("at most ", ToMilliseconds(aService.m_deadline)));
      }
      table->ReportUnknownKeys();
    }
    target.m_latency = Milliseconds(latencyMs);
    aService.m_target = target;
  }

  void ReadOperations(ServiceConfig& aService)
  {
    std::optional<TomlReader> table = m_root.Table("operations");
    if (!table) {
      return;
    }
    std::vector<PlacedText> idempotent =
      table->Texts("idempotent", NameRule(), kMaxOperations, { { "search" } });
    std::vector<PlacedText> once =
      table->Texts("once", NameRule(), kMaxOperations);
    DuplicateCheck check("operation", *m_findings);
    for (const PlacedText& text : idempotent) {
      check.Add(text.m_text, "operations.idempotent", text.m_place);
    }
    for (const PlacedText& text : once) {
      check.Add(text.m_text, "operations.once", text.m_place);
    }
    table->ReportUnknownKeys();
    auto texts = [](const std::vector<PlacedText>& aPlaced) {
      std::vector<std::string> result;
      std::ranges::transform(
        aPlaced, std::back_inserter(result), &PlacedText::m_text);
      return result;
    };
    aService.m_idempotentOperations = texts(idempotent);
    aService.m_onceOperations = texts(once);
  }

  ShardConfig ReadShard(TomlReader& aReader)
  {
    ShardConfig shard;
    shard.m_name = ShardName(aReader.Text("name", NameRule()));
    m_shardNames.Add(
      shard.m_name.Text(), aReader.PathOf("name"), aReader.PlaceOf("name"));
    for (TomlReader& replica : aReader.Tables("replicas", kMaxReplicas)) {
      shard.m_replicas.push_back(ReadReplica(replica));
    }
    aReader.ReportUnknownKeys();
    return shard;
  }

  UpstreamConfig ReadReplica(TomlReader& aReader)
  {
    UpstreamConfig upstream;
    upstream.m_id = UpstreamId(aReader.Text("id", NameRule()));
    m_upstreamIds.Add(
      upstream.m_id.Text(), aReader.PathOf("id"), aReader.PlaceOf("id"));
    std::string text = aReader.Text("address", UpstreamAddressRule());
    if (std::optional<Address> address = ParseAddress(text)) {
      upstream.m_host = address->m_host;
      upstream.m_port = address->m_port;
      m_addresses.Add(FormatAddress(*address),
                      aReader.PathOf("address"),
                      aReader.PlaceOf("address"));
    }
    upstream.m_dataCentre = DataCentre(aReader.Text("data_centre", NameRule()));
    aReader.ReportUnknownKeys();
    return upstream;
  }

  TomlReader m_root;
  Findings* m_findings;
  DuplicateCheck m_shardNames;
  DuplicateCheck m_upstreamIds;
  DuplicateCheck m_addresses;
};

} // namespace

ServiceFileResult
ParseServiceFile(std::string_view aText, std::string_view aFileName)
{
  ServiceFileResult result;
  internal::TomlDocument document =
    internal::ParseToml(aText, aFileName, result.m_findings);
  if (!document.Valid()) {
    return result;
  }
  ServiceFileReader reader(document.Root(result.m_findings), result.m_findings);
  ServiceConfig service = reader.Read();
  internal::SortFindings(result.m_findings);
  if (result.m_findings.empty()) {
    result.m_service = std::move(service);
  }
  return result;
}

} // namespace ebonykeel
