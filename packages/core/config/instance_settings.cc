#include "core/config/instance_settings.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "core/config/internal/toml_reader.h"
#include "core/config/limits.h"

namespace ebonykeel {
namespace {

using internal::IntegerRange;
using internal::NameRule;
using internal::TextRule;
using internal::TomlReader;

constexpr IntegerRange kTimerRangeMs{ 1, 3'600'000 };
constexpr IntegerRange kByteRange{ 1024, int64_t{ 1 } << 30 };
constexpr IntegerRange kCountRange{ 1, 1'000'000 };
constexpr int64_t kMaxVerbosity = 9;
constexpr size_t kMaxPathBytes = 4096;

TextRule
ListenAddressRule()
{
  return { [](std::string_view aText) {
            return ParseAddress(aText).has_value();
          },
           "an IP number and a port, such as \"10.0.0.7:8080\"; port 0 takes "
           "any free one" };
}

TextRule
ServerAddressRule()
{
  return { [](std::string_view aText) {
            std::optional<Address> address = ParseAddress(aText);
            return address && address->m_port != 0;
          },
           "an IP number and a port, such as \"10.0.0.2:8000\"" };
}

TextRule
IpRule()
{
  return { IsIpAddress, "an IP number, such as \"10.0.0.7\"" };
}

TextRule
PathRule()
{
  return { [](std::string_view aText) {
            return aText.size() <= kMaxPathBytes &&
                   aText.find('\0') == std::string_view::npos;
          },
           "a path of at most 4096 bytes" };
}

// Reads the keys of one table into the fields of a settings struct. The present
// value of a field is its default.
class TableReader
{
public:
  explicit TableReader(TomlReader& aReader)
    : m_reader(&aReader)
  {
  }

  void Timer(std::string_view aKey, Duration& aValue)
  {
    aValue = Milliseconds(
      m_reader->Integer(aKey, kTimerRangeMs, ToMilliseconds(aValue)));
  }

  template<typename Integer>
  void Count(std::string_view aKey, IntegerRange aRange, Integer& aValue)
  {
    aValue = static_cast<Integer>(
      m_reader->Integer(aKey, aRange, static_cast<int64_t>(aValue)));
  }

  void AddressText(std::string_view aKey,
                   const TextRule& aRule,
                   Address& aValue)
  {
    std::string text = m_reader->Text(aKey, aRule, FormatAddress(aValue));
    aValue = ParseAddress(text).value_or(aValue);
  }

private:
  TomlReader* m_reader;
};

void
ReadListen(TomlReader& aReader, ListenSettings& aListen)
{
  TableReader table(aReader);
  table.AddressText("public", ListenAddressRule(), aListen.m_public);
  table.AddressText("admin", ListenAddressRule(), aListen.m_admin);
  table.AddressText("peer", ListenAddressRule(), aListen.m_peer);
  if (aReader.Has("advertise_host")) {
    aListen.m_advertiseHost = aReader.Text("advertise_host", IpRule());
  }
}

void
ReadTimers(TomlReader& aReader, TimerSettings& aTimers)
{
  TableReader table(aReader);
  table.Timer("heartbeat_ms", aTimers.m_heartbeatInterval);
  table.Timer("lease_ms", aTimers.m_leaseDuration);
  table.Timer("lease_margin_ms", aTimers.m_leaseMargin);
  table.Timer("drain_ms", aTimers.m_drainTimeout);
  table.Timer("store_timeout_ms", aTimers.m_storeTimeout);
  table.Timer("store_watch_ms", aTimers.m_storeWatchTimeout);
  table.Timer("configuration_read_ms", aTimers.m_configurationReadInterval);
  table.Timer("instance_list_ms", aTimers.m_instanceListInterval);
  table.Timer("peer_timeout_ms", aTimers.m_peerTimeout);
  table.Timer("idle_connection_ms", aTimers.m_idleConnectionTimeout);
}

// Adds a finding unless `aValue` is less than `aOther`.
void
CheckShorterThan(TomlReader& aReader,
                 std::string_view aKey,
                 Duration aValue,
                 std::string_view aOtherKey,
                 Duration aOther)
{
  if (aValue < aOther) {
    return;
  }
  std::string other(aOtherKey);
  aReader.Report(aKey,
                 absl::StrCat("is ",
                              ToMilliseconds(aValue),
                              ", not under ",
                              other,
                              " of ",
                              ToMilliseconds(aOther)),
                 absl::StrCat("under ", ToMilliseconds(aOther)));
}

void
ReadLimits(TomlReader& aReader, LimitSettings& aLimits)
{
  TableReader table(aReader);
  table.Count("request_bytes", kByteRange, aLimits.m_maxRequestBytes);
  table.Count(
    "upstream_answer_bytes", kByteRange, aLimits.m_maxUpstreamAnswerBytes);
  table.Count("queries", kCountRange, aLimits.m_maxQueries);
  aLimits.m_maxHedgeShare = aReader.Number(
    "hedge_share", { .m_min = 0, .m_max = 1 }, aLimits.m_maxHedgeShare);
}

void
ReadLog(TomlReader& aReader, LogSettings& aLog)
{
  aLog.m_folder = aReader.Text("folder", PathRule(), aLog.m_folder);
  TextRule level{ [](std::string_view aText) {
                   return aText == "info" || aText == "warning" ||
                          aText == "error";
                 },
                  "\"info\", \"warning\" or \"error\"" };
  std::string text = aReader.Text("min_level", level, "info");
  aLog.m_minLevel = text == "error" ? 2 : text == "warning" ? 1 : 0;
  TableReader(aReader).Count(
    "verbosity", { 0, kMaxVerbosity }, aLog.m_verbosity);
}

// Reads the optional table `aKey` with `aRead` and reports its unknown keys.
template<typename Part>
void
ReadTable(TomlReader& aRoot,
          std::string_view aKey,
          void (*aRead)(TomlReader&, Part&),
          Part& aPart)
{
  std::optional<TomlReader> table = aRoot.Table(aKey);
  if (!table) {
    return;
  }
  aRead(*table, aPart);
  table->ReportUnknownKeys();
}

void
ReadStore(TomlReader& aRoot, PlatformSettings& aPlatform)
{
  std::optional<TomlReader> store = aRoot.Table("store");
  if (!store) {
    if (!aRoot.Has("store")) {
      aRoot.Report("store.address", "is missing");
    }
    return;
  }
  std::string text = store->Text("address", ServerAddressRule());
  aPlatform.m_store = ParseAddress(text).value_or(Address{});
  std::string list = store->Text("instance_list", ServerAddressRule(), text);
  aPlatform.m_instanceList = ParseAddress(list).value_or(aPlatform.m_store);
  store->ReportUnknownKeys();
}

void
ReadCheckedTimers(TomlReader& aReader, TimerSettings& aTimers)
{
  ReadTimers(aReader, aTimers);
  CheckShorterThan(aReader,
                   "heartbeat_ms",
                   aTimers.m_heartbeatInterval,
                   "lease_ms",
                   aTimers.m_leaseDuration);
  CheckShorterThan(aReader,
                   "store_timeout_ms",
                   aTimers.m_storeTimeout,
                   "store_watch_ms",
                   aTimers.m_storeWatchTimeout);
}

InstanceSettings
ReadSettings(TomlReader& aRoot)
{
  InstanceSettings settings;
  settings.m_id = InstanceId(aRoot.Text("id", NameRule()));
  settings.m_dataCentre = DataCentre(aRoot.Text("data_centre", NameRule()));
  settings.m_region =
    Region(aRoot.Text("region", NameRule(), settings.m_region.Text()));
  settings.m_adminTokenFile = aRoot.Text("admin_token_file", PathRule(), "");
  settings.m_readyFile = aRoot.Text("ready_file", PathRule(), "");
  ReadStore(aRoot, settings.m_platform);
  ReadTable(aRoot, "listen", ReadListen, settings.m_listen);
  ReadTable(aRoot, "timers", ReadCheckedTimers, settings.m_timers);
  ReadTable(aRoot, "limits", ReadLimits, settings.m_limits);
  ReadTable(aRoot, "log", ReadLog, settings.m_log);
  aRoot.ReportUnknownKeys();
  return settings;
}

} // namespace

InstanceSettingsResult
ParseInstanceSettings(std::string_view aText, std::string_view aFileName)
{
  InstanceSettingsResult result;
  internal::TomlDocument document =
    internal::ParseToml(aText, aFileName, result.m_findings);
  if (!document.Valid()) {
    return result;
  }
  TomlReader root = document.Root(result.m_findings);
  InstanceSettings settings = ReadSettings(root);
  internal::SortFindings(result.m_findings);
  if (result.m_findings.empty()) {
    result.m_settings = std::move(settings);
  }
  return result;
}

} // namespace ebonykeel
