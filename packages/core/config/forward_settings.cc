#include "core/config/forward_settings.h"

#include <utility>

#include "absl/strings/str_split.h"

#include "core/config/internal/toml_reader.h"

namespace ebonykeel {
namespace {

using internal::IntegerRange;
using internal::TextRule;
using internal::TomlReader;

constexpr IntegerRange kPortRange{ 0, 65535 };
constexpr IntegerRange kBurstRange{ 0, 1'000'000 };
constexpr IntegerRange kInstanceRange{ 1, 64 };
constexpr IntegerRange kMillisecondRange{ 1, 3'600'000 };
constexpr double kMaxExtraShare = 10;
constexpr double kMaxOverage = 10;

TextRule
AddressRule()
{
  return { [](std::string_view aText) {
            return ParseAddress(aText).has_value();
          },
           "an IP number and a port, such as \"10.0.0.7:8080\"" };
}

TextRule
IpRule()
{
  return { IsIpAddress, "an IP number, such as \"10.0.0.7\"" };
}

TextRule
NonEmptyRule()
{
  return { [](std::string_view aText) { return !aText.empty(); },
           "a text that is not empty" };
}

// Returns the hosts of a comma-separated list such as "10.0.0.1:80,10.0.0.2".
// Entries that are not IP addresses are ignored.
std::vector<std::string>
ParseSeeds(const std::string& aText)
{
  std::vector<std::string> hosts;
  for (absl::string_view seed : absl::StrSplit(aText, ',', absl::SkipEmpty())) {
    std::string text(seed);
    std::optional<Address> address = ParseAddress(text);
    if (address) {
      hosts.push_back(address->m_host);
    } else if (IsIpAddress(text)) {
      hosts.push_back(text);
    }
  }
  return hosts;
}

Address
ReadAddress(TomlReader& aReader, std::string_view aKey)
{
  return ParseAddress(aReader.Text(aKey, AddressRule())).value_or(Address{});
}

void
ReadListen(TomlReader& aRoot, ForwardListenSettings& aListen)
{
  std::optional<TomlReader> table = aRoot.Table("listen");
  if (!table) {
    aRoot.Report("listen", "is missing");
    return;
  }
  aListen.m_callers = ReadAddress(*table, "callers");
  aListen.m_directory = ReadAddress(*table, "directory");
  aListen.m_readiness = ReadAddress(*table, "readiness");
  aListen.m_peerPort =
    static_cast<uint16_t>(table->Integer("peer_port", kPortRange));
  aListen.m_metricsPort =
    static_cast<uint16_t>(table->Integer("metrics_port", kPortRange, 0));
  table->ReportUnknownKeys();
}

void
ReadForward(TomlReader& aRoot, ForwardSettings& aSettings)
{
  std::optional<TomlReader> table = aRoot.Table("forward");
  if (!table) {
    return;
  }
  aSettings.m_extraShare =
    table->Number("extra_share",
                  { .m_min = 0, .m_max = kMaxExtraShare },
                  aSettings.m_extraShare);
  aSettings.m_extraBurst =
    table->Integer("extra_burst", kBurstRange, aSettings.m_extraBurst);
  aSettings.m_extraWindow =
    Milliseconds(table->Integer("extra_window_ms",
                                kMillisecondRange,
                                ToMilliseconds(aSettings.m_extraWindow)));
  aSettings.m_instancesPerCaller = table->Integer(
    "instances_per_caller", kInstanceRange, aSettings.m_instancesPerCaller);
  aSettings.m_hedging = table->Boolean("hedging", aSettings.m_hedging);
  aSettings.m_earlyAnswers =
    table->Boolean("early_answers", aSettings.m_earlyAnswers);
  aSettings.m_foreseeStalls =
    table->Boolean("foresee_stalls", aSettings.m_foreseeStalls);
  aSettings.m_stopTimeout = Milliseconds(table->Integer(
    "grace_ms", kMillisecondRange, ToMilliseconds(aSettings.m_stopTimeout)));
  aSettings.m_directoryAnswerTtl = Milliseconds(
    table->Integer("answer_lifetime_ms",
                   kMillisecondRange,
                   ToMilliseconds(aSettings.m_directoryAnswerTtl)));
  TextRule placement{ [](std::string_view aText) {
                       return aText == "latency" || aText == "work";
                     },
                      "\"latency\" or \"work\"" };
  if (table->Text("placement", placement, "latency") == "work") {
    aSettings.m_placement = PlacementPolicy::kWork;
  }
  table->ReportUnknownKeys();
}

std::optional<QuotaSettings>
ReadQuota(TomlReader& aRoot)
{
  std::optional<TomlReader> table = aRoot.Table("quota");
  if (!table) {
    return std::nullopt;
  }
  QuotaSettings quota;
  std::string dataCentres = table->Text("data_centres", NonEmptyRule());
  for (absl::string_view name :
       absl::StrSplit(dataCentres, ',', absl::SkipEmpty())) {
    quota.m_dataCentres.emplace_back(std::string(name));
  }
  quota.m_window = Milliseconds(table->Integer(
    "window_ms", kMillisecondRange, ToMilliseconds(quota.m_window)));
  quota.m_overage = table->Number(
    "overage", { .m_min = 0, .m_max = kMaxOverage }, quota.m_overage);
  quota.m_slack = static_cast<double>(
    table->Integer("slack", kBurstRange, static_cast<int64_t>(quota.m_slack)));
  table->ReportUnknownKeys();
  return quota;
}

std::optional<RolloutSettings>
ReadRollout(TomlReader& aRoot)
{
  std::optional<TomlReader> table = aRoot.Table("rollout");
  if (!table) {
    return std::nullopt;
  }
  RolloutSettings rollout;
  rollout.m_exposureShare = table->Number(
    "exposure_share", { .m_min = 0, .m_max = 1 }, rollout.m_exposureShare);
  rollout.m_exposureSlack = static_cast<double>(
    table->Integer("exposure_slack",
                   kBurstRange,
                   static_cast<int64_t>(rollout.m_exposureSlack)));
  rollout.m_rollbackTime = Milliseconds(table->Integer(
    "rollback_ms", kMillisecondRange, ToMilliseconds(rollout.m_rollbackTime)));
  table->ReportUnknownKeys();
  return rollout;
}

ForwardSettings
ReadSettings(TomlReader& aRoot)
{
  ForwardSettings settings;
  TextRule mode{ [](std::string_view aText) { return aText == "forward"; },
                 "\"forward\"" };
  (void)aRoot.Text("mode", mode);
  settings.m_id = InstanceId(aRoot.Text("id", NonEmptyRule()));
  settings.m_dataCentre = DataCentre(aRoot.Text("data_centre", NonEmptyRule()));
  settings.m_host = aRoot.Text("host", IpRule());
  settings.m_firstStart = aRoot.Boolean("first_start", settings.m_firstStart);
  constexpr double kMaxProcessorSpeed = 1024;
  settings.m_processors = aRoot.Number(
    "processor_share", { .m_min = 0, .m_max = 1 }, settings.m_processors);
  settings.m_processors *= aRoot.Number(
    "processor_speed", { .m_min = 0, .m_max = kMaxProcessorSpeed }, 1.0);
  TextRule any{ [](std::string_view) { return true; }, "" };
  settings.m_seeds = ParseSeeds(aRoot.Text("seeds", any, ""));
  if (std::optional<TomlReader> store = aRoot.Table("store")) {
    settings.m_store = ReadAddress(*store, "address");
    store->ReportUnknownKeys();
  } else {
    aRoot.Report("store", "is missing");
  }
  ReadListen(aRoot, settings.m_listen);
  ReadForward(aRoot, settings);
  settings.m_quota = ReadQuota(aRoot);
  settings.m_rollout = ReadRollout(aRoot);
  aRoot.ReportUnknownKeys();
  return settings;
}

} // namespace

bool
IsForwardMode(std::string_view aText)
{
  Findings ignored;
  internal::TomlDocument document = internal::ParseToml(aText, "", ignored);
  return document.Valid() && document.Root(ignored).Has("mode");
}

ForwardSettingsResult
ParseForwardSettings(std::string_view aText, std::string_view aFileName)
{
  ForwardSettingsResult result;
  internal::TomlDocument document =
    internal::ParseToml(aText, aFileName, result.m_findings);
  if (!document.Valid()) {
    return result;
  }
  TomlReader root = document.Root(result.m_findings);
  ForwardSettings settings = ReadSettings(root);
  internal::SortFindings(result.m_findings);
  if (result.m_findings.empty()) {
    result.m_settings = std::move(settings);
  }
  return result;
}

} // namespace ebonykeel
